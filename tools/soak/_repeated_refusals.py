"""Has engines refuse requests, and say so once more, late."""

import random

import trio

from standins import event_engine
from tools.soak import _soak_fleet

INTERVAL_S = 0.2


async def repeat_refusals(
    fleet: _soak_fleet.SoakFleet, seed: int, until_s: float
) -> None:
    """Has single engines repeat a refusal until the end of the run.

    The copy comes where the next answer on the connection is due.

    Args:
        fleet: The fleet.
        seed: Seed of the choice of engines.
        until_s: Monotonic time of the end of the run.
    """
    rng = random.Random(f'refusals {seed}')
    while trio.current_time() < until_s:
        await trio.sleep(INTERVAL_S)
        engine = rng.choice(fleet.engines).engine
        if not engine.answer_faults:
            engine.answer_faults.append(event_engine.AnswerFault.NOT_RUN_TWICE)
