"""Compares the answers that callers received with the runs of the engines."""

import re

from siskinmount import results
from standins import event_engine
from tools.soak import _observations

#: Events in each stream of an engine.
EVENT_COUNT = 12
#: Time-out of each route, and how much later an answer may still end.
ROUTE_TIMEOUT_S = 5.0
LATE_TOLERANCE_S = 1.0
#: Time in which the gateways learn that an engine is draining, including
#: requests that are already on their way to the engine.
DRAIN_PROPAGATION_S = 2.5
#: Time after which an engine must get no more requests from a gateway that has
#: passed on an answer in which it says that it leaves.
DRAIN_S = 2.0
#: Time before that announcement without any fault, for the check to apply.
UNDISTURBED_S = 6.0
#: Time in which the end of a job reaches all members.
JOB_END_PROPAGATION_S = 3.0
#: Crash under one part of a prompt after which, once a window has passed, only
#: some more requests with it may reach engines.
COUNTED_FROM_CRASH = 5
PART_WINDOW_S = 3.0
MAX_LATE_RUNS = 3
#: Time after which gateways are held to a rate that an engine names, and what
#: it may get in a window of time.
LIMIT_STABLE_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_EXTRA_REQUESTS = 5
#: Version of the engine, at the end of the data of each event.
_VERSION_MARK = re.compile(rb'@v\d+')
_QUARANTINED = b'"code":%d' % results.ResultCode.PROMPT_PART_QUARANTINED
#: Statuses that state that a request has not run.
_NOT_RUN_STATUSES = (408, 421, 429, 503)


def find_violations(observed: _observations.Observations) -> list[str]:
    """Returns the violations found, one line each."""
    runs: dict[str, list[event_engine.EngineRun]] = {}
    for engine in observed.engines:
        for run in engine.runs:
            runs.setdefault(run.request_id, []).append(run)
    violations = [f'process: {fault}' for fault in observed.process_faults]
    for call in observed.calls:
        violations.extend(_check_call(observed, call, runs))
    for job in observed.jobs:
        violations.extend(_check_job(job, runs))
    violations.extend(_check_leaving(observed))
    violations.extend(_check_announced(observed))
    violations.extend(_check_crashing_part(observed))
    violations.extend(_check_versions(observed))
    for limit in observed.limits:
        violations.extend(_check_limit(observed, limit))
    known = {call.request_id for call in observed.calls}
    for job in observed.jobs:
        known.update(job.item_ids)
    for request_id in runs:
        if request_id not in known:
            target = runs[request_id][0].target
            violations.append(f'unasked: {request_id!r} ran {target}')
    return violations


def _check_call(
    observed: _observations.Observations,
    call: _observations.ObservedCall,
    runs: dict[str, list[event_engine.EngineRun]],
) -> list[str]:
    """Checks one answer against the runs of its request on the engines."""
    name = f'{call.kind.value} {call.request_id}'
    run_count = len(runs.get(call.request_id, []))
    violations: list[str] = []
    if run_count > 1 and not call.kind.may_repeat():
        violations.append(f'twice: {name} ran {run_count} times')
    if call.status in _NOT_RUN_STATUSES and run_count:
        violations.append(f'refused: {name} got {call.status} and ran')
    body = _VERSION_MARK.sub(b'', call.body)
    if (
        call.status == 200
        and call.is_whole
        and body != _make_expected_body(call)
    ):
        violations.append(f'answer: {name} got {len(call.body)} other bytes')
    # A version that was cut short is left.
    body = body.partition(b'@')[0]
    if call.status == 200 and not _make_expected_body(call).startswith(body):
        violations.append(f'order: {name} got what is no part of its answer')
    if not call.has_crashing_part and _QUARANTINED in call.body:
        violations.append(f'quarantined: {name} has no crashing part')
    ended_at_s = call.ended_at_s
    is_late = (
        ended_at_s is None
        or ended_at_s - call.sent_at_s > ROUTE_TIMEOUT_S + LATE_TOLERANCE_S
    )
    if is_late and not _was_disturbed(observed, call):
        violations.append(f'late: {name} had no final answer in time')
    return violations


