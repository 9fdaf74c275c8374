"""The processes that one arm runs against."""

import pathlib
from typing import Protocol

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from standins import processes
from tools.bench import _batch_feeder
from tools.bench import _batch_progress
from tools.bench import _settings

MAX_BODY_BYTES = 1024 * 1024


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


class Deployment(Protocol):
    """Processes that serve online requests and batch items.

    Attributes:
        online_targets: Where online requests are sent.
        online_flags: Flags of the load generator that name the wire.
        daemons: The product's processes, by name.
        engines: The engines.
    """

    online_targets: list[transport.Address]
    online_flags: list[str]
    daemons: dict[str, processes.ManagedProcess]
    engines: list[processes.ManagedProcess]

    async def run_batch(self, progress: _batch_progress.BatchProgress) -> None:
        """Runs batch items until cancelled and counts what they bring."""


async def start_engines(
    group: processes.ProcessGroup, setting: _settings.BenchSetting
) -> list[processes.ManagedProcess]:
    """Starts all engines at once."""
    names = [f'engine-{number}' for number in range(setting.engine_count)]
    model = setting.engine_settings
    arguments = [f'--{key}={getattr(model, key)}' for key in model.__slots__]
    async with trio.open_nursery() as nursery:
        for name in names:
            nursery.start_soon(
                group.start_module, name, 'standins.engine', arguments
            )
    return [group.processes[name] for name in names]


async def count_engine_work(
    engines: list[processes.ManagedProcess],
) -> EngineCounts:
    """Asks all engines what they have computed."""
    total = EngineCounts(0, 0)
    for engine in engines:
        if engine.listening is None:
            raise processes.StartError(f'{engine.name} has no address')
        client = transport.create_http_client(engine.listening)
        exchange = await client.send(
            transport.ClientRequest('GET', '/control/counts')
        )
        if isinstance(exchange, results.Failure):
            raise processes.StartError(f'{engine.name}: {exchange.reason}')
        with exchange:
            body = await exchange.read_body(MAX_BODY_BYTES)
        client.close()
        if isinstance(body, results.Failure):
            raise processes.StartError(f'{engine.name}: {body.reason}')
        document = orjson.loads(body)
        total.generated_tokens += document['generated_tokens']
        total.prefilled_tokens += document['prefilled_tokens']
    return total


class SidecarDeployment:
    """Engines with sidecars, without entries.

    Online requests go to the sidecars in turn, and the bench itself feeds
    batch items to them, so that only the sidecars' policies differ.
    """

    __slots__ = (
        'online_targets',
        'online_flags',
        'daemons',
        'engines',
        '_setting',
        '_seed',
    )

    def __init__(self, setting: _settings.BenchSetting, seed: int) -> None:
        self.online_targets: list[transport.Address] = []
        self.online_flags = ['--wire=sidecar', f'--service={setting.service}']
        self.daemons: dict[str, processes.ManagedProcess] = {}
        self.engines: list[processes.ManagedProcess] = []
        self._setting = setting
        self._seed = seed

    async def start(
        self,
        group: processes.ProcessGroup,
        arm: _settings.Arm,
        directory: pathlib.Path,
    ) -> None:
        """Starts all processes and waits until they are ready."""
        self.engines = await start_engines(group, self._setting)
        async with trio.open_nursery() as nursery:
            for number, engine in enumerate(self.engines):
                address = processes.find_free_address()
                self.online_targets.append(address)
                path = directory / f'sidecar-{number}.ini'
                path.write_text(
                    self._write_settings(number, arm, address, engine)
                )
                nursery.start_soon(
                    self._start_sidecar, group, f'sidecar-{number}', path
                )
        for address in self.online_targets:
            if not await processes.wait_http_ok(address, '/readyz'):
                raise processes.StartError(f'{address} is not ready')

    async def run_batch(self, progress: _batch_progress.BatchProgress) -> None:
        """Feeds batch items to the sidecars until cancelled."""
        feeder = _batch_feeder.BatchFeeder(
            self._setting.service,
            self._setting.batch_shape,
            self._seed,
            progress,
        )
        await feeder.run(self.online_targets, self._setting.slots)

    async def _start_sidecar(
        self, group: processes.ProcessGroup, name: str, path: pathlib.Path
    ) -> None:
        self.daemons[name] = await group.start_module(
            name,
            'siskinmount',
            ['sidecar', f'--settings={path}'],
            waits_for_line=False,
        )

    def _write_settings(
        self,
        number: int,
        arm: _settings.Arm,
        address: transport.Address,
        engine: processes.ManagedProcess,
    ) -> str:
        """Returns the settings of one sidecar."""
        nobody = processes.find_free_address()
        lines = [
            '[daemon]',
            f'vm = upstream-{number}',
            'region = region-1',
            f'failure_domain = domain-{number % 3}',
            'log_level = warning',
            f'peers_address = {address}',
            f'control_address = {processes.find_free_address()}',
            '[platform]',
            f'log_address = {nobody}',
            f'vm_list_address = {nobody}',
            '[seeds]',
            f'entries = {nobody}',
            '[upstream]',
            f'service = {self._setting.service}',
            f'address = {engine.listening}',
            '[gate]',
            f'gate_policy = {arm.gate_policy}',
            f'slots = {self._setting.slots}',
        ]
        if arm is _settings.Arm.STATIC_SPLIT:
            lines.append(f'online_slots = {self._setting.online_split_slots}')
        return '\n'.join(lines) + '\n'
