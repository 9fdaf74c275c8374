"""A fleet whose processes are ended and started again during a run."""

import time

import orjson

from siskinmount import results
from standins import processes
from tools import fleet
from tools.chaos import _observations

STOP_TIMEOUT_S = 60.0
ENGINE_MODULE = 'tools.chaos.recording_engine'
PLAIN_MODULE = 'tools.chaos.recording_plain_service'
_FAULT_CODES = frozenset(
    (
        int(results.ResultCode.INTERNAL),
        int(results.ResultCode.CHILD_RESTARTED),
    )
)


class ChaosFleet:
    """Starts, ends and restarts the processes of a fleet.

    Attributes:
        running: The fleet.
        seen: Takes what processes show.
        planned_ends: Ids of processes that the run itself has ended.
    """

    __slots__ = ('running', 'seen', 'planned_ends', '_upstreams', '_daemons')

    def __init__(
        self, running: fleet.Fleet, seen: _observations.Observations
    ) -> None:
        self.running = running
        self.seen = seen
        self.planned_ends: set[int] = set()
        self._upstreams: list[tuple[str, processes.ManagedProcess]] = []
        self._daemons: list[tuple[str, processes.ManagedProcess]] = []

    async def start_all(self) -> None:
        """Starts everything and returns when callers can be served."""
        await self.running.start_platform()
        plan = self.running.plan
        for sidecar in plan.sidecars:
            await self.start_upstream(sidecar.vm)
        for entry in plan.entries:
            await self.start_daemon(entry.vm)
        for sidecar in plan.sidecars:
            await self.start_daemon(sidecar.vm)
        await self.running.publish_vm_list()

    async def start_upstream(self, vm: str) -> None:
        """Starts the upstream of a VM."""
        sidecar = self.find_sidecar(vm)
        module = ENGINE_MODULE if sidecar.is_model else PLAIN_MODULE
        arguments = ['--address', str(sidecar.upstream_address)]
        if sidecar.is_model:
            arguments += ['--model', sidecar.service]
        process = await self.running.group.start_module(
            f'upstream-{vm}', module, arguments
        )
        self._upstreams.append((vm, process))

    async def start_daemon(self, vm: str) -> None:
        """Starts the entry or the sidecar of a VM."""
        for entry in self.running.plan.entries:
            if entry.vm == vm:
                await self.running.start_entry(entry)
        for sidecar in self.running.plan.sidecars:
            if sidecar.vm == vm:
                await self.running.start_sidecar(sidecar)
        self._daemons.append((vm, self.daemon(vm)))

    def daemon(self, vm: str) -> processes.ManagedProcess:
        """Returns the newest daemon process of a VM."""
        return self.running.group.processes[vm]

    def upstream(self, vm: str) -> processes.ManagedProcess:
        """Returns the newest upstream process of a VM."""
        return self.running.group.processes[f'upstream-{vm}']

    def find_sidecar(self, vm: str) -> fleet.SidecarPlan:
        """Returns the plan of a sidecar's VM."""
        for sidecar in self.running.plan.sidecars:
            if sidecar.vm == vm:
                return sidecar
        raise ValueError(f'no sidecar on {vm}')

    async def kill(self, process: processes.ManagedProcess) -> None:
        """Ends a process at once."""
        self.planned_ends.add(process.pid)
        process.kill()
        await process.wait()

    async def stop_daemon(self, vm: str) -> _observations.Span:
        """Stops a daemon as planned and returns how long that took."""
        process = self.daemon(vm)
        self.planned_ends.add(process.pid)
        started_s = time.monotonic()
        status = await process.stop(STOP_TIMEOUT_S)
        if status:
            self.seen.bad_stops.append(f'{vm} ended with status {status}')
        return _observations.Span(vm, started_s, time.monotonic())

    def read_logs(self) -> None:
        """Takes what all processes have written."""
        for vm, process in self._upstreams:
            for line in bytes(process.log).splitlines():
                self._handle_upstream_line(vm, line)
        for vm, process in self._daemons:
            for line in bytes(process.log).splitlines():
                self._handle_daemon_line(vm, line)

    def _handle_upstream_line(self, vm: str, line: bytes) -> None:
        document = _parse_object(line)
        if 'started' in document:
            self.seen.starts.append(
                _observations.Start(vm, document['started'], document['at_s'])
            )
        if 'effect' in document:
            self.seen.effects.append(
                _observations.Effect(vm, document['effect'])
            )

    def _handle_daemon_line(self, vm: str, line: bytes) -> None:
        document = _parse_object(line)
        code = document.get('code')
        text = f'{vm}: {_describe_fault(document)}'
        if code == int(results.ResultCode.INVARIANT_BROKEN):
            add_once(self.seen.invariant_lines, text)
        if code in _FAULT_CODES:
            add_once(self.seen.fault_lines, text)


def add_once(texts: list[str], text: str) -> None:
    """Adds a text that is not there yet."""
    if text not in texts:
        texts.append(text)


def _describe_fault(document: dict) -> str:
    """Returns a log line's event, its error, and where that was raised."""
    trace = str(document.get('exc_info', '')).strip().splitlines()
    places = [line.strip() for line in trace if line.startswith('  File ')]
    parts = [str(document.get('event', ''))]
    if trace:
        parts.append(trace[-1])
    if places:
        parts.append(places[-1])
    if not trace:
        parts.append(str(document))
    return ' | '.join(parts)


def _parse_object(line: bytes) -> dict:
    """Returns a line's JSON object; an empty one if it is none."""
    if not line.startswith(b'{'):
        return {}
    try:
        document = orjson.loads(line)
    except orjson.JSONDecodeError:
        return {}
    return document if isinstance(document, dict) else {}
