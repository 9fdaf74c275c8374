"""What callers saw, and what happened to the processes."""

import enum

import trio

from standins import event_engine


class CallKind(enum.Enum):
    """What a request is."""

    STREAM = 'stream'
    ONCE_STREAM = 'once'
    PLAIN = 'plain'
    BOOKING = 'booking'

    def may_repeat(self) -> bool:
        """Returns whether it may run more than once."""
        return self in (CallKind.STREAM, CallKind.PLAIN)

    def is_stream(self) -> bool:
        """Returns whether its answer is a stream."""
        return self in (CallKind.STREAM, CallKind.ONCE_STREAM)


class SeenCall:
    """One request of a caller.

    Attributes:
        request_id: Its id.
        kind: What it is.
        gateway: Number of the gateway that it was sent to.
        sent_at_s: When it was sent.
        ended_at_s: When its answer or connection ended; None if it did not.
        status: Status of the answer; None for none.
        body: What came of the body.
        is_whole: Whether the answer ended as complete.
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
    )

    def __init__(self, request_id: str, kind: CallKind, gateway: int) -> None:
        self.request_id = request_id
        self.kind = kind
        self.gateway = gateway
        self.sent_at_s = trio.current_time()
        self.ended_at_s: float | None = None
        self.status: int | None = None
        self.body = b''
        self.is_whole = False


class SeenResult:
    """One result at its position, as it was read.

    Attributes:
        item_id: Id of the item.
        state: Its state on the wire.
        output: Its text.
    """

    __slots__ = ('item_id', 'state', 'output')

    def __init__(self, item_id: str, state: str, output: str) -> None:
        self.item_id = item_id
        self.state = state
        self.output = output

    def __eq__(self, other: object) -> bool:
        if not isinstance(other, SeenResult):
            return NotImplemented
        return (self.item_id, self.state, self.output) == (
            other.item_id,
            other.state,
            other.output,
        )

    def __repr__(self) -> str:
        return f'{self.item_id} {self.state} {len(self.output)} characters'


class SeenJob:
    """One batch job.

    Attributes:
        job_id: Its id.
        item_ids: Ids of its items.
        refusals: Statuses of the answers to its submissions but 202.
        accepted_at_s: When a 202 came; None if none did.
        lost_count: Submissions without an answer.
        ended_at_s: When the end of the job was acknowledged.
        readings: Each read as its first position and the results.
        missing: What a read did not find though it was accepted.
    """

    __slots__ = (
        'job_id',
        'item_ids',
        'refusals',
        'accepted_at_s',
        'lost_count',
        'ended_at_s',
        'readings',
        'missing',
    )

    def __init__(self, job_id: str, item_ids: list[str]) -> None:
        self.job_id = job_id
        self.item_ids = item_ids
        self.refusals: list[int] = []
        self.accepted_at_s: float | None = None
        self.lost_count = 0
        self.ended_at_s: float | None = None
        self.readings: list[tuple[int, list[SeenResult]]] = []
        self.missing: list[str] = []


class Span:
    """A time in which something was disturbed.

    Attributes:
        began_at_s: Its begin.
        ended_at_s: Its end.
    """

    __slots__ = ('began_at_s', 'ended_at_s')

    def __init__(self, began_at_s: float) -> None:
        self.began_at_s = began_at_s
        self.ended_at_s = float('inf')

    def overlaps(self, from_s: float, to_s: float) -> bool:
        """Returns whether it has a part between two times."""
        return self.began_at_s <= to_s and self.ended_at_s >= from_s


class LeavingEngine:
    """An engine that said that it leaves.

    Attributes:
        engine_id: Its id.
        told_at_s: When the store had it.
    """

    __slots__ = ('engine_id', 'told_at_s')

    def __init__(self, engine_id: str) -> None:
        self.engine_id = engine_id
        self.told_at_s = trio.current_time()


class Seen:
    """Everything that the checks look at.

    Attributes:
        calls: Requests of callers.
        jobs: Batch jobs.
        engines: All engines that ever ran.
        leaving: Engines that said that they leave.
        gateway_spans: Disturbed times of each gateway.
        store_spans: Disturbed times of the store.
        process_faults: What processes did that they must not.
    """

    __slots__ = (
        'calls',
        'jobs',
        'engines',
        'leaving',
        'gateway_spans',
        'store_spans',
        'process_faults',
    )

    def __init__(self, gateway_count: int) -> None:
        self.calls: list[SeenCall] = []
        self.jobs: list[SeenJob] = []
        self.engines: list[event_engine.EventEngine] = []
        self.leaving: list[LeavingEngine] = []
        self.gateway_spans: list[list[Span]] = [
            [] for _ in range(gateway_count)
        ]
        self.store_spans: list[Span] = []
        self.process_faults: list[str] = []
