"""Policy that leaves queueing to the upstream."""

from siskinmount.sidecar import _gate_load


class PassThroughPolicy:
    """Admits every request at once, except around solo requests."""

    __slots__ = ()

    prioritizes_online = False
    bounds_waiting = False
    bounds_running = False

    def sort_waiting(
        self, waiting: list[_gate_load.Ticket]
    ) -> list[_gate_load.Ticket]:
        """Returns the requests in order of arrival."""
        return list(waiting)

    def may_start(
        self, ticket: _gate_load.Ticket, load: _gate_load.GateLoad
    ) -> bool:
        """Returns whether no solo request runs or waits.

        A solo request may start once nothing runs.
        """
        if load.solo_running:
            return False
        if ticket.solo:
            return load.running == 0
        return not load.solo_waiting

    def choose_to_preempt(
        self,
        ticket: _gate_load.Ticket,
        load: _gate_load.GateLoad,
        candidates: list[_gate_load.Ticket],
    ) -> list[_gate_load.Ticket]:
        """Returns an empty list, as this policy does not preempt."""
        return []

    def count_idle_batch_slots(self, load: _gate_load.GateLoad) -> int:
        """Returns the number of free slots."""
        if load.solo_running or load.solo_waiting:
            return 0
        return max(0, load.slots - load.running)
