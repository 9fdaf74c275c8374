"""Runs a planned fleet as separate processes."""

from collections.abc import AsyncIterator
import contextlib
import pathlib
import tempfile

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from standins import processes
from tools.fleet import _daemon_settings_text
from tools.fleet import _fleet_plan

READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.05


class Fleet:
    """A running fleet.

    Attributes:
        plan: Processes and addresses of the fleet.
        group: The processes, by VM name; upstreams as `upstream-VM`, the
            platform's stand-ins as `log` and `vm_list`.
        log_arguments: Extra arguments of the log stand-in.
        engine_arguments: Extra arguments of each engine stand-in.
        gate_policy: Gate policy in the settings of the sidecars.
        gate_lines: Further lines of the sidecars' gate settings.
        listed_vms: VMs that the VM list shows.
    """

    __slots__ = (
        'plan',
        'group',
        'log_arguments',
        'engine_arguments',
        'gate_policy',
        'gate_lines',
        'listed_vms',
        '_settings_dir',
    )

    def __init__(
        self,
        plan: _fleet_plan.FleetPlan,
        group: processes.ProcessGroup,
        settings_dir: pathlib.Path,
    ) -> None:
        self.plan = plan
        self.group = group
        self.log_arguments: list[str] = []
        self.engine_arguments: list[str] = []
        self.gate_policy = 'online_first'
        self.gate_lines = ''
        self.listed_vms: dict[str, str] = {}
        self._settings_dir = settings_dir

    async def start_platform(self) -> None:
        """Starts the stand-ins of the log service and the VM list."""
        await self.group.start_module(
            'log',
            'standins.log_service',
            ['--address', str(self.plan.log_address), *self.log_arguments],
        )
        await self.group.start_module(
            'vm_list',
            'standins.vm_list',
            ['--address', str(self.plan.vm_list_address)],
        )

    async def start_all(self) -> None:
        """Starts the platform, all upstreams and all daemons."""
        await self.start_platform()
        async with trio.open_nursery() as nursery:
            for sidecar in self.plan.sidecars:
                nursery.start_soon(self.start_upstream, sidecar)
        async with trio.open_nursery() as nursery:
            for entry in self.plan.entries:
                nursery.start_soon(self.start_entry, entry)
            for sidecar in self.plan.sidecars:
                nursery.start_soon(self.start_sidecar, sidecar)
        await self.publish_vm_list()

    async def start_upstream(self, sidecar: _fleet_plan.SidecarPlan) -> None:
        """Starts the stand-in of one upstream."""
        arguments = ['--address', str(sidecar.upstream_address)]
        module = 'standins.plain_service'
        if sidecar.is_model:
            module = 'standins.engine'
            arguments += ['--model', sidecar.service, *self.engine_arguments]
        await self.group.start_module(
            f'upstream-{sidecar.vm}', module, arguments
        )

    async def start_entry(self, entry: _fleet_plan.EntryPlan) -> None:
        """Starts one entry and waits until it listens."""
        text = _daemon_settings_text.format_entry_settings(self.plan, entry)
        await self._start_daemon('entry', entry.vm, text)
        await wait_http(entry.callers_address, '/healthz')
        self.listed_vms[entry.vm] = 'live'

    async def start_sidecar(self, sidecar: _fleet_plan.SidecarPlan) -> None:
        """Starts one sidecar and waits until it listens."""
        text = _daemon_settings_text.format_sidecar_settings(
            self.plan,
            sidecar,
            gate_policy=self.gate_policy,
            gate_lines=self.gate_lines,
        )
        await self._start_daemon('sidecar', sidecar.vm, text)
        await wait_http(sidecar.peers_address, '/healthz')
        self.listed_vms[sidecar.vm] = 'live'

    async def wait_ready(self) -> None:
        """Waits until every daemon passes its readiness check."""
        for entry in self.plan.entries:
            await wait_http(entry.callers_address, '/readyz')
        for sidecar in self.plan.sidecars:
            await wait_http(sidecar.peers_address, '/readyz')

    async def publish_vm_list(self) -> None:
        """Sets the content of the VM list to `listed_vms`."""
        vms: list[dict[str, str]] = []
        for role, members in (
            ('entry', self.plan.entries),
            ('sidecar', self.plan.sidecars),
        ):
            for member in members:
                if member.vm not in self.listed_vms:
                    continue
                vms.append(
                    {
                        'vm': member.vm,
                        'role': role,
                        'peers_address': str(member.peers_address),
                        'control_address': str(member.control_address),
                        'failure_domain': member.failure_domain,
                        'region': _fleet_plan.REGION,
                        'state': self.listed_vms[member.vm],
                    }
                )
        await self.send_control(
            self.plan.vm_list_address, 'PUT', '/control/vms', {'vms': vms}
        )

    async def send_control(
        self,
        address: transport.Address,
        method: str,
        path: str,
        document: dict[str, object] | None = None,
    ) -> bytes | results.Failure:
        """Sends one control request to a stand-in."""
        client = transport.create_http_client(address)
        body = b'' if document is None else orjson.dumps(document)
        exchange = await client.send(
            transport.ClientRequest(method, path, [], body)
        )
        if isinstance(exchange, results.Failure):
            return exchange
        with exchange:
            answer = await exchange.read_body(64 * 1024 * 1024)
        client.close()
        return answer

    async def _start_daemon(self, command: str, vm: str, text: str) -> None:
        """Writes the settings of a daemon and starts its process."""
        path = self._settings_dir / f'{vm}.ini'
        path.write_text(text, encoding='utf-8')
        await self.group.start_module(
            vm,
            'siskinmount',
            [command, '--settings', str(path)],
            waits_for_line=False,
        )


async def wait_http(address: transport.Address, path: str) -> None:
    """Waits until a path answers with 200.

    Raises:
        trio.TooSlowError: No 200 came within `READY_TIMEOUT_S`.
    """
    client = transport.create_http_client(address)
    with trio.fail_after(READY_TIMEOUT_S):
        while True:
            exchange = await client.send(transport.ClientRequest('GET', path))
            if not isinstance(exchange, results.Failure):
                with exchange:
                    await exchange.read_body(1024 * 1024)
                if exchange.status == 200:
                    break
            await trio.sleep(READY_POLL_S)
    client.close()


@contextlib.asynccontextmanager
async def open_fleet(
    plan: _fleet_plan.FleetPlan, log_dir: pathlib.Path | None = None
) -> AsyncIterator[Fleet]:
    """Opens a fleet, whose processes are all ended on exit.

    Args:
        plan: The fleet; nothing is started yet.
        log_dir: Directory for the logs of the processes, written on exit.
    """
    with tempfile.TemporaryDirectory() as settings_dir:
        async with processes.open_process_group(log_dir) as group:
            yield Fleet(plan, group, pathlib.Path(settings_dir))
