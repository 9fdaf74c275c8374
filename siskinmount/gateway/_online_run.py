"""Serves one request of a caller by one upstream after the other."""

import enum
import logging

import trio

from siskinmount import fleet
from siskinmount import placement
from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _event_splitter
from siskinmount.gateway import _failure_answers
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _upstream_clients
from siskinmount.gateway import _wire

_LOGGER = logging.getLogger(__name__)

#: An upstream that has sent nothing for this many objectives is left for
#: another where the request may be repeated: the caller gains by it only while
#: there is time for a whole new run.
SILENCE_IN_TARGETS = 4
#: The same between events, in the longest pauses that are still on time.
SILENCE_IN_GAPS = 3
MIN_SILENCE_MS = 300
#: Refusals without a run that one request may meet before it is refused.
MAX_NOT_RUN = 6
#: A wait longer than this many objectives is refused: the caller can be on
#: time only by coming back when the burst has passed.
MAX_WAIT_IN_TARGETS = 1.5
MAX_ANSWER_BYTES = 32 * 1024 * 1024
_CANCELLED = 'cancelled'


class _Attempt(enum.Enum):
    """How one send to an upstream ended."""

    #: The caller has its whole answer.
    ANSWERED = 'answered'

    #: The upstream did not run the request.
    NOT_RUN = 'not_run'

    #: It may have run; nothing more will come of it.
    LOST = 'lost'

    #: The upstream ran it and answered with a failure of its own.
    FAILED = 'failed'


class _WholeAnswer:
    """An upstream's answer that was read to its end.

    Attributes:
        status: Its status.
        headers: Its headers.
        body: Its body.
    """

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self, status: int, headers: transport.Headers, body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body


class OnlineTools:
    """What all requests share.

    Attributes:
        placer: Chooses upstreams.
        load: Counts requests in flight.
        health: Remembers failures of upstreams.
        evidence: Knows requests that take upstreams down.
        clients: Connections to upstreams.
        wire: Reads and writes headers.
        metrics: Counts what happens.
    """

    __slots__ = (
        'placer',
        'load',
        'health',
        'evidence',
        'clients',
        'wire',
        'metrics',
    )

    def __init__(
        self,
        *,
        placer: placement.Placer,
        load: placement.LoadTable,
        health: placement.UpstreamHealth,
        evidence: placement.CrashEvidence,
        clients: _upstream_clients.UpstreamClients,
        wire: _wire.Wire,
        metrics: _gateway_metrics.GatewayMetrics,
    ) -> None:
        self.placer = placer
        self.load = load
        self.health = health
        self.evidence = evidence
        self.clients = clients
        self.wire = wire
        self.metrics = metrics


