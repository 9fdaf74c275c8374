"""Runs a soak test and prints the violations found."""

import collections
import pathlib
import random
import tempfile
import time

from absl import app
from absl import flags
import trio

from tools.soak import _checker
from tools.soak import _observations
from tools.soak import _schedule
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
    """Returns 1 if a run had a violation, else 0."""
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
    """Runs one seed; returns whether no violation was found."""
    parent = _LOG_DIR.value or tempfile.gettempdir()
    directory = pathlib.Path(tempfile.mkdtemp(prefix='soak-', dir=parent))
    observed = trio.run(_soak_run.run_soak, seed, _SECONDS.value, directory)
    violations = _checker.find_violations(observed)
    print(f'seed {seed}: {_summarize(observed)}, violations: {len(violations)}')
    for violation in violations:
        print(f'  {violation}')
    if violations:
        for event in _schedule.create_schedule(seed, _SECONDS.value):
            print(f'  fault {event}')
        print(f'  logs: {directory}')
    return not violations


def _summarize(observed: _observations.Observations) -> str:
    """Summarizes the load of a run, as an idle run has no violations either."""
    statuses = collections.Counter(str(call.status) for call in observed.calls)
    accepted = sum(job.accepted_at_s is not None for job in observed.jobs)
    ended = sum(job.ended_at_s is not None for job in observed.jobs)
    return (
        f'calls {len(observed.calls)} {dict(statuses)}, jobs {len(observed.jobs)},'
        f' accepted {accepted}, ended {ended}'
    )


if __name__ == '__main__':
    app.run(main)
