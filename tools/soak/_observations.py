"""Records of the calls, jobs, engines and faults of a soak."""

import enum

import trio

from standins import event_engine

#: Id of the part of a prompt that crashes engines.
CRASHING_PART = 'crashing'
#: Id of the first part of all prompts.
FIRST_PART = 'first'


class CallKind(enum.Enum):
    """Kind of a request; the value is the name of its route."""

    STREAM = 'stream'
    ONCE_STREAM = 'once'
    PLAIN = 'plain'
    BOOKING = 'booking'

    def may_repeat(self) -> bool:
        """Returns whether a request may run more than once."""
        return self in (CallKind.STREAM, CallKind.PLAIN)

    def is_stream(self) -> bool:
        """Returns whether the answer is a stream."""
        return self in (CallKind.STREAM, CallKind.ONCE_STREAM)


class ObservedCall:
    """One request of a caller.

    Attributes:
        request_id: Id of the request.
        kind: Kind of the request.
        gateway: Number of the gateway that received the request.
        sent_at_s: Time of sending.
        ended_at_s: Time when the answer or the connection ended; None if
            neither did.
        status: Status of the answer; None without an answer.
        body: Bytes of the body that were received.
        is_whole: Whether the answer was complete.
        leaving_engine: Id of the engine that said in the answer that it
            leaves; empty if none did.
        head_at_s: Time when the head of the answer came; None without one.
        has_crashing_part: Whether its prompt has the part that crashes engines.
        first: The attempt that brought the first event of the stream that this
            one resumes; None if it resumes none.
        last_event_id: Id of the event after which it goes on; 0 for none.
    """

    __slots__ = (
        'request_id',
        'kind',
        'gateway',
        'sent_at_s',
        'ended_at_s',
        'status',
        'body',
        'is_whole',
        'leaving_engine',
        'head_at_s',
        'has_crashing_part',
        'first',
        'last_event_id',
    )

    def __init__(
        self,
        request_id: str,
        kind: CallKind,
        gateway: int,
        has_crashing_part: bool = False,
        first: 'ObservedCall | None' = None,
        last_event_id: int = 0,
    ) -> None:
        self.request_id = request_id
        self.kind = kind
        self.gateway = gateway
        self.sent_at_s = trio.current_time()
        self.ended_at_s: float | None = None
        self.status: int | None = None
        self.body = b''
        self.is_whole = False
        self.leaving_engine = ''
        self.head_at_s: float | None = None
        self.has_crashing_part = has_crashing_part
        self.first = first
        self.last_event_id = last_event_id

    def get_last_event_id(self) -> int:
        """Returns the id of the last complete event that the caller has."""
        return self.last_event_id + self.body.count(b'\n\n')


class ObservedResult:
    """One result as a caller read it.

    Attributes:
        item_id: Id of the item.
        state: State of the item as named on the wire.
        output: Output text of the item.
    """

    __slots__ = ('item_id', 'state', 'output')

    def __init__(self, item_id: str, state: str, output: str) -> None:
        self.item_id = item_id
        self.state = state
        self.output = output

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, ObservedResult):
            return NotImplemented
        return (self.item_id, self.state, self.output) == (
            other.item_id,
            other.state,
            other.output,
        )

    def __repr__(self) -> str:
        return f'{self.item_id} {self.state} {len(self.output)} characters'


class ObservedJob:
    """One batch job of a caller.

    Attributes:
        job_id: Id of the job.
        item_ids: Ids of the items.
        refusals: Statuses other than 202 of the answers to submissions.
        accepted_at_s: Time of the first 202; None without one.
        unanswered_count: Number of submissions without an answer.
        ended_at_s: Time when the cancellation was acknowledged; None before.
        reads: First position and results of each read.
        missing: Descriptions of reads that contradict the acceptance.
    """

    __slots__ = (
        'job_id',
        'item_ids',
        'refusals',
        'accepted_at_s',
        'unanswered_count',
        'ended_at_s',
        'reads',
        'missing',
    )

    def __init__(self, job_id: str, item_ids: list[str]) -> None:
        self.job_id = job_id
        self.item_ids = item_ids
        self.refusals: list[int] = []
        self.accepted_at_s: float | None = None
        self.unanswered_count = 0
        self.ended_at_s: float | None = None
        self.reads: list[tuple[int, list[ObservedResult]]] = []
        self.missing: list[str] = []


class Disturbance:
    """Interval in which a fault or its after-effects were active.

    Attributes:
        began_at_s: Start of the interval.
        ended_at_s: End of the interval; infinite while it lasts.
    """

    __slots__ = ('began_at_s', 'ended_at_s')

    def __init__(self, began_at_s: float) -> None:
        self.began_at_s = began_at_s
        self.ended_at_s = float('inf')

    def overlaps(self, from_s: float, to_s: float) -> bool:
        """Returns whether the interval overlaps the one between two times."""
        return self.began_at_s <= to_s and self.ended_at_s >= from_s


class LeavingEngine:
    """An engine that announced that it is draining.

    Attributes:
        engine_id: Id of the engine.
        announced_at_s: Time when the store held the announcement.
    """

    __slots__ = ('engine_id', 'announced_at_s')

    def __init__(self, engine_id: str) -> None:
        self.engine_id = engine_id
        self.announced_at_s = trio.current_time()


class NamedLimit:
    """A time in which an engine named a request rate.

    Attributes:
        engine_id: Id of the engine.
        per_s: Requests per second that it accepts.
        named_at_s: Time from which its answers name the rate.
        ended_at_s: Time from which they do not; infinite before.
    """

    __slots__ = ('engine_id', 'per_s', 'named_at_s', 'ended_at_s')

    def __init__(self, engine_id: str, per_s: float) -> None:
        self.engine_id = engine_id
        self.per_s = per_s
        self.named_at_s = trio.current_time()
        self.ended_at_s = float('inf')


class Observations:
    """Input of the checks.

    Attributes:
        calls: Requests of callers.
        jobs: Batch jobs.
        engines: All engines that ever ran.
        leaving: Engines that announced that they are draining.
        gateway_disturbances: Intervals with faults, by gateway number.
        store_disturbances: Intervals with faults of the store or its links.
        process_faults: Unexpected exits and log events of processes.
        part_crashes_at_s: Times at which engines crashed under the crashing
            part of a prompt.
        limits: Request rates that engines named.
    """

    __slots__ = (
        'calls',
        'jobs',
        'engines',
        'leaving',
        'gateway_disturbances',
        'store_disturbances',
        'process_faults',
        'part_crashes_at_s',
        'limits',
    )

    def __init__(self, gateway_count: int) -> None:
        self.calls: list[ObservedCall] = []
        self.jobs: list[ObservedJob] = []
        self.engines: list[event_engine.EventEngine] = []
        self.leaving: list[LeavingEngine] = []
        self.gateway_disturbances: list[list[Disturbance]] = [
            [] for _ in range(gateway_count)
        ]
        self.store_disturbances: list[Disturbance] = []
        self.process_faults: list[str] = []
        self.part_crashes_at_s: list[float] = []
        self.limits: list[NamedLimit] = []
