"""Runs one arm of the experiment and measures it."""

import contextlib
import pathlib
import tempfile
import time

import orjson
import trio

from standins import processes
from tools import load
from tools.bench import _batch_progress
from tools.bench import _batch_source
from tools.bench import _deployment
from tools.bench import _mid_run_fault
from tools.bench import _plan
from tools.bench import _settings

START_DELAY_S = 1.2
LOAD_STARTUP_LIMIT_S = 30.0
DRAIN_LIMIT_S = 60.0


class ArmResult:
    """What one run of one arm has measured.

    Attributes:
        arm: The arm.
        round_number: The round, from 0.
        online: Report on online requests; empty without them.
        batch: What batch work brought in the measured time.
        measured_s: Length of the measured time.
        generated_tokens: Tokens that the engines generated in it.
        prefilled_tokens: Prompt tokens that the engines computed in it.
        log_appends: Records appended to the log in it.
        cpu_cores: Mean processor cores used in it, by daemon.
    """

    __slots__ = (
        'arm',
        'round_number',
        'online',
        'batch',
        'measured_s',
        'generated_tokens',
        'prefilled_tokens',
        'log_appends',
        'cpu_cores',
    )

    def __init__(
        self,
        *,
        arm: _settings.Arm,
        round_number: int,
        online: load.LoadReport,
        batch: _batch_progress.BatchProgress,
        measured_s: float,
        generated_tokens: int,
        prefilled_tokens: int,
        log_appends: int,
        cpu_cores: dict[str, float],
    ) -> None:
        self.arm = arm
        self.round_number = round_number
        self.online = online
        self.batch = batch
        self.measured_s = measured_s
        self.generated_tokens = generated_tokens
        self.prefilled_tokens = prefilled_tokens
        self.log_appends = log_appends
        self.cpu_cores = cpu_cores

    def to_json(self) -> dict[str, object]:
        """Returns the result as a JSON object."""
        return {
            'arm': self.arm.value,
            'round': self.round_number,
            'online': self.online.to_json(),
            'batch': self.batch.to_json(),
            'measured_s': self.measured_s,
            'generated_tokens': self.generated_tokens,
            'prefilled_tokens': self.prefilled_tokens,
            'log_appends': self.log_appends,
            'cpu_cores': self.cpu_cores,
        }


class _Snapshot:
    """Counts at one moment."""

    __slots__ = ('at_s', 'batch', 'engines', 'yields', 'log_appends', 'cpu_s')

    def __init__(
        self,
        at_s: float,
        batch: _batch_progress.BatchProgress,
        engines: _deployment.EngineCounts,
        yields: int,
        log_appends: int,
        cpu_s: dict[str, float],
    ) -> None:
        self.at_s = at_s
        self.batch = batch
        self.engines = engines
        self.yields = yields
        self.log_appends = log_appends
        self.cpu_s = cpu_s


async def run_arm(
    setting: _settings.BenchSetting,
    plan: _plan.BenchPlan,
    arm: _settings.Arm,
    round_number: int,
) -> ArmResult:
    """Starts all processes of an arm, loads them, and measures.

    The load follows from the plan's seed and the round, so that all arms of a
    round get the same online requests at the same times.
    """
    async with contextlib.AsyncExitStack() as stack:
        directory = pathlib.Path(
            stack.enter_context(tempfile.TemporaryDirectory())
        )
        deployment = await stack.enter_async_context(
            _deployment.open_deployment(setting, arm, plan.seed)
        )
        source = deployment.create_batch_source(
            arm,
            plan.batch_source,
            START_DELAY_S + plan.warm_up_s + plan.measured_s,
        )
        report_path = directory / 'online.json'
        generator: processes.ManagedProcess | None = None
        async with trio.open_nursery() as nursery:
            if arm.has_batch:
                await nursery.start(source.run)
            start_at_s = time.time() + START_DELAY_S
            if arm.has_online:
                generator = await deployment.fleet.group.start_module(
                    'online-load',
                    'tools.load',
                    _write_load_flags(
                        setting,
                        plan,
                        plan.seed + round_number,
                        deployment,
                        start_at_s,
                        report_path,
                    ),
                    waits_for_line=False,
                )
            await trio.sleep(start_at_s + plan.warm_up_s - time.time())
            before = await _take_snapshot(deployment, source)
            nursery.start_soon(
                _mid_run_fault.cause_fault,
                plan.fault,
                deployment,
                plan.measured_s,
            )
            await trio.sleep(plan.measured_s)
            after = await _take_snapshot(deployment, source)
            online = await _finish_online(generator, report_path)
            nursery.cancel_scope.cancel()
    return _create_result(arm, round_number, online, before, after)