class OnlineRun:
    """One request of a caller, from its last byte to the end of its answer."""

    __slots__ = (
        '_tools',
        '_exchange',
        '_route',
        '_request',
        '_body',
        '_version',
        '_began_at_s',
        '_deadline_s',
        '_attempts',
        '_not_run_count',
        '_tried',
        '_last_event_id',
        '_failed_answer',
        '_may_have_run',
        '_first_byte_at_s',
        '_fingerprint',
    )

    def __init__(
        self,
        tools: OnlineTools,
        exchange: transport.ServerExchange,
        route: fleet.FleetRoute,
        request: _wire.CallerRequest,
        body: bytes,
        version: int,
        began_at_s: float,
    ) -> None:
        self._tools = tools
        self._exchange = exchange
        self._route = route
        self._request = request
        self._body = body
        self._version = version
        self._began_at_s = began_at_s
        time_ms = route.timeout_ms
        if request.deadline_ms is not None:
            time_ms = min(time_ms, request.deadline_ms)
        self._deadline_s = began_at_s + time_ms / 1000
        self._attempts = 0
        self._not_run_count = 0
        self._tried: set[str] = set()
        self._last_event_id = request.last_event_id
        self._failed_answer: _WholeAnswer | None = None
        self._may_have_run = False
        self._first_byte_at_s: float | None = None
        self._fingerprint = placement.make_fingerprint(
            route.host, exchange.head.target, body
        )

    async def run(self) -> None:
        """Answers the caller.

        Raises:
            trio.BrokenResourceError: The answer had begun and cannot go on; the
                caller's connection must be closed.
        """
        with trio.CancelScope(deadline=self._deadline_s) as scope:
            failure = await self._try_upstreams()
        if scope.cancelled_caught:
            failure = results.Failure(
                results.ResultCode.DEADLINE_EXCEEDED,
                'there was no answer in the time that the request had',
                self._get_run_state(),
                retry_after_ms=None,
            )
        if failure is None:
            return
        await self._fail(failure)

    def _get_run_state(self) -> results.RunState:
        if self._may_have_run:
            return results.RunState.UNKNOWN
        return results.RunState.NOT_RUN

    async def _try_upstreams(self) -> results.Failure | None:
        """Sends to upstreams until the caller has its answer."""
        while True:
            if self._tools.evidence.is_convicted(self._fingerprint):
                return results.Failure(
                    results.ResultCode.REQUEST_CONVICTED,
                    'each upstream that ran this request went down',
                    self._get_run_state(),
                )
            chosen = self._place()
            if isinstance(chosen, results.Failure):
                if self._failed_answer is not None:
                    await self._pass_on(self._failed_answer)
                    return None
                return chosen
            upstream = chosen.upstream
            outcome = await self._attempt(upstream)
            self._tools.metrics.attempts.increment(outcome.value)
            if outcome is _Attempt.ANSWERED:
                return None
            self._tried.add(upstream.upstream_id)
            if outcome is _Attempt.NOT_RUN:
                self._not_run_count += 1
                if self._not_run_count <= MAX_NOT_RUN:
                    continue
                return results.Failure(
                    results.ResultCode.OVERLOADED,
                    'no upstream took the request',
                    self._get_run_state(),
                    retry_after_ms=placement.NO_UPSTREAM_RETRY_MS,
                )
            if self._may_try_again():
                continue
            if self._failed_answer is not None and not self._has_begun():
                await self._pass_on(self._failed_answer)
                return None
            return results.Failure(
                results.ResultCode.UPSTREAM_LOST,
                'the upstream broke off',
                self._get_run_state(),
            )

    def _may_try_again(self) -> bool:
        if not self._route.may_repeat():
            return False
        return self._attempts < self._route.max_attempts

    def _has_begun(self) -> bool:
        return self._exchange.response_started

    def _place(self) -> placement.Placement | results.Failure:
        """Chooses the next upstream, or says why there is none."""
        service = self._route.draw_service()
        max_wait_ms = self._route.target_ms * MAX_WAIT_IN_TARGETS
        if self._attempts or self._has_begun():
            # It has cost an upstream work: a late answer is better than none.
            max_wait_ms = float('inf')
        placed = self._tools.placer.place_online(
            service, self._request.affinity_key, self._tried, max_wait_ms
        )
        if (
            isinstance(placed, placement.Refusal)
            and placed.reason is placement.NoPlace.NO_UPSTREAM
            and self._tried
        ):
            # All have failed it once; the least loaded gets it again.
            placed = self._tools.placer.place_online(
                service, self._request.affinity_key, set(), max_wait_ms
            )
        extra: dict[str, object] = {
            'request_id': self._request.request_id,
            'route': self._route.name,
            'service': service,
            'attempt': self._attempts + 1,
            'document_version': self._version,
            'waited_ms': int((trio.current_time() - self._began_at_s) * 1000),
        }
        if isinstance(placed, placement.Refusal):
            self._tools.metrics.placements.increment(placed.reason.value)
            extra['outcome'] = placed.reason.value
            extra['retry_after_ms'] = placed.retry_after_ms
            _LOGGER.info('request_not_placed', extra=extra)
            code = results.ResultCode.OVERLOADED
            reason = 'the request would wait too long for an upstream'
            if placed.reason is placement.NoPlace.NO_UPSTREAM:
                code = results.ResultCode.NO_UPSTREAM
                reason = 'no upstream takes requests of this service now'
            return results.Failure(
                code,
                reason,
                self._get_run_state(),
                retry_after_ms=placed.retry_after_ms,
            )
        self._tools.metrics.placements.increment('placed')
        extra['upstream'] = placed.upstream.upstream_id
        extra['waiting'] = placed.waiting_count
        extra['expected_wait_ms'] = int(placed.expected_wait_ms)
        _LOGGER.info('request_placed', extra=extra)
        return placed

    async def _attempt(self, upstream: fleet.Upstream) -> _Attempt:
        """Sends the request to one upstream."""
        upstream_id = upstream.upstream_id
        self._tools.load.add_online(upstream_id, 1)
        sent_at_s = trio.current_time()
        outcome = _Attempt.LOST
        reason = _CANCELLED
        try:
            outcome, reason = await self._send(upstream)
        finally:
            self._tools.load.add_online(upstream_id, -1)
            if outcome is not _Attempt.NOT_RUN:
                self._may_have_run = True
            self._note_loss(upstream_id, outcome, reason)
            _LOGGER.info(
                'attempt_ended',
                extra={
                    'request_id': self._request.request_id,
                    'upstream': upstream_id,
                    'outcome': outcome.value,
                    'reason': reason,
                    'took_ms': int((trio.current_time() - sent_at_s) * 1000),
                    'last_event_id': self._last_event_id,
                },
            )
        if outcome is not _Attempt.NOT_RUN:
            self._attempts += 1
        if outcome is _Attempt.ANSWERED:
            self._tools.health.note_success(upstream_id)
            run_ms = (trio.current_time() - sent_at_s) * 1000
            self._tools.placer.note_run(upstream.service, run_ms)
        return outcome

    def _note_loss(
        self, upstream_id: str, outcome: _Attempt, reason: str
    ) -> None:
        """Remembers what a lost attempt says of its upstream."""
        if outcome is _Attempt.FAILED:
            self._tools.health.note_failure(upstream_id, reason)
        if outcome is not _Attempt.LOST:
            return
        if reason != _CANCELLED:
            self._tools.evidence.note_broken_run(self._fingerprint, upstream_id)
            self._tools.health.note_failure(upstream_id, reason)
        elif trio.current_time() >= self._deadline_s:
            self._tools.health.note_failure(upstream_id, 'silent to the end')

    async def _send(self, upstream: fleet.Upstream) -> tuple[_Attempt, str]:
        """Sends the request and passes the answer on."""
        head = self._exchange.head
        remaining_ms = int((self._deadline_s - trio.current_time()) * 1000)
        if remaining_ms <= 0:
            return _Attempt.NOT_RUN, 'no time left'
        request = transport.ClientRequest(
            head.method,
            head.target,
            self._tools.wire.build_upstream_headers(
                head.headers,
                upstream.upstream_id,
                remaining_ms,
                self._last_event_id,
            ),
            self._body,
            (head.find_header(b'host') or '').encode('latin-1'),
        )
        client = self._tools.clients.get_client(upstream)
        silence_s = self._get_silence_s(self._route.target_ms)
        answer: transport.ClientExchange | results.Failure | None = None
        # From here on an interrupted send may have reached the upstream.
        self._may_have_run = True
        with trio.move_on_after(silence_s):
            answer = await client.send(request)
        if answer is None:
            return _Attempt.LOST, 'no answer in time'
        if isinstance(answer, results.Failure):
            if answer.run_state is results.RunState.NOT_RUN:
                self._may_have_run = self._attempts > 0
                self._tools.health.note_down(
                    upstream.upstream_id, answer.reason
                )
                return _Attempt.NOT_RUN, answer.reason
            return _Attempt.LOST, answer.reason
        with answer:
            kind = self._tools.wire.judge_answer(
                answer.status, answer.headers, self._request.request_id
            )
            if kind is _wire.AnswerKind.FOREIGN:
                return _Attempt.LOST, 'an answer to another request'
            if kind is not _wire.AnswerKind.OWN:
                self._may_have_run = self._attempts > 0
                # The body is read so that the connection can be used again.
                await answer.read_body(MAX_ANSWER_BYTES)
                if kind is _wire.AnswerKind.OTHER_PROCESS:
                    self._tools.health.note_down(
                        upstream.upstream_id, 'another process has its address'
                    )
                return _Attempt.NOT_RUN, kind.value
            is_stream = (
                self._route.kind is fleet.RouteKind.STREAMING
                and answer.status == 200
            )
            if is_stream:
                return await self._pass_stream(answer)
            return await self._pass_whole(answer)

    def _get_silence_s(self, target_ms: int) -> float:
        """Returns how long an upstream may be silent before its answer."""
        if not self._may_repeat_after_this():
            return float('inf')
        return max(MIN_SILENCE_MS, target_ms * SILENCE_IN_TARGETS) / 1000

    def _may_repeat_after_this(self) -> bool:
        if not self._route.may_repeat():
            return False
        return self._attempts + 1 < self._route.max_attempts

    async def _pass_whole(
        self, answer: transport.ClientExchange
    ) -> tuple[_Attempt, str]:
        """Reads an answer to its end, and passes it on if it is a good one."""
        body = await answer.read_body(MAX_ANSWER_BYTES)
        if isinstance(body, results.Failure):
            return _Attempt.LOST, body.reason
        whole = _WholeAnswer(answer.status, answer.headers, body)
        if self._has_begun():
            return _Attempt.LOST, f'status {answer.status} to a stream'
        is_failure = answer.status >= 500
        if is_failure and self._may_repeat_after_this():
            self._failed_answer = whole
            return _Attempt.FAILED, f'status {answer.status}'
        answer.close()
        await self._pass_on(whole)
        return _Attempt.ANSWERED, f'status {answer.status}'

    async def _pass_on(self, whole: _WholeAnswer) -> None:
        """Gives the caller an upstream's answer."""
        if whole.status in (408, 421, 429, 503):
            # To callers these promise that nothing ran; the upstream has run.
            await self._fail(
                results.Failure(
                    results.ResultCode.UPSTREAM_ERROR,
                    f'the upstream answered {whole.status}',
                    results.RunState.UNKNOWN,
                )
            )
            return
        self._note_first_byte()
        # An answer that is there is delivered, also when the time is over; the
        # exchange bounds how long that takes.
        with trio.CancelScope(shield=True):
            await self._exchange.send_whole(
                whole.status,
                self._tools.wire.build_answer_headers(whole.headers),
                whole.body,
            )
        self._note_end(str(whole.status), 'upstream')

    async def _pass_stream(
        self, answer: transport.ClientExchange
    ) -> tuple[_Attempt, str]:
        """Passes events on as they come."""
        splitter = _event_splitter.create_event_splitter()
        silence_s = self._get_silence_s(self._route.target_ms)
        while True:
            chunk: bytes | results.Failure | None = None
            with trio.move_on_after(silence_s):
                chunk = await answer.receive_chunk()
            if chunk is None:
                return _Attempt.LOST, 'silent within a stream'
            if isinstance(chunk, results.Failure):
                return _Attempt.LOST, chunk.reason
            if not chunk:
                break
            ready: list[bytes] = []
            for event in splitter.split(chunk):
                if not self._take_event_id(event.event_id):
                    return _Attempt.LOST, f'event {event.event_id} out of order'
                ready.append(event.raw)
            if not ready:
                continue
            await self._send_events(answer, b''.join(ready))
            silence_s = self._get_gap_silence_s()
        if splitter.rest:
            await self._send_events(answer, splitter.rest)
        if not self._has_begun():
            await self._send_events(answer, b'')
        await self._exchange.finish()
        self._note_end('200', 'stream')
        return _Attempt.ANSWERED, 'stream complete'

    def _get_gap_silence_s(self) -> float:
        if not self._may_repeat_after_this():
            return float('inf')
        gap_ms = self._route.max_gap_ms or self._route.target_ms
        return max(MIN_SILENCE_MS, gap_ms * SILENCE_IN_GAPS) / 1000

    def _take_event_id(self, event_id: int | None) -> bool:
        """Returns whether an event follows the last one that was passed on."""
        if event_id is None:
            return True
        last = self._last_event_id
        if last is not None and event_id != last + 1:
            return False
        self._last_event_id = event_id
        return True

    async def _send_events(
        self, answer: transport.ClientExchange, data: bytes
    ) -> None:
        if not self._has_begun():
            self._note_first_byte()
            await self._exchange.start_stream(
                answer.status,
                self._tools.wire.build_answer_headers(answer.headers),
            )
        elif self._attempts:
            self._tools.metrics.resumes.increment()
        if data:
            await self._exchange.send_chunk(data)

    async def _fail(self, failure: results.Failure) -> None:
        """Gives the caller the final answer."""
        if self._has_begun():
            self._note_end('cut', failure.reason, failure)
            raise trio.BrokenResourceError('the stream cannot go on')
        status = await _failure_answers.send_failure(
            self._exchange, self._tools.wire, failure, self._request.request_id
        )
        self._note_end(str(status), failure.reason, failure)

    def _note_first_byte(self) -> None:
        self._first_byte_at_s = trio.current_time()
        first_ms = (self._first_byte_at_s - self._began_at_s) * 1000
        self._tools.metrics.histograms.record(
            self._route.name, 'first_byte', first_ms
        )

    def _note_end(
        self, status: str, reason: str, failure: results.Failure | None = None
    ) -> None:
        """Logs the one line that says how a request ended."""
        now_s = trio.current_time()
        self._tools.metrics.answers.increment(self._route.kind.value, status)
        first_ms: int | None = None
        if self._first_byte_at_s is not None:
            first_ms = int((self._first_byte_at_s - self._began_at_s) * 1000)
        _LOGGER.info(
            'request_ended',
            extra={
                'request_id': self._request.request_id,
                'route': self._route.name,
                'status': status,
                'reason': reason,
                'code': int(failure.code) if failure else 0,
                'run_state': failure.run_state.value if failure else 'ran',
                'attempts': self._attempts,
                'not_run': self._not_run_count,
                'first_byte_ms': first_ms,
                'took_ms': int((now_s - self._began_at_s) * 1000),
                'target_ms': self._route.target_ms,
                'deadline_ms': int(
                    (self._deadline_s - self._began_at_s) * 1000
                ),
                'document_version': self._version,
            },
        )
