"""Failures of requests that end without a complete answer."""

from siskinmount import relay
from siskinmount import results
from siskinmount.sidecar import _running_request

#: Failures that indicate a crash of the upstream.
_CRASH_CODES = (
    results.ResultCode.UPSTREAM_LOST,
    results.ResultCode.REQUEST_SUSPECT,
)


def create_failure_frame(
    running: _running_request.RunningRequest, failure: results.Failure
) -> relay.FailureFrame:
    """Returns the last frame of a failed request."""
    if failure.code in _CRASH_CODES:
        return relay.FailureFrame(
            failure, running.upstream_generation, running.was_alone
        )
    return relay.FailureFrame(failure)


def create_suspect_failure() -> results.Failure:
    """Returns the refusal of a request with which this upstream crashed."""
    return results.Failure(
        results.ResultCode.REQUEST_SUSPECT,
        'a process of this upstream exited while it ran this request',
    )


def create_version_failure(
    running: _running_request.RunningRequest, found: str
) -> results.Failure:
    """Returns the refusal to go on with what another version has written."""
    return results.Failure(
        results.ResultCode.STREAM_VERSION_UNAVAILABLE,
        f'the upstream runs version {found!r}, the tokens are of'
        f' {running.software_version!r}',
        determine_run_state(running),
    )


def determine_run_state(
    running: _running_request.RunningRequest,
) -> results.RunState:
    """Returns whether a request that ends now was executed at the upstream."""
    if not running.sent_to_upstream:
        return results.RunState.NOT_RUN
    if running.frames:
        return results.RunState.RAN
    return results.RunState.UNKNOWN


def create_stop_failure(
    running: _running_request.RunningRequest,
) -> results.Failure:
    """Returns the failure of a request that was stopped."""
    run_state = determine_run_state(running)
    reason = running.stop_reason
    if reason is None:
        return results.Failure(
            results.ResultCode.DEADLINE_EXCEEDED,
            'the deadline has passed',
            run_state,
        )
    if reason in (
        _running_request.StopReason.PREEMPTED,
        _running_request.StopReason.LEAVING,
    ):
        return results.Failure(
            results.ResultCode.BATCH_YIELDED,
            f'the batch request was stopped: {reason.value}',
            run_state,
            retry_after_ms=0,
        )
    return results.Failure(
        results.ResultCode.REQUEST_CANCELLED,
        f'the request was stopped: {reason.value}',
        run_state,
    )


def correct_run_state(
    failure: results.Failure, running: _running_request.RunningRequest
) -> results.Failure:
    """Replaces the run state of a later try, as an earlier one may have run."""
    return results.Failure(
        failure.code,
        failure.reason,
        determine_run_state(running),
        failure.retry_after_ms,
    )


def create_gap_failure(expected_index: int, index: int) -> results.Failure:
    """Returns the failure of a stream that skipped tokens."""
    return results.Failure(
        results.ResultCode.UPSTREAM_ERROR,
        f'token {expected_index} is missing before token {index}',
        results.RunState.RAN,
    )
