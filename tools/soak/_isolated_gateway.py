"""Leaves one gateway without its peers and the store in the course of a soak."""

import random

import trio

from tools.soak import _callers
from tools.soak import _fault_injector
from tools.soak import _loopback_proxy
from tools.soak import _observations
from tools.soak import _soak_fleet

#: Mean time between two isolations.
MEAN_GAP_S = 4.0
#: Time in which the other gateways begin to use the engine.
JOINED_S = 2.0
#: Streams that are then begun at these, and time after which they break.
STREAMS = 8
BROKEN_AFTER_S = 0.1
#: Time for which it has no store from then on; the others start again meanwhile.
ALONE_S = 2.0
#: Share of the run after which no gateway is isolated, so that open work can end.
ISOLATION_PHASE_SHARE = 0.6
#: Time from the start of a run, if it is that long, to the first isolation: a
#: gateway then takes the only version that it has known for the only one.
FIRST_ISOLATION_S = 33.0


async def isolate_gateways(
    fleet: _soak_fleet.SoakFleet, seed: int, until_s: float, seconds: float
) -> None:
    """Isolates gateways at random times while an engine of a new version joins.

    The others are killed, and callers take up their streams at the one that is
    out of step, while it still counts its peers as live.

    Args:
        fleet: The fleet, whose model engines are of one release so far.
        seed: Seed of the times and gateways.
        until_s: Monotonic time of the end of the run.
        seconds: Length of the run.
    """
    rng = random.Random(f'isolation {seed}')
    end_s = until_s - seconds * (1 - ISOLATION_PHASE_SHARE)
    if until_s - seconds + FIRST_ISOLATION_S < end_s:
        await trio.sleep(FIRST_ISOLATION_S)
    while True:
        await trio.sleep(rng.expovariate(1 / MEAN_GAP_S))
        if trio.current_time() >= end_s:
            return
        await _isolate(fleet, rng.choice(fleet.gateways))


async def _isolate(
    fleet: _soak_fleet.SoakFleet, isolated: _soak_fleet.SoakGateway
) -> None:
    """Cuts a gateway off from the store, and kills all others after a time."""
    disturbance = _observations.Disturbance(trio.current_time())
    for each in (
        *fleet.observed.gateway_disturbances,
        fleet.observed.store_disturbances,
    ):
        each.append(disturbance)
    isolated.store_proxy.fault = _loopback_proxy.LinkFault.SILENT
    fleet.release += 1
    await fleet.start_engine('model')
    await trio.sleep(JOINED_S)
    others = [each for each in fleet.gateways if each is not isolated]
    async with trio.open_nursery() as nursery:
        for number in range(STREAMS):
            caller = _callers.Caller(
                fleet, number, f'isolated-{trio.current_time():.0f}-{number}'
            )
            nursery.start_soon(
                caller.send_stream, others[number % len(others)], isolated
            )
        await trio.sleep(BROKEN_AFTER_S)
        for gateway in others:
            gateway.is_ended_on_purpose = True
            if gateway.process is not None:
                gateway.process.kill()
        await trio.sleep(ALONE_S)
        isolated.store_proxy.fault = _loopback_proxy.LinkFault.NONE
    await trio.sleep(_fault_injector.RECONNECT_S)
    disturbance.ended_at_s = trio.current_time()
