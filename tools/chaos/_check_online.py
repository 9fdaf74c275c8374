"""Checks streamed requests: complete answers and correct refusals."""

import collections

from siskinmount import results
from standins import engine
from tools.chaos import _observations
from tools.chaos import _violation


def check_online(
    observations: _observations.Observations,
) -> list[_violation.Violation]:
    """Returns violations by streamed requests."""
    violations: list[_violation.Violation] = []
    start_counts = collections.Counter(
        start.fingerprint for start in observations.starts
    )
    for request in observations.online:
        if not request.is_poison:
            violations.extend(_check_answer(request))
            violations.extend(_check_quarantine(request))
            started = start_counts[engine.fingerprint_content(request.prompt)]
            violations.extend(_check_not_run(request, started))
    return violations


def _check_answer(
    request: _observations.OnlineObservation,
) -> list[_violation.Violation]:
    """Compares the tokens with those that the engines generate."""
    expected = engine.expected_tokens(request.prompt, None, request.max_tokens)
    count = len(request.tokens)
    is_prefix = request.tokens == expected[:count]
    if not is_prefix or (request.is_complete and count != len(expected)):
        return [
            _violation.Violation(
                _violation.ViolationKind.WRONG_ANSWER,
                f'{request.name}: {count} tokens of {len(expected)},'
                f' prefix={is_prefix} ended={request.is_complete}',
            )
        ]
    if request.is_complete or _is_refused(request):
        return []
    return [
        _violation.Violation(
            _violation.ViolationKind.UNANSWERED,
            f'{request.name}: {count} tokens of {len(expected)},'
            f' failures={request.failures}',
        )
    ]


def _is_refused(request: _observations.OnlineObservation) -> bool:
    """Returns whether the caller gave up after a refusal as not run."""
    if request.tokens or not request.failures or not request.gave_up:
        return False
    return request.failures[-1].run_state is results.RunState.NOT_RUN


def _check_quarantine(
    request: _observations.OnlineObservation,
) -> list[_violation.Violation]:
    for failure in request.failures:
        if failure.code is results.ResultCode.REQUEST_CONVICTED:
            return [
                _violation.Violation(
                    _violation.ViolationKind.INNOCENT_CONVICTED, request.name
                )
            ]
    return []


def _check_not_run(
    request: _observations.OnlineObservation, started: int
) -> list[_violation.Violation]:
    """Finds a started request of which every send was refused as not run."""
    if not started or request.lost_answer_count or not request.failures:
        return []
    if request.tokens or request.is_complete:
        return []
    for failure in request.failures:
        if failure.run_state is not results.RunState.NOT_RUN:
            return []
    return [
        _violation.Violation(
            _violation.ViolationKind.FALSE_NOT_RUN,
            f'{request.name}: {request.failures} but {started} starts',
        )
    ]
