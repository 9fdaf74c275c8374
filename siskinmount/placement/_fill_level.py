"""Divides requests among upstreams by loads that are not up to date.

Answers a burst in a large fleet: while a member's counts are on their way,
peers place as many requests again. If all of them took the least loaded
upstream, it would get all, and its queue would last for a second. Each member
therefore assumes that the requests that it cannot see yet fill the upstreams
evenly, the least loaded first, and draws its own upstream as if its request
were a random one of them.
"""

from collections.abc import Sequence
import random


def find_fill_level(loads: Sequence[float], amount: float) -> float:
    """Returns the load of the filled upstreams once requests are added.

    Args:
        loads: Load of each upstream; at least one.
        amount: Requests to be added, the least loaded upstreams first.
    """
    ordered = sorted(loads)
    level = ordered[0]
    remaining = amount
    for index in range(1, len(ordered)):
        step = (ordered[index] - level) * index
        if step >= remaining:
            return level + remaining / index
        remaining -= step
        level = ordered[index]
    return level + remaining / len(ordered)


def draw_by_room(loads: Sequence[float], level: float, count: int) -> list[int]:
    """Draws upstreams, each as likely as its room below a level is large.

    Args:
        loads: Load of each upstream.
        level: Load up to which upstreams are filled, above the least load.
        count: Number of draws; an upstream may be drawn more than once.

    Returns:
        Indexes into `loads`.
    """
    weights = [max(0.0, level - load) for load in loads]
    return random.choices(range(len(loads)), weights, k=count)
