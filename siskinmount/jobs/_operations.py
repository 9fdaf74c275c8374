"""What is to be written into the log of jobs."""

import enum
from typing import Protocol

import trio

from siskinmount import keyed_log
from siskinmount import results
from siskinmount.jobs import _job
from siskinmount.jobs import _job_records
from siskinmount.jobs import _job_table


class Written(enum.Enum):
    """What became of an operation."""

    #: The log holds it.
    DONE = 'done'

    #: The job would take the route's waiting tokens over their bound.
    OVER_QUOTA = 'over_quota'

    #: The log holds no such job.
    NO_SUCH_JOB = 'no_such_job'


class Operation(Protocol):
    """One change that is valid only against the state that it was planned on.

    Attributes:
        job_id: The job that it concerns.
        outcome: What became of it; None while it is open.
        finished: Set with the outcome.
        may_have_been_written: Whether an append with it had no answer, so that
            it may still appear in the log.
    """

    job_id: str
    outcome: Written | results.Failure | None
    finished: trio.Event
    may_have_been_written: bool

    def plan(
        self, table: _job_table.JobTable, planned: 'PlannedChanges'
    ) -> list[keyed_log.KeyedRecord] | Written | results.Failure:
        """Returns the records to append, or the outcome if it is known.

        No records mean that an earlier operation of the same append brings
        them: the outcome is known only when that append is.
        """
        ...

    def is_expired(self) -> bool:
        """Returns whether nobody waits for it any more."""
        ...


class PlannedChanges:
    """What earlier operations of the same append will have changed.

    Attributes:
        jobs: Jobs that will have been accepted.
        results_by_job: Items that will have been listed.
        tokens_by_route: Tokens that will have been added to a route.
    """

    __slots__ = ('jobs', 'results_by_job', 'tokens_by_route')

    def __init__(self) -> None:
        self.jobs: set[str] = set()
        self.results_by_job: dict[str, list[str]] = {}
        self.tokens_by_route: dict[str, int] = {}


class _OperationState:
    """What all operations have."""

    __slots__ = ('job_id', 'outcome', 'finished', 'may_have_been_written')

    def __init__(self, job_id: str) -> None:
        self.job_id = job_id
        self.outcome: Written | results.Failure | None = None
        self.finished = trio.Event()
        self.may_have_been_written = False

    def is_expired(self) -> bool:
        """Returns False: it is kept until it is written."""
        return False


class AcceptJob(_OperationState):
    """Accepts a job.

    Attributes:
        job: The job.
        max_waiting_tokens: Bound of its route; 0 for none.
        max_record_bytes: Bound of one record.
        deadline_s: Steady time after which the caller waits no more.
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
    ) -> list[keyed_log.KeyedRecord] | Written | results.Failure:
        """Returns the job's records if it fits."""
        job = self.job
        if job.job_id in table.jobs:
            return Written.DONE
        if job.job_id in planned.jobs:
            return []
        tokens = job.count_waiting_tokens()
        earlier = planned.tokens_by_route.get(job.route_name, 0)
        if self.max_waiting_tokens:
            waiting = table.count_waiting_tokens(job.route_name) + earlier
            if waiting + tokens > self.max_waiting_tokens:
                if not self.may_have_been_written:
                    return Written.OVER_QUOTA
                return results.Failure(
                    results.ResultCode.LOG_APPEND_UNKNOWN,
                    'the job does not fit, but may have been accepted',
                    results.RunState.UNKNOWN,
                )
        planned.jobs.add(job.job_id)
        planned.tokens_by_route[job.route_name] = earlier + tokens
        key = _job_records.RecordKey(_job_records.RecordKind.JOB, job.job_id)
        return _job_records.encode_value(
            key, _job_records.encode_job(job), self.max_record_bytes
        )

    def is_expired(self) -> bool:
        """Returns whether the caller waits no more."""
        return trio.current_time() > self.deadline_s


class ListResult(_OperationState):
    """Lists a result at the next position of its job.

    Attributes:
        result: The result.
        max_record_bytes: Bound of one record.
    """

    __slots__ = ('result', 'max_record_bytes')

    def __init__(
        self, job_id: str, result: _job.ItemResult, max_record_bytes: int
    ) -> None:
        super().__init__(job_id)
        self.result = result
        self.max_record_bytes = max_record_bytes

    def plan(
        self, table: _job_table.JobTable, planned: PlannedChanges
    ) -> list[keyed_log.KeyedRecord] | Written:
        """Returns the result's records unless the item is listed."""
        job = table.jobs.get(self.job_id)
        if job is None:
            return Written.NO_SUCH_JOB
        if self.result.item_id not in job.open_items:
            return Written.DONE
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
        deadline_s: Steady time after which the caller waits no more.
    """

    __slots__ = ('deadline_s',)

    def __init__(self, job_id: str, deadline_s: float) -> None:
        super().__init__(job_id)
        self.deadline_s = deadline_s

    def plan(
        self, table: _job_table.JobTable, planned: PlannedChanges
    ) -> list[keyed_log.KeyedRecord] | Written:
        """Returns the end's record unless the job has ended."""
        job = table.jobs.get(self.job_id)
        if job is None:
            return Written.NO_SUCH_JOB
        if job.is_ended:
            return Written.DONE
        key = _job_records.RecordKey(_job_records.RecordKind.END, self.job_id)
        return _job_records.encode_value(key, b'{}', 4096)

    def is_expired(self) -> bool:
        """Returns whether the caller waits no more."""
        return trio.current_time() > self.deadline_s


class DropJob(_OperationState):
    """Removes a job that is closed and whose results were kept long enough."""

    __slots__ = ()

    def plan(
        self, table: _job_table.JobTable, planned: PlannedChanges
    ) -> list[keyed_log.KeyedRecord] | Written:
        """Returns a record without a value for each key of the job.

        The acceptance goes last: until then the rest is found again by a
        member that reads the log anew.
        """
        records: list[keyed_log.KeyedRecord] = []
        for key in reversed(table.list_keys(self.job_id)):
            records.append(keyed_log.KeyedRecord(key, None))
        return records or Written.DONE
