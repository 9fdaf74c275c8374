"""Runs trio deterministically from a seed."""

import random

import trio
import trio._core._run
import trio.testing


def run(seed, main, *args):
    """Runs `main(*args)` on a mock clock with seeded random generators."""
    scheduler = trio._core._run
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    scheduler._r.seed(seed)
    random.seed(seed)
    return trio.run(
        main, *args, clock=trio.testing.MockClock(autojump_threshold=0)
    )
