"""Checks that batch jobs finish with right results, and that cancels work."""

import collections

from standins import engine
from tools.chaos import _observations
from tools.chaos import _violation

#: Time for a cancellation to reach the sidecars.
CANCEL_GRACE_S = 3.0
_ITEM_RESULT = _violation.ViolationKind.ITEM_RESULT


def check_jobs(
    observations: _observations.Observations,
) -> list[_violation.Violation]:
    """Returns violations by batch jobs."""
    violations: list[_violation.Violation] = []
    starts: dict[str, list[float]] = collections.defaultdict(list)
    effect_counts = collections.Counter(
        effect.name for effect in observations.effects
    )
    for start in observations.starts:
        starts[start.fingerprint].append(start.at_s)
    for job in observations.jobs:
        if not job.job_id:
            if not job.gave_up:
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
    """Finds items that ran more than once, or are done but never ran."""
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
    """Finds items that started after the cancellation and its grace period."""
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
    """Finds unfinished jobs and readings without a result for every item."""
    if not job.is_finished:
        return [
            _violation.Violation(
                _violation.ViolationKind.JOB_UNFINISHED,
                f'{job.name}: {job.last_status}',
            )
        ]
    violations: list[_violation.Violation] = []
    if not job.readings:
        return [_violation.Violation(_ITEM_RESULT, f'{job.name}: unreadable')]
    for reading in job.readings:
        missing = set(range(len(job.prompts)))
        missing -= {result.index for result in reading}
        if missing:
            violations.append(
                _violation.Violation(
                    _ITEM_RESULT, f'{job.name}: no result of {sorted(missing)}'
                )
            )
    return violations


def _check_results(
    job: _observations.JobObservation,
    reading: list[_observations.ItemResult],
) -> list[_violation.Violation]:
    """Finds duplicate results, and results that differ from the expected."""
    violations: list[_violation.Violation] = []
    counts = collections.Counter(result.index for result in reading)
    for index, count in counts.items():
        if count > 1:
            violations.append(
                _violation.Violation(
                    _ITEM_RESULT, f'{job.name}[{index}]: {count} results'
                )
            )
    for result in reading:
        if job.is_plain:
            # The item may have been lost with its upstream; it is not run
            # again, so any state is allowed.
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
                _ITEM_RESULT,
                f'{job.name}[{result.index}]: {result.state}'
                f' {result.reason!r} right={result.text == expected}',
            )
        )
    return violations


def _check_readings_agree(
    job: _observations.JobObservation,
) -> list[_violation.Violation]:
    """Finds results that a later reading lacks or has with another value."""
    violations: list[_violation.Violation] = []
    known: dict[int, tuple[str, str]] = {}
    for reading in job.readings:
        read = {result.index: (result.state, result.text) for result in reading}
        for index, outcome in known.items():
            if read.get(index) != outcome:
                violations.append(
                    _violation.Violation(
                        _ITEM_RESULT, f'{job.name}[{index}]: changed or gone'
                    )
                )
        known.update(read)
    return violations