def _write_load_flags(
    setting: _settings.BenchSetting,
    plan: _plan.BenchPlan,
    seed: int,
    deployment: _deployment.Deployment,
    start_at_s: float,
    report_path: pathlib.Path,
) -> list[str]:
    """Returns the command line of the load generator."""
    pattern = setting.online_pattern
    shape = setting.online_shape
    targets = [str(target) for target in deployment.list_online_targets()]
    return [
        f'--target={",".join(targets)}',
        f'--service={setting.service}',
        f'--key={deployment.key}',
        f'--rate={pattern.rate_per_s}',
        f'--burst_factor={pattern.burst_factor}',
        f'--burst_s={pattern.burst_s}',
        f'--quiet_s={pattern.quiet_s}',
        f'--prefix_tokens={shape.prefix_tokens}',
        f'--prompt_tokens={shape.prompt_tokens}',
        f'--long_share={shape.long_share}',
        f'--long_factor={shape.long_factor}',
        f'--min_answer_tokens={shape.min_answer_tokens}',
        f'--max_answer_tokens={shape.max_answer_tokens}',
        f'--session_share={shape.session_share}',
        f'--duration_s={plan.warm_up_s + plan.measured_s}',
        f'--warm_up_s={plan.warm_up_s}',
        f'--seed={seed}',
        f'--label=online-{seed}',
        f'--start_at_s={start_at_s}',
        f'--results={report_path}',
    ]


async def _take_snapshot(
    deployment: _deployment.Deployment, source: _batch_source.BatchSource
) -> _Snapshot:
    """Returns all counts at this moment."""
    engines = await deployment.count_engine_work()
    cpu_s: dict[str, float] = {}
    for daemon in deployment.list_daemons():
        usage = daemon.read_usage()
        if usage is not None:
            cpu_s[daemon.name] = usage.cpu_s
    yields = await deployment.count_yields()
    log_appends = await deployment.count_log_appends()
    at_s = trio.current_time()
    progress = await source.read_progress()
    return _Snapshot(at_s, progress, engines, yields, log_appends, cpu_s)


async def _finish_online(
    generator: processes.ManagedProcess | None, report_path: pathlib.Path
) -> load.LoadReport:
    """Waits for the load generator and reads its report."""
    if generator is None:
        return load.LoadReport()
    with trio.move_on_after(DRAIN_LIMIT_S):
        await generator.wait()
    return _read_online(generator, report_path)


def _read_online(
    generator: processes.ManagedProcess, report_path: pathlib.Path
) -> load.LoadReport:
    """Reads the load generator's report."""
    if not report_path.exists():
        tail = bytes(generator.log[-2000:]).decode('utf-8', 'replace')
        raise processes.StartError(f'the load generator has failed: {tail}')
    return load.read_report(orjson.loads(report_path.read_bytes()))


def _create_result(
    arm: _settings.Arm,
    round_number: int,
    online: load.LoadReport,
    before: _Snapshot,
    after: _Snapshot,
) -> ArmResult:
    measured_s = after.at_s - before.at_s
    batch = after.batch.subtract(before.batch)
    batch.yields = after.yields - before.yields
    return ArmResult(
        arm=arm,
        round_number=round_number,
        online=online,
        batch=batch,
        measured_s=measured_s,
        generated_tokens=after.engines.generated_tokens
        - before.engines.generated_tokens,
        prefilled_tokens=after.engines.prefilled_tokens
        - before.engines.prefilled_tokens,
        log_appends=after.log_appends - before.log_appends,
        cpu_cores={
            name: (cpu_s - before.cpu_s.get(name, 0.0)) / measured_s
            for name, cpu_s in after.cpu_s.items()
        },
    )
