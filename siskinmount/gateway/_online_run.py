"""Serves one request of a caller by one upstream after the other."""

import logging

import trio

from siskinmount import placement
from siskinmount import results
from siskinmount.gateway import _online_answer
from siskinmount.gateway import _online_attempt
from siskinmount.gateway import _online_request
from siskinmount.gateway import _online_tools

_LOGGER = logging.getLogger(__name__)

#: Refusals without a run that one request may meet before it is refused.
MAX_NOT_RUN = 6
#: A wait longer than this many objectives is refused: the caller can be on
#: time only by coming back when the burst has passed.
MAX_WAIT_IN_TARGETS = 1.5


class OnlineRun:
    """One request of a caller, from its last byte to the end of its answer."""

    __slots__ = ('_tools', '_request', '_answer', '_failed_answer')

    def __init__(
        self,
        tools: _online_tools.OnlineTools,
        request: _online_request.OnlineRequest,
    ) -> None:
        self._tools = tools
        self._request = request
        self._answer = _online_answer.OnlineAnswer(
            request, tools.wire, tools.metrics
        )
        self._failed_answer: _online_answer.WholeAnswer | None = None

    async def run(self) -> None:
        """Answers the caller.

        Raises:
            trio.BrokenResourceError: The answer had begun and cannot go on; the
                caller's connection must be closed.
        """
        with trio.CancelScope(deadline=self._request.deadline_s) as scope:
            failure = await self._try_upstreams()
        if scope.cancelled_caught:
            failure = results.Failure(
                results.ResultCode.DEADLINE_EXCEEDED,
                'there was no answer in the time that the request had',
                self._request.get_run_state(),
                retry_after_ms=None,
            )
        if failure is None:
            return
        await self._answer.fail(failure)

    async def _try_upstreams(self) -> results.Failure | None:
        """Sends to upstreams until the caller has its answer."""
        request = self._request
        while True:
            if self._tools.evidence.is_convicted(request.fingerprint):
                return results.Failure(
                    results.ResultCode.REQUEST_CONVICTED,
                    'each upstream that ran this request went down',
                    request.get_run_state(),
                )
            chosen = self._place()
            if isinstance(chosen, results.Failure):
                if self._failed_answer is not None:
                    await self._answer.pass_whole(self._failed_answer)
                    return None
                return chosen
            attempt = _online_attempt.OnlineAttempt(
                self._tools, request, self._answer, chosen.upstream
            )
            outcome = await attempt.run()
            self._tools.metrics.attempts.increment(outcome.value)
            if outcome.is_final():
                return None
            self._failed_answer = attempt.failed_answer or self._failed_answer
            request.tried.add(chosen.upstream.upstream_id)
            if outcome is _online_attempt.AttemptOutcome.NOT_RUN:
                request.not_run_count += 1
                if request.not_run_count <= MAX_NOT_RUN:
                    continue
                return results.Failure(
                    results.ResultCode.OVERLOADED,
                    'no upstream took the request',
                    request.get_run_state(),
                    retry_after_ms=placement.NO_UPSTREAM_RETRY_MS,
                )
            if request.may_try_again():
                continue
            if self._failed_answer is not None and not request.has_begun:
                await self._answer.pass_whole(self._failed_answer)
                return None
            return results.Failure(
                results.ResultCode.UPSTREAM_LOST,
                'the upstream broke off',
                request.get_run_state(),
            )

    def _place(self) -> placement.Placement | results.Failure:
        """Chooses the next upstream, or says why there is none."""
        request = self._request
        service = request.route.draw_service()
        affinity_key = request.caller_request.affinity_key
        max_wait_ms = request.route.target_ms * MAX_WAIT_IN_TARGETS
        if request.attempts or request.has_begun:
            # It has cost an upstream work: a late answer is better than none.
            max_wait_ms = float('inf')
        placed = self._tools.placer.place_online(
            service,
            affinity_key,
            request.tried,
            max_wait_ms,
            may_use_avoided=request.may_repeat_after_this(),
        )
        if (
            isinstance(placed, placement.Refusal)
            and placed.reason is placement.RefusalReason.NO_UPSTREAM
            and request.tried
        ):
            # All have failed it once; the least loaded gets it again.
            placed = self._tools.placer.place_online(
                service, affinity_key, set(), max_wait_ms
            )
        self._log_placement(service, placed)
        if not isinstance(placed, placement.Refusal):
            return placed
        code = results.ResultCode.OVERLOADED
        reason = 'the request would wait too long for an upstream'
        if placed.reason is placement.RefusalReason.NO_UPSTREAM:
            code = results.ResultCode.NO_UPSTREAM
            reason = 'no upstream takes requests of this service now'
        return results.Failure(
            code,
            reason,
            request.get_run_state(),
            retry_after_ms=placed.retry_after_ms,
        )

    def _log_placement(
        self, service: str, placed: placement.Placement | placement.Refusal
    ) -> None:
        """Counts a placement and logs what decided it."""
        request = self._request
        extra: dict[str, object] = {
            'request_id': request.request_id,
            'route': request.route.name,
            'service': service,
            'attempt': request.attempts + 1,
            'document_version': request.document_version,
            'waited_ms': request.get_elapsed_ms(),
        }
        if isinstance(placed, placement.Refusal):
            self._tools.metrics.placements.increment(placed.reason.value)
            extra['outcome'] = placed.reason.value
            extra['retry_after_ms'] = placed.retry_after_ms
            _LOGGER.info('request_not_placed', extra=extra)
            return
        self._tools.metrics.placements.increment('placed')
        extra['upstream'] = placed.upstream.upstream_id
        extra['waiting'] = placed.waiting_count
        extra['expected_wait_ms'] = int(placed.expected_wait_ms)
        _LOGGER.info('request_placed', extra=extra)


def create_online_run(
    tools: _online_tools.OnlineTools,
    request: _online_request.OnlineRequest,
) -> OnlineRun:
    """Creates the serving of one request."""
    return OnlineRun(tools, request)
