"""One send of a request to one upstream."""

import enum
import logging

import trio

from siskinmount import fleet
from siskinmount import placement
from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _event_splitter
from siskinmount.gateway import _online_answer
from siskinmount.gateway import _online_request
from siskinmount.gateway import _online_tools
from siskinmount.gateway import _wire

_LOGGER = logging.getLogger(__name__)

#: An upstream that has sent nothing for this many objectives is left for
#: another where the request may be repeated: the caller gains by it only while
#: there is time for a whole new run.
SILENCE_IN_TARGETS = 4
#: The same between events, in the longest pauses that are still on time.
SILENCE_IN_GAPS = 3
MIN_SILENCE_MS = 300
MAX_ANSWER_BYTES = 32 * 1024 * 1024
_CANCELLED = 'cancelled'
#: With this an upstream ends a run at the time limit that came with it.
_STATUS_TIME_OVER = 504


class AttemptOutcome(enum.Enum):
    """How one send to an upstream ended."""

    #: The caller has its whole answer.
    ANSWERED = 'answered'

    #: The caller has the upstream's own failure as its answer.
    ANSWERED_FAILURE = 'answered_failure'

    #: The upstream did not run the request.
    NOT_RUN = 'not_run'

    #: It may have run; nothing more will come of it.
    LOST = 'lost'

    #: The upstream ran it and failed; the caller does not know yet.
    FAILED = 'failed'

    #: The upstream ended it at its time limit, which says nothing of the
    #: upstream; the caller does not know yet.
    OUT_OF_TIME = 'out_of_time'

    def is_final(self) -> bool:
        """Returns whether the caller has its answer."""
        return self in (
            AttemptOutcome.ANSWERED,
            AttemptOutcome.ANSWERED_FAILURE,
        )


