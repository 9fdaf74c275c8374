"""Ends the processes of engines in the course of a soak."""

import random

import trio

from tools.soak import _soak_fleet

#: Mean time between two exits.
MEAN_GAP_S = 3.0
#: Share of the run after which no engine exits, so that open work can end.
EXIT_PHASE_SHARE = 0.75
#: With fewer engines none exits.
MIN_ENGINES = 3


async def exit_engines(
    fleet: _soak_fleet.SoakFleet, seed: int, until_s: float, seconds: float
) -> None:
    """Has engines exit at random times; others start in their place.

    The connections are closed in order, so that an answer that ends with its
    connection looks complete.

    Args:
        fleet: The fleet.
        seed: Seed of the times and engines.
        until_s: Monotonic time of the end of the run.
        seconds: Length of the run.
    """
    rng = random.Random(f'exits {seed}')
    end_s = until_s - seconds * (1 - EXIT_PHASE_SHARE)
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(rng.expovariate(1 / MEAN_GAP_S))
            if trio.current_time() >= end_s:
                return
            if len(fleet.engines) < MIN_ENGINES:
                continue
            running = fleet.engines[rng.randrange(len(fleet.engines))]
            nursery.start_soon(fleet.end_engine, running)
