"""Builds the report on a batch item whose run has ended."""

import base64

from siskinmount import batch
from siskinmount import relay
from siskinmount import results
from siskinmount.sidecar import _batch_item
from siskinmount.sidecar import _run_request
from siskinmount.sidecar import _running_request

MAX_OUTPUT_BYTES = 2 * 1024 * 1024


def create_report(item: _batch_item.BatchItem) -> batch.ItemReport:
    """Returns the report on an item whose run has ended or never began."""
    running = item.running
    if running is None or not running.ended:
        return _create_yield_report(item, 'not started')
    failure = running.failure
    if failure is None:
        return _create_answer_report(item, running)
    not_run = failure.run_state is results.RunState.NOT_RUN
    yielded = not_run or failure.code in (
        results.ResultCode.BATCH_YIELDED,
        results.ResultCode.STREAM_VERSION_UNAVAILABLE,
    )
    if yielded and item.may_continue and not item.cancelled:
        return _create_yield_report(item, failure.reason)
    outcome = batch.ReportedOutcome.FAILED
    if item.was_sent and not item.idempotent:
        outcome = batch.ReportedOutcome.UNKNOWN
    return _create_report(
        item,
        outcome,
        output=_describe_progress(item),
        code=failure.code,
        reason=failure.reason,
        wasted_tokens=_count_new_tokens(running) if item.cancelled else 0,
    )


def _create_report(
    item: _batch_item.BatchItem,
    outcome: batch.ReportedOutcome,
    *,
    output: dict[str, object] | None,
    code: results.ResultCode = results.ResultCode.OK,
    reason: str = '',
    wasted_tokens: int = 0,
) -> batch.ItemReport:
    report = batch.ItemReport(
        item.key.job,
        item.key.index,
        item.lease,
        outcome,
        output=output,
        code=int(code),
        reason=reason,
        wasted_tokens=wasted_tokens,
    )
    if item.solo and outcome is batch.ReportedOutcome.DONE:
        report.fingerprint = item.fingerprint
    last = item.running.last_frame if item.running is not None else None
    if isinstance(last, relay.FailureFrame) and last.upstream_generation:
        report.fingerprint = item.fingerprint
        report.upstream_generation = last.upstream_generation
        report.was_alone = last.was_alone
    return report


def _create_yield_report(
    item: _batch_item.BatchItem, reason: str
) -> batch.ItemReport:
    return _create_report(
        item,
        batch.ReportedOutcome.YIELDED,
        output=_describe_progress(item),
        code=results.ResultCode.BATCH_YIELDED,
        reason=reason,
    )


def _create_answer_report(
    item: _batch_item.BatchItem, running: _running_request.RunningRequest
) -> batch.ItemReport:
    """Returns the report on a complete answer."""
    if running.size_bytes > MAX_OUTPUT_BYTES:
        return _create_report(
            item,
            batch.ReportedOutcome.FAILED,
            output=None,
            code=results.ResultCode.BODY_TOO_LARGE,
            reason=f'the answer is larger than {MAX_OUTPUT_BYTES} bytes',
            wasted_tokens=_count_new_tokens(running),
        )
    if isinstance(item.body, _run_request.PlainBody):
        return _create_plain_report(item, running)
    end = running.last_frame
    output: dict[str, object] = {'text': ''.join(running.collect_tokens())}
    if isinstance(end, relay.EndFrame):
        output['finish_reason'] = end.finish_reason
        output['prompt_tokens'] = end.prompt_tokens
        output['completion_tokens'] = end.completion_tokens
    return _create_report(item, batch.ReportedOutcome.DONE, output=output)


def _create_plain_report(
    item: _batch_item.BatchItem, running: _running_request.RunningRequest
) -> batch.ItemReport:
    """Returns the report on the answer of a plain service."""
    status = 0
    headers: list[tuple[str, str]] = []
    parts: list[bytes] = []
    for frame in running.frames:
        if isinstance(frame, relay.HeadFrame):
            status = frame.status
            headers = frame.headers
        elif isinstance(frame, relay.BodyFrame):
            parts.append(frame.data)
    output: dict[str, object] = {
        'status': status,
        'headers': headers,
        'body': base64.b64encode(b''.join(parts)).decode('ascii'),
    }
    if status < 400:
        return _create_report(item, batch.ReportedOutcome.DONE, output=output)
    outcome = batch.ReportedOutcome.FAILED
    if status >= 500 and not item.idempotent:
        outcome = batch.ReportedOutcome.UNKNOWN
    return _create_report(
        item,
        outcome,
        output=output,
        code=results.ResultCode.UPSTREAM_ERROR,
        reason=f'status {status}',
    )


def _describe_progress(item: _batch_item.BatchItem) -> dict[str, object] | None:
    """Returns the output so far, from which the next attempt resumes."""
    if not isinstance(item.body, _run_request.ModelBody):
        return None
    tokens = item.body.resume_tokens
    version = item.body.resume_version
    if item.running is not None:
        tokens = item.running.collect_tokens()
        version = item.running.software_version
    if not tokens:
        return None
    return {'resume_tokens': tokens, 'resume_version': version}


def _count_new_tokens(running: _running_request.RunningRequest) -> int:
    """Returns how many tokens this run has generated."""
    return sum(isinstance(frame, relay.TokenFrame) for frame in running.frames)