def _make_expected_body(call: _observations.ObservedCall) -> bytes:
    """Returns the expected complete body of the answer to a request."""
    if not call.kind.is_stream():
        return b'answer to ' + call.request_id.encode()
    events: list[bytes] = []
    for number in range(call.last_event_id + 1, EVENT_COUNT + 1):
        events.append(event_engine.make_event(call.request_id, number))
    return b''.join(events)


def _was_disturbed(
    observed: _observations.Observations, call: _observations.ObservedCall
) -> bool:
    """Returns whether a fault affected the gateway until the answer was due."""
    until_s = call.sent_at_s + ROUTE_TIMEOUT_S + LATE_TOLERANCE_S
    for disturbance in observed.gateway_disturbances[call.gateway]:
        if disturbance.overlaps(call.sent_at_s, until_s):
            return True
    return False


def _check_job(
    job: _observations.ObservedJob,
    runs: dict[str, list[event_engine.EngineRun]],
) -> list[str]:
    """Checks the results and runs of one batch job."""
    violations: list[str] = []
    if job.accepted_at_s is None:
        if job.unanswered_count or set(job.refusals) - set(_NOT_RUN_STATUSES):
            return []
        for item_id in job.item_ids:
            if item_id in runs:
                violations.append(
                    f'refused: item {item_id} of {job.job_id} ran'
                )
        return violations
    violations.extend(f'lost: {what}' for what in job.missing)
    positions: dict[int, _observations.ObservedResult] = {}
    for after, found in job.reads:
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
            if run.began_at_s > job.ended_at_s + JOB_END_PROPAGATION_S:
                violations.append(
                    f'ended: item {item_id} ran'
                    f' {run.began_at_s - job.ended_at_s:.1f} s after the end'
                )
    return violations


def _check_result(
    job: _observations.ObservedJob, result: _observations.ObservedResult
) -> list[str]:
    """Checks the state and output of one result."""
    if result.item_id not in job.item_ids:
        return [f'result: {result.item_id} is not of {job.job_id}']
    if result.state != 'completed':
        if job.ended_at_s is not None:
            return []
        return [f'result: {result.item_id} of {job.job_id} is {result.state}']
    expected = '\n'.join(
        f'{result.item_id}-{number}' for number in range(1, EVENT_COUNT + 1)
    )
    versions = set(_VERSION_MARK.findall(result.output.encode()))
    if len(versions) > 1:
        return [f'versions: {result.item_id} is of {sorted(versions)}']
    output = _VERSION_MARK.sub(b'', result.output.encode()).decode()
    if output != expected:
        return [f'result: {result.item_id} of {job.job_id} has other text']
    return []


def _check_versions(observed: _observations.Observations) -> list[str]:
    """Finds streams with events of several versions, over all their tries."""
    versions: dict[str, set[bytes]] = {}
    for call in observed.calls:
        first = call.first or call
        found = versions.setdefault(first.request_id, set())
        found.update(_VERSION_MARK.findall(call.body))
    violations: list[str] = []
    for request_id, found in versions.items():
        if len(found) > 1:
            violations.append(f'versions: {request_id} is of {sorted(found)}')
    return violations


def _check_leaving(observed: _observations.Observations) -> list[str]:
    """Finds runs that began too long after their engine announced draining."""
    violations: list[str] = []
    engines = {engine.engine_id: engine for engine in observed.engines}
    for leaving in observed.leaving:
        for run in engines[leaving.engine_id].runs:
            if run.began_at_s < leaving.announced_at_s + DRAIN_PROPAGATION_S:
                continue
            if _is_undisturbed(
                observed, leaving.announced_at_s - UNDISTURBED_S, run.began_at_s
            ):
                violations.append(
                    f'leaving: {run.request_id} began at {leaving.engine_id}'
                    f' {run.began_at_s - leaving.announced_at_s:.1f} s after'
                )
    return violations


