"""One attempt to have a request answered by one upstream."""

import enum
import functools
import logging
import math

import trio

from siskinmount import fleet
from siskinmount import placement
from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _event_stream
from siskinmount.gateway import _online_context
from siskinmount.gateway import _online_request
from siskinmount.gateway import _online_response
from siskinmount.gateway import _origin_registrar
from siskinmount.gateway import _response_buffers
from siskinmount.gateway import _wire

_LOGGER = logging.getLogger(__name__)

#: Timeout for the first byte, in latency targets of the route, where the
#: request may be repeated at another upstream. A retry helps the caller only
#: while there is time for a complete new run.
FIRST_BYTE_TIMEOUT_TARGETS = 4
#: Timeout between events, in longest gaps that the route allows.
EVENT_GAP_TIMEOUT_GAPS = 3
MIN_TIMEOUT_MS = 300
_CANCELLED = 'cancelled'
#: Status with which an upstream ends a run at the deadline it was given.
_STATUS_GATEWAY_TIMEOUT = 504


class AttemptOutcome(enum.Enum):
    """How an attempt at an upstream ended."""

    #: The caller has the complete response.
    ANSWERED = 'answered'

    #: The caller has the upstream's error as its response.
    ANSWERED_FAILURE = 'answered_failure'

    #: The upstream did not run the request.
    NOT_RUN = 'not_run'

    #: The upstream may have run the request, but failed to respond completely.
    LOST = 'lost'

    #: The upstream answered with an error; nothing has been sent to the caller.
    FAILED = 'failed'

    #: The upstream has started the stream, which could not be recorded in time;
    #: nothing has been sent to the caller.
    UNRECORDED = 'unrecorded'

    #: The upstream ended the run at its deadline, which is no sign of a faulty
    #: upstream; nothing has been sent to the caller.
    TIMED_OUT = 'out_of_time'

    def is_final(self) -> bool:
        """Returns whether the caller has its response."""
        return self in (
            AttemptOutcome.ANSWERED,
            AttemptOutcome.ANSWERED_FAILURE,
        )


