"""Checks that an upstream that leaves gets no new work."""

from tools.chaos import _observations
from tools.chaos import _violation

LEAVING_GRACE_S = 5.0


def check_leaving(
    seen: _observations.Observations,
) -> list[_violation.Violation]:
    """Returns starts on upstreams that had been leaving for a while."""
    violations: list[_violation.Violation] = []
    for span in seen.leaving:
        for start in seen.starts:
            if start.vm != span.vm:
                continue
            late_s = start.at_s - span.start_s
            if late_s <= LEAVING_GRACE_S or start.at_s >= span.end_s:
                continue
            violations.append(
                _violation.Violation(
                    _violation.ViolationKind.WORK_AFTER_LEAVING,
                    f'{span.vm} took work {late_s:.1f} s after',
                )
            )
    return violations
