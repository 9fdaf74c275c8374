"""Polls every daemon for its configuration version in force."""

import time

import trio

from siskinmount import results
from siskinmount import rpc
from siskinmount import transport
from tools import fleet
from tools.chaos import _observations

POLL_S = 0.5
REPORT_TIMEOUT_MS = 1000


class VersionPoller:
    """Records the configuration versions that daemons report."""

    __slots__ = ('_plan', '_observations')

    def __init__(
        self, plan: fleet.FleetPlan, observations: _observations.Observations
    ) -> None:
        self._plan = plan
        self._observations = observations

    async def run(self) -> None:
        """Polls all daemons periodically until cancelled."""
        async with trio.open_nursery() as nursery:
            for daemon in (*self._plan.entries, *self._plan.sidecars):
                nursery.start_soon(
                    self._watch, daemon.vm, daemon.control_address
                )

    async def _watch(self, vm: str, address: transport.Address) -> None:
        client = rpc.create_control_client(
            address, rpc.ControlDeadlines(report_timeout_ms=REPORT_TIMEOUT_MS)
        )
        try:
            while True:
                asked_at_s = time.monotonic()
                reply = await client.get_status()
                if not isinstance(reply, results.Failure):
                    member = reply.self
                    self._observations.version_reports.append(
                        _observations.VersionReport(
                            vm,
                            member.incarnation,
                            member.configuration_version,
                            asked_at_s,
                        )
                    )
                await trio.sleep(POLL_S)
        finally:
            client.close()