def _check_announced(observed: _observations.Observations) -> list[str]:
    """Finds requests to engines that had said in an answer that they leave.

    A gateway that passed such an answer on must not send the engine requests
    that callers send later than `DRAIN_S` after it, whatever the state of the
    store, unless the gateway itself was disturbed since.
    """
    first_at_s: dict[tuple[int, str], float] = {}
    for call in observed.calls:
        if call.leaving_engine and call.head_at_s is not None:
            key = (call.gateway, call.leaving_engine)
            earlier_s = first_at_s.get(key, call.head_at_s)
            first_at_s[key] = min(earlier_s, call.head_at_s)
    calls = {call.request_id: call for call in observed.calls}
    violations: list[str] = []
    for engine in observed.engines:
        for run in engine.runs:
            call = calls.get(run.request_id)
            if call is None:
                continue
            announced_at_s = first_at_s.get((call.gateway, engine.engine_id))
            if announced_at_s is None:
                continue
            if call.sent_at_s < announced_at_s + DRAIN_S:
                continue
            disturbances = observed.gateway_disturbances[call.gateway]
            if any(
                disturbance.overlaps(announced_at_s, run.began_at_s)
                for disturbance in disturbances
            ):
                continue
            violations.append(
                f'announced: {run.request_id} began at {engine.engine_id}'
                f' {call.sent_at_s - announced_at_s:.1f} s after its answer'
            )
    return violations


def _check_crashing_part(observed: _observations.Observations) -> list[str]:
    """Finds requests with the crashing part that should have been refused.

    Those count that came later than a window after the fifth crash, at gateways
    that were not disturbed in between.
    """
    if len(observed.part_crashes_at_s) < COUNTED_FROM_CRASH:
        return []
    fifth_at_s = sorted(observed.part_crashes_at_s)[COUNTED_FROM_CRASH - 1]
    calls = {call.request_id: call for call in observed.calls}
    late: list[str] = []
    for engine in observed.engines:
        for run in engine.runs:
            call = calls.get(run.request_id)
            if call is None or not call.has_crashing_part:
                continue
            if not engine.is_streaming:
                continue
            if run.began_at_s < fifth_at_s + PART_WINDOW_S:
                continue
            disturbances = observed.gateway_disturbances[call.gateway]
            if any(
                disturbance.overlaps(fifth_at_s, run.began_at_s)
                for disturbance in disturbances
            ):
                continue
            late.append(
                f'{run.request_id} {run.began_at_s - fifth_at_s:.1f} s after'
            )
    if len(late) <= MAX_LATE_RUNS:
        return []
    return [f'crashing part: {len(late)} runs, {late}']


def _check_limit(
    observed: _observations.Observations, limit: _observations.NamedLimit
) -> list[str]:
    """Finds the first window with more requests than an engine's rate allows.

    Requests of callers count, from gateways that were not disturbed since the
    rate was named.
    """
    calls = {call.request_id: call for call in observed.calls}
    engines = {engine.engine_id: engine for engine in observed.engines}
    counted: list[float] = []
    for run in engines[limit.engine_id].runs:
        call = calls.get(run.request_id)
        began_at_s = run.began_at_s
        if call is None or began_at_s < limit.named_at_s + LIMIT_STABLE_S:
            continue
        if began_at_s > limit.ended_at_s:
            continue
        disturbances = observed.gateway_disturbances[call.gateway]
        if not any(
            disturbance.overlaps(limit.named_at_s, began_at_s)
            for disturbance in disturbances
        ):
            counted.append(began_at_s)
    allowed = LIMIT_FACTOR * limit.per_s * LIMIT_WINDOW_S + LIMIT_EXTRA_REQUESTS
    for from_s in counted:
        count = sum(
            from_s <= at_s < from_s + LIMIT_WINDOW_S for at_s in counted
        )
        if count > allowed:
            return [
                f'limit: {limit.engine_id} got {count} requests in'
                f' {LIMIT_WINDOW_S} s at {limit.per_s} a second'
            ]
    return []


def _is_undisturbed(
    observed: _observations.Observations, from_s: float, to_s: float
) -> bool:
    """Returns whether no fault was active between two times."""
    disturbances = list(observed.store_disturbances)
    for of_gateway in observed.gateway_disturbances:
        disturbances.extend(of_gateway)
    return not any(
        disturbance.overlaps(from_s, to_s) for disturbance in disturbances
    )
