"""Operations that change jobs in the log."""

import enum
from typing import Protocol

import trio

from siskinmount import keyed_log
from siskinmount import results
from siskinmount.jobs import _job
from siskinmount.jobs import _job_records
from siskinmount.jobs import _job_table

_SMALL_RECORD_BYTES = 200


class WriteOutcome(enum.Enum):
    """Outcome of an operation that did not fail."""

    #: The log contains the change.
    DONE = 'done'

    #: The job would raise the route's waiting tokens above their bound.
    OVER_QUOTA = 'over_quota'

    #: The log contains no such job.
    NO_SUCH_JOB = 'no_such_job'


class Operation(Protocol):
    """A change that is valid only for the state on which it was planned.

    Attributes:
        job_id: Id of the job.
        outcome: Outcome of the operation; None while it is pending.
        finished: Set when the outcome is known.
        may_have_been_written: Whether an append of the operation was not
            answered, so that its records may still appear in the log.
    """

    job_id: str
    outcome: WriteOutcome | results.Failure | None
    finished: trio.Event
    may_have_been_written: bool

    def plan(
        self, table: _job_table.JobTable, planned: 'PlannedChanges'
    ) -> list[keyed_log.KeyedRecord] | WriteOutcome | results.Failure:
        """Returns the records to append, or the outcome if it is known.

        An empty list means that an earlier operation of the same append writes
        the same change; the outcome is then that of the append.
        """
        ...

    def is_expired(self) -> bool:
        """Returns whether nobody waits for the outcome any more."""
        ...

    def estimate_bytes(self) -> int:
        """Returns about how many bytes its records have."""
        ...


class PlannedChanges:
    """Changes planned by earlier operations of the same append.

    Attributes:
        jobs: Jobs to be accepted, by id.
        results_by_job: Ids of items to be listed, by job.
    """

    __slots__ = ('jobs', 'results_by_job')

    def __init__(self) -> None:
        self.jobs: dict[str, _job.Job] = {}
        self.results_by_job: dict[str, list[str]] = {}

    def count_tokens(self, route_name: str, customer: str) -> int:
        """Returns the tokens of jobs to be accepted, as the table does."""
        total = 0
        for job in self.jobs.values():
            if job.route_name != route_name:
                continue
            if customer and job.customer != customer:
                continue
            total += job.count_waiting_tokens()
        return total


class _OperationState:
    """State common to all operations."""

    __slots__ = ('job_id', 'outcome', 'finished', 'may_have_been_written')

    def __init__(self, job_id: str) -> None:
        self.job_id = job_id
        self.outcome: WriteOutcome | results.Failure | None = None
        self.finished = trio.Event()
        self.may_have_been_written = False

    def is_expired(self) -> bool:
        """Returns False: the operation is kept until it is written."""
        return False

    def estimate_bytes(self) -> int:
        """Returns the size of a small record."""
        return _SMALL_RECORD_BYTES


class AcceptJob(_OperationState):
    """Accepts a job.

    Attributes:
        job: The job to accept.
        max_waiting_tokens: Bound on the tokens of the open items that the
            job's customer has on the route, or all callers together if the job
            has no customer; 0 for none.
        max_record_bytes: Maximum size of one record.
        deadline_s: Monotonic time after which the caller has stopped waiting.
    """

    __slots__ = ('job', 'max_waiting_tokens', 'max_record_bytes', 'deadline_s')

    def __init__(
        self,
        job: _job.Job,
        max_waiting_tokens: int,
        max_record_bytes: int,
        deadline_s: float,
    ) -> None:
        super().__init__(job.job_id)
        self.job = job
        self.max_waiting_tokens = max_waiting_tokens
        self.max_record_bytes = max_record_bytes
        self.deadline_s = deadline_s

    def plan(
        self, table: _job_table.JobTable, planned: PlannedChanges
    ) -> list[keyed_log.KeyedRecord] | WriteOutcome | results.Failure:
        """Returns the records of the job if it stays within the bound."""
        job = self.job
        known = table.jobs.get(job.job_id)
        if known is not None:
            return find_id_conflict(known, job.customer) or WriteOutcome.DONE
        earlier = planned.jobs.get(job.job_id)
        if earlier is not None:
            return find_id_conflict(earlier, job.customer) or []
        if self.max_waiting_tokens:
            waiting = table.count_waiting_tokens(job.route_name, job.customer)
            waiting += planned.count_tokens(job.route_name, job.customer)
            waiting += job.count_waiting_tokens()
            if waiting > self.max_waiting_tokens:
                if not self.may_have_been_written:
                    return WriteOutcome.OVER_QUOTA
                return results.Failure(
                    results.ResultCode.LOG_APPEND_UNKNOWN,
                    'the job exceeds the limit of waiting tokens of the route,'
                    ' but an earlier append may have accepted it',
                    results.RunState.UNKNOWN,
                )
        planned.jobs[job.job_id] = job
        key = _job_records.RecordKey(_job_records.RecordKind.JOB, job.job_id)
        return _job_records.encode_value(
            key, _job_records.encode_job(job), self.max_record_bytes
        )

    def is_expired(self) -> bool:
        """Returns whether the caller has stopped waiting."""
        return trio.current_time() > self.deadline_s

    def estimate_bytes(self) -> int:
        """Returns about how many bytes the job has."""
        total = _SMALL_RECORD_BYTES
        for item in self.job.items:
            total += 2 * len(item.body) + _SMALL_RECORD_BYTES
        return total


