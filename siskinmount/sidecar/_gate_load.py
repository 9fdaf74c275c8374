"""What a gate policy sees of the requests at one upstream."""

from collections.abc import Callable
import enum
import math

import trio

from siskinmount import results


class TicketState(enum.Enum):
    """Where a request is in the gate."""

    #: Not admitted yet.
    WAITING = 'waiting'

    #: At the upstream.
    RUNNING = 'running'

    #: Told to make room, still at the upstream.
    YIELDING = 'yielding'

    #: No longer the gate's concern.
    GONE = 'gone'


class Ticket:
    """One request as the gate sees it.

    Attributes:
        online: Whether a caller waits for it.
        solo: Whether no other request may run beside it.
        prompt_tokens: What the upstream must prefill, estimated.
        resumed: Whether it continues an output that exists already.
        preemptible: Whether it can be stopped and resumed later.
        at_most_once: Whether no part of it may run twice.
        preempt: Stops the request.
        emitted_tokens: Tokens that came out since it was admitted.
        state: Where the request is.
        started_at_s: Monotonic time of its admission.
        refusal: Why it was not admitted.
        decided: Set once it is admitted or refused.
        was_alone: Whether it has been alone at the upstream all the time.
    """

    __slots__ = (
        'online',
        'solo',
        'prompt_tokens',
        'resumed',
        'preemptible',
        'at_most_once',
        'preempt',
        'emitted_tokens',
        'state',
        'started_at_s',
        'refusal',
        'decided',
        'was_alone',
    )

    def __init__(
        self,
        *,
        online: bool,
        solo: bool = False,
        prompt_tokens: int = 0,
        resumed: bool = False,
        preemptible: bool = False,
        at_most_once: bool = False,
        preempt: Callable[[], None] = lambda: None,
    ) -> None:
        self.online = online
        self.solo = solo
        self.prompt_tokens = prompt_tokens
        self.resumed = resumed
        self.preemptible = preemptible
        self.at_most_once = at_most_once
        self.preempt = preempt
        self.emitted_tokens = 0
        self.was_alone = True
        self.state = TicketState.WAITING
        self.started_at_s = math.inf
        self.refusal: results.Failure | None = None
        self.decided = trio.Event()

    @property
    def is_prefilling(self) -> bool:
        """Whether the upstream has not given its first token."""
        return self.state is TicketState.RUNNING and self.emitted_tokens == 0

    @property
    def resume_cost_tokens(self) -> int:
        """Tokens to prefill again if it is stopped and resumed."""
        return self.prompt_tokens + self.emitted_tokens


class GateLoad:
    """Counts of the requests at one upstream.

    Attributes:
        slots: Requests that the upstream runs at once.
        batch_slots_beside_online: Batch requests beside running online ones,
            at most.
        online_slots: Slots that a static split keeps for online requests, or
            None for its default.
        online_reserve_slots: Slots that batch leaves free.
        batch_prefill_tokens: Longest batch prompt beside online requests.
        prefill_window_tokens: Most tokens of batch prompts computed at once
            without online requests.
        online_running: Online requests at the upstream.
        batch_running: Batch requests at the upstream, yielding ones included.
        batch_yielding: Batch requests told to make room.
        batch_prefilling: Batch requests without a first token.
        batch_prefilling_tokens: Tokens of their prompts.
        online_waiting: Online requests in the gate.
        solo_waiting: Solo requests in the gate, of both classes.
        online_solo_waiting: Solo online requests in the gate.
        solo_running: Solo requests at the upstream.
        prefill_open_at_s: Monotonic time before which no batch prompt is
            admitted beside online requests.
        now_s: Monotonic time of the decision.
    """

    __slots__ = (
        'slots',
        'batch_slots_beside_online',
        'online_slots',
        'online_reserve_slots',
        'batch_prefill_tokens',
        'prefill_window_tokens',
        'online_running',
        'batch_running',
        'batch_yielding',
        'batch_prefilling',
        'batch_prefilling_tokens',
        'online_waiting',
        'solo_waiting',
        'online_solo_waiting',
        'solo_running',
        'prefill_open_at_s',
        'now_s',
    )

    def __init__(
        self,
        *,
        slots: int,
        online_slots: int | None = None,
        online_reserve_slots: int = 0,
        batch_prefill_tokens: int = 2048,
    ) -> None:
        self.slots = slots
        self.batch_slots_beside_online = slots
        self.online_slots = online_slots
        self.online_reserve_slots = online_reserve_slots
        self.batch_prefill_tokens = batch_prefill_tokens
        self.prefill_window_tokens = batch_prefill_tokens
        self.online_running = 0
        self.batch_running = 0
        self.batch_yielding = 0
        self.batch_prefilling = 0
        self.batch_prefilling_tokens = 0
        self.online_waiting = 0
        self.solo_waiting = 0
        self.online_solo_waiting = 0
        self.solo_running = 0
        self.prefill_open_at_s = 0.0
        self.now_s = 0.0

    @property
    def running(self) -> int:
        """Requests at the upstream."""
        return self.online_running + self.batch_running
