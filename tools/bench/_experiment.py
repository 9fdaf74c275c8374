"""Runs every arm once in each of several rounds."""

from collections.abc import AsyncIterator
import random
import signal
import time

import trio

from tools.bench import _arm_run
from tools.bench import _plan
from tools.bench import _settings

MAX_REASON_CHARACTERS = 2000
#: Maximum runs of an arm in one round; a run in which the load generator
#: falls behind is repeated.
MAX_RUNS_PER_ROUND = 3
SEND_LAG_PERCENTILE = 99.0


class Experiment:
    """Outcome of an experiment.

    Attributes:
        results: Results of the arms that ran, one for each round.
        disturbed: Results that a repeated run of the arm replaced, because
            the load generator itself fell behind.
        failures: One error text for each run that failed.
        finished: Whether every arm was run in every round; False after a
            signal to stop.
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
    """Runs every arm once in each round, in a random order for each round.

    After an arm's failure, which is recorded, the next arms still run.
    SIGTERM or SIGINT stops all processes; the results so far are returned.
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
    """Cancels a scope on the first signal."""
    await anext(signals)
    scope.cancel()


async def _run_rounds(
    experiment: Experiment,
    setting: _settings.BenchSetting,
    plan: _plan.BenchPlan,
    arms: list[_settings.Arm],
) -> None:
    rng = random.Random(plan.seed)
    for round_number in range(plan.rounds):
        for arm in rng.sample(arms, len(arms)):
            await _run_arm_until_undisturbed(
                experiment, setting, plan, arm, round_number
            )


async def _run_arm_until_undisturbed(
    experiment: Experiment,
    setting: _settings.BenchSetting,
    plan: _plan.BenchPlan,
    arm: _settings.Arm,
    round_number: int,
) -> None:
    """Runs an arm, and repeats it while the load generator falls behind."""
    name = f'{setting.name} round {round_number} {arm.value}'
    runs: list[_arm_run.ArmResult] = []
    for _ in range(MAX_RUNS_PER_ROUND):
        began_s = time.monotonic()
        try:
            result = await _arm_run.run_arm(setting, plan, arm, round_number)
        except Exception as error:
            reason = _format_error(error)[:MAX_REASON_CHARACTERS]
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
    # The last run counts, even if its send lag is too large as well.
    experiment.results.extend(runs[-1:])
    experiment.disturbed.extend(runs[:-1])


def _format_error(error: BaseException) -> str:
    """Formats an exception, or all exceptions of a group."""
    if isinstance(error, BaseExceptionGroup):
        return '; '.join(_format_error(inner) for inner in error.exceptions)
    return f'{type(error).__name__}: {error}'
