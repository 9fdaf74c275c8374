"""Checks daemons and upstreams themselves."""

from tools.chaos import _observations
from tools.chaos import _violation

#: Upstreams that one request may take down.
MAX_CRASHES_PER_REQUEST = 2


def check_processes(
    seen: _observations.Observations,
) -> list[_violation.Violation]:
    """Returns broken invariants, faults, bad stops and spread crashes."""
    violations: list[_violation.Violation] = []
    for kind, lines in (
        (_violation.ViolationKind.INVARIANT, seen.invariant_lines),
        (_violation.ViolationKind.DAEMON_FAULT, seen.fault_lines),
        (_violation.ViolationKind.PLANNED_STOP, seen.bad_stops),
    ):
        for line in lines:
            violations.append(_violation.Violation(kind, line))
    violations.extend(_check_planned_stops(seen))
    prompts = {request.prompt for request in seen.online if request.is_poison}
    bound = MAX_CRASHES_PER_REQUEST * len(prompts)
    if seen.engine_crashes > bound:
        violations.append(
            _violation.Violation(
                _violation.ViolationKind.POISON_SPREAD,
                f'{seen.engine_crashes} crashes by {len(prompts)} requests',
            )
        )
    return violations


def _check_planned_stops(
    seen: _observations.Observations,
) -> list[_violation.Violation]:
    """Looks for answers that broke off while their entry was stopping."""
    violations: list[_violation.Violation] = []
    for request in seen.online:
        for broken in request.breaks:
            for span in seen.planned_stops:
                if span.vm != broken.entry_vm:
                    continue
                if not span.start_s <= broken.at_s <= span.end_s:
                    continue
                violations.append(
                    _violation.Violation(
                        _violation.ViolationKind.PLANNED_STOP,
                        f'{request.name} was cut by the stop of {span.vm}',
                    )
                )
    return violations
