"""Restarts processes that have exited unexpectedly."""

import trio

from standins import processes
from tools.chaos import _chaos_fleet

CRASH_EXIT_STATUS = 139
POLL_S = 0.2
RESTART_PAUSE_S = 1.0


class ProcessSupervisor:
    """Restarts exited processes, as the platform does on a VM."""

    __slots__ = ('_fleet',)

    def __init__(self, chaos_fleet: _chaos_fleet.ChaosFleet) -> None:
        self._fleet = chaos_fleet

    async def run(self) -> None:
        """Supervises all processes until cancelled."""
        plan = self._fleet.running.plan
        async with trio.open_nursery() as nursery:
            for sidecar in plan.sidecars:
                nursery.start_soon(self._supervise_upstream, sidecar.vm)
                nursery.start_soon(self._supervise_daemon, sidecar.vm)
            for entry in plan.entries:
                nursery.start_soon(self._supervise_daemon, entry.vm)

    async def _supervise_upstream(self, vm: str) -> None:
        while True:
            process = self._fleet.find_upstream(vm)
            status = process.exit_status
            if status is None or self._is_planned(process):
                await trio.sleep(POLL_S)
                continue
            if status == CRASH_EXIT_STATUS:
                self._fleet.observations.engine_crashes += 1
            else:
                self._record_unplanned_exit(f'upstream-{vm}', process)
            await trio.sleep(RESTART_PAUSE_S)
            await self._fleet.start_upstream(vm)

    async def _supervise_daemon(self, vm: str) -> None:
        while True:
            process = self._fleet.find_daemon(vm)
            if process.exit_status is None or self._is_planned(process):
                await trio.sleep(POLL_S)
                continue
            self._record_unplanned_exit(vm, process)
            await trio.sleep(RESTART_PAUSE_S)
            await self._fleet.start_daemon(vm)

    def _is_planned(self, process: processes.ManagedProcess) -> bool:
        return process.pid in self._fleet.planned_exit_pids

    def _record_unplanned_exit(
        self, name: str, process: processes.ManagedProcess
    ) -> None:
        _chaos_fleet.append_if_absent(
            self._fleet.observations.fault_lines,
            f'{name} ended by itself with status {process.exit_status}',
        )
