"""Online requests run at once; batch fills what they leave idle."""

from siskinmount.sidecar import _gate_load


class OnlineFirstPolicy:
    """Batch takes idle slots beyond a reserve and yields to online requests."""

    __slots__ = ()

    prioritizes_online = True
    bounds_waiting = True
    bounds_running = True

    def sort_waiting(
        self, waiting: list[_gate_load.Ticket]
    ) -> list[_gate_load.Ticket]:
        """Returns online requests, then resumed batch, then the other batch."""
        return sorted(
            waiting, key=lambda ticket: (not ticket.online, not ticket.resumed)
        )

    def may_start(
        self, ticket: _gate_load.Ticket, load: _gate_load.GateLoad
    ) -> bool:
        """Tells whether a waiting request may go to the upstream now."""
        if load.solo_running:
            return False
        if ticket.online and ticket.solo:
            return load.running == 0
        if load.online_solo_waiting:
            return False
        if ticket.online:
            return load.online_running < load.slots
        if load.online_waiting:
            return False
        if ticket.solo:
            return load.running == 0
        if self.count_idle_batch_slots(load) < 1:
            return False
        return _may_prefill(ticket, load)

    def choose_to_preempt(
        self,
        ticket: _gate_load.Ticket,
        load: _gate_load.GateLoad,
        candidates: list[_gate_load.Ticket],
    ) -> list[_gate_load.Ticket]:
        """Returns those that lose least by being resumed later.

        Batch over the bound beside online requests is not stopped at once,
        but little by little by `Gate.trim_batch`: stopping many streams in
        the moment of an arrival delays its first token. Batch prompts that are being computed are stopped in any case: the
        engine would compute them before the prompt of the online request.
        """
        if not ticket.online:
            return []
        if ticket.solo or load.solo_running:
            return list(candidates)
        batch = load.batch_running - load.batch_yielding
        over = load.online_running + batch + 1 - load.slots
        ranked = sorted(candidates, key=_rank)
        chosen: list[_gate_load.Ticket] = []
        for candidate in ranked:
            if len(chosen) >= over and not candidate.is_prefilling:
                break
            chosen.append(candidate)
        return chosen

    def count_idle_batch_slots(self, load: _gate_load.GateLoad) -> int:
        """Returns how many more batch requests could start now."""
        if load.solo_running or load.online_solo_waiting:
            return 0
        if load.solo_waiting and not load.online_running:
            # The batch request that must run alone gets its turn.
            return 0
        idle = load.slots - load.running - load.online_reserve_slots
        if load.online_running:
            beside = load.batch_slots_beside_online - load.batch_running
            idle = min(idle, beside)
        return max(0, idle)


def _rank(ticket: _gate_load.Ticket) -> tuple[bool, int]:
    """Orders by what is lost when a request is stopped."""
    return (not ticket.is_prefilling, ticket.resume_cost_tokens)


def _may_prefill(ticket: _gate_load.Ticket, load: _gate_load.GateLoad) -> bool:
    """Tells whether a batch prompt may be computed now.

    The engine computes prompts in order of arrival, so that those of batch
    requests delay the first token of an online request that comes later.
    """
    if load.online_running == 0:
        computed = load.batch_prefilling_tokens + ticket.prompt_tokens
        alone = load.batch_prefilling == 0
        return alone or computed <= load.prefill_window_tokens
    if ticket.prompt_tokens > load.batch_prefill_tokens:
        return False
    if load.batch_prefilling:
        return False
    return load.now_s >= load.prefill_open_at_s
