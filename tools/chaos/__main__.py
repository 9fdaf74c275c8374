"""Runs chaos and says what was violated."""

import collections
import pathlib

from absl import app
from absl import flags
import trio

from tools.chaos import _chaos_run
from tools.chaos import _checker
from tools.chaos import _observations
from tools.chaos import _workload

_SEED = flags.DEFINE_integer('seed', 1, 'Decides faults and requests.')
_SECONDS = flags.DEFINE_float('seconds', 60.0, 'How long requests start.')
_WITHOUT = flags.DEFINE_enum_class(
    'without',
    _workload.Omission.NONE,
    _workload.Omission,
    'Mechanism to leave out, for tests of the checker itself.',
)
_LOG_DIR = flags.DEFINE_string('logs', '', "Where to keep processes' logs.")


def main(unused_argv: list[str]) -> int:
    """Returns 1 if anything was violated."""
    log_dir = pathlib.Path(_LOG_DIR.value) if _LOG_DIR.value else None
    seen = trio.run(
        _chaos_run.run_chaos,
        _SEED.value,
        _SECONDS.value,
        _WITHOUT.value,
        log_dir,
    )
    _print_summary(seen)
    violations = _checker.find_violations(seen)
    for violation in violations:
        print(violation)
    kinds = collections.Counter(
        violation.kind.value for violation in violations
    )
    details = ', '.join(f'{kind} {count}' for kind, count in kinds.items())
    print(f'violations: {len(violations)}' + (details and f' ({details})'))
    return 1 if violations else 0


def _print_summary(seen: _observations.Observations) -> None:
    """Prints how much was done, so that an idle run is not taken for a good one."""
    failures: collections.Counter[str] = collections.Counter()
    for request in (*seen.online, *seen.plain):
        for failure in request.failures:
            failures[failure.code.name] += 1
    ended = sum(request.ended for request in seen.online)
    answered = sum(bool(call.answers) for call in seen.plain)
    finished = sum(job.is_finished for job in seen.jobs)
    cancelled = sum(job.cancelled_at_s is not None for job in seen.jobs)
    items = sum(len(job.prompts) for job in seen.jobs if job.is_finished)
    print(f'online: {ended} whole of {len(seen.online)}')
    print(f'plain: {answered} answered of {len(seen.plain)}')
    print(
        f'jobs: {finished} finished with {items} items, {cancelled} cancelled,'
        f' of {len(seen.jobs)}'
    )
    print(f'publications: {len(seen.publications)}')
    print(f'engine crashes: {seen.engine_crashes}')
    print(f'failures told: {dict(failures)}')


if __name__ == '__main__':
    app.run(main)
