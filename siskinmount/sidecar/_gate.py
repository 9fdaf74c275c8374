"""Admission control for the upstream."""

import math

import trio

from siskinmount import configuration
from siskinmount import results
from siskinmount.sidecar import _gate_load
from siskinmount.sidecar import _gate_policy
from siskinmount.sidecar import _invariant
from siskinmount.sidecar import _online_first_policy
from siskinmount.sidecar import _pass_through_policy
from siskinmount.sidecar import _static_split_policy
from siskinmount.sidecar import _upstream_rate_limit

MAX_ONLINE_WAIT_MS = 2000
MAX_SOLO_WAIT_MS = 10_000
MAX_WAITING_PER_SLOT = 2
RETRY_AFTER_MS = 500
TRIM_TOLERANCE = 1
TRIM_DIVISOR = 3
CHANGE_RETRY_AFTER_MS = 1000
DEFAULT_PREFILL_PAUSE_FACTOR = 3.0


class Gate:
    """Queues requests until the policy admits them to the upstream.

    Engines do not support priorities, so requests wait here instead of in the
    engine's queue.

    Attributes:
        load: Counts of the requests and the limits that the policy uses.
        closed: Whether new requests are refused because the sidecar stops.
        paused: Whether new requests are refused because the upstream is being
            changed.
        withdrawn: Whether new requests are refused because the platform lists
            the VM as leaving.
        preempted_count: Batch requests preempted, in total.
        refused_count: Requests refused for lack of capacity, in total.
        rate_limit: The request rate that the upstream accepts.
        prefill_pause_factor: Pause between two batch prefills beside online
            requests, as a multiple of the duration of the first.
    """

    __slots__ = (
        'load',
        'closed',
        'paused',
        'withdrawn',
        'preempted_count',
        'refused_count',
        'rate_limit',
        'prefill_pause_factor',
        '_policy',
        '_waiting',
        '_running',
        '_changed',
    )

    def __init__(
        self, policy: _gate_policy.GatePolicy, load: _gate_load.GateLoad
    ) -> None:
        self.load = load
        self.closed = False
        self.paused = False
        self.withdrawn = False
        self.preempted_count = 0
        self.refused_count = 0
        self.rate_limit = _upstream_rate_limit.create_upstream_rate_limit()
        self.prefill_pause_factor = DEFAULT_PREFILL_PAUSE_FACTOR
        self._policy = policy
        self._waiting: list[_gate_load.Ticket] = []
        self._running: list[_gate_load.Ticket] = []
        self._changed = trio.Event()

    async def admit(self, ticket: _gate_load.Ticket) -> results.Failure | None:
        """Waits for admission; returns None, or why the request is refused.

        An admitted ticket must be released with `release`.
        """
        refusal = self.find_refusal()
        if refusal is not None:
            return refusal
        if ticket.online and self._is_queue_full():
            self.refused_count += 1
            return _overloaded('too many online requests are waiting')
        refusal = self.rate_limit.find_refusal(ticket.online)
        if refusal is not None:
            self.refused_count += 1
            return refusal
        self.rate_limit.record_send()
        self._waiting.append(ticket)
        self.admit_waiting()
        try:
            await self._wait_decided(ticket)
        except trio.Cancelled:
            self._discard_cancelled(ticket)
            raise
        return ticket.refusal

    def release(self, ticket: _gate_load.Ticket) -> None:
        """Frees the slot of a request that has left the upstream."""
        _invariant.require(
            ticket in self._running,
            'released_ticket_was_admitted',
            state=ticket.state.value,
        )
        self._running.remove(ticket)
        ticket.state = _gate_load.TicketState.GONE
        self.admit_waiting()
        self._notify()

    def record_tokens(self, ticket: _gate_load.Ticket, count: int) -> None:
        """Records tokens that an admitted request has emitted.

        The first token of a batch request ends its prefill and starts the
        pause before the next batch prefill.
        """
        first = ticket.is_prefilling
        ticket.emitted_tokens += count
        if not first or ticket.online:
            return
        now_s = trio.current_time()
        prefill_s = now_s - ticket.started_at_s
        self.load.prefill_open_at_s = (
            now_s + self.prefill_pause_factor * prefill_s
        )
        self.admit_waiting()
        self._notify()

    def close(self) -> None:
        """Refuses all waiting and all later requests."""
        self.closed = True
        self._refuse_waiting(_leaving())

    def pause(self) -> None:
        """Refuses new requests and stops batch so that the upstream drains."""
        if self.paused:
            return
        self.paused = True
        self._refuse_waiting(_changing())
        self._stop_batch()

    def resume(self) -> None:
        """Admits requests again after `pause`."""
        self.paused = False

    def withdraw(self) -> None:
        """Refuses new requests and stops batch because the VM is leaving."""
        if self.withdrawn:
            return
        self.withdrawn = True
        self._refuse_waiting(_leaving())
        self._stop_batch()

    def restore(self) -> None:
        """Admits requests again after `withdraw`."""
        self.withdrawn = False

    def find_refusal(self) -> results.Failure | None:
        """Returns why all requests are refused at present, or None."""
        if self.closed or self.withdrawn:
            return _leaving()
        return _changing() if self.paused else None

    async def wait_empty(self) -> None:
        """Returns once no request is at the upstream."""
        while self._running:
            await self._changed.wait()

    async def wait_change(self) -> None:
        """Returns after the next change of the waiting or running requests."""
        await self._changed.wait()

    def is_prefilling(self) -> bool:
        """Returns whether a running request has not emitted its first token."""
        return any(ticket.is_prefilling for ticket in self._running)

    def trim_batch(self) -> None:
        """Stops some batch requests in excess of the limit beside online ones.

        Called periodically. An excess of `TRIM_TOLERANCE` is tolerated, so
        that small variations of the limit do not stop and restart requests
        repeatedly.
        """
        self._update_load()
        load = self.load
        if not load.online_running or not self._policy.prioritizes_online:
            return
        batch = load.batch_running - load.batch_yielding
        excess = batch - load.batch_slots_beside_online
        if excess <= TRIM_TOLERANCE:
            return
        candidates = sorted(
            self._list_preemptible(), key=lambda each: each.resume_cost_tokens
        )
        for ticket in candidates[: max(1, excess // TRIM_DIVISOR)]:
            self._preempt(ticket)

    def count_idle_batch_slots(self) -> int:
        """Returns how many more batch requests could start now."""
        if self.find_refusal() is not None:
            return 0
        self._update_load()
        idle = self._policy.count_idle_batch_slots(self.load)
        tokens = self.rate_limit.count_tokens(is_online=False)
        return int(max(0, min(idle, tokens)))

    def count_waiting(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._waiting)

    def count_running(self) -> int:
        """Returns the number of requests at the upstream."""
        return len(self._running)

    def count_in_flight(self) -> int:
        """Returns with how many requests a new online request competes."""
        self._update_load()
        if self.load.solo_running or self.load.online_solo_waiting:
            return max(self.load.slots, len(self._running))
        if self._policy.prioritizes_online:
            return self.load.online_running + self.load.online_waiting
        return len(self._running) + len(self._waiting)

    def admit_waiting(self) -> None:
        """Admits the waiting requests that the policy allows to start now."""
        for ticket in self._policy.sort_waiting(self._waiting):
            self._update_load()
            may_start = self._policy.may_start(ticket, self.load)
            self._preempt_for(ticket)
            if may_start:
                self._start(ticket)

    def _is_queue_full(self) -> bool:
        """Returns whether too many online requests wait."""
        waiting = sum(ticket.online for ticket in self._waiting)
        bound = MAX_WAITING_PER_SLOT * self.load.slots
        return self._policy.bounds_waiting and waiting >= bound

    async def _wait_decided(self, ticket: _gate_load.Ticket) -> None:
        """Waits until a ticket is admitted or refused."""
        limit_s = math.inf
        if ticket.online and self._policy.bounds_waiting:
            wait_ms = MAX_SOLO_WAIT_MS if ticket.solo else MAX_ONLINE_WAIT_MS
            limit_s = trio.current_time() + wait_ms / 1000
        while not ticket.decided.is_set():
            now_s = trio.current_time()
            if now_s >= limit_s:
                self.refused_count += 1
                self._refuse(ticket, _overloaded('no slot became free in time'))
                # This request may have blocked others.
                self.admit_waiting()
                return
            if ticket.online:
                with trio.move_on_at(limit_s):
                    await ticket.decided.wait()
                continue
            if now_s >= self.load.prefill_open_at_s:
                await self._changed.wait()
                continue
            with trio.move_on_at(self.load.prefill_open_at_s) as scope:
                await self._changed.wait()
            if scope.cancelled_caught:
                self.admit_waiting()

    def _start(self, ticket: _gate_load.Ticket) -> None:
        """Moves a ticket to the upstream."""
        _invariant.require(
            ticket.online
            or not self.load.online_waiting
            or not self._policy.prioritizes_online,
            'batch_never_starts_while_online_waits',
        )
        self._waiting.remove(ticket)
        self._running.append(ticket)
        if len(self._running) > 1:
            for running in self._running:
                running.was_alone = False
        ticket.state = _gate_load.TicketState.RUNNING
        ticket.started_at_s = trio.current_time()
        ticket.decided.set()
        self._update_load()
        self._check_slot_limit()
        self._notify()

    def _notify(self) -> None:
        """Wakes all tasks that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()

    def _refuse_waiting(self, failure: results.Failure) -> None:
        """Refuses all waiting requests."""
        for ticket in list(self._waiting):
            self._refuse(ticket, failure)

    def _stop_batch(self) -> None:
        """Stops batch requests except at-most-once ones.

        There is enough time for at-most-once requests to finish.
        """
        for ticket in list(self._running):
            if ticket.preemptible and not ticket.at_most_once:
                self._preempt(ticket)

    def _discard_cancelled(self, ticket: _gate_load.Ticket) -> None:
        """Removes a ticket whose request was cancelled while waiting."""
        if ticket.state is _gate_load.TicketState.WAITING:
            self._waiting.remove(ticket)
            ticket.state = _gate_load.TicketState.GONE
            self.admit_waiting()
            self._notify()
        elif ticket.state is not _gate_load.TicketState.GONE:
            # The ticket was admitted between the cancellation and the wake-up
            # of its task.
            self.release(ticket)

    def _refuse(
        self, ticket: _gate_load.Ticket, failure: results.Failure
    ) -> None:
        """Removes a waiting ticket and sets its refusal."""
        self._waiting.remove(ticket)
        ticket.state = _gate_load.TicketState.GONE
        ticket.refusal = failure
        ticket.decided.set()
        self._notify()

    def _list_preemptible(self) -> list[_gate_load.Ticket]:
        """Returns the running batch requests that can be preempted."""
        return [
            each
            for each in self._running
            if each.preemptible and each.state is _gate_load.TicketState.RUNNING
        ]

    def _preempt_for(self, ticket: _gate_load.Ticket) -> None:
        """Preempts the batch requests that must make room for a request."""
        candidates = self._list_preemptible()
        if not candidates:
            return
        chosen = self._policy.choose_to_preempt(ticket, self.load, candidates)
        for each in chosen:
            self._preempt(each)

    def _preempt(self, ticket: _gate_load.Ticket) -> None:
        """Preempts a running batch request."""
        if ticket.state is not _gate_load.TicketState.RUNNING:
            return
        ticket.state = _gate_load.TicketState.YIELDING
        self.preempted_count += 1
        ticket.preempt()

    def _update_load(self) -> None:
        """Updates the counts in `load`."""
        load = self.load
        load.now_s = trio.current_time()
        load.online_running = 0
        load.batch_running = 0
        load.batch_yielding = 0
        load.batch_prefilling = 0
        load.batch_prefilling_tokens = 0
        load.solo_running = 0
        for ticket in self._running:
            load.solo_running += ticket.solo
            if ticket.online:
                load.online_running += 1
                continue
            load.batch_running += 1
            yielding = ticket.state is _gate_load.TicketState.YIELDING
            load.batch_yielding += yielding
            if ticket.is_prefilling:
                load.batch_prefilling += 1
                load.batch_prefilling_tokens += ticket.prompt_tokens
        load.online_waiting = 0
        load.solo_waiting = 0
        load.online_solo_waiting = 0
        for ticket in self._waiting:
            load.online_waiting += ticket.online
            load.solo_waiting += ticket.solo
            load.online_solo_waiting += ticket.online and ticket.solo

    def _check_slot_limit(self) -> None:
        """Checks that no more requests run than slots, yielding ones aside."""
        load = self.load
        if not self._policy.bounds_running:
            return
        unyielding_batch = sum(
            not ticket.online and not ticket.preemptible
            for ticket in self._running
        )
        unyielding = load.running - load.batch_yielding
        _invariant.require(
            unyielding
            <= max(load.slots, load.online_running + unyielding_batch),
            'slots_bound',
            running=load.running,
            yielding=load.batch_yielding,
            slots=load.slots,
        )
        _invariant.require(
            not load.solo_running or load.running == 1, 'solo_runs_alone'
        )


def _leaving() -> results.Failure:
    return results.Failure(
        results.ResultCode.LEAVING,
        'this upstream is leaving',
        retry_after_ms=0,
    )


def _changing() -> results.Failure:
    return results.Failure(
        results.ResultCode.NO_UPSTREAM,
        'the upstream is being changed',
        retry_after_ms=CHANGE_RETRY_AFTER_MS,
    )


def _overloaded(reason: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.OVERLOADED, reason, retry_after_ms=RETRY_AFTER_MS
    )


def create_gate(
    policy: configuration.GatePolicy, load: _gate_load.GateLoad
) -> Gate:
    """Creates a gate.

    Args:
        policy: How the upstream is shared.
        load: The limits to keep.
    """
    return Gate(_create_policy(policy), load)


def _create_policy(
    policy: configuration.GatePolicy,
) -> _gate_policy.GatePolicy:
    if policy is configuration.GatePolicy.PASS_THROUGH:
        return _pass_through_policy.PassThroughPolicy()
    if policy is configuration.GatePolicy.STATIC_SPLIT:
        return _static_split_policy.StaticSplitPolicy()
    return _online_first_policy.OnlineFirstPolicy()
