"""Checks batch jobs: each item once, results readable, cancelled ones stop."""

import collections

from standins import engine
from tools.chaos import _observations
from tools.chaos import _violation

#: Time for a cancellation to reach the sidecars.
CANCEL_GRACE_S = 3.0
_ITEM = _violation.ViolationKind.ITEM_RESULT


def check_jobs(
    seen: _observations.Observations,
) -> list[_violation.Violation]:
    """Returns what is wrong with the jobs."""
    violations: list[_violation.Violation] = []
    starts: dict[str, list[float]] = collections.defaultdict(list)
    effect_counts = collections.Counter(effect.name for effect in seen.effects)
    for start in seen.starts:
        starts[start.fingerprint].append(start.at_s)
    for job in seen.jobs:
        if not job.job_id:
            if not job.is_given_up:
                violations.append(
                    _violation.Violation(
                        _violation.ViolationKind.JOB_UNFINISHED,
                        f'{job.name} was neither accepted nor refused',
                    )
                )
            continue
        if job.cancelled_at_s is not None:
            violations.extend(_check_cancelled(job, starts))
        else:
            violations.extend(_check_finished(job))
        for reading in job.readings:
            violations.extend(_check_results(job, reading))
        violations.extend(_check_readings_agree(job))
        violations.extend(_check_effects(job, effect_counts))
    return violations


def _check_effects(
    job: _observations.JobObservation,
    effect_counts: collections.Counter[str],
) -> list[_violation.Violation]:
    """Looks for items that ran twice, or not though they are done."""
    if not job.is_plain:
        return []
    violations: list[_violation.Violation] = []
    for name in job.prompts:
        if effect_counts[name] > 1:
            violations.append(
                _violation.Violation(
                    _violation.ViolationKind.DOUBLED_EFFECT,
                    f'{name}: {effect_counts[name]} effects',
                )
            )
    for result in job.readings[-1] if job.readings else []:
        name = job.prompts[result.index]
        if result.state == 'done' and not effect_counts[name]:
            violations.append(
                _violation.Violation(_violation.ViolationKind.LOST_EFFECT, name)
            )
    return violations


def _check_cancelled(
    job: _observations.JobObservation, starts: dict[str, list[float]]
) -> list[_violation.Violation]:
    """Looks for items that started after the cancellation."""
    limit_s = (job.cancelled_at_s or 0.0) + CANCEL_GRACE_S
    violations: list[_violation.Violation] = []
    for index, prompt in enumerate(job.prompts):
        for at_s in starts.get(engine.fingerprint_content(prompt), []):
            if at_s <= limit_s:
                continue
            late_s = at_s - limit_s + CANCEL_GRACE_S
            violations.append(
                _violation.Violation(
                    _violation.ViolationKind.STARTED_AFTER_CANCEL,
                    f'{job.name}[{index}] {late_s:.1f} s after',
                )
            )
    return violations


def _check_finished(
    job: _observations.JobObservation,
) -> list[_violation.Violation]:
    """Looks for items without a result in the last reading."""
    if not job.is_finished:
        return [
            _violation.Violation(
                _violation.ViolationKind.JOB_UNFINISHED,
                f'{job.name}: {job.last_status}',
            )
        ]
    violations: list[_violation.Violation] = []
    if not job.readings:
        return [_violation.Violation(_ITEM, f'{job.name}: unreadable')]
    for reading in job.readings:
        missing = set(range(len(job.prompts)))
        missing -= {result.index for result in reading}
        if missing:
            violations.append(
                _violation.Violation(
                    _ITEM, f'{job.name}: no result of {sorted(missing)}'
                )
            )
    return violations


def _check_results(
    job: _observations.JobObservation,
    reading: list[_observations.ItemResult],
) -> list[_violation.Violation]:
    """Compares one reading with what the engines generate."""
    violations: list[_violation.Violation] = []
    counts = collections.Counter(result.index for result in reading)
    for index, count in counts.items():
        if count > 1:
            violations.append(
                _violation.Violation(
                    _ITEM, f'{job.name}[{index}]: {count} results'
                )
            )
    for result in reading:
        if job.is_plain:
            # It may have been lost with its upstream, and is not repeated.
            continue
        expected = ''.join(
            engine.expected_tokens(
                job.prompts[result.index], None, job.max_tokens
            )
        )
        if result.state == 'done' and result.text == expected:
            continue
        violations.append(
            _violation.Violation(
                _ITEM,
                f'{job.name}[{result.index}]: {result.state}'
                f' {result.reason!r} right={result.text == expected}',
            )
        )
    return violations


def _check_readings_agree(
    job: _observations.JobObservation,
) -> list[_violation.Violation]:
    """Looks for results that were there and then were not, or others."""
    violations: list[_violation.Violation] = []
    known: dict[int, tuple[str, str]] = {}
    for reading in job.readings:
        read = {result.index: (result.state, result.text) for result in reading}
        for index, outcome in known.items():
            if read.get(index) != outcome:
                violations.append(
                    _violation.Violation(
                        _ITEM, f'{job.name}[{index}]: changed or gone'
                    )
                )
        known.update(read)
    return violations
