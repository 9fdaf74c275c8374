"""Checks that an upstream that is leaving the fleet gets no new work."""

from standins import engine
from tools.chaos import _observations
from tools.chaos import _violation

LEAVING_GRACE_S = 5.0


def check_leaving(
    observations: _observations.Observations,
) -> list[_violation.Violation]:
    """Returns violations by upstreams that started work while leaving."""
    batch_fingerprints: set[str] = set()
    for job in observations.jobs:
        for prompt in job.prompts:
            batch_fingerprints.add(engine.fingerprint_content(prompt))
    violations: list[_violation.Violation] = []
    for span in observations.leaving_spans:
        late = _find_late_starts(observations, span)
        if not late:
            continue
        last_s = max(start.at_s for start in late) - span.start_s
        batch_count = sum(
            start.fingerprint in batch_fingerprints for start in late
        )
        violations.append(
            _violation.Violation(
                _violation.ViolationKind.WORK_AFTER_LEAVING,
                f'{span.vm} took {len(late)} requests, {batch_count} of them'
                f' batch items, up to {last_s:.1f} s after',
            )
        )
    return violations


def _find_late_starts(
    observations: _observations.Observations, span: _observations.Span
) -> list[_observations.RequestStart]:
    """Returns the starts on a leaving upstream after the grace period."""
    late: list[_observations.RequestStart] = []
    for start in observations.starts:
        if start.vm != span.vm:
            continue
        if span.start_s + LEAVING_GRACE_S < start.at_s < span.end_s:
            late.append(start)
    return late