class OnlineAttempt:
    """Sends a request to one upstream and forwards its response.

    Attributes:
        failed_response: The upstream's error, kept while a retry elsewhere may
            still succeed.
    """

    __slots__ = (
        'failed_response',
        '_context',
        '_request',
        '_response',
        '_upstream',
        '_is_streaming',
        '_waiting',
        '_sent_at_s',
        '_has_first_byte',
        '_event_count',
        '_part_run',
        '_stream_start',
    )

    def __init__(
        self,
        context: _online_context.OnlineContext,
        request: _online_request.OnlineRequest,
        response: _online_response.OnlineResponse,
        upstream: fleet.Upstream,
    ) -> None:
        self.failed_response: _online_response.BufferedResponse | None = None
        self._context = context
        self._request = request
        self._response = response
        self._upstream = upstream
        # Only for a stream is the first byte expected long before the end.
        self._is_streaming = request.route.kind is fleet.RouteKind.STREAMING
        self._waiting: placement.WaitingRun | None = None
        self._sent_at_s = trio.current_time()
        self._has_first_byte = False
        self._event_count = 0
        self._part_run = context.crash_tracker.parts.begin_run(
            request.name_prompt_parts(upstream.service)
        )
        self._stream_start: _origin_registrar.StreamStart | None = None
        if self._is_streaming:
            self._waiting = context.overdue.begin(
                upstream.upstream_id, request.route.target_ms
            )

    async def run(self) -> AttemptOutcome:
        """Runs the attempt, and counts it as load of the upstream meanwhile."""
        request = self._request
        upstream_id = self._upstream.upstream_id
        self._context.load.add_online(upstream_id, 1)
        sent_at_s = trio.current_time()
        outcome = AttemptOutcome.LOST
        reason = _CANCELLED
        if request.is_resumable_stream and request.software is None:
            self._stream_start = self._context.registrar.start(
                request, self._upstream.software
            )
        try:
            with self._context.registrar.follow_run(
                request, self._stream_start, self._upstream
            ):
                outcome, reason = await self._send()
        finally:
            self._context.load.add_online(upstream_id, -1)
            if self._waiting is not None:
                self._context.overdue.end(self._waiting)
            if outcome is not AttemptOutcome.NOT_RUN:
                request.may_have_run = True
                request.attempts += 1
            self._record_outcome(outcome, reason, sent_at_s)
            _LOGGER.info(
                'attempt_ended',
                extra={
                    'request_id': request.request_id,
                    'fingerprint': request.fingerprint,
                    'prompt_parts': self._part_run.prompt_parts,
                    'upstream': upstream_id,
                    'software_version': self._upstream.software_version,
                    'outcome': outcome.value,
                    'reason': reason,
                    'took_ms': int((trio.current_time() - sent_at_s) * 1000),
                    'last_event_id': request.last_event_id,
                },
            )
        if outcome is AttemptOutcome.ANSWERED:
            run_ms = (trio.current_time() - sent_at_s) * 1000
            self._context.run_times.record(
                self._upstream, request.route.name, run_ms
            )
        return outcome

    def _record_first_byte(self, took_ms: float | None = None) -> None:
        """Records the first event or, of other answers, the head.

        Args:
            took_ms: Time from sending the request; until now if None.
        """
        if not self._has_first_byte:
            self._has_first_byte = True
            if took_ms is None:
                took_ms = (trio.current_time() - self._sent_at_s) * 1000
            self._context.paces.record_answer(
                self._upstream,
                self._request.route.name,
                took_ms,
                self._request.route.target_ms,
            )
        if self._waiting is not None:
            self._context.overdue.record_first_byte(self._waiting)
            self._waiting = None

    def _record_output(self) -> None:
        """Records output that no run of a crashing request can have."""
        self._context.crash_tracker.parts.record_output(self._part_run)

    def _record_outcome(
        self, outcome: AttemptOutcome, reason: str, sent_at_s: float
    ) -> None:
        """Records in the health of the upstream how an attempt ended."""
        upstream_id = self._upstream.upstream_id
        health = self._context.health
        if outcome is AttemptOutcome.ANSWERED:
            health.record_success(upstream_id, sent_at_s)
        elif outcome in (
            AttemptOutcome.FAILED,
            AttemptOutcome.ANSWERED_FAILURE,
        ):
            health.record_failure(upstream_id, reason)
        elif outcome is AttemptOutcome.LOST and reason != _CANCELLED:
            self._context.crash_tracker.record_interrupted_run(
                self._request.fingerprint,
                upstream_id,
                added_output=self._event_count >= placement.MIN_ADDED_EVENTS,
                started_at_ms=self._upstream.started_at_ms,
                part_run=self._part_run,
            )
            health.record_failure(upstream_id, reason)
        elif (
            outcome is AttemptOutcome.LOST
            and self._waiting is not None
            and trio.current_time() >= self._request.deadline_s
        ):
            health.record_failure(
                upstream_id, 'no first byte before the deadline'
            )
        elif outcome is AttemptOutcome.TIMED_OUT or self._is_late(outcome):
            self._context.paces.record_bad_answer(self._upstream)

    def _is_late(self, outcome: AttemptOutcome) -> bool:
        """Returns whether the caller has left after waiting too long."""
        if outcome is not AttemptOutcome.LOST or self._has_first_byte:
            return False
        waited_ms = (trio.current_time() - self._sent_at_s) * 1000
        return waited_ms > self._request.route.target_ms

    async def _send(self) -> tuple[AttemptOutcome, str]:
        """Sends the request and forwards the response.

        Returns:
            The outcome, and its reason for the log.
        """
        request = self._request
        head = request.exchange.head
        remaining_ms = request.get_remaining_ms()
        if remaining_ms <= 0:
            return AttemptOutcome.NOT_RUN, 'deadline has passed'
        client_request = transport.ClientRequest(
            head.method,
            head.target,
            self._context.wire.build_upstream_headers(
                head.headers,
                self._upstream.upstream_id,
                remaining_ms,
                request.last_event_id,
                self._context.customer_check.get_upstream_customer(
                    request.caller
                ),
            ),
            request.body,
            (head.find_header(b'host') or '').encode('latin-1'),
        )
        opened_before_s: float | None = None
        if request.software is not None:
            opened_before_s = self._context.processes.find_connection_bound(
                self._upstream
            )
        client = self._context.clients.get_client(self._upstream)
        response: transport.ClientExchange | results.Failure | None = None
        # If the send is cancelled from here on, the request may have reached
        # the upstream.
        request.may_have_run = True
        sent_at_s = trio.current_time()
        self._sent_at_s = sent_at_s
        self._context.placer.record_send(self._upstream.upstream_id)
        with trio.move_on_after(self._get_first_byte_timeout_s()):
            response = await client.send(
                client_request, opened_before_s, request.connections
            )
        if response is None:
            return AttemptOutcome.LOST, 'no response within the timeout'
        if isinstance(response, results.Failure):
            if response.run_state is results.RunState.NOT_RUN:
                request.may_have_run = request.attempts > 0
                if response.code is results.ResultCode.STALE_INCARNATION:
                    return AttemptOutcome.NOT_RUN, response.reason
                self._context.health.mark_down(
                    self._upstream.upstream_id, response.reason
                )
                return AttemptOutcome.NOT_RUN, response.reason
            return AttemptOutcome.LOST, response.reason
        with response:
            self._context.departures.read(
                self._upstream, response, request.request_id
            )
            self._context.rate_limits.read(
                self._upstream, response, request.request_id, sent_at_s
            )
            return await self._handle_response(response)

    async def _handle_response(
        self, response: transport.ClientExchange
    ) -> tuple[AttemptOutcome, str]:
        """Classifies a response by its head, and forwards it if it is valid."""
        request = self._request
        kind = self._context.wire.classify_answer(
            response.status, response.headers, request.request_id
        )
        if kind is _wire.AnswerKind.FOREIGN:
            return AttemptOutcome.LOST, 'response belongs to another request'
        if kind is not _wire.AnswerKind.OWN:
            request.may_have_run = request.attempts > 0
            self._context.paces.record_bad_answer(self._upstream)
            await response.discard_body()
            if kind is _wire.AnswerKind.OTHER_PROCESS:
                self._context.health.mark_down(
                    self._upstream.upstream_id,
                    'another process has the address of the upstream',
                )
            return AttemptOutcome.NOT_RUN, kind.value
        if self._is_streaming and response.status == 200:
            return await self._forward_stream(response)
        return await self._forward_buffered(response)

    async def _forward_buffered(
        self, response: transport.ClientExchange
    ) -> tuple[AttemptOutcome, str]:
        """Reads a response to its end; forwards it, or keeps it for a retry."""
        head_ms = (trio.current_time() - self._sent_at_s) * 1000
        body = await self._read_whole(response)
        reason = f'status {response.status}'
        if isinstance(body, results.Failure):
            return AttemptOutcome.LOST, body.reason
        if self._request.response_started:
            return AttemptOutcome.LOST, f'{reason} while resuming a stream'
        is_unframed = (
            response.body_framing is transport.BodyFraming.CONNECTION_END
        )
        if is_unframed and not await self._is_end_complete(response):
            return AttemptOutcome.LOST, 'the upstream ended with its response'
        buffered = _online_response.BufferedResponse(
            response.status, response.headers, body
        )
        is_failure = response.status >= 500
        is_timeout = response.status == _STATUS_GATEWAY_TIMEOUT
        if is_failure and self._request.may_retry_after_current():
            self.failed_response = buffered
            if is_timeout:
                return AttemptOutcome.TIMED_OUT, reason
            return AttemptOutcome.FAILED, reason
        response.close()
        if response.status < 500:
            self._record_first_byte(head_ms)
        if 200 <= response.status < 300:
            self._record_output()
        await self._response.send_buffered(buffered)
        if is_failure and not is_timeout:
            return AttemptOutcome.ANSWERED_FAILURE, reason
        return AttemptOutcome.ANSWERED, reason

    async def _is_end_complete(
        self, response: transport.ClientExchange
    ) -> bool:
        """Returns whether a body without framing that has ended is complete."""
        return await self._context.end_check.is_complete(
            response, self._upstream, self._request.request_id
        )

    async def _read_whole(
        self, response: transport.ClientExchange
    ) -> bytes | results.Failure:
        """Reads a body to its end, within the bounds on memory."""
        max_bytes = _response_buffers.MAX_RESPONSE_BYTES
        if response.announces_more_than(max_bytes):
            return _too_large('the response announces too many bytes')
        parts: list[bytes] = []
        while True:
            chunk = await response.receive_chunk()
            if isinstance(chunk, results.Failure):
                return chunk
            if not chunk:
                return b''.join(parts)
            if response.received_body_bytes > max_bytes:
                return _too_large(f'the response exceeds {max_bytes} bytes')
            parts.append(chunk)
            if (
                response.received_body_bytes
                <= _response_buffers.UNCOUNTED_BYTES
            ):
                self._context.buffers.charge(len(chunk))
            elif not self._context.buffers.reserve(len(chunk)):
                return _too_large('too many bytes of responses are held')
            self._request.buffered_bytes += len(chunk)

    async def _forward_stream(
        self, response: transport.ClientExchange
    ) -> tuple[AttemptOutcome, str]:
        """Forwards the events of a stream as they arrive."""
        stream = _event_stream.create_event_stream(
            response,
            self._context.metrics,
            request_id=self._request.request_id,
            upstream_id=self._upstream.upstream_id,
            last_event_id=self._request.last_event_id,
            empty_end_id=self._request.empty_end_id,
            check_unframed_end=functools.partial(
                self._is_end_complete, response
            ),
        )
        failure: results.Failure | None = None
        # One scope for all events: to enter and leave one for each costs a
        # third of what an event costs.
        with trio.CancelScope() as scope:
            failure = await self._forward_events(stream, response, scope)
        self._request.empty_end_id = stream.empty_end_id
        if failure is _NOT_RECORDED:
            return AttemptOutcome.UNRECORDED, failure.reason
        if scope.cancelled_caught:
            failure = _event_stream.create_timeout_failure()
        if failure is not None:
            return AttemptOutcome.LOST, failure.reason
        self._record_output()
        if stream.trailing_bytes:
            await self._response.send_events(response, stream.trailing_bytes)
        await self._response.finish_stream(response)
        return AttemptOutcome.ANSWERED, 'stream complete'

    async def _forward_events(
        self,
        stream: _event_stream.EventStream,
        response: transport.ClientExchange,
        scope: trio.CancelScope,
    ) -> results.Failure | None:
        """Forwards events until the stream is complete, or fails.

        Args:
            stream: The events.
            response: The response that they are part of.
            scope: Its deadline is that of the next event.
        """
        silence_s = self._get_first_byte_timeout_s()
        while True:
            stream.begin_wait()
            scope.deadline = stream.waiting_since_s + silence_s
            events = await stream.receive()
            if isinstance(events, results.Failure):
                return events
            if not events:
                return None
            scope.deadline = math.inf
            self._record_first_byte()
            self._event_count += len(events)
            if self._event_count >= placement.MIN_ADDED_EVENTS:
                self._record_output()
            if not await self._confirm_start():
                return _NOT_RECORDED
            await self._response.send_events(
                response, b''.join(event.raw for event in events)
            )
            self._request.last_event_id = stream.last_event_id
            silence_s = self._get_event_gap_timeout_s()

    async def _confirm_start(self) -> bool:
        """Returns whether events of this run may be sent to the caller."""
        start = self._stream_start
        if start is None:
            return True
        self._stream_start = None
        return await self._context.registrar.confirm(self._request, start)

    def _get_first_byte_timeout_s(self) -> float:
        """Returns the timeout for the first byte; infinite without a retry."""
        if not self._request.may_retry_after_current():
            return float('inf')
        target_ms = self._request.route.target_ms
        return (
            max(MIN_TIMEOUT_MS, target_ms * FIRST_BYTE_TIMEOUT_TARGETS) / 1000
        )

    def _get_event_gap_timeout_s(self) -> float:
        """Returns the timeout between two events; infinite without a retry."""
        if not self._request.may_retry_after_current():
            return float('inf')
        route = self._request.route
        gap_ms = route.max_gap_ms or route.target_ms
        return max(MIN_TIMEOUT_MS, gap_ms * EVENT_GAP_TIMEOUT_GAPS) / 1000


_NOT_RECORDED = results.Failure(
    results.ResultCode.LOG_UNAVAILABLE,
    'the origin of the stream could not be recorded',
    results.RunState.UNKNOWN,
)


def _too_large(reason: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.UPSTREAM_LOST, reason, results.RunState.RAN
    )
