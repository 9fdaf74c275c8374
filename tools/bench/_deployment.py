"""The fleet that one arm runs against."""

from collections.abc import AsyncIterator
import contextlib
import math

import orjson
import trio

from siskinmount import configuration
from siskinmount import results
from siskinmount import transport
from standins import processes
from tools import fleet
from tools.bench import _batch_feeder
from tools.bench import _batch_source
from tools.bench import _engine_feeder
from tools.bench import _job_source
from tools.bench import _plan
from tools.bench import _settings

CALLER_NAME = 'bench'
JOB_COUNT = 4
MAX_ITEMS_PER_ENGINE_PER_S = 16
READY_TIMEOUT_S = 30.0


class EngineCounts:
    """Work of all engines together.

    Attributes:
        generated_tokens: Tokens generated.
        prefilled_tokens: Prompt tokens computed.
    """

    __slots__ = ('generated_tokens', 'prefilled_tokens')

    def __init__(self, generated_tokens: int, prefilled_tokens: int) -> None:
        self.generated_tokens = generated_tokens
        self.prefilled_tokens = prefilled_tokens


class Deployment:
    """A running fleet that serves online requests and batch items.

    Attributes:
        fleet: The fleet.
        key: API key of the one caller that sends all requests and jobs.
    """

    __slots__ = ('fleet', 'key', '_setting', '_seed', '_killed_engine_counts')

    def __init__(
        self,
        running: fleet.Fleet,
        key: str,
        setting: _settings.BenchSetting,
        seed: int,
    ) -> None:
        self.fleet = running
        self.key = key
        self._setting = setting
        self._seed = seed
        self._killed_engine_counts = EngineCounts(0, 0)

    def list_online_targets(self) -> list[transport.Address]:
        """Returns the addresses at which entries accept online requests."""
        return [entry.callers_address for entry in self.fleet.plan.entries]

    def list_daemons(self) -> list[processes.ManagedProcess]:
        """Returns the processes of all entries and sidecars."""
        plan = self.fleet.plan
        vms = [entry.vm for entry in plan.entries]
        vms += [sidecar.vm for sidecar in plan.sidecars]
        return [self.fleet.group.processes[vm] for vm in vms]

    def create_batch_source(
        self,
        arm: _settings.Arm,
        kind: _plan.BatchSourceKind,
        duration_s: float,
    ) -> _batch_source.BatchSource:
        """Creates a source with more items than the engines can complete.

        Args:
            arm: The arm.
            kind: How items reach the sidecars; ignored in arms whose batch
                items bypass the sidecars.
            duration_s: Duration for which the items must suffice.
        """
        setting = self._setting
        slots = setting.read_service().slots_per_upstream
        if arm.bypasses_sidecars:
            return _engine_feeder.EngineFeeder(
                shape=setting.batch_shape,
                seed=self._seed,
                engines=[
                    sidecar.upstream_address
                    for sidecar in self.list_model_sidecars()
                ],
                items_per_engine=slots,
            )
        if kind is _plan.BatchSourceKind.FEEDER:
            return _batch_feeder.BatchFeeder(
                service=setting.service,
                shape=setting.batch_shape,
                seed=self._seed,
                sidecars=[
                    sidecar.peers_address
                    for sidecar in self.list_model_sidecars()
                ],
                items_per_sidecar=slots,
            )
        item_count = (
            duration_s * setting.engine_count * MAX_ITEMS_PER_ENGINE_PER_S
        )
        return _job_source.JobSource(
            service=setting.service,
            key=self.key,
            entries=self.list_online_targets(),
            shape=setting.batch_shape,
            seed=self._seed,
            job_count=JOB_COUNT,
            items_per_job=math.ceil(item_count / JOB_COUNT),
        )

    async def count_yields(self) -> int:
        """Returns how many batch items all sidecars have preempted."""
        total = 0
        for sidecar in self.list_model_sidecars():
            document = await self._read_json(sidecar.peers_address, '/status')
            total += document['preempted']
        return total

    async def count_engine_work(self) -> EngineCounts:
        """Returns the work of all engines, including killed ones."""
        total = EngineCounts(
            self._killed_engine_counts.generated_tokens,
            self._killed_engine_counts.prefilled_tokens,
        )
        for sidecar in self.list_model_sidecars():
            await self._add_engine_counts(sidecar, total)
        return total

    async def _add_engine_counts(
        self, sidecar: fleet.SidecarPlan, total: EngineCounts
    ) -> None:
        """Adds the work of one engine to a total."""
        document = await self._read_json(
            sidecar.upstream_address, '/control/counts'
        )
        total.generated_tokens += document['generated_tokens']
        total.prefilled_tokens += document['prefilled_tokens']

    async def count_log_appends(self) -> int:
        """Returns how many appends the log service has done."""
        document = await self._read_json(
            self.fleet.plan.log_address, '/control/counts'
        )
        return document['appends']

    async def _read_json(self, address: transport.Address, path: str) -> dict:
        """Reads a JSON object from a process.

        Raises:
            StartError: The process did not answer.
        """
        answer = await self.fleet.send_control(address, 'GET', path)
        if isinstance(answer, results.Failure):
            raise processes.StartError(f'{address}{path}: {answer.reason}')
        return orjson.loads(answer)

    async def kill_engine(self, sidecar: fleet.SidecarPlan) -> None:
        """Kills a sidecar's engine, and keeps its counts for the totals."""
        await self._add_engine_counts(sidecar, self._killed_engine_counts)
        process = self.fleet.group.processes[f'upstream-{sidecar.vm}']
        process.kill()
        await process.wait()

    def list_model_sidecars(self) -> list[fleet.SidecarPlan]:
        """Returns the sidecars of model engines."""
        return [
            sidecar for sidecar in self.fleet.plan.sidecars if sidecar.is_model
        ]


@contextlib.asynccontextmanager
async def open_deployment(
    setting: _settings.BenchSetting, arm: _settings.Arm, seed: int
) -> AsyncIterator[Deployment]:
    """Starts the fleet of an arm and stops all its processes on exit."""
    plan = fleet.plan_fleet(
        model_services={setting.service: setting.engine_count},
        plain_services={setting.plain_service: 1},
    )
    async with fleet.open_fleet(plan) as running:
        running.engine_arguments = _list_engine_arguments(setting)
        running.gate_policy = arm.gate_policy
        if arm is _settings.Arm.STATIC_SPLIT:
            running.gate_lines = (
                f'online_slots = {setting.online_split_slots}\n'
            )
        caller = fleet.create_callers([CALLER_NAME])[0]
        text = setting.read_document_text() + (
            f'\n[caller {caller.name}]\nkey_sha256 = {caller.key_sha256()}\n'
            'requests_per_s = 1000\nburst_requests = 2000\n'
            'max_in_flight = 2000\n'
        )
        await running.start_all()
        await fleet.publish_document(plan.log_address, text, 0)
        with trio.fail_after(READY_TIMEOUT_S):
            await running.wait_ready()
        yield Deployment(running, caller.key, setting, seed)


def _list_engine_arguments(setting: _settings.BenchSetting) -> list[str]:
    """Returns engine flags that match the document and the setting."""
    service: configuration.Service = setting.read_service()
    model = setting.engine_settings
    return [
        f'--model={service.model}',
        f'--model_version={service.model_version}',
        *[f'--{name}={getattr(model, name)}' for name in model.__slots__],
    ]
