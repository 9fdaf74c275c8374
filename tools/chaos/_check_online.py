"""Checks streamed requests: whole answers, and true refusals."""

import collections

from siskinmount import results
from standins import engine
from tools.chaos import _observations
from tools.chaos import _violation


def check_online(
    seen: _observations.Observations,
) -> list[_violation.Violation]:
    """Returns what is wrong with the answers to streamed requests."""
    violations: list[_violation.Violation] = []
    start_counts = collections.Counter(
        start.fingerprint for start in seen.starts
    )
    for request in seen.online:
        if not request.is_poison:
            violations.extend(_check_answer(request))
            violations.extend(_check_conviction(request))
            started = start_counts[engine.fingerprint_content(request.prompt)]
            violations.extend(_check_not_run(request, started))
    return violations


def _check_answer(
    request: _observations.OnlineObservation,
) -> list[_violation.Violation]:
    """Compares the tokens with what the engines generate."""
    expected = engine.expected_tokens(request.prompt, None, request.max_tokens)
    count = len(request.texts)
    is_prefix = request.texts == expected[:count]
    if not is_prefix or (request.ended and count != len(expected)):
        return [
            _violation.Violation(
                _violation.ViolationKind.WRONG_ANSWER,
                f'{request.name}: {count} tokens of {len(expected)},'
                f' prefix={is_prefix} ended={request.ended}',
            )
        ]
    if request.ended or _is_refused(request):
        return []
    return [
        _violation.Violation(
            _violation.ViolationKind.UNANSWERED,
            f'{request.name}: {count} tokens of {len(expected)},'
            f' failures={request.failures}',
        )
    ]


def _is_refused(request: _observations.OnlineObservation) -> bool:
    """Returns whether the caller was told that nothing ran, and left it so."""
    if request.texts or not request.failures or not request.is_given_up:
        return False
    return request.failures[-1].run_state is results.RunState.NOT_RUN


def _check_conviction(
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
    """Looks for a start of a request of which every send was refused."""
    if not started or request.lost_count or not request.failures:
        return []
    if request.texts or request.ended:
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
