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


class Experiment:
    """What an experiment has brought.

    Attributes:
        results: Results of the arms that ran.
        failures: Why the others did not, one text each.
        finished: Whether every arm had its turn in every round.
    """

    __slots__ = ('results', 'failures', 'finished')

    def __init__(self) -> None:
        self.results: list[_arm_run.ArmResult] = []
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
            name = f'{setting.name} round {round_number} {arm.value}'
            began_s = time.monotonic()
            try:
                result = await _arm_run.run_arm(
                    setting, plan, arm, round_number
                )
            except Exception as error:
                reason = _describe(error)[:MAX_REASON_CHARACTERS]
                experiment.failures.append(f'{name}: {reason}')
                print(f'{name}: FAILED: {reason}', flush=True)
                continue
            experiment.results.append(result)
            print(
                f'{name}: {time.monotonic() - began_s:.1f} s,'
                f' {result.online.outcomes.total()} online requests,'
                f' {result.batch.done_items} batch items',
                flush=True,
            )


def _describe(error: BaseException) -> str:
    """Returns the reasons within an error or a group of them."""
    if isinstance(error, BaseExceptionGroup):
        return '; '.join(_describe(inner) for inner in error.exceptions)
    return f'{type(error).__name__}: {error}'
