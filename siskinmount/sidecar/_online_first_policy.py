"""Policy that runs online requests first and batch in the idle slots."""

from siskinmount.sidecar import _gate_load


class OnlineFirstPolicy:
    """Admits batch to idle slots beyond a reserve; online preempts batch."""

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
        """Returns whether a waiting request may start now."""
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
        """Returns the batch requests that are cheapest to resume.

        Batch in excess of the limit beside online requests is not preempted
        here but gradually by `Gate.trim_batch`, because stopping many streams
        when an online request arrives delays its first token. Batch requests
        in prefill are always preempted, because the engine would process their
        prompts before that of the online request.
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
            # The upstream drains for the batch request that must run alone.
            return 0
        idle = load.slots - load.running - load.online_reserve_slots
        if load.online_running:
            beside = load.batch_slots_beside_online - load.batch_running
            idle = min(idle, beside)
        return max(0, idle)


def _rank(ticket: _gate_load.Ticket) -> tuple[bool, int]:
    """Returns the sort key of the cost of preempting a request."""
    return (not ticket.is_prefilling, ticket.resume_cost_tokens)


def _may_prefill(ticket: _gate_load.Ticket, load: _gate_load.GateLoad) -> bool:
    """Returns whether the prefill of a batch request may start now.

    The engine prefills prompts in order of arrival, so batch prompts delay the
    first token of an online request that arrives later.
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
