"""What the platform does with processes that exceed their memory, or end."""

import asyncio
import time

import fleet as fleet_module

POLL_S = 0.01


class PlatformMemory:
    """Kills gateways over the limit, and starts those again that have ended.

    Attributes:
        kill_count: How many were killed for their memory.
    """

    def __init__(
        self, fleet: fleet_module.Fleet, record: fleet_module.Record
    ) -> None:
        self.kill_count = 0
        self._fleet = fleet
        self._record = record
        self._ended_at_s: dict[int, float] = {}

    async def run(self) -> None:
        """Watches all gateways until cancelled."""
        while True:
            for gateway in self._fleet.gateways:
                self._check(gateway)
            await asyncio.sleep(POLL_S)

    def _check(self, gateway: fleet_module.Gateway) -> None:
        memory_mb = gateway.read_memory_mb()
        limit_mb = self._fleet.memory_mb
        if memory_mb > limit_mb:
            gateway.kill()
            self.kill_count += 1
            self._record.write(
                f'platform: gateway {gateway.number} killed at {memory_mb:.0f}'
                f' MB, over its {limit_mb} MB'
            )
        if gateway.is_running():
            self._ended_at_s.pop(gateway.number, None)
            return
        now_s = time.monotonic()
        since_s = self._ended_at_s.setdefault(gateway.number, now_s)
        if now_s - since_s >= fleet_module.RESTART_S:
            gateway.start()
            self._record.write(
                f'platform: gateway {gateway.number} starts, number'
                f' {gateway.start_count}'
            )
