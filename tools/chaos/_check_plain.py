"""Checks calls that may run at most once against the services' effects."""

import collections

from siskinmount import results
from tools.chaos import _observations
from tools.chaos import _violation


def check_plain(
    seen: _observations.Observations,
) -> list[_violation.Violation]:
    """Returns what is wrong with the calls and their effects."""
    violations: list[_violation.Violation] = []
    counts = collections.Counter(effect.name for effect in seen.effects)
    for call in seen.plain:
        violations.extend(_check_call(call, counts[call.name]))
    return violations


def _check_call(
    call: _observations.PlainObservation, effect_count: int
) -> list[_violation.Violation]:
    violations: list[_violation.Violation] = []
    if effect_count > 1:
        violations.append(
            _violation.Violation(
                _violation.ViolationKind.DOUBLED_EFFECT,
                f'{call.name}: {effect_count} effects',
            )
        )
    if call.answers and not effect_count:
        violations.append(
            _violation.Violation(
                _violation.ViolationKind.LOST_EFFECT, call.name
            )
        )
    if not call.is_settled:
        violations.append(
            _violation.Violation(
                _violation.ViolationKind.UNANSWERED,
                f'{call.name}: {len(call.failures)} failures, the last'
                f' {call.failures[-1:]}',
            )
        )
    bodies = {(answer.status, answer.body) for answer in call.answers}
    if len(bodies) > 1:
        violations.append(
            _violation.Violation(
                _violation.ViolationKind.CHANGED_OUTCOME,
                f'{call.name}: {sorted(bodies)}',
            )
        )
    if effect_count and _was_never_run(call):
        violations.append(
            _violation.Violation(
                _violation.ViolationKind.FALSE_NOT_RUN,
                f'{call.name}: {call.failures} but {effect_count} effects',
            )
        )
    return violations


def _was_never_run(call: _observations.PlainObservation) -> bool:
    """Returns whether every send was answered as not run."""
    if call.answers or call.lost_count or not call.failures:
        return False
    for failure in call.failures:
        if failure.run_state is not results.RunState.NOT_RUN:
            return False
    return True
