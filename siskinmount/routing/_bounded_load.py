"""Rendezvous hashing with bounded loads."""

from collections.abc import Mapping
import math

from siskinmount import membership

#: Most load of an upstream as a multiple of its even share.
BALANCE_FACTOR = 1.25
#: Share of its slots that an upstream may fill however low the total load is.
MIN_BOUND_SHARE = 0.5


class UpstreamCapacity:
    """Load and capacity of one upstream.

    Attributes:
        load: Requests in flight at the upstream.
        slots: Requests that the upstream runs at once.
    """

    __slots__ = ('load', 'slots')

    def __init__(self, load: int, slots: int) -> None:
        self.load = load
        self.slots = slots


def compute_load_bound(
    capacity: UpstreamCapacity, total_load: int, total_slots: int
) -> int:
    """Returns the load at which an upstream is skipped by affinity."""
    even = (total_load + 1) * capacity.slots / total_slots
    free = math.ceil(capacity.slots * MIN_BOUND_SHARE)
    return max(free, math.ceil(BALANCE_FACTOR * even))


def choose_bounded(
    key: str, capacities: Mapping[str, UpstreamCapacity]
) -> tuple[str, int]:
    """Returns the first upstream, in the key's order, below its load bound.

    Args:
        key: Affinity key to place.
        capacities: Load and capacity of each upstream by VM; not empty.

    Returns:
        The VM and its rank in the key's order, from 0.
    """
    total_load = sum(capacity.load for capacity in capacities.values())
    total_slots = sum(capacity.slots for capacity in capacities.values())
    ranked = membership.rank_by_rendezvous(key, capacities)
    for rank, vm in enumerate(ranked):
        capacity = capacities[vm]
        if capacity.load < compute_load_bound(
            capacity, total_load, total_slots
        ):
            return vm, rank
    raise AssertionError('the even share is below the bound of some upstream')
