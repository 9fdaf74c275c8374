"""Handles a caller's online request, with retries at other upstreams."""

import logging

import trio

from siskinmount import fleet
from siskinmount import placement
from siskinmount import results
from siskinmount.gateway import _customer_check
from siskinmount.gateway import _online_attempt
from siskinmount.gateway import _online_context
from siskinmount.gateway import _online_request
from siskinmount.gateway import _online_response

_LOGGER = logging.getLogger(__name__)

#: Attempts that may end without a run before the request is refused.
MAX_NOT_RUN_RESPONSES = 6
#: Longest expected wait, in latency targets of the route. A longer one is
#: refused: only a retry after the burst can be answered in time.
MAX_WAIT_TARGETS = 1.5
#: Longest wait for the first probe of an upstream that interrupted a run, which
#: comes after 50 ms.
MAX_CRASH_CHECK_S = 0.15
#: Longest wait of a request that an upstream has begun for upstreams to accept
#: it again. Callers give up a stream after a gap of two seconds.
MAX_LIMIT_WAIT_S = 1.5
LIMIT_POLL_S = 0.05
#: Longest wait for the list of upstreams to be brought up to date before a
#: stream goes on: less than the shortest gap that routes allow.
VIEW_READ_TIMEOUT_S = 0.15


class OnlineHandler:
    """Handles one request, from its last byte to the end of its response."""

    __slots__ = (
        '_context',
        '_request',
        '_response',
        '_failed_response',
        '_limits_waited_since_s',
    )

    def __init__(
        self,
        context: _online_context.OnlineContext,
        request: _online_request.OnlineRequest,
    ) -> None:
        self._context = context
        self._request = request
        self._response = _online_response.OnlineResponse(
            request, context.wire, context.metrics
        )
        self._failed_response: _online_response.BufferedResponse | None = None
        self._limits_waited_since_s: float | None = None

    async def run(self) -> None:
        """Answers the caller.

        Raises:
            trio.BrokenResourceError: The response had begun and cannot be
                completed; the caller's connection must be closed.
        """
        try:
            await self._answer()
        finally:
            self._context.buffers.release(self._request.buffered_bytes)

    async def _answer(self) -> None:
        """Answers the caller; raises as `run` does."""
        request = self._request
        shutdown = self._context.shutdown
        failure = shutdown.check(
            request.request_id, request.deadline_s, request.route.may_repeat()
        )
        if failure is None:
            with trio.CancelScope(deadline=request.deadline_s) as scope:
                shutdown.open(scope)
                try:
                    failure = await self._try_upstreams()
                finally:
                    shutdown.close(scope)
            if scope.cancelled_caught:
                failure = self._create_cut_failure()
        if failure is None:
            return
        await self._response.fail(failure)

    def _create_cut_failure(self) -> results.Failure:
        """Returns the failure of a request that was not completed in time."""
        request = self._request
        if self._context.shutdown.has_ended and request.get_remaining_ms() > 0:
            return results.Failure(
                results.ResultCode.LEAVING,
                'the process stops',
                request.get_run_state(),
                retry_after_ms=0,
            )
        return results.Failure(
            results.ResultCode.DEADLINE_EXCEEDED,
            'the deadline passed before the response was complete',
            request.get_run_state(),
            retry_after_ms=None,
        )

    async def _try_upstreams(self) -> results.Failure | None:
        """Sends the request to upstreams until the caller has its response.

        Returns:
            The failure to send, or None if the response has been sent.
        """
        request = self._request
        if request.resumes_stream:
            found = await self._context.origins.find(request)
            if isinstance(found, results.Failure):
                return found
            request.software = found
        while True:
            service = self._draw_service()
            if service is None:
                return self._create_version_failure()
            quarantine = self._find_quarantine(service)
            if quarantine is not None:
                return quarantine
            if request.software is not None:
                # An upstream may have started again in another version.
                await self._context.upstreams_sync.read(VIEW_READ_TIMEOUT_S)
            refusal = self._context.customer_check.recheck(request.caller)
            chosen: placement.Placement | results.Failure
            if refusal is not None:
                chosen = self._refuse_send(refusal)
            else:
                chosen = self._place(service)
            if isinstance(chosen, results.Failure):
                if self._may_wait_for_limits(chosen):
                    await trio.sleep(LIMIT_POLL_S)
                    continue
                return await self._end_without_upstream(chosen)
            attempt = _online_attempt.OnlineAttempt(
                self._context, request, self._response, chosen.upstream
            )
            outcome = await attempt.run()
            self._context.metrics.attempts.increment(outcome.value)
            if outcome.is_final():
                return None
            self._failed_response = (
                attempt.failed_response or self._failed_response
            )
            request.tried_upstreams.add(chosen.upstream.upstream_id)
            if outcome is _online_attempt.AttemptOutcome.NOT_RUN:
                request.not_run_count += 1
                if request.not_run_count <= MAX_NOT_RUN_RESPONSES:
                    continue
                return results.Failure(
                    results.ResultCode.OVERLOADED,
                    'no upstream accepted the request',
                    request.get_run_state(),
                    retry_after_ms=placement.NO_UPSTREAM_RETRY_MS,
                )
            if request.may_retry():
                if outcome is _online_attempt.AttemptOutcome.UNRECORDED:
                    # The upstream has not failed.
                    request.tried_upstreams.discard(chosen.upstream.upstream_id)
                    request.must_start_unrecorded = True
                if outcome is _online_attempt.AttemptOutcome.LOST:
                    await self._wait_for_crash_check(chosen.upstream)
                continue
            if outcome is _online_attempt.AttemptOutcome.UNRECORDED:
                return results.Failure(
                    results.ResultCode.LOG_UNAVAILABLE,
                    'what began the stream could not be recorded',
                    request.get_run_state(),
                )
            return await self._end_without_upstream(
                results.Failure(
                    results.ResultCode.UPSTREAM_LOST,
                    'the upstream failed before its response was complete',
                    request.get_run_state(),
                )
            )

    async def _end_without_upstream(
        self, failure: results.Failure
    ) -> results.Failure | None:
        """Sends the error of an upstream that was kept, if the caller may get it.

        Args:
            failure: What else the caller is told.

        Returns:
            The failure to send; None if the error has been sent.
        """
        if self._failed_response is None or self._request.response_started:
            return failure
        await self._response.send_buffered(self._failed_response)
        return None

    def _refuse_send(
        self, refusal: _customer_check.CustomerRefusal
    ) -> results.Failure:
        """Records that the request must not be sent now; returns why."""
        request = self._request
        self._context.customer_check.record_refusal(
            refusal, request.request_id, request.exchange.head.target
        )
        if request.get_run_state() is results.RunState.NOT_RUN:
            return refusal.failure
        # The status of the refusal would say that the request has not run.
        return results.Failure(
            results.ResultCode.UPSTREAM_LOST,
            f'no further attempt: {refusal.failure.reason}',
            request.get_run_state(),
        )

    def _draw_service(self) -> str | None:
        """Returns the service of the next attempt.

        It is None if the service that began the stream has left the route.
        """
        request = self._request
        if request.software is None:
            return request.route.draw_service()
        for share in request.route.shares:
            if share.service == request.software.service:
                return share.service
        return None

    def _create_version_failure(self) -> results.Failure:
        request = self._request
        return results.Failure(
            results.ResultCode.STREAM_VERSION_UNAVAILABLE,
            f'no upstream runs {request.software}, which began the stream',
            request.get_run_state(),
        )

    def _may_wait_for_limits(self, failure: results.Failure) -> bool:
        """Returns whether to wait until an upstream accepts the request.

        That is so for a request that an upstream has begun: the caller cannot
        be told that it did not run, and its stream would be cut.
        """
        request = self._request
        if failure.code is not results.ResultCode.UPSTREAM_RATE_LIMITED:
            return False
        if not request.attempts and not request.response_started:
            return False
        now_s = trio.current_time()
        if self._limits_waited_since_s is None:
            self._limits_waited_since_s = now_s
        return now_s - self._limits_waited_since_s < MAX_LIMIT_WAIT_S

    async def _wait_for_crash_check(self, upstream: fleet.Upstream) -> None:
        """Waits until it is known whether an upstream that lost a run crashed.

        Only for prompts with a suspect part: without the result, a retry may
        crash another upstream and tell nothing new.
        """
        tracker = self._context.crash_tracker
        parts = self._request.name_prompt_parts(upstream.service)
        if not tracker.parts.has_suspect(parts):
            return
        with trio.move_on_after(MAX_CRASH_CHECK_S):
            await tracker.wait_settled(upstream.upstream_id)

    def _find_quarantine(self, service: str) -> results.Failure | None:
        """Returns why the request must not be run; None if it may be."""
        request = self._request
        tracker = self._context.crash_tracker
        if tracker.is_quarantined(request.fingerprint):
            self._context.metrics.quarantined_requests.increment('request')
            return results.Failure(
                results.ResultCode.REQUEST_CONVICTED,
                'blocked: upstreams that ran this request crashed',
                request.get_run_state(),
            )
        part = tracker.parts.find_quarantined(
            request.name_prompt_parts(service)
        )
        if part is None:
            return None
        self._context.metrics.quarantined_requests.increment('prompt_part')
        _LOGGER.info(
            'request_quarantined',
            extra={
                'request_id': request.request_id,
                'route': request.route.name,
                'prompt_part': part,
                'attempts': request.attempts,
            },
        )
        return results.Failure(
            results.ResultCode.PROMPT_PART_QUARANTINED,
            f'blocked: upstreams that ran prompts with part {part} crashed',
            request.get_run_state(),
        )

    def _place(self, service: str) -> placement.Placement | results.Failure:
        """Chooses the next upstream, or returns why there is none."""
        request = self._request
        max_wait_ms = request.route.target_ms * MAX_WAIT_TARGETS
        if self._context.shares is not None:
            max_wait_ms *= self._context.shares.get_wait_factor(
                request.caller.customer
            )
        urgency = placement.Urgency.HIGHEST
        if request.priority > 0:
            urgency = placement.Urgency.ONLINE
        if request.software is not None:
            # The caller has the start of the response: a late end is better
            # than none.
            max_wait_ms = max(max_wait_ms, request.get_remaining_ms())
            urgency = placement.Urgency.HIGHEST
        if request.attempts or request.response_started:
            # An upstream has already done work for this request, so a late
            # response is better than none.
            max_wait_ms = float('inf')
            urgency = placement.Urgency.HIGHEST
        placed = self._place_at(
            service,
            request.tried_upstreams,
            max_wait_ms,
            may_use_avoided=request.may_retry_after_current(),
            urgency=urgency,
        )
        if (
            isinstance(placed, placement.Refusal)
            and placed.reason is placement.RefusalReason.NO_UPSTREAM
            and request.tried_upstreams
        ):
            # Each upstream has failed this request once; the least loaded gets
            # it again.
            placed = self._place_at(
                service, set(), max_wait_ms, urgency=urgency
            )
        self._log_placement(service, placed)
        if not isinstance(placed, placement.Refusal):
            return placed
        if (
            request.software is not None
            and placed.reason is placement.RefusalReason.NO_UPSTREAM
        ):
            return self._create_version_failure()
        code = results.ResultCode.OVERLOADED
        reason = 'the expected wait for an upstream is too long'
        if placed.reason is placement.RefusalReason.NO_UPSTREAM:
            code = results.ResultCode.NO_UPSTREAM
            reason = 'no upstream of this service accepts requests now'
        elif placed.reason is placement.RefusalReason.RATE_LIMITED:
            code = results.ResultCode.UPSTREAM_RATE_LIMITED
            reason = 'upstreams have had all the requests that they accept now'
        return results.Failure(
            code,
            reason,
            request.get_run_state(),
            retry_after_ms=placed.retry_after_ms,
        )

    def _place_at(
        self,
        service: str,
        excluded: set[str],
        max_wait_ms: float,
        *,
        may_use_avoided: bool = False,
        urgency: placement.Urgency,
    ) -> placement.Placement | placement.Refusal:
        """Chooses an upstream that may run the request.

        A new stream keeps to the version that needs no record while none can be
        written, if that version serves.
        """
        request = self._request
        software = request.software
        if software is None and request.is_resumable_stream:
            software = self._context.registrar.choose_software(
                service, request.must_start_unrecorded
            )
        return self._context.placer.place_online(
            service,
            request.caller_request.affinity_key,
            excluded,
            max_wait_ms,
            may_use_avoided=may_use_avoided,
            urgency=urgency,
            software=software,
        )

    def _log_placement(
        self, service: str, placed: placement.Placement | placement.Refusal
    ) -> None:
        """Counts a placement decision and logs it with its inputs."""
        request = self._request
        extra: dict[str, object] = {
            'request_id': request.request_id,
            'route': request.route.name,
            'service': service,
            'attempt': request.attempts + 1,
            'document_version': request.document_version,
            'waited_ms': request.get_elapsed_ms(),
        }
        if request.last_event_id is not None:
            extra['last_event_id'] = request.last_event_id
        if request.caller_request.last_event_id is not None:
            extra['resumes'] = request.caller_request.resumed_request_id
        passed_over = self._context.placer.list_passed_over(service)
        if passed_over:
            extra['leaving'] = passed_over
        if isinstance(placed, placement.Refusal):
            self._context.metrics.placements.increment(placed.reason.value)
            extra['outcome'] = placed.reason.value
            extra['retry_after_ms'] = placed.retry_after_ms
            _LOGGER.info('request_not_placed', extra=extra)
            return
        self._context.metrics.placements.increment('placed')
        extra['upstream'] = placed.upstream.upstream_id
        extra['software_version'] = placed.upstream.software_version
        extra['waiting'] = placed.waiting_count
        extra['expected_wait_ms'] = int(placed.expected_wait_ms)
        limit = self._context.placer.describe_limit(placed.upstream.upstream_id)
        if limit:
            extra['limit'] = limit
        window = self._context.paces.describe(placed.upstream)
        if window:
            extra['window'] = window
        _LOGGER.info('request_placed', extra=extra)


def create_online_handler(
    context: _online_context.OnlineContext,
    request: _online_request.OnlineRequest,
) -> OnlineHandler:
    """Creates the handler of one request."""
    return OnlineHandler(context, request)
