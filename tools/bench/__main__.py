"""Runs the experiment: every arm once in each of several rounds."""

import math
import pathlib

from absl import app
from absl import flags

from tools import bench
from tools.bench import _plot

_SETTING = flags.DEFINE_enum(
    'setting', 'all', ['all', *bench.SETTINGS], 'Fleet and load to run.'
)
_QUICK = flags.DEFINE_bool('quick', False, 'A run of about a minute.')
_ROUNDS = flags.DEFINE_integer('rounds', 4, 'Rounds.')
_MEASURED_S = flags.DEFINE_float('measured_s', 20.0, 'Measured time of an arm.')
_WARM_UP_S = flags.DEFINE_float('warm_up_s', 3.0, 'Time before it.')
_SEED = flags.DEFINE_integer('seed', 1, 'Decides loads and order.')
_ARMS = flags.DEFINE_list(
    'arms', [arm.value for arm in bench.Arm], 'Arms to run.'
)
_BATCH_SOURCE = flags.DEFINE_enum_class(
    'batch_source',
    bench.BatchSourceKind.JOBS,
    bench.BatchSourceKind,
    'How batch items reach the sidecars.',
)
_FAULT = flags.DEFINE_enum_class(
    'fault',
    bench.FaultKind.NONE,
    bench.FaultKind,
    'What goes wrong in the middle of every arm.',
)
_MAX_SEND_LAG_MS = flags.DEFINE_float(
    'max_send_lag_ms', 20.0, 'An arm is run again if sending lags more at p99.'
)
_OUT_DIR = flags.DEFINE_string('out_dir', 'out/bench', 'Where results go.')
_COMPARE_WITH = flags.DEFINE_string(
    'compare_with', '', 'Directory with the results of an earlier run.'
)

QUICK_SETTING = 'roadhaven'
QUICK_ROUNDS = 1
QUICK_MEASURED_S = 4.0
QUICK_WARM_UP_S = 1.0


def run_setting(
    setting: bench.BenchSetting, plan: bench.BenchPlan, arms: list[bench.Arm]
) -> bool:
    """Runs one setting, prints its summaries and writes its results.

    Returns:
        Whether every arm ran and gave no wrong answers.
    """
    experiment = bench.run_experiment(setting, plan, arms)
    summaries = bench.summarize(setting, experiment.results)
    out_dir = pathlib.Path(_OUT_DIR.value)
    path = out_dir / f'{setting.name}.json'
    print('\n'.join(bench.format_summaries(summaries)))
    if _COMPARE_WITH.value:
        earlier = pathlib.Path(_COMPARE_WITH.value) / path.name
        print('\n'.join(bench.compare_with_earlier(earlier, summaries)))
    bench.write_results(path, setting, plan, experiment, summaries)
    _plot.draw_summaries(path.with_suffix('.png'), setting, summaries)
    print(f'results: {path}')
    arms_with_wrong_answers = [
        summary.arm.value
        for summary in summaries
        if summary.wrong_items or summary.online_outcomes.get('wrong')
    ]
    if arms_with_wrong_answers:
        print(f'wrong answers in: {", ".join(arms_with_wrong_answers)}')
    print(f'runs repeated because of send lag: {len(experiment.disturbed)}')
    for failure in experiment.failures:
        print(f'not run: {failure}')
    if not experiment.finished:
        raise SystemExit('stopped by a signal')
    return not arms_with_wrong_answers and not experiment.failures


def main(unused_argv: list[str]) -> int:
    """Runs the chosen settings.

    Returns:
        The exit status: 1 after wrong answers or arms that failed.
    """
    names = list(bench.SETTINGS)
    if _SETTING.value != 'all':
        names = [_SETTING.value]
    elif _QUICK.value:
        names = [QUICK_SETTING]
    plan = bench.BenchPlan(
        rounds=QUICK_ROUNDS if _QUICK.value else _ROUNDS.value,
        warm_up_s=QUICK_WARM_UP_S if _QUICK.value else _WARM_UP_S.value,
        measured_s=QUICK_MEASURED_S if _QUICK.value else _MEASURED_S.value,
        seed=_SEED.value,
        batch_source=_BATCH_SOURCE.value,
        fault=_FAULT.value,
        max_send_lag_ms=math.inf if _QUICK.value else _MAX_SEND_LAG_MS.value,
    )
    arms = [bench.Arm(name) for name in _ARMS.value]
    all_succeeded = True
    for name in names:
        all_succeeded &= run_setting(bench.SETTINGS[name](), plan, arms)
    return 0 if all_succeeded else 1


if __name__ == '__main__':
    app.run(main)
