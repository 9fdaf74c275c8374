"""Runs all arms in turns, in several rounds."""

from collections.abc import AsyncIterator
import random
import signal
import time

import trio

from tools.bench import _arm_run
from tools.bench import _plan
from tools.bench import _settings

MAX_REASON_CHARACTERS = 2000
#: Runs of an arm in one round, while the machine disturbs them.
MAX_RUNS_OF_TURN = 3
SEND_LAG_PERCENTILE = 99.0


class Experiment:
    """What an experiment has brought.

    Attributes:
        results: Results of the arms that ran.
        disturbed: Results that were replaced by another run of the arm,
            because the load generator itself fell behind.
        failures: Why the others did not, one text each.
        finished: Whether every arm had its turn in every round.
    """

    __slots__ = ('results', 'disturbed', 'failures', 'finished')

    def __init__(self) -> None:
        self.results: list[_arm_run.ArmResult] = []
        self.disturbed: list[_arm_run.ArmResult] = []
        self.failures: list[str] = []
        self.finished = False


def run_experiment(
    setting: _settings.BenchSetting,
    plan: _plan.BenchPlan,
    arms: list[_settings.Arm],
) -> Experiment:
    """Runs every arm once in each round, in an order drawn for the round.

    An arm that fails is noted, and the others go on. A signal to stop ends
    all processes; what ran until then is returned.
    """
    experiment = Experiment()
    trio.run(_run_until_signal, experiment, setting, plan, arms)
    return experiment


async def _run_until_signal(
    experiment: Experiment,
    setting: _settings.BenchSetting,
    plan: _plan.BenchPlan,
    arms: list[_settings.Arm],
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_at_signal, signals, nursery.cancel_scope)
            await _run_rounds(experiment, setting, plan, arms)
            experiment.finished = True
            nursery.cancel_scope.cancel()


async def _cancel_at_signal(
    signals: AsyncIterator[int], scope: trio.CancelScope
) -> None:
    """Cancels a scope at the first signal."""
    await anext(signals)
    scope.cancel()


async def _run_rounds(
    experiment: Experiment,
    setting: _settings.BenchSetting,
    plan: _plan.BenchPlan,
    arms: list[_settings.Arm],
) -> None:
    source = random.Random(plan.seed)
    for round_number in range(plan.rounds):
        for arm in source.sample(arms, len(arms)):
            await _run_turn(experiment, setting, plan, arm, round_number)


async def _run_turn(
    experiment: Experiment,
    setting: _settings.BenchSetting,
    plan: _plan.BenchPlan,
    arm: _settings.Arm,
    round_number: int,
) -> None:
    """Runs an arm, again while the load generator falls behind."""
    name = f'{setting.name} round {round_number} {arm.value}'
    runs: list[_arm_run.ArmResult] = []
    for _ in range(MAX_RUNS_OF_TURN):
        began_s = time.monotonic()
        try:
            result = await _arm_run.run_arm(setting, plan, arm, round_number)
        except Exception as error:
            reason = _describe(error)[:MAX_REASON_CHARACTERS]
            experiment.failures.append(f'{name}: {reason}')
            print(f'{name}: FAILED: {reason}', flush=True)
            break
        runs.append(result)
        send_lag_ms = result.online.send_lag.find_percentile_ms(
            SEND_LAG_PERCENTILE
        )
        print(
            f'{name}: {time.monotonic() - began_s:.1f} s,'
            f' {result.online.outcomes.total()} online requests,'
            f' {result.batch.done_items} batch items,'
            f' send lag p99 {send_lag_ms:.1f} ms',
            flush=True,
        )
        if send_lag_ms <= plan.max_send_lag_ms:
            break
    # The newest run counts, also if no quiet one followed.
    experiment.results.extend(runs[-1:])
    experiment.disturbed.extend(runs[:-1])


def _describe(error: BaseException) -> str:
    """Returns the reasons within an error or a group of them."""
    if isinstance(error, BaseExceptionGroup):
        return '; '.join(_describe(inner) for inner in error.exceptions)
    return f'{type(error).__name__}: {error}'
