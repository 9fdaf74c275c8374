"""Has engines name a request rate for a part of a soak."""

import trio

from tools.soak import _observations
from tools.soak import _soak_fleet

#: Time from the start after which the engines name the rate.
FIRST_LIMIT_S = 3.0
#: Share of the run after which they name none, so that open work can end.
LIMIT_PHASE_SHARE = 0.75
LIMIT_PER_S = 2.0
#: Engines that are started meanwhile name the rate from this interval on.
STEP_S = 0.1


async def limit_engines(
    fleet: _soak_fleet.SoakFleet, until_s: float, seconds: float
) -> None:
    """Has all model engines name a rate until a share of the run is over.

    Args:
        fleet: The fleet.
        until_s: Monotonic time of the end of the run.
        seconds: Length of the run.
    """
    await trio.sleep(FIRST_LIMIT_S)
    end_s = until_s - seconds * (1 - LIMIT_PHASE_SHARE)
    named: dict[str, _observations.NamedLimit] = {}
    while trio.current_time() < end_s:
        for running in fleet.engines:
            engine = running.engine
            if running.service != 'model' or engine.engine_id in named:
                continue
            engine.limit_text = f'{LIMIT_PER_S}'
            limit = _observations.NamedLimit(engine.engine_id, LIMIT_PER_S)
            named[engine.engine_id] = limit
            fleet.observed.limits.append(limit)
        await trio.sleep(STEP_S)
    for running in fleet.engines:
        running.engine.limit_text = None
    for limit in named.values():
        limit.ended_at_s = trio.current_time()
