"""Runs the experiment: all arms take turns in several rounds."""

from collections.abc import AsyncIterator
import pathlib
import random
import signal
import time

from absl import app
from absl import flags
import trio

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
_OUT_DIR = flags.DEFINE_string('out_dir', 'out/bench', 'Where results go.')
_COMPARE_WITH = flags.DEFINE_string(
    'compare_with', '', 'Directory with the results of an earlier run.'
)

QUICK_SETTING = 'roadhaven'
QUICK_ROUNDS = 1
QUICK_MEASURED_S = 4.0
QUICK_WARM_UP_S = 1.0


async def run_experiment(
    setting: bench.BenchSetting, plan: bench.BenchPlan, arms: list[bench.Arm]
) -> list[bench.ArmResult]:
    """Runs every arm once in each round, in an order drawn for the round."""
    source = random.Random(plan.seed)
    found: list[bench.ArmResult] = []
    for round_number in range(plan.rounds):
        for arm in source.sample(arms, len(arms)):
            began_s = time.monotonic()
            result = await bench.run_arm(setting, plan, arm, round_number)
            found.append(result)
            print(
                f'{setting.name} round {round_number} {arm.value}:'
                f' {time.monotonic() - began_s:.1f} s,'
                f' {sum(result.online.outcomes.values())} online requests,'
                f' {result.batch.done_items} batch items',
                flush=True,
            )
    return found


async def _run_until_signal(
    setting: bench.BenchSetting,
    plan: bench.BenchPlan,
    arms: list[bench.Arm],
) -> list[bench.ArmResult]:
    """Runs the experiment; a signal to stop ends its processes first."""
    finished = False
    results: list[bench.ArmResult] = []
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_at_signal, signals, nursery.cancel_scope)
            results = await run_experiment(setting, plan, arms)
            finished = True
            nursery.cancel_scope.cancel()
    if not finished:
        raise SystemExit('stopped by a signal')
    return results


async def _cancel_at_signal(
    signals: AsyncIterator[int], scope: trio.CancelScope
) -> None:
    """Cancels a scope at the first signal."""
    await anext(signals)
    scope.cancel()


def run_setting(
    setting: bench.BenchSetting, plan: bench.BenchPlan, arms: list[bench.Arm]
) -> bool:
    """Runs one setting and writes its results; tells if answers were right."""
    results = trio.run(_run_until_signal, setting, plan, arms)
    summaries = bench.summarize(setting, results)
    out_dir = pathlib.Path(_OUT_DIR.value)
    path = out_dir / f'{setting.name}.json'
    print('\n'.join(bench.format_summaries(summaries)))
    if _COMPARE_WITH.value:
        earlier = pathlib.Path(_COMPARE_WITH.value) / path.name
        print('\n'.join(bench.compare_with_earlier(earlier, summaries)))
    bench.write_results(path, setting, plan, results, summaries)
    _plot.draw_summaries(path.with_suffix('.png'), setting, summaries)
    print(f'results: {path}')
    wrong = [
        summary.arm.value
        for summary in summaries
        if summary.wrong_items or summary.online_outcomes.get('wrong')
    ]
    if wrong:
        print(f'wrong answers in: {", ".join(wrong)}')
    return not wrong


def main(unused_argv: list[str]) -> int:
    """Runs the chosen settings; the exit status is 1 after wrong answers."""
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
    )
    arms = [bench.Arm(name) for name in _ARMS.value]
    all_right = True
    for name in names:
        all_right &= run_setting(bench.SETTINGS[name](), plan, arms)
    return 0 if all_right else 1


if __name__ == '__main__':
    app.run(main)
