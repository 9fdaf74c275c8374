"""Interface of the admission policies."""

from typing import Protocol

from siskinmount.sidecar import _gate_load


class GatePolicy(Protocol):
    """Decides the order, admission and preemption of requests.

    A policy is stateless: it decides from the load alone.

    Attributes:
        prioritizes_online: Whether batch requests never start while an online
            request waits, and are preempted for it.
        bounds_waiting: Whether the queue of online requests is bounded in
            length and waiting time.
        bounds_running: Whether no more requests run than there are slots.
    """

    prioritizes_online: bool
    bounds_waiting: bool
    bounds_running: bool

    def sort_waiting(
        self, waiting: list[_gate_load.Ticket]
    ) -> list[_gate_load.Ticket]:
        """Returns the waiting requests in the order of admission."""
        ...

    def may_start(
        self, ticket: _gate_load.Ticket, load: _gate_load.GateLoad
    ) -> bool:
        """Returns whether a waiting request may start now."""
        ...

    def choose_to_preempt(
        self,
        ticket: _gate_load.Ticket,
        load: _gate_load.GateLoad,
        candidates: list[_gate_load.Ticket],
    ) -> list[_gate_load.Ticket]:
        """Returns the batch requests to preempt for a request.

        Args:
            ticket: The waiting request.
            load: The load without that request.
            candidates: Running batch requests that can be preempted.
        """
        ...

    def count_idle_batch_slots(self, load: _gate_load.GateLoad) -> int:
        """Returns how many more batch requests could start now."""
        ...
