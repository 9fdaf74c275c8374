"""What the platform does with processes that exceed the memory of a machine."""

import asyncio
import signal

from review.harness3 import fleet as fleet_module

WATCH_S = 0.02
RESTART_S = 0.5


async def watch_memory(
    fleet: fleet_module.Fleet, gateway: fleet_module.Gateway, limit_mb: int
) -> None:
    """Kills a process that exceeds the limit, and starts ended ones again."""
    while True:
        await asyncio.sleep(WATCH_S)
        process = gateway.process
        if process is None:
            continue
        used_mb = gateway.read_resident_mb()
        is_over = used_mb > limit_mb
        if is_over:
            process.send_signal(signal.SIGKILL)
            gateway.ends.append(f'{used_mb:.0f} MB')
            fleet.note(
                f'{gateway.name} has {used_mb:.0f} MB, over {limit_mb}: ended'
            )
        if is_over or process.returncode is not None:
            await process.wait()
            await asyncio.sleep(RESTART_S)
            await fleet.start_gateway(gateway)
            fleet.note(f'{gateway.name} started again')


def start_watches(
    fleet: fleet_module.Fleet, limit_mb: int
) -> list[asyncio.Task[None]]:
    """Watches all gateways; the tasks are to be cancelled."""
    return [
        asyncio.create_task(watch_memory(fleet, gateway, limit_mb))
        for gateway in fleet.gateways
    ]
