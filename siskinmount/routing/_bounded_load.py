"""Rendezvous hashing with bounded loads."""

from collections.abc import Mapping
import math

from siskinmount import membership

#: How far above its even share an upstream may be loaded, as a factor.
LOAD_FACTOR = 1.25
#: Part of its slots that an upstream may always fill.
FREE_SHARE = 0.5


class UpstreamShare:
    """Load and size of one upstream among others.

    Attributes:
        load: Requests in flight there.
        slots: Requests that it runs at once.
    """

    __slots__ = ('load', 'slots')

    def __init__(self, load: int, slots: int) -> None:
        self.load = load
        self.slots = slots


def bound_load(share: UpstreamShare, total_load: int, total_slots: int) -> int:
    """Returns the load at which an upstream takes no more by affinity."""
    even = (total_load + 1) * share.slots / total_slots
    free = math.ceil(share.slots * FREE_SHARE)
    return max(free, math.ceil(LOAD_FACTOR * even))


def choose_bounded(
    key: str, shares: Mapping[str, UpstreamShare]
) -> tuple[str, int]:
    """Returns the first upstream in the key's order below its bound.

    Args:
        key: What is placed.
        shares: Upstreams by VM; not empty.

    Returns:
        The VM and its place in the key's order, from 0.
    """
    total_load = sum(share.load for share in shares.values())
    total_slots = sum(share.slots for share in shares.values())
    ranked = membership.rank_by_rendezvous(key, shares)
    for place, vm in enumerate(ranked):
        share = shares[vm]
        if share.load < bound_load(share, total_load, total_slots):
            return vm, place
    raise AssertionError('the even share is below the bound of some upstream')
