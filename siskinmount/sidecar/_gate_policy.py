"""What decides when a request may go to the upstream."""

from typing import Protocol

from siskinmount.sidecar import _gate_load


class GatePolicy(Protocol):
    """Orders, admits and preempts requests.

    A policy keeps no state of its own: it decides from the load alone.

    Attributes:
        prioritizes_online: Whether batch requests never start while an online
            request waits, and make room for it.
        bounds_waiting: Whether online requests wait for a short time only.
        bounds_running: Whether no more run than there are slots.
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
        """Tells whether a waiting request may go to the upstream now."""
        ...

    def choose_to_preempt(
        self,
        ticket: _gate_load.Ticket,
        load: _gate_load.GateLoad,
        candidates: list[_gate_load.Ticket],
    ) -> list[_gate_load.Ticket]:
        """Returns the batch requests that must make room for a request.

        Args:
            ticket: The request that wants to start.
            load: The load without it.
            candidates: Running batch requests that can be stopped.
        """
        ...

    def count_idle_batch_slots(self, load: _gate_load.GateLoad) -> int:
        """Returns how many more batch requests could start now."""
        ...
