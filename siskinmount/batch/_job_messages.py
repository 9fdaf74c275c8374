"""Requests and replies of the job API for callers."""

import enum

import orjson


class JobState(enum.Enum):
    """State of a job."""

    RUNNING = 'running'
    FINISHED = 'finished'
    CANCELLED = 'cancelled'


class JobRequest:
    """Parameters of a new job.

    Attributes:
        job: Identifier; the same for a repeated submission with the same key.
        caller: Name of the caller.
        service: Name of the service.
        due_at_ms: When the job is due, milliseconds since the Unix epoch.
        idempotent: Whether the items may run more than once.
        max_attempts: Maximum number of failed attempts at one item.
        result_retention_ms: How long results stay available after the job ends.
    """

    __slots__ = (
        'job',
        'caller',
        'service',
        'due_at_ms',
        'idempotent',
        'max_attempts',
        'result_retention_ms',
    )

    def __init__(
        self,
        *,
        job: str,
        caller: str,
        service: str,
        due_at_ms: int,
        idempotent: bool = True,
        max_attempts: int = 3,
        result_retention_ms: int = 48 * 3600 * 1000,
    ) -> None:
        self.job = job
        self.caller = caller
        self.service = service
        self.due_at_ms = due_at_ms
        self.idempotent = idempotent
        self.max_attempts = max_attempts
        self.result_retention_ms = result_retention_ms


class JobStatus:
    """Status of a job.

    Attributes:
        job: Identifier of the job.
        caller: Name of the caller.
        service: Name of the service.
        state: Running, finished or cancelled.
        item_count: Number of items.
        done_count: Items that ended with an output.
        failed_count: Items that failed.
        unknown_count: Non-idempotent items that may have run.
        in_flight_count: Items that are leased now.
        submitted_at_ms: When the job was submitted, milliseconds since the Unix
            epoch.
        due_at_ms: When the job is due, milliseconds since the Unix epoch.
        finished_at_ms: When the job ended, milliseconds since the Unix epoch; 0
            before.
        at_risk: Whether the job will miss its due time at the current rate.
    """

    __slots__ = (
        'job',
        'caller',
        'service',
        'state',
        'item_count',
        'done_count',
        'failed_count',
        'unknown_count',
        'in_flight_count',
        'submitted_at_ms',
        'due_at_ms',
        'finished_at_ms',
        'at_risk',
    )

    def __init__(
        self,
        *,
        job: str,
        caller: str,
        service: str,
        state: JobState,
        item_count: int,
        done_count: int,
        failed_count: int,
        unknown_count: int,
        in_flight_count: int,
        submitted_at_ms: int,
        due_at_ms: int,
        finished_at_ms: int,
        at_risk: bool,
    ) -> None:
        self.job = job
        self.caller = caller
        self.service = service
        self.state = state
        self.item_count = item_count
        self.done_count = done_count
        self.failed_count = failed_count
        self.unknown_count = unknown_count
        self.in_flight_count = in_flight_count
        self.submitted_at_ms = submitted_at_ms
        self.due_at_ms = due_at_ms
        self.finished_at_ms = finished_at_ms
        self.at_risk = at_risk

    def to_json(self) -> bytes:
        """Encodes the status as JSON."""
        document = {name: getattr(self, name) for name in self.__slots__}
        document['state'] = self.state.value
        return orjson.dumps(document)


class ItemState(enum.Enum):
    """Outcome of an item."""

    DONE = 'done'
    FAILED = 'failed'
    UNKNOWN = 'unknown'


class ItemResult:
    """Result of one item.

    Attributes:
        index: Position of the item in the job.
        state: Outcome of the item.
        output: JSON of the output; empty if there is none.
        code: Result code, 0 if done.
        reason: Why there is no output.
    """

    __slots__ = ('index', 'state', 'output', 'code', 'reason')

    def __init__(
        self,
        index: int,
        state: ItemState,
        output: bytes,
        code: int,
        reason: str,
    ) -> None:
        self.index = index
        self.state = state
        self.output = output
        self.code = code
        self.reason = reason

    def to_json_line(self) -> bytes:
        """Encodes the result as one line of JSON."""
        document = {
            'index': self.index,
            'state': self.state.value,
            'output': orjson.Fragment(self.output) if self.output else None,
            'code': self.code,
            'reason': self.reason,
        }
        return orjson.dumps(document, option=orjson.OPT_APPEND_NEWLINE)


class ResultsPage:
    """One page of results of ended items, ordered by index.

    Attributes:
        results: The results of this page.
        next_after: Value of `after` for the next page. Items with lower
            indexes that had not ended are skipped; to read them later, request
            a page with an `after` below them.
        has_more: Whether items after this page have already ended.
        state: State of the job.
    """

    __slots__ = ('results', 'next_after', 'has_more', 'state')

    def __init__(
        self,
        results: list[ItemResult],
        next_after: int,
        has_more: bool,
        state: JobState,
    ) -> None:
        self.results = results
        self.next_after = next_after
        self.has_more = has_more
        self.state = state

    def to_json_lines(self) -> bytes:
        """Encodes the results as JSON lines."""
        return b''.join(result.to_json_line() for result in self.results)