class OnlineAttempt:
    """Sends a request to one upstream and passes its answer on.

    Attributes:
        failed_answer: The upstream's own failure, if another upstream may
            still do better.
    """

    __slots__ = (
        'failed_answer',
        '_tools',
        '_request',
        '_answer',
        '_upstream',
        '_is_streaming',
        '_waiting',
    )

    def __init__(
        self,
        tools: _online_tools.OnlineTools,
        request: _online_request.OnlineRequest,
        answer: _online_answer.OnlineAnswer,
        upstream: fleet.Upstream,
    ) -> None:
        self.failed_answer: _online_answer.WholeAnswer | None = None
        self._tools = tools
        self._request = request
        self._answer = answer
        self._upstream = upstream
        # Only a stream is expected to begin long before it ends.
        self._is_streaming = request.route.kind is fleet.RouteKind.STREAMING
        self._waiting: placement.WaitingRun | None = None
        if self._is_streaming:
            self._waiting = tools.overdue.begin(
                upstream.upstream_id, request.route.target_ms
            )

    async def run(self) -> AttemptOutcome:
        """Sends the request, and counts it while it is at the upstream."""
        request = self._request
        upstream_id = self._upstream.upstream_id
        self._tools.load.add_online(upstream_id, 1)
        sent_at_s = trio.current_time()
        outcome = AttemptOutcome.LOST
        reason = _CANCELLED
        try:
            outcome, reason = await self._send()
        finally:
            self._tools.load.add_online(upstream_id, -1)
            if self._waiting is not None:
                self._tools.overdue.end(self._waiting)
            if outcome is not AttemptOutcome.NOT_RUN:
                request.may_have_run = True
                request.attempts += 1
            self._note_outcome(outcome, reason)
            _LOGGER.info(
                'attempt_ended',
                extra={
                    'request_id': request.request_id,
                    'upstream': upstream_id,
                    'outcome': outcome.value,
                    'reason': reason,
                    'took_ms': int((trio.current_time() - sent_at_s) * 1000),
                    'last_event_id': request.last_event_id,
                },
            )
        if outcome is AttemptOutcome.ANSWERED:
            run_ms = (trio.current_time() - sent_at_s) * 1000
            self._tools.placer.note_run(self._upstream.service, run_ms)
        return outcome

    def _note_first_byte(self) -> None:
        if self._waiting is not None:
            self._tools.overdue.note_first_byte(self._waiting)
            self._waiting = None

    def _note_outcome(self, outcome: AttemptOutcome, reason: str) -> None:
        """Remembers what an attempt says of its upstream."""
        upstream_id = self._upstream.upstream_id
        health = self._tools.health
        if outcome is AttemptOutcome.ANSWERED:
            health.note_success(upstream_id)
        elif outcome in (
            AttemptOutcome.FAILED,
            AttemptOutcome.ANSWERED_FAILURE,
        ):
            health.note_failure(upstream_id, reason)
        elif outcome is AttemptOutcome.LOST and reason != _CANCELLED:
            self._tools.evidence.note_broken_run(
                self._request.fingerprint, upstream_id
            )
            health.note_failure(upstream_id, reason)
        elif (
            outcome is AttemptOutcome.LOST
            and self._waiting is not None
            and trio.current_time() >= self._request.deadline_s
        ):
            health.note_failure(upstream_id, 'silent to the end')

    async def _send(self) -> tuple[AttemptOutcome, str]:
        """Sends the request and passes the answer on."""
        request = self._request
        head = request.exchange.head
        remaining_ms = request.get_remaining_ms()
        if remaining_ms <= 0:
            return AttemptOutcome.NOT_RUN, 'no time left'
        client_request = transport.ClientRequest(
            head.method,
            head.target,
            self._tools.wire.build_upstream_headers(
                head.headers,
                self._upstream.upstream_id,
                remaining_ms,
                request.last_event_id,
            ),
            request.body,
            (head.find_header(b'host') or '').encode('latin-1'),
        )
        client = self._tools.clients.get_client(self._upstream)
        answer: transport.ClientExchange | results.Failure | None = None
        # From here on an interrupted send may have reached the upstream.
        request.may_have_run = True
        with trio.move_on_after(self._get_first_silence_s()):
            answer = await client.send(client_request)
        if answer is None:
            return AttemptOutcome.LOST, 'no answer in time'
        if isinstance(answer, results.Failure):
            if answer.run_state is results.RunState.NOT_RUN:
                request.may_have_run = request.attempts > 0
                self._tools.health.note_down(
                    self._upstream.upstream_id, answer.reason
                )
                return AttemptOutcome.NOT_RUN, answer.reason
            return AttemptOutcome.LOST, answer.reason
        with answer:
            return await self._take_answer(answer)

    async def _take_answer(
        self, answer: transport.ClientExchange
    ) -> tuple[AttemptOutcome, str]:
        """Judges an answer by its head and passes it on."""
        request = self._request
        kind = self._tools.wire.judge_answer(
            answer.status, answer.headers, request.request_id
        )
        if kind is _wire.AnswerKind.FOREIGN:
            return AttemptOutcome.LOST, 'an answer to another request'
        if kind is not _wire.AnswerKind.OWN:
            request.may_have_run = request.attempts > 0
            # The body is read so that the connection can be used again.
            await answer.read_body(MAX_ANSWER_BYTES)
            if kind is _wire.AnswerKind.OTHER_PROCESS:
                self._tools.health.note_down(
                    self._upstream.upstream_id,
                    'another process has its address',
                )
            return AttemptOutcome.NOT_RUN, kind.value
        if self._is_streaming and answer.status == 200:
            return await self._pass_stream(answer)
        return await self._pass_whole(answer)

    async def _pass_whole(
        self, answer: transport.ClientExchange
    ) -> tuple[AttemptOutcome, str]:
        """Reads an answer to its end, and passes it on if it is a good one."""
        body = await answer.read_body(MAX_ANSWER_BYTES)
        reason = f'status {answer.status}'
        if isinstance(body, results.Failure):
            return AttemptOutcome.LOST, body.reason
        if self._request.has_begun:
            return AttemptOutcome.LOST, f'{reason} to a stream'
        whole = _online_answer.WholeAnswer(answer.status, answer.headers, body)
        is_failure = answer.status >= 500
        is_time_over = answer.status == _STATUS_TIME_OVER
        if is_failure and self._request.may_repeat_after_this():
            self.failed_answer = whole
            if is_time_over:
                return AttemptOutcome.OUT_OF_TIME, reason
            return AttemptOutcome.FAILED, reason
        answer.close()
        await self._answer.pass_whole(whole)
        if is_failure and not is_time_over:
            return AttemptOutcome.ANSWERED_FAILURE, reason
        return AttemptOutcome.ANSWERED, reason

    async def _pass_stream(
        self, answer: transport.ClientExchange
    ) -> tuple[AttemptOutcome, str]:
        """Passes events on as they come."""
        splitter = _event_splitter.create_event_splitter()
        silence_s = self._get_first_silence_s()
        while True:
            chunk: bytes | results.Failure | None = None
            with trio.move_on_after(silence_s):
                chunk = await answer.receive_chunk()
            if chunk is None:
                return AttemptOutcome.LOST, 'silent within a stream'
            if isinstance(chunk, results.Failure):
                return AttemptOutcome.LOST, chunk.reason
            if not chunk:
                break
            ready: list[bytes] = []
            for event in splitter.split(chunk):
                if not self._request.take_event_id(event.event_id):
                    reason = f'event {event.event_id} out of order'
                    return AttemptOutcome.LOST, reason
                ready.append(event.raw)
            if not ready:
                continue
            self._note_first_byte()
            await self._answer.send_events(answer, b''.join(ready))
            silence_s = self._get_gap_silence_s()
        if splitter.rest:
            await self._answer.send_events(answer, splitter.rest)
        await self._answer.finish_stream(answer)
        return AttemptOutcome.ANSWERED, 'stream complete'

    def _get_first_silence_s(self) -> float:
        """Returns how long the upstream may be silent before its answer."""
        if not self._request.may_repeat_after_this():
            return float('inf')
        target_ms = self._request.route.target_ms
        return max(MIN_SILENCE_MS, target_ms * SILENCE_IN_TARGETS) / 1000

    def _get_gap_silence_s(self) -> float:
        """Returns how long it may be silent between two events."""
        if not self._request.may_repeat_after_this():
            return float('inf')
        route = self._request.route
        gap_ms = route.max_gap_ms or route.target_ms
        return max(MIN_SILENCE_MS, gap_ms * SILENCE_IN_GAPS) / 1000
