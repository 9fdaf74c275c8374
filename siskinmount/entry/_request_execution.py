"""Executes one request, failing over between upstreams."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import TypeVar

import trio

from siskinmount import configuration
from siskinmount import membership
from siskinmount import relay
from siskinmount import results
from siskinmount import routing
from siskinmount.entry import _response_progress
from siskinmount.entry import _run_request
from siskinmount.entry import _upstream_access
from siskinmount.entry import _upstream_attempt

_LOGGER = logging.getLogger(__name__)

#: Refusals (attempts that were certainly not run) before a request fails.
MAX_REFUSALS = 6
#: Bound on cancelling the run of a disconnected caller.
ABANDON_TIMEOUT_S = 1.0

_Result = TypeVar('_Result')


class RequestExecution:
    """Receives one response's frames and fails over when an upstream is lost.

    `receive_frames` returns each token exactly once and in order, however
    many upstreams produced them.

    Attributes:
        attempts: Attempts that were not refused, including the current one.
        upstream_vm: VM of the upstream that runs the request; empty if none.
    """

    __slots__ = (
        'attempts',
        'upstream_vm',
        '_access',
        '_request',
        '_progress',
        '_attempt',
        '_excluded_vms',
        '_refusals',
        '_last_refusal',
        '_may_have_run',
        '_must_attach',
    )

    def __init__(
        self,
        access: _upstream_access.UpstreamAccess,
        request: _run_request.RunRequest,
    ) -> None:
        self.attempts = 0
        self.upstream_vm = ''
        self._access = access
        self._request = request
        self._progress = _response_progress.ResponseProgress(
            request.first_token,
            request.answer_so_far,
            request.answer_version,
        )
        self._must_attach = request.first_token > 0
        self._attempt: _upstream_attempt.UpstreamAttempt | None = None
        self._excluded_vms: set[str] = set()
        self._refusals = 0
        self._last_refusal: results.Failure | None = None
        # Whether a finished attempt may have reached its upstream.
        self._may_have_run = False

    @property
    def token_texts(self) -> list[str]:
        """Texts of all tokens of the response so far."""
        return self._progress.token_texts

    @property
    def software_version(self) -> str:
        """Version that wrote the tokens; empty if the engine names none."""
        return self._progress.software_version

    async def receive_frames(self) -> list[relay.Frame] | results.Failure:
        """Returns the next frames, or the final failure of the request."""
        while True:
            if trio.current_time() > self._request.deadline_s:
                return self._finish_with_failure(_create_deadline_failure())
            attempt = self._attempt
            if attempt is None or not attempt.is_open:
                failure = await self._start_or_attach()
                if failure is not None:
                    return failure
                continue
            frames = await self._run_unless_quarantined(
                attempt, attempt.receive
            )
            if isinstance(frames, results.Failure):
                failure = await self._handle_failure(attempt, frames)
                if failure is not None:
                    return failure
                continue
            if not frames:
                continue
            if attempt.solo and isinstance(frames[-1], relay.EndFrame):
                self._access.record_solo_completion(self._request.fingerprint)
            return frames

    def close(self) -> None:
        """Detaches from the run; the sidecar cancels it after a time-out."""
        if self._attempt is not None:
            self._close_attempt(self._attempt)

    async def abandon(self) -> None:
        """Cancels a run that no caller can resume, then detaches from it."""
        attempt = self._attempt
        if attempt is not None and attempt.may_have_arrived:
            with trio.move_on_after(ABANDON_TIMEOUT_S, shield=True):
                await attempt.cancel()
        self.close()

    async def _start_or_attach(self) -> results.Failure | None:
        """Starts the run at an upstream, or attaches to the existing run.

        Returns:
            None if the request can proceed, or its final failure.
        """
        await self._access.pause_guard.wait_caught_up()
        if self._must_attach:
            self._must_attach = False
            return await self._attach_to_running()
        attempt = self._create_next_attempt()
        if isinstance(attempt, results.Failure):
            return self._finish_with_failure(attempt)
        failure = await self._run_unless_quarantined(attempt, attempt.start)
        if failure is None:
            return None
        return await self._handle_failure(attempt, failure)

    async def _attach_to_running(self) -> results.Failure | None:
        """Attaches to a run that another entry has started.

        The caller has part of the response, so only the run that produced it
        can be continued. Upstreams are tried in order of preference. If the
        run is lost and the caller sent the tokens that it has, a new run may
        resume after them, as after the crash of an upstream.
        """
        router = self._access.router
        for member in router.list_in_order(
            self._request.service.name, self._request.affinity_key
        ):
            router.choose_member(member)
            attempt = self._create_attempt(member, solo=False)
            self.attempts = 1
            if await attempt.attach() is None:
                return None
            self._close_attempt(attempt)
        if self._request.answer_so_far:
            self.attempts = 0
            return None
        return self._finish_with_failure(
            results.Failure(
                results.ResultCode.NO_SUCH_REQUEST,
                'the run is lost; send the request again with the received'
                ' tokens as answer_so_far, or without Last-Event-ID',
                results.RunState.UNKNOWN,
            )
        )

    def _create_next_attempt(
        self,
    ) -> _upstream_attempt.UpstreamAttempt | results.Failure:
        """Creates the next attempt at an upstream that the router chooses."""
        request = self._request
        access = self._access
        if access.is_quarantined(request.fingerprint):
            return _create_quarantined_failure()
        # A plain service runs many small calls concurrently. Running one alone
        # would block all others, so only model requests run alone.
        is_model = request.service.kind is configuration.ServiceKind.MODEL
        solo = is_model and access.is_suspect(request.fingerprint)
        choice = self._choose_upstream(solo)
        if isinstance(choice, results.Failure):
            return self._last_refusal or choice
        self.attempts += 1
        return self._create_attempt(choice.member, solo)

    def _choose_upstream(self, solo: bool) -> routing.Choice | results.Failure:
        """Returns the upstream for the next attempt.

        Copies of a request suspected of crashing upstreams are routed to one
        upstream by all entries, so that the first copy that runs alone there
        decides for all whether the request is cleared.
        """
        request = self._request
        router = self._access.router
        excluded_vms = self._excluded_vms
        if self.token_texts:
            excluded_vms = excluded_vms | self._access.list_other_versions(
                self.software_version
            )
        if solo:
            return router.choose_first_ranked(
                request.service.name, request.fingerprint, excluded_vms
            )
        return router.choose(
            request.service.name,
            request.affinity_key,
            excluded_vms,
            request.request_class,
        )

    def _create_attempt(
        self, member: membership.Member, solo: bool
    ) -> _upstream_attempt.UpstreamAttempt:
        """Creates an attempt; the router already counts it as in flight."""
        self.upstream_vm = member.vm
        self._attempt = _upstream_attempt.UpstreamAttempt(
            self._access,
            self._request,
            self._progress,
            member,
            self.attempts,
            solo,
        )
        return self._attempt

    def _close_attempt(
        self, attempt: _upstream_attempt.UpstreamAttempt
    ) -> None:
        """Closes an attempt and releases its upstream in the router."""
        attempt.close()
        self._access.router.release(attempt.member.vm)
        self._may_have_run = self._may_have_run or attempt.may_have_arrived
        self._attempt = None

    async def _run_unless_quarantined(
        self,
        attempt: _upstream_attempt.UpstreamAttempt,
        operation: Callable[[], Awaitable[_Result]],
    ) -> _Result | results.Failure:
        """Runs an operation, and cancels it if the request is quarantined.

        A suspect request can wait long for its turn to run alone. Meanwhile a
        copy may crash upstreams elsewhere and be quarantined.
        """
        if not attempt.solo or self.token_texts:
            return await operation()
        outcome: _Result | results.Failure = _create_quarantined_failure()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                self._cancel_when_quarantined, nursery.cancel_scope
            )
            outcome = await operation()
            nursery.cancel_scope.cancel()
        if isinstance(outcome, results.Failure):
            if outcome.code is results.ResultCode.REQUEST_CONVICTED:
                await attempt.cancel()
        return outcome

    async def _cancel_when_quarantined(self, scope: trio.CancelScope) -> None:
        """Cancels a scope when the request is quarantined."""
        await self._access.wait_quarantined(self._request.fingerprint)
        scope.cancel()

    async def _handle_failure(
        self,
        attempt: _upstream_attempt.UpstreamAttempt,
        failure: results.Failure,
    ) -> results.Failure | None:
        """Decides whether to reattach, to fail over or to fail the request.

        Returns:
            None if the request can proceed: at the same upstream if the
            attempt is still open, at another one otherwise. Else the final
            failure.
        """
        if failure.code is results.ResultCode.REQUEST_CONVICTED:
            return self._finish_with_failure(failure)
        frame = attempt.failure_frame
        if frame is None and await attempt.reattach(failure):
            return None
        if frame is None and await attempt.withdraw(failure):
            failure.run_state = results.RunState.NOT_RUN
        self._excluded_vms.add(attempt.member.vm)
        self._close_attempt(attempt)
        self._access.router.record_failure(attempt.member.vm, failure)
        _LOGGER.info(
            'attempt_failed',
            extra={
                'request_id': self._request.request_id,
                'code': int(failure.code),
                'upstream_vm': attempt.member.vm,
                'attempt': attempt.number,
                'run_state': failure.run_state.value,
            },
        )
        if failure.run_state is results.RunState.NOT_RUN:
            return self._handle_refusal(failure)
        if frame is not None:
            self._access.record_crash(
                self._request.fingerprint, attempt.member, frame
            )
        return self._handle_failed_attempt(failure)

    def _handle_refusal(
        self, failure: results.Failure
    ) -> results.Failure | None:
        """Returns the final failure, or None if another upstream is allowed."""
        self._refusals += 1
        self._last_refusal = failure
        self.attempts -= 1
        if self._refusals >= MAX_REFUSALS:
            return self._finish_with_failure(failure)
        return None

    def _handle_failed_attempt(
        self, failure: results.Failure
    ) -> results.Failure | None:
        """Returns the final failure, or None if the request may be retried."""
        request = self._request
        if self._access.is_quarantined(request.fingerprint):
            return self._finish_with_failure(_create_quarantined_failure())
        if not request.idempotent or self._progress.head_received:
            return self._finish_with_failure(failure)
        if self.attempts >= request.service.max_attempts:
            return self._finish_with_failure(failure)
        retries = self._access.retries
        if retries.take(request.service.name):
            return None
        return self._finish_with_failure(
            results.Failure(
                results.ResultCode.RETRY_BUDGET_EXHAUSTED,
                f'retry budget exhausted after: {failure.reason}',
                failure.run_state,
                retry_after_ms=retries.wait_ms(request.service.name),
            )
        )

    def _finish_with_failure(self, failure: results.Failure) -> results.Failure:
        """Closes the run and returns the final failure.

        The run state NOT_RUN becomes UNKNOWN if an earlier attempt may have
        reached its upstream.
        """
        self.close()
        if failure.run_state is not results.RunState.NOT_RUN:
            return failure
        if not self._may_have_run:
            return failure
        return results.Failure(
            failure.code,
            failure.reason,
            results.RunState.UNKNOWN,
            failure.retry_after_ms,
        )


def _create_quarantined_failure() -> results.Failure:
    return results.Failure(
        results.ResultCode.REQUEST_CONVICTED,
        'upstreams crashed while running this request; it is not run again',
        results.RunState.RAN,
    )


def _create_deadline_failure() -> results.Failure:
    return results.Failure(
        results.ResultCode.DEADLINE_EXCEEDED, 'the deadline has passed'
    )
