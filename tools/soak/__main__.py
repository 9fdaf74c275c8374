"""Runs a soak and says what was violated."""

import collections
import pathlib
import random
import tempfile
import time

from absl import app
from absl import flags
import trio

from tools.soak import _checker
from tools.soak import _schedule
from tools.soak import _seen
from tools.soak import _soak_run

_SEED = flags.DEFINE_integer('seed', None, 'First seed; by default a new one.')
_RUNS = flags.DEFINE_integer('runs', 1, 'Runs, with seeds that follow.')
_SECONDS = flags.DEFINE_float('seconds', 20.0, 'How long requests are sent.')
_LOG_DIR = flags.DEFINE_string(
    'logs',
    '',
    "Where the processes' logs are kept; by default only of runs"
    ' that fail, in a temporary directory.',
)
_SEED_BOUND = 1_000_000


def main(unused_argv: list[str]) -> int:
    """Returns 1 if anything was violated."""
    first_seed = _SEED.value
    if first_seed is None:
        first_seed = random.Random(time.time_ns()).randrange(_SEED_BOUND)
    failed: list[int] = []
    for seed in range(first_seed, first_seed + _RUNS.value):
        if not _run_once(seed):
            failed.append(seed)
    print(f'runs: {_RUNS.value}, failed seeds: {failed}')
    return 1 if failed else 0


def _run_once(seed: int) -> bool:
    """Runs one seed; returns whether everything was kept."""
    parent = _LOG_DIR.value or tempfile.gettempdir()
    directory = pathlib.Path(tempfile.mkdtemp(prefix='soak-', dir=parent))
    seen = trio.run(_soak_run.run_soak, seed, _SECONDS.value, directory)
    violations = _checker.find_violations(seen)
    print(f'seed {seed}: {_summarize(seen)}, violations: {len(violations)}')
    for violation in violations:
        print(f'  {violation}')
    if violations:
        for event in _schedule.create_schedule(seed, _SECONDS.value):
            print(f'  fault {event}')
        print(f'  logs: {directory}')
    return not violations


def _summarize(seen: _seen.Seen) -> str:
    """Returns how much was done, so that an idle run is not taken for a good one."""
    statuses = collections.Counter(str(call.status) for call in seen.calls)
    accepted = sum(job.accepted_at_s is not None for job in seen.jobs)
    ended = sum(job.ended_at_s is not None for job in seen.jobs)
    return (
        f'calls {len(seen.calls)} {dict(statuses)}, jobs {len(seen.jobs)},'
        f' accepted {accepted}, ended {ended}'
    )


if __name__ == '__main__':
    app.run(main)
