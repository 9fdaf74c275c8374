"""Compares what callers saw with what the engines ran."""

from standins import event_engine
from tools.soak import _seen

#: Events of each stream of the engines.
EVENT_COUNT = 12
#: Longest time of a request by its route, and what an answer may take beyond.
ROUTE_TIMEOUT_S = 5.0
LATE_S = 1.0
#: Time for the news that an engine leaves, and on the way to it.
LEAVING_S = 2.5
#: How long before such news nothing may have been disturbed.
CALM_S = 6.0
#: Time for the end of a job to reach all members.
END_OF_JOB_S = 3.0
_PROMISES = (408, 421, 429, 503)


def find_violations(seen: _seen.Seen) -> list[str]:
    """Returns what is wrong, one line each."""
    runs: dict[str, list[event_engine.EngineRun]] = {}
    for engine in seen.engines:
        for run in engine.runs:
            runs.setdefault(run.request_id, []).append(run)
    violations = [f'process: {fault}' for fault in seen.process_faults]
    for call in seen.calls:
        violations.extend(_check_call(seen, call, runs))
    for job in seen.jobs:
        violations.extend(_check_job(job, runs))
    violations.extend(_check_leaving(seen))
    known = {call.request_id for call in seen.calls}
    for job in seen.jobs:
        known.update(job.item_ids)
    for request_id in runs:
        if request_id not in known:
            target = runs[request_id][0].target
            violations.append(f'unasked: {request_id!r} ran {target}')
    return violations


def _check_call(
    seen: _seen.Seen,
    call: _seen.SeenCall,
    runs: dict[str, list[event_engine.EngineRun]],
) -> list[str]:
    """Checks one answer against the runs of its request."""
    name = f'{call.kind.value} {call.request_id}'
    run_count = len(runs.get(call.request_id, []))
    violations: list[str] = []
    if run_count > 1 and not call.kind.may_repeat():
        violations.append(f'twice: {name} ran {run_count} times')
    if call.status in _PROMISES and run_count:
        violations.append(f'refused: {name} got {call.status} and ran')
    if call.status == 200 and call.is_whole and call.body != _expect(call):
        violations.append(f'answer: {name} got {len(call.body)} other bytes')
    if call.status == 200 and not _expect(call).startswith(call.body):
        violations.append(f'order: {name} got what is no part of its answer')
    ended_at_s = call.ended_at_s
    is_late = (
        ended_at_s is None
        or ended_at_s - call.sent_at_s > ROUTE_TIMEOUT_S + LATE_S
    )
    if is_late and not _was_disturbed(seen, call):
        violations.append(f'late: {name} had no final answer in time')
    return violations


def _expect(call: _seen.SeenCall) -> bytes:
    """Returns the whole answer to a request."""
    if not call.kind.is_stream():
        return b'answer to ' + call.request_id.encode()
    events: list[bytes] = []
    for number in range(1, EVENT_COUNT + 1):
        events.append(event_engine.make_event(call.request_id, number))
    return b''.join(events)


def _was_disturbed(seen: _seen.Seen, call: _seen.SeenCall) -> bool:
    """Tells whether the gateway could not answer all the time."""
    until_s = call.sent_at_s + ROUTE_TIMEOUT_S + LATE_S
    for span in seen.gateway_spans[call.gateway]:
        if span.overlaps(call.sent_at_s, until_s):
            return True
    return False


def _check_job(
    job: _seen.SeenJob, runs: dict[str, list[event_engine.EngineRun]]
) -> list[str]:
    """Checks one batch job."""
    violations: list[str] = []
    if job.accepted_at_s is None:
        if job.lost_count or set(job.refusals) - set(_PROMISES):
            return []
        for item_id in job.item_ids:
            if item_id in runs:
                violations.append(
                    f'refused: item {item_id} of {job.job_id} ran'
                )
        return violations
    violations.extend(f'lost: {what}' for what in job.missing)
    positions: dict[int, _seen.SeenResult] = {}
    for after, found in job.readings:
        for index, result in enumerate(found):
            earlier = positions.setdefault(after + index, result)
            if earlier != result:
                violations.append(
                    f'position: {job.job_id} at {after + index} had {earlier}'
                    f' and then {result}'
                )
    listed = [positions[number].item_id for number in sorted(positions)]
    if len(set(listed)) != len(listed):
        violations.append(f'twice: an item of {job.job_id} is listed twice')
    for result in positions.values():
        violations.extend(_check_result(job, result))
    if job.ended_at_s is None:
        for item_id in sorted(set(job.item_ids) - set(listed)):
            violations.append(f'lost: item {item_id} of {job.job_id}')
        return violations
    for item_id in job.item_ids:
        for run in runs.get(item_id, []):
            if run.began_at_s > job.ended_at_s + END_OF_JOB_S:
                violations.append(
                    f'ended: item {item_id} ran'
                    f' {run.began_at_s - job.ended_at_s:.1f} s after the end'
                )
    return violations


def _check_result(job: _seen.SeenJob, result: _seen.SeenResult) -> list[str]:
    """Checks one result."""
    if result.item_id not in job.item_ids:
        return [f'result: {result.item_id} is not of {job.job_id}']
    if result.state != 'completed':
        if job.ended_at_s is not None:
            return []
        return [f'result: {result.item_id} of {job.job_id} is {result.state}']
    expected = '\n'.join(
        f'{result.item_id}-{number}' for number in range(1, EVENT_COUNT + 1)
    )
    if result.output != expected:
        return [f'result: {result.item_id} of {job.job_id} has other text']
    return []


def _check_leaving(seen: _seen.Seen) -> list[str]:
    """Looks for work that began at an engine long after it said it leaves."""
    violations: list[str] = []
    engines = {engine.engine_id: engine for engine in seen.engines}
    for leaving in seen.leaving:
        for run in engines[leaving.engine_id].runs:
            if run.began_at_s < leaving.told_at_s + LEAVING_S:
                continue
            if _is_calm(seen, leaving.told_at_s - CALM_S, run.began_at_s):
                violations.append(
                    f'leaving: {run.request_id} began at {leaving.engine_id}'
                    f' {run.began_at_s - leaving.told_at_s:.1f} s after'
                )
    return violations


def _is_calm(seen: _seen.Seen, from_s: float, to_s: float) -> bool:
    """Tells whether nothing was disturbed between two times."""
    spans = list(seen.store_spans)
    for of_gateway in seen.gateway_spans:
        spans.extend(of_gateway)
    return not any(span.overlaps(from_s, to_s) for span in spans)
