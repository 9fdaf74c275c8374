"""Obtains one whole answer, over as many upstreams as that takes."""

from collections.abc import Awaitable
from collections.abc import Callable
import functools
import logging
from typing import TypeVar

import trio

from siskinmount import configuration
from siskinmount import membership
from siskinmount import relay
from siskinmount import results
from siskinmount import routing
from siskinmount import transport
from siskinmount.entry import _run_request
from siskinmount.entry import _upstream_access

_LOGGER = logging.getLogger(__name__)

#: Refusals without effect that one request may collect before it is given up.
MAX_REFUSALS = 6
#: Attempts to reach the same process again after a connection was lost.
#: How long a caller that has gone may hold its task while its run is ended.
ABANDON_TIMEOUT_S = 1.0
MAX_REATTACHES = 2
REATTACH_PAUSE_S = 0.05
MAX_ERROR_BYTES = 64 * 1024

_Result = TypeVar('_Result')


class AnswerRun:
    """Reads one answer's frames and moves between upstreams when one is lost.

    The caller of `receive_frames` sees each token exactly once and in order,
    however many upstreams produced them.

    Attributes:
        token_texts: Texts of all tokens of the answer so far, those that the
            caller has had from another entry included.
        attempt: Number of the current attempt, from 1.
        upstream_vm: VM of the upstream that runs the request; empty if none.
    """

    __slots__ = (
        'token_texts',
        'attempt',
        'upstream_vm',
        '_access',
        '_request',
        '_choice',
        '_exchange',
        '_reader',
        '_excluded_vms',
        '_refusals',
        '_reattaches',
        '_solo',
        '_body_bytes_received',
        '_body_bytes_to_skip',
        '_head_received',
        '_sent_to_any',
        '_sent_before_attempt',
        '_last_refusal',
        '_failure_frame',
    )

    def __init__(
        self,
        access: _upstream_access.UpstreamAccess,
        request: _run_request.RunRequest,
    ) -> None:
        self.token_texts: list[str] = []
        self.attempt = 0
        self.upstream_vm = ''
        self._access = access
        self._request = request
        self._choice: routing.Choice | None = None
        self._exchange: transport.ClientExchange | None = None
        self._reader = relay.FrameReader()
        self._excluded_vms: set[str] = set()
        self._refusals = 0
        self._reattaches = 0
        self._solo = False
        self._body_bytes_received = 0
        self._body_bytes_to_skip = 0
        self._head_received = False
        self._sent_to_any = False
        self._sent_before_attempt = False
        self._last_refusal: results.Failure | None = None
        # The last frame that a sidecar has sent in place of the rest of the
        # answer, as opposed to a failure of the connection to it.
        self._failure_frame: relay.FailureFrame | None = None

    async def receive_frames(self) -> list[relay.Frame] | results.Failure:
        """Returns the next frames, or the final failure of the request."""
        while True:
            if trio.current_time() > self._request.deadline_s:
                return self._final(
                    results.Failure(
                        results.ResultCode.DEADLINE_EXCEEDED,
                        'the deadline has passed',
                    )
                )
            if self._exchange is None:
                failure = await self._open()
                if failure is not None:
                    return failure
            frames = await self._unless_convicted(self._read)
            if isinstance(frames, results.Failure):
                failure = await self._leave_upstream(frames)
                if failure is not None:
                    return failure
                continue
            if frames:
                return frames

    def close(self) -> None:
        """Gives up the connection; the sidecar cancels the run after a while."""
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
        self._release_choice()

    async def abandon(self) -> None:
        """Closes a run that nobody can come back to, and ends it at once."""
        if self._choice is None or not self._sent_to_any:
            self.close()
            return
        with trio.move_on_after(ABANDON_TIMEOUT_S) as scope:
            scope.shield = True
            answer = await self._cancel_at_sidecar()
            if isinstance(answer, transport.ClientExchange):
                answer.close()
        self.close()

    async def _open(self) -> results.Failure | None:
        """Starts or continues the run at an upstream.

        Returns:
            None once an exchange is open, or the final failure.
        """
        if self._request.first_token and not self._sent_to_any:
            return await self._join_running()
        while True:
            if self._choice is None:
                failure = self._choose_upstream()
                if failure is not None:
                    return failure
            failure = await self._unless_convicted(
                functools.partial(self._send, attach_only=False)
            )
            if failure is None:
                return None
            failure = await self._leave_upstream(failure)
            if failure is not None:
                return failure
            if self._exchange is not None:
                return None

    async def _join_running(self) -> results.Failure | None:
        """Finds the upstream where an earlier entry has started the run.

        The caller has a part of the answer, so only the run that produced it
        can be continued. The most likely upstream is asked first.
        """
        router = self._access.router
        self.attempt = 1
        for member in router.list_in_order(
            self._request.service.name, self._request.affinity_key
        ):
            self._choice = router.choose_member(member)
            self.upstream_vm = member.vm
            failure = await self._send(attach_only=True)
            if failure is None:
                return None
            self._release_choice()
        return self._final(
            results.Failure(
                results.ResultCode.NO_SUCH_REQUEST,
                'the answer can no longer be continued; send the request'
                ' again without Last-Event-ID',
                results.RunState.UNKNOWN,
            )
        )

    def _find_member(self) -> membership.Member:
        """Returns the chosen upstream's sidecar."""
        if self._choice is None:
            raise RuntimeError('no upstream was chosen')
        return self._choice.member

    def _release_choice(self) -> None:
        """Ends the attempt at the chosen upstream."""
        if self._choice is not None:
            self._access.router.release(self._choice.member.vm)
            self._choice = None

    def _choose_upstream(self) -> results.Failure | None:
        """Picks the upstream for the next attempt."""
        request = self._request
        access = self._access
        if access.is_convicted(request.fingerprint):
            return self._final(_convicted())
        # A plain service runs many small calls at once; waiting until none is
        # there would stop all of them.
        is_model = request.service.kind is configuration.ServiceKind.MODEL
        self._solo = is_model and access.is_suspect(request.fingerprint)
        choice = self._choose()
        if isinstance(choice, results.Failure):
            return self._final(self._last_refusal or choice)
        self._choice = choice
        self._sent_before_attempt = self._sent_to_any
        self.upstream_vm = choice.member.vm
        self._reattaches = 0
        self.attempt += 1
        return None

    def _choose(self) -> routing.Choice | results.Failure:
        """Returns the upstream for the next attempt.

        Copies of a suspect meet at one upstream, whichever entry sends them,
        so that the first to run alone there decides about all.
        """
        request = self._request
        router = self._access.router
        if self._solo:
            return router.choose_exactly(
                request.service.name, request.fingerprint, self._excluded_vms
            )
        return router.choose(
            request.service.name,
            request.affinity_key,
            self._excluded_vms,
            request.request_class,
        )

    async def _unless_convicted(
        self, operation: Callable[[], Awaitable[_Result]]
    ) -> _Result | results.Failure:
        """Runs an operation, given up when a suspect is convicted meanwhile.

        A suspect can wait long until it may run alone, and a copy of it may
        have run elsewhere.
        """
        if not self._solo or self.token_texts:
            return await operation()
        outcome: _Result | results.Failure = _convicted()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_when_convicted, nursery.cancel_scope
            )
            outcome = await operation()
            nursery.cancel_scope.cancel()
        if isinstance(outcome, results.Failure):
            if outcome.code is results.ResultCode.REQUEST_CONVICTED:
                await self._cancel_at_sidecar()
        return outcome

    async def _cancel_when_convicted(self, scope: trio.CancelScope) -> None:
        """Cancels a scope once the request has been convicted."""
        await self._access.wait_convicted(self._request.fingerprint)
        scope.cancel()

    async def _cancel_at_sidecar(
        self,
    ) -> transport.ClientExchange | results.Failure:
        """Tells the sidecar that the request must not run or go on."""
        return await self._access.find_client(self._find_member()).send(
            transport.ClientRequest(
                'POST', f'/cancel/{self._request.request_id}'
            )
        )

    async def _send(self, attach_only: bool) -> results.Failure | None:
        """Posts the run to the chosen sidecar."""
        member = self._find_member()
        request = transport.ClientRequest(
            'POST',
            f'/run/{self._request.service.name}',
            self._headers(attach_only),
            self._request.encode_body(self.token_texts),
        )
        client = self._access.find_client(member)
        exchange = await client.send(request)
        if isinstance(exchange, results.Failure):
            if exchange.run_state is not results.RunState.NOT_RUN:
                self._sent_to_any = True
            return exchange
        self._access.note_answer(member, exchange)
        if exchange.status != 200:
            refusal = await _read_refusal(exchange)
            self._access.record_death(
                self._request.fingerprint, member, refusal
            )
            return refusal.failure
        self._sent_to_any = True
        self._exchange = exchange
        self._reader = relay.FrameReader()
        self._body_bytes_to_skip = self._body_bytes_received
        return None

    def _headers(self, attach_only: bool) -> transport.Headers:
        """Returns the headers of a run."""
        request = self._request
        names = relay.RelayHeader
        left_ms = max(1, int((request.deadline_s - trio.current_time()) * 1000))
        headers = [
            (names.REQUEST_ID, request.request_id.encode('ascii')),
            (names.ATTEMPT, b'%d' % self.attempt),
            (names.DEADLINE_MS, b'%d' % left_ms),
            (names.CLASS, request.request_class.value.encode('ascii')),
            (names.FINGERPRINT, request.fingerprint.encode('ascii')),
            (names.FROM_TOKEN, b'%d' % len(self.token_texts)),
            (names.CALLER, request.caller.encode('utf-8')),
        ]
        if self._solo:
            headers.append((names.SOLO, b'1'))
        if attach_only:
            headers.append((names.ATTACH_ONLY, b'1'))
        return headers

    async def _read(self) -> list[relay.Frame] | results.Failure:
        """Returns the frames of one read of the connection."""
        if self._failure_frame is not None:
            return self._failure_frame.failure
        if self._exchange is None:
            raise RuntimeError('no exchange is open')
        chunk = await self._exchange.receive_chunk()
        if isinstance(chunk, results.Failure):
            return chunk
        if not chunk:
            return results.Failure(
                results.ResultCode.UPSTREAM_SILENT,
                'the stream ended before the answer was whole',
                results.RunState.UNKNOWN,
            )
        frames = self._reader.feed(chunk)
        if isinstance(frames, results.Failure):
            return frames
        kept: list[relay.Frame] = []
        for frame in frames:
            if isinstance(frame, relay.FailureFrame):
                self._failure_frame = frame
                # Tokens before the failure are handed out first.
                return kept if kept else frame.failure
            accepted = self._accept(frame)
            if isinstance(accepted, results.Failure):
                return accepted
            if accepted is not None:
                kept.append(accepted)
        return kept

    def _accept(
        self, frame: relay.Frame
    ) -> relay.Frame | results.Failure | None:
        """Returns a frame that is new to the caller, or None for a repeat."""
        if isinstance(frame, relay.TokenFrame):
            expected = len(self.token_texts)
            if frame.index < expected:
                return None
            if frame.index > expected:
                return results.Failure(
                    results.ResultCode.UPSTREAM_ERROR,
                    f'token {frame.index} came in place of {expected}',
                    results.RunState.RAN,
                )
            self.token_texts.append(frame.text)
            # The caller has the tokens before; the run itself needs them to
            # go on at another upstream.
            return None if frame.index < self._request.first_token else frame
        if isinstance(frame, relay.HeadFrame):
            if self._head_received:
                return None
            self._head_received = True
            return frame
        if isinstance(frame, relay.BodyFrame):
            skipped = min(self._body_bytes_to_skip, len(frame.data))
            self._body_bytes_to_skip -= skipped
            data = frame.data[skipped:]
            self._body_bytes_received += len(data)
            return relay.BodyFrame(data) if data else None
        return frame

    async def _leave_upstream(
        self, failure: results.Failure
    ) -> results.Failure | None:
        """Decides what follows a failure at the current upstream.

        Returns:
            None if the run goes on, at the same upstream when an exchange is
            open and elsewhere otherwise; or the final failure.
        """
        if self._exchange is not None:
            self._exchange.close()
            self._exchange = None
        if failure.code is results.ResultCode.REQUEST_CONVICTED:
            return self._final(failure)
        failure_frame = self._failure_frame
        self._failure_frame = None
        if failure_frame is None and await self._reattach(failure):
            return None
        if failure_frame is None and await self._withdraw(failure):
            failure.run_state = results.RunState.NOT_RUN
            self._sent_to_any = self._sent_before_attempt
        member = self._find_member()
        self._excluded_vms.add(member.vm)
        self._release_choice()
        self._access.router.note_failure(member.vm, failure)
        _LOGGER.info(
            'attempt_failed',
            extra={
                'request_id': self._request.request_id,
                'code': int(failure.code),
                'upstream_vm': member.vm,
                'attempt': self.attempt,
                'run_state': failure.run_state.value,
            },
        )
        if failure.run_state is results.RunState.NOT_RUN:
            return self._after_refusal(failure)
        if failure_frame is not None:
            self._access.record_death(
                self._request.fingerprint, member, failure_frame
            )
            if self._access.is_convicted(self._request.fingerprint):
                return self._final(_convicted())
        return self._after_failed_attempt(failure)

    async def _reattach(self, failure: results.Failure) -> bool:
        """Tries to reach the same process again over a new connection.

        A connection can go silent while the process behind it works on.
        """
        lost = failure.code in (
            results.ResultCode.UPSTREAM_SILENT,
            results.ResultCode.UPSTREAM_LOST,
        )
        unknown = failure.run_state is results.RunState.UNKNOWN
        while lost and unknown and self._reattaches < MAX_REATTACHES:
            self._reattaches += 1
            next_failure = await self._send(attach_only=True)
            if next_failure is None:
                return True
            if next_failure.code is results.ResultCode.NO_SUCH_REQUEST:
                return False
            await trio.sleep(REATTACH_PAUSE_S)
        return False

    async def _withdraw(self, failure: results.Failure) -> bool:
        """Makes sure that a request which may be on its way is never run.

        Only a request that must not run twice is worth it.

        Returns:
            Whether the sidecar has not received it and will refuse it.
        """
        unknown = failure.run_state is results.RunState.UNKNOWN
        if self._request.idempotent or not unknown:
            return False
        member = self._find_member()
        exchange = await self._cancel_at_sidecar()
        if isinstance(exchange, results.Failure):
            return False
        incarnation = exchange.find_header(relay.RelayHeader.INCARNATION)
        if exchange.status == 200:
            exchange.close()
            return False
        refusal = await _read_refusal(exchange)
        if refusal.failure.code is not results.ResultCode.NO_SUCH_REQUEST:
            return False
        # A process that has started since may have forgotten the request.
        return incarnation == str(member.incarnation)

    def _after_refusal(
        self, failure: results.Failure
    ) -> results.Failure | None:
        """Allows another upstream to be tried after one refused."""
        self._refusals += 1
        self._last_refusal = failure
        self.attempt -= 1
        if self._refusals >= MAX_REFUSALS:
            return self._final(failure)
        return None

    def _after_failed_attempt(
        self, failure: results.Failure
    ) -> results.Failure | None:
        """Allows another attempt if the request may run again."""
        request = self._request
        if not request.idempotent or self._head_received:
            return self._final(failure)
        if self.attempt >= request.service.max_attempts:
            return self._final(failure)
        retries = self._access.retries
        if retries.take(request.service.name):
            return None
        return self._final(
            results.Failure(
                results.ResultCode.RETRY_BUDGET_EXHAUSTED,
                f'not retried after: {failure.reason}',
                failure.run_state,
                retry_after_ms=retries.wait_ms(request.service.name),
            )
        )

    def _final(self, failure: results.Failure) -> results.Failure:
        """Returns the failure with a truthful run state."""
        self.close()
        if failure.run_state is not results.RunState.NOT_RUN:
            return failure
        if not self._sent_to_any:
            return failure
        return results.Failure(
            failure.code,
            failure.reason,
            results.RunState.UNKNOWN,
            failure.retry_after_ms,
        )


async def _read_refusal(
    exchange: transport.ClientExchange,
) -> relay.FailureFrame:
    """Reads the failure that a sidecar answered with."""
    with exchange:
        body = await exchange.read_body(MAX_ERROR_BYTES)
    if isinstance(body, results.Failure):
        return relay.FailureFrame(body)
    return _upstream_access.parse_error_body(body)


def _convicted() -> results.Failure:
    return results.Failure(
        results.ResultCode.REQUEST_CONVICTED,
        'upstreams that ran this request have died; it is not run again',
        results.RunState.RAN,
    )
