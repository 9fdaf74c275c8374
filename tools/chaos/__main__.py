"""Runs a chaos test and prints the guarantees that were violated."""

import collections
import pathlib

from absl import app
from absl import flags
import trio

from tools.chaos import _chaos_run
from tools.chaos import _checker
from tools.chaos import _observations
from tools.chaos import _workload

_SEED = flags.DEFINE_integer('seed', 1, 'Seed of the faults and requests.')
_SECONDS = flags.DEFINE_float(
    'seconds', 60.0, 'Duration in which requests start.'
)
_DISABLED_MECHANISM = flags.DEFINE_enum_class(
    'without',
    _workload.DisabledMechanism.NONE,
    _workload.DisabledMechanism,
    'Mechanism to disable, to test that the checker detects it.',
)
_LOG_DIR = flags.DEFINE_string('logs', '', "Directory for the processes' logs.")


def main(unused_argv: list[str]) -> int:
    """Returns 1 if there was any violation, otherwise 0."""
    log_dir = pathlib.Path(_LOG_DIR.value) if _LOG_DIR.value else None
    observations = trio.run(
        _chaos_run.run_chaos,
        _SEED.value,
        _SECONDS.value,
        _DISABLED_MECHANISM.value,
        log_dir,
    )
    _print_summary(observations)
    violations = _checker.find_violations(observations)
    for violation in violations:
        print(violation)
    kinds = collections.Counter(
        violation.kind.value for violation in violations
    )
    details = ', '.join(f'{kind} {count}' for kind, count in kinds.items())
    print(f'violations: {len(violations)}' + (details and f' ({details})'))
    return 1 if violations else 0


def _print_summary(observations: _observations.Observations) -> None:
    """Prints how much work was done, so that an idle run is noticed."""
    failures: collections.Counter[str] = collections.Counter()
    for request in (*observations.online, *observations.plain):
        for failure in request.failures:
            failures[failure.code.name] += 1
    ended = sum(request.is_complete for request in observations.online)
    answered = sum(bool(call.answers) for call in observations.plain)
    finished = sum(job.is_finished for job in observations.jobs)
    cancelled = sum(job.cancelled_at_s is not None for job in observations.jobs)
    items = sum(
        len(job.prompts) for job in observations.jobs if job.is_finished
    )
    print(f'online: {ended} whole of {len(observations.online)}')
    print(f'plain: {answered} answered of {len(observations.plain)}')
    print(
        f'jobs: {finished} finished with {items} items, {cancelled} cancelled,'
        f' of {len(observations.jobs)}'
    )
    print(f'publications: {len(observations.publications)}')
    print(f'engine crashes: {observations.engine_crashes}')
    print(f'failures told: {dict(failures)}')


if __name__ == '__main__':
    app.run(main)
