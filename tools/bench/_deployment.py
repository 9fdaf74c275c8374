"""The processes that one arm runs against."""

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
from tools.bench import _job_source
from tools.bench import _settings

CALLER_NAME = 'bench'
JOB_COUNT = 4
MAX_ITEMS_PER_ENGINE_AND_S = 16
READY_LIMIT_S = 30.0


class EngineCounts:
    """What all engines together have computed.

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
        key: The key of the caller that sends everything.
    """

    __slots__ = ('fleet', 'key', '_setting', '_seed')

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

    def list_online_targets(self) -> list[transport.Address]:
        """Returns where callers send online requests."""
        return [entry.callers_address for entry in self.fleet.plan.entries]

    def list_daemons(self) -> list[processes.ManagedProcess]:
        """Returns the product's processes."""
        plan = self.fleet.plan
        vms = [entry.vm for entry in plan.entries]
        vms += [sidecar.vm for sidecar in plan.sidecars]
        return [self.fleet.group.processes[vm] for vm in vms]

    def create_batch_source(
        self, kind: _settings.BatchSourceKind, length_s: float
    ) -> _batch_source.BatchSource:
        """Creates a source of more items than can be done.

        Args:
            kind: How items reach the sidecars.
            length_s: How long the source must last.
        """
        setting = self._setting
        if kind is _settings.BatchSourceKind.FEEDER:
            slots = setting.read_service().slots_per_upstream
            return _batch_feeder.BatchFeeder(
                service=setting.service,
                shape=setting.batch_shape,
                seed=self._seed,
                sidecars=[
                    sidecar.peers_address for sidecar in self._list_models()
                ],
                items_per_sidecar=slots,
            )
        item_count = (
            length_s * setting.engine_count * MAX_ITEMS_PER_ENGINE_AND_S
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
        """Asks all sidecars how often batch items had to make room."""
        total = 0
        for sidecar in self._list_models():
            answer = await self.fleet.send_control(
                sidecar.peers_address, 'GET', '/status'
            )
            if isinstance(answer, results.Failure):
                raise processes.StartError(f'{sidecar.vm}: {answer.reason}')
            total += orjson.loads(answer)['preempted']
        return total

    async def count_engine_work(self) -> EngineCounts:
        """Asks all engines what they have computed."""
        total = EngineCounts(0, 0)
        for sidecar in self._list_models():
            answer = await self.fleet.send_control(
                sidecar.upstream_address, 'GET', '/control/counts'
            )
            if isinstance(answer, results.Failure):
                raise processes.StartError(f'{sidecar.vm}: {answer.reason}')
            document = orjson.loads(answer)
            total.generated_tokens += document['generated_tokens']
            total.prefilled_tokens += document['prefilled_tokens']
        return total

    def _list_models(self) -> list[fleet.SidecarPlan]:
        return [
            sidecar for sidecar in self.fleet.plan.sidecars if sidecar.is_model
        ]


@contextlib.asynccontextmanager
async def open_deployment(
    setting: _settings.BenchSetting, arm: _settings.Arm, seed: int
) -> AsyncIterator[Deployment]:
    """Starts the fleet of an arm, and ends all its processes on exit."""
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
        with trio.fail_after(READY_LIMIT_S):
            await running.wait_ready()
        yield Deployment(running, caller.key, setting, seed)


def _list_engine_arguments(setting: _settings.BenchSetting) -> list[str]:
    """Returns flags that make the engines run what the document says."""
    service: configuration.Service = setting.read_service()
    model = setting.engine_settings
    return [
        f'--model={service.model}',
        f'--model_version={service.model_version}',
        *[f'--{name}={getattr(model, name)}' for name in model.__slots__],
    ]
