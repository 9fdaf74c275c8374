"""Runs all measurements in sequence, prints and writes their figures."""

import pathlib
import sys

from absl import app
from absl import flags
import orjson
import trio

from tools.slopes import _capacity
from tools.slopes import _figures

_QUICK = flags.DEFINE_bool('quick', False, 'Fewer calls, in less time.')
_RESULTS = flags.DEFINE_string(
    'results', 'out/slopes.json', 'File for the figures as JSON.'
)

_FULL_ARGUMENTS = {
    'control_slopes': [],
    'state_slopes': ['--items=100000'],
    'sidecar_slopes': [],
    'entry_slopes': [],
}
_QUICK_ARGUMENTS = {
    'control_slopes': ['--calls=500', '--decisions=1000'],
    'state_slopes': ['--items=10000'],
    'sidecar_slopes': ['--idle_s=4', '--requests=60'],
    'entry_slopes': [
        '--idle_s=4',
        '--requests=60',
        '--items=500',
        '--jobs=10',
        '--streams=60',
        '--callers=500',
        '--changes=2',
    ],
}


async def _run_measurement(
    name: str, arguments: list[str]
) -> list[_figures.Figure]:
    """Runs one measurement in a process and prints its figures.

    Raises:
        RuntimeError: The process exited with an error.
    """
    finished = await trio.run_process(
        [sys.executable, '-m', f'tools.slopes.{name}', *arguments],
        capture_stdout=True,
        capture_stderr=True,
        check=False,
    )
    if finished.returncode != 0:
        tail = finished.stderr[-2000:].decode('utf-8', 'replace')
        raise RuntimeError(f'measurement {name} failed: {tail}')
    figures = _figures.parse_figures(finished.stdout)
    for figure in figures:
        print(
            f'{name:15} {figure.name:36} {figure.value:12.4f}  {figure.unit}',
            flush=True,
        )
    return figures


async def _run_all() -> dict[str, list[_figures.Figure]]:
    """Runs all measurements."""
    arguments = _QUICK_ARGUMENTS if _QUICK.value else _FULL_ARGUMENTS
    measured: dict[str, list[_figures.Figure]] = {}
    for name, measurement_arguments in arguments.items():
        measured[name] = await _run_measurement(name, measurement_arguments)
    return measured


def _write_results(measured: dict[str, list[_figures.Figure]]) -> None:
    """Writes all figures as JSON."""
    document: dict[str, list[dict[str, object]]] = {}
    for name, figures in measured.items():
        document[name] = [figure.describe() for figure in figures]
    path = pathlib.Path(_RESULTS.value)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(orjson.dumps(document, option=orjson.OPT_INDENT_2))


def main(unused_argv: list[str]) -> None:
    """Runs all measurements and computes the costs at the target size."""
    measured = trio.run(_run_all)
    _write_results(measured)
    slopes = _capacity.read_slopes(measured)
    print('\nAt the aimed size, worked out from these figures:\n')
    for figure in _capacity.compute_costs(_capacity.CapacityTarget(), slopes):
        print(f'{figure.name:58} {figure.value:12.2f}  {figure.unit}')


if __name__ == '__main__':
    app.run(main)
