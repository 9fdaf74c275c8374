"""Policy that reserves a fixed share of the slots for each class."""

import math

from siskinmount.sidecar import _gate_load

ONLINE_SHARE = 0.5


class StaticSplitPolicy:
    """Never lends the slots of one class to the other, even idle ones."""

    __slots__ = ()

    prioritizes_online = False
    bounds_waiting = False
    bounds_running = True

    def sort_waiting(
        self, waiting: list[_gate_load.Ticket]
    ) -> list[_gate_load.Ticket]:
        """Returns the requests in order of arrival."""
        return list(waiting)

    def may_start(
        self, ticket: _gate_load.Ticket, load: _gate_load.GateLoad
    ) -> bool:
        """Returns whether the request's class has a free slot."""
        if load.solo_running:
            return False
        if ticket.solo:
            return load.running == 0
        if load.solo_waiting:
            return False
        if ticket.online:
            return load.online_running < _count_online_slots(load)
        return self.count_idle_batch_slots(load) > 0

    def choose_to_preempt(
        self,
        ticket: _gate_load.Ticket,
        load: _gate_load.GateLoad,
        candidates: list[_gate_load.Ticket],
    ) -> list[_gate_load.Ticket]:
        """Returns an empty list, as this policy does not preempt."""
        return []

    def count_idle_batch_slots(self, load: _gate_load.GateLoad) -> int:
        """Returns the number of free slots in the share of batch."""
        if load.solo_running or load.solo_waiting:
            return 0
        share = load.slots - _count_online_slots(load)
        return max(0, share - load.batch_running)


def _count_online_slots(load: _gate_load.GateLoad) -> int:
    """Returns the share of online requests, by default half, rounded up."""
    if load.online_slots is not None:
        return min(load.online_slots, load.slots)
    return math.ceil(load.slots * ONLINE_SHARE)
