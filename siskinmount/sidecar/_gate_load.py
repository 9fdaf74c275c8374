"""Requests and counts from which a gate policy decides."""

from collections.abc import Callable
import enum
import math

import trio

from siskinmount import results


class TicketState(enum.Enum):
    """State of a request in the gate."""

    #: Waiting for admission.
    WAITING = 'waiting'

    #: At the upstream.
    RUNNING = 'running'

    #: Preempted, but still at the upstream.
    YIELDING = 'yielding'

    #: Refused, cancelled or released.
    GONE = 'gone'


class Ticket:
    """A request in the gate.

    Attributes:
        online: Whether a caller waits for the answer.
        solo: Whether the request must run alone at the upstream.
        prompt_tokens: Estimated number of tokens that the upstream must
            prefill.
        resumed: Whether the request continues an existing output.
        preemptible: Whether the request can be stopped and resumed later.
        at_most_once: Whether no part of the request may run twice.
        preempt: Stops the request.
        emitted_tokens: Tokens emitted since admission.
        state: State of the request.
        started_at_s: Monotonic time of admission.
        refusal: Why the request was refused, or None.
        decided: Set once the request is admitted or refused.
        was_alone: Whether no other request has run at the upstream since
            admission.
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
        """Whether the request runs and has not emitted its first token."""
        return self.state is TicketState.RUNNING and self.emitted_tokens == 0

    @property
    def resume_cost_tokens(self) -> int:
        """Tokens to prefill again if the request is stopped and resumed."""
        return self.prompt_tokens + self.emitted_tokens


class GateLoad:
    """Limits of one upstream and counts of its requests.

    Attributes:
        slots: Maximum number of concurrent requests at the upstream.
        batch_slots_beside_online: Maximum number of batch requests while
            online requests run.
        online_slots: Slots that a static split reserves for online requests,
            or None for its default.
        online_reserve_slots: Slots that batch leaves free.
        batch_prefill_tokens: Maximum length of a batch prompt that is
            prefilled while online requests run.
        prefill_window_tokens: Maximum sum of the lengths of batch prompts that
            are prefilled at once while no online request runs.
        online_running: Online requests at the upstream.
        batch_running: Batch requests at the upstream, yielding ones included.
        batch_yielding: Preempted batch requests that still run.
        batch_prefilling: Batch requests without a first token.
        batch_prefilling_tokens: Sum of the prompt lengths of these requests.
        online_waiting: Online requests that wait.
        solo_waiting: Solo requests of both classes that wait.
        online_solo_waiting: Solo online requests that wait.
        solo_running: Solo requests at the upstream.
        prefill_open_at_s: Monotonic time before which no batch prompt is
            admitted beside online requests.
        now_s: Monotonic time at which the counts were updated.
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
        """Number of requests at the upstream."""
        return self.online_running + self.batch_running
