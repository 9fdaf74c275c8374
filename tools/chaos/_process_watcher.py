"""Starts processes again that have ended by themselves."""

import trio

from standins import processes
from tools.chaos import _chaos_fleet

CRASH_EXIT_STATUS = 139
POLL_S = 0.2
RESTART_PAUSE_S = 1.0


class ProcessWatcher:
    """Does what the platform does for VMs whose process has ended."""

    __slots__ = ('_fleet',)

    def __init__(self, chaos_fleet: _chaos_fleet.ChaosFleet) -> None:
        self._fleet = chaos_fleet

    async def run(self) -> None:
        """Watches all processes until cancelled."""
        plan = self._fleet.running.plan
        async with trio.open_nursery() as nursery:
            for sidecar in plan.sidecars:
                nursery.start_soon(self._watch_upstream, sidecar.vm)
                nursery.start_soon(self._watch_daemon, sidecar.vm)
            for entry in plan.entries:
                nursery.start_soon(self._watch_daemon, entry.vm)

    async def _watch_upstream(self, vm: str) -> None:
        while True:
            process = self._fleet.upstream(vm)
            status = process.exit_status
            if status is None or self._is_planned(process):
                await trio.sleep(POLL_S)
                continue
            if status == CRASH_EXIT_STATUS:
                self._fleet.seen.engine_crashes += 1
            else:
                self._record_end(f'upstream-{vm}', process)
            await trio.sleep(RESTART_PAUSE_S)
            await self._fleet.start_upstream(vm)

    async def _watch_daemon(self, vm: str) -> None:
        while True:
            process = self._fleet.daemon(vm)
            if process.exit_status is None or self._is_planned(process):
                await trio.sleep(POLL_S)
                continue
            self._record_end(vm, process)
            await trio.sleep(RESTART_PAUSE_S)
            await self._fleet.start_daemon(vm)

    def _is_planned(self, process: processes.ManagedProcess) -> bool:
        return process.pid in self._fleet.planned_ends

    def _record_end(self, name: str, process: processes.ManagedProcess) -> None:
        _chaos_fleet.add_once(
            self._fleet.seen.fault_lines,
            f'{name} ended by itself with status {process.exit_status}',
        )
