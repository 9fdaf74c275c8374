"""First in, first out, without distinction of classes."""

from siskinmount.sidecar import _gate_load


class PassThroughPolicy:
    """Fills the slots in order of arrival."""

    __slots__ = ()

    puts_online_first = False

    def arrange(
        self, waiting: list[_gate_load.Ticket]
    ) -> list[_gate_load.Ticket]:
        """Returns the requests in order of arrival."""
        return list(waiting)

    def may_start(
        self, ticket: _gate_load.Ticket, load: _gate_load.GateLoad
    ) -> bool:
        """Tells whether a slot is free."""
        if load.solo_running:
            return False
        if ticket.solo:
            return load.running == 0
        return not load.solo_waiting and load.running < load.slots

    def choose_to_preempt(
        self,
        ticket: _gate_load.Ticket,
        load: _gate_load.GateLoad,
        candidates: list[_gate_load.Ticket],
    ) -> list[_gate_load.Ticket]:
        """Returns nothing: no request makes room for another."""
        return []

    def count_idle_batch_slots(self, load: _gate_load.GateLoad) -> int:
        """Returns the number of free slots."""
        if load.solo_running or load.solo_waiting:
            return 0
        return max(0, load.slots - load.running)
