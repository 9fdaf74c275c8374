"""Writes changes of jobs into the log, each against the state it is valid on.

Each append names the offset at which the log must end. So it takes effect only
if this process had read all that stands before it: no position is taken twice,
no job accepted twice, no bound passed, whoever else writes, and however late a
call takes effect. No process has to be elected for that.
"""

import logging
import random

import trio

from siskinmount import keyed_log
from siskinmount import results
from siskinmount.jobs import _job_table
from siskinmount.jobs import _operations

_LOGGER = logging.getLogger(__name__)

#: Pause after an append that another writer was ahead of: about one append's
#: time, drawn so that the same writers do not meet again.
LOST_RACE_MS = 12
FIRST_RETRY_MS = 60
MAX_RETRY_MS = 500
#: Callers' operations that may wait; more are refused at once. A second's
#: worth of the heaviest day on one daemon is under ten.
MAX_CALLER_OPERATIONS = 256
#: How long the store may be silent before a caller is refused at once.
REFUSE_AFTER_LOST_S = 0.3


class JobLedger:
    """Writes operations in groups, one append at a time."""

    __slots__ = (
        '_log',
        '_follower',
        '_table',
        '_max_call_bytes',
        '_open',
        '_must_sync',
        '_wake',
    )

    def __init__(
        self,
        log: keyed_log.KeyedLog,
        follower: keyed_log.LogFollower,
        table: _job_table.JobTable,
        max_call_bytes: int,
    ) -> None:
        self._log = log
        self._follower = follower
        self._table = table
        self._max_call_bytes = max_call_bytes
        self._open: list[_operations.Operation] = []
        self._must_sync = False
        self._wake = trio.Event()

    @property
    def open_count(self) -> int:
        """Operations that are not finished."""
        return len(self._open)

    def submit(self, operation: _operations.Operation) -> None:
        """Queues an operation that is kept until it is written."""
        self._open.append(operation)
        self._wake.set()

    def withdraw(self, operation: _operations.Operation) -> None:
        """Drops an operation that another member writes instead.

        A call that is under way may still write it, which does no harm.
        """
        if operation in self._open:
            self._open.remove(operation)

    async def write(
        self, operation: _operations.Operation
    ) -> _operations.Written | results.Failure:
        """Writes a caller's operation and returns what became of it."""
        follower = self._follower
        lost_s = trio.current_time() - follower.lost_at_s
        is_away = not follower.is_reachable and lost_s > REFUSE_AFTER_LOST_S
        if is_away or len(self._open) >= MAX_CALLER_OPERATIONS:
            return results.Failure(
                results.ResultCode.LOG_UNAVAILABLE,
                'the store cannot be reached now',
                retry_after_ms=500,
            )
        self.submit(operation)
        await operation.finished.wait()
        if operation.outcome is None:
            raise AssertionError('an operation ended without an outcome')
        return operation.outcome

    async def run(self) -> None:
        """Writes for ever."""
        failures = 0
        while True:
            if not self._open:
                self._wake = trio.Event()
                with trio.move_on_after(1):
                    await self._wake.wait()
                continue
            failure = await self._step()
            self._expire()
            if failure is None:
                failures = 0
                continue
            failures += 1
            ceiling_ms = min(MAX_RETRY_MS, FIRST_RETRY_MS * 2**failures)
            await trio.sleep(random.uniform(ceiling_ms / 2, ceiling_ms) / 1000)

    async def _step(self) -> results.Failure | None:
        """Plans and makes one append."""
        if self._must_sync or not self._follower.is_loaded:
            failure = await self._follower.sync()
            if failure is not None:
                return failure
            self._must_sync = False
        at_offset = self._follower.next_offset
        chosen, records = self._plan()
        if not records:
            return None
        outcome = await self._append(records)
        if outcome is None:
            for operation in chosen:
                self._finish(operation, _operations.Written.DONE)
            return None
        if isinstance(outcome, results.Failure):
            if outcome.run_state is not results.RunState.NOT_RUN:
                self._must_sync = True
                for operation in chosen:
                    operation.may_have_been_written = True
            _LOGGER.warning(
                'jobs_append_failed',
                extra={
                    'code': int(outcome.code),
                    'reason': outcome.reason,
                    'at_offset': at_offset,
                    'operations': len(chosen),
                    'run_state': outcome.run_state.value,
                },
            )
            return outcome
        self._must_sync = True
        await trio.sleep(random.uniform(0, LOST_RACE_MS) / 1000)
        return None

    async def _append(
        self, records: list[keyed_log.KeyedRecord]
    ) -> keyed_log.AppendRefusal | results.Failure | None:
        """Appends records in as many calls as they need.

        Only further parts of values, which say nothing alone, can stand in a
        call before the last.
        """
        for group in _split_into_calls(records, self._max_call_bytes):
            outcome = await self._log.append(group, self._follower.next_offset)
            if not isinstance(outcome, int):
                return outcome
            taken: list[keyed_log.KeyedRecord] = []
            for index, record in enumerate(group):
                taken.append(
                    keyed_log.KeyedRecord(
                        record.key, record.value, outcome + index
                    )
                )
            self._follower.take_page(
                keyed_log.LogPage(taken, outcome + len(group))
            )
        return None

    def _plan(
        self,
    ) -> tuple[list[_operations.Operation], list[keyed_log.KeyedRecord]]:
        """Returns operations that fit into one append, and their records."""
        planned = _operations.PlannedChanges()
        chosen: list[_operations.Operation] = []
        records: list[keyed_log.KeyedRecord] = []
        size_bytes = 0
        for operation in list(self._open):
            plan = operation.plan(self._table, planned)
            if isinstance(plan, (_operations.Written, results.Failure)):
                self._finish(operation, plan)
                continue
            plan_bytes = sum(_size_bytes(record) for record in plan)
            if chosen and size_bytes + plan_bytes > self._max_call_bytes:
                break
            size_bytes += plan_bytes
            chosen.append(operation)
            records.extend(plan)
        return chosen, records

    def _expire(self) -> None:
        """Ends operations for which nobody waits any more."""
        for operation in list(self._open):
            if not operation.is_expired():
                continue
            run_state = results.RunState.NOT_RUN
            code = results.ResultCode.LOG_UNAVAILABLE
            if operation.may_have_been_written:
                run_state = results.RunState.UNKNOWN
                code = results.ResultCode.LOG_APPEND_UNKNOWN
            self._finish(
                operation,
                results.Failure(
                    code,
                    'the store did not answer in time',
                    run_state,
                    retry_after_ms=500,
                ),
            )

    def _finish(
        self,
        operation: _operations.Operation,
        outcome: _operations.Written | results.Failure,
    ) -> None:
        operation.outcome = outcome
        operation.finished.set()
        self.withdraw(operation)


def _split_into_calls(
    records: list[keyed_log.KeyedRecord], max_call_bytes: int
) -> list[list[keyed_log.KeyedRecord]]:
    """Returns the records in groups that fit into a call each."""
    groups: list[list[keyed_log.KeyedRecord]] = [[]]
    size_bytes = 0
    for record in records:
        size_bytes += _size_bytes(record)
        if groups[-1] and size_bytes > max_call_bytes:
            groups.append([])
            size_bytes = _size_bytes(record)
        groups[-1].append(record)
    return groups


def _size_bytes(record: keyed_log.KeyedRecord) -> int:
    return len(record.key) + len(record.value or b'') + 5


def create_job_ledger(
    log: keyed_log.KeyedLog,
    follower: keyed_log.LogFollower,
    table: _job_table.JobTable,
    max_call_bytes: int,
) -> JobLedger:
    """Creates a ledger for one partition of the log of jobs."""
    return JobLedger(log, follower, table, max_call_bytes)
