"""Checks how daemons and upstreams ran, stopped and crashed."""

from tools.chaos import _observations
from tools.chaos import _violation

#: Number of upstreams that one poison request may crash.
MAX_CRASHES_PER_REQUEST = 2


def check_processes(
    observations: _observations.Observations,
) -> list[_violation.Violation]:
    """Returns broken invariants, faults, failed stops and excess crashes."""
    violations: list[_violation.Violation] = []
    for kind, lines in (
        (_violation.ViolationKind.INVARIANT, observations.invariant_lines),
        (_violation.ViolationKind.DAEMON_FAULT, observations.fault_lines),
        (_violation.ViolationKind.PLANNED_STOP, observations.failed_stops),
    ):
        for line in lines:
            violations.append(_violation.Violation(kind, line))
    violations.extend(_check_planned_stops(observations))
    prompts = {
        request.prompt for request in observations.online if request.is_poison
    }
    bound = MAX_CRASHES_PER_REQUEST * len(prompts)
    if observations.engine_crashes > bound:
        violations.append(
            _violation.Violation(
                _violation.ViolationKind.POISON_SPREAD,
                f'{observations.engine_crashes} crashes by {len(prompts)} requests',
            )
        )
    return violations


def _check_planned_stops(
    observations: _observations.Observations,
) -> list[_violation.Violation]:
    """Finds answers that broke off during the planned stop of their entry."""
    violations: list[_violation.Violation] = []
    for request in observations.online:
        for broken in request.broken_connections:
            for span in observations.planned_stop_spans:
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