def find_id_conflict(known: _job.Job, customer: str) -> results.Failure | None:
    """Returns why a customer cannot submit a job with the id of a known one.

    The id is that of a job of another customer. A job without a customer may
    have been accepted by a member that knew none yet.
    """
    if not customer or known.customer in ('', customer):
        return None
    return results.Failure(
        results.ResultCode.INVALID_FIELD, 'the id of the job is in use'
    )


class AppendResult(_OperationState):
    """Lists a result at the next position of its job.

    Attributes:
        result: The result to list.
        max_record_bytes: Maximum size of one record.
    """

    __slots__ = ('result', 'max_record_bytes')

    def __init__(
        self, job_id: str, result: _job.ItemResult, max_record_bytes: int
    ) -> None:
        super().__init__(job_id)
        self.result = result
        self.max_record_bytes = max_record_bytes

    def estimate_bytes(self) -> int:
        """Returns about how many bytes the result has."""
        return len(self.result.output) + _SMALL_RECORD_BYTES

    def plan(
        self, table: _job_table.JobTable, planned: PlannedChanges
    ) -> list[keyed_log.KeyedRecord] | WriteOutcome:
        """Returns the records of the result unless the item is listed."""
        job = table.jobs.get(self.job_id)
        if job is None:
            return WriteOutcome.NO_SUCH_JOB
        if self.result.item_id not in job.open_items:
            return WriteOutcome.DONE
        earlier = planned.results_by_job.setdefault(self.job_id, [])
        if self.result.item_id in earlier:
            return []
        position = len(job.results) + len(earlier)
        earlier.append(self.result.item_id)
        key = _job_records.RecordKey(
            _job_records.RecordKind.RESULT, self.job_id, position
        )
        return _job_records.encode_value(
            key, _job_records.encode_result(self.result), self.max_record_bytes
        )


class EndJob(_OperationState):
    """Ends a job for its caller.

    Attributes:
        deadline_s: Monotonic time after which the caller has stopped waiting.
    """

    __slots__ = ('deadline_s',)

    def __init__(self, job_id: str, deadline_s: float) -> None:
        super().__init__(job_id)
        self.deadline_s = deadline_s

    def plan(
        self, table: _job_table.JobTable, planned: PlannedChanges
    ) -> list[keyed_log.KeyedRecord] | WriteOutcome:
        """Returns the record of the end unless the job is ended."""
        job = table.jobs.get(self.job_id)
        if job is None:
            return WriteOutcome.NO_SUCH_JOB
        if job.is_ended:
            return WriteOutcome.DONE
        key = _job_records.RecordKey(_job_records.RecordKind.END, self.job_id)
        return _job_records.encode_value(key, b'{}', 4096)

    def is_expired(self) -> bool:
        """Returns whether the caller has stopped waiting."""
        return trio.current_time() > self.deadline_s


class DropJob(_OperationState):
    """Removes a finished job whose retention period is over."""

    __slots__ = ()

    def plan(
        self, table: _job_table.JobTable, planned: PlannedChanges
    ) -> list[keyed_log.KeyedRecord] | WriteOutcome:
        """Returns a tombstone (record without a value) for each key of the job.

        The acceptance is dropped last: if not all records are appended, a
        member that reloads the log still finds the job and its other keys.
        """
        records: list[keyed_log.KeyedRecord] = []
        for key in reversed(table.list_keys(self.job_id)):
            records.append(keyed_log.KeyedRecord(key, None))
        return records or WriteOutcome.DONE
