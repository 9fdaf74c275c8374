"""Appends job changes to the log with optimistic concurrency control.

Each append is conditional on the end offset of the log, so it takes effect only
if this process has read all earlier records. Concurrent writers and calls that
take effect late can therefore not use a position twice, accept a job twice or
exceed a bound, and no leader has to be elected.

Writers that append at the same time get in each other's way: one succeeds, the
others read and try again. So in a large fleet members hand their operations to
one of them, which appends those of all together. That is an optimization only:
any member may append at any time, and one that gets no outcome does so itself.
"""

import logging
import random
from typing import Protocol

import trio

from siskinmount import keyed_log
from siskinmount import results
from siskinmount.jobs import _job_table
from siskinmount.jobs import _operations

_LOGGER = logging.getLogger(__name__)

#: Maximum of the random pause after an append conflict: about the duration of
#: one append. The randomness keeps the same writers from colliding again.
MAX_CONFLICT_PAUSE_MS = 12
FIRST_RETRY_MS = 60
MAX_RETRY_MS = 500
#: While this many operations are queued, those of callers are refused at once.
#: On the busiest day one daemon gets fewer than ten a second.
MAX_CALLER_OPERATIONS = 256
#: Operations of callers are refused at once if the log has been unreachable for
#: longer than this.
MAX_OUTAGE_S = 0.3
#: How long a member appends itself after the member that writes for all has not
#: given an outcome. By then other members know if that one is gone.
OWN_APPENDS_S = 2.0
#: Operations handed over in one call, as long as they fit in one append.
MAX_HANDED_OPERATIONS = 32
#: How long a call waits for the outcomes of operations of another member.
PEER_WAIT_S = 0.8
#: Longest time to read what another member has written.
READ_BACK_S = 0.3

#: Outcomes of operations that another member wrote; None for those without one.
Outcomes = list[_operations.WriteOutcome | results.Failure | None]


class PreferredWriter(Protocol):
    """The member that writes for all, if there is one."""

    def choose(self) -> str | None:
        """Returns its name; None if this member appends itself."""
        ...

    async def write(
        self, writer: str, operations: list[_operations.Operation]
    ) -> Outcomes | results.Failure:
        """Has the member write operations, and returns their outcomes."""
        ...


class _NoWriter:
    """Implements `PreferredWriter` where each member appends itself."""

    __slots__ = ()

    def choose(self) -> str | None:
        """Implements `PreferredWriter.choose`."""
        return None

    async def write(
        self, writer: str, operations: list[_operations.Operation]
    ) -> Outcomes | results.Failure:
        """Implements `PreferredWriter.write`; never called."""
        raise AssertionError('there is no other writer')


class JobLedger:
    """Writes queued operations in batches, one append at a time."""

    __slots__ = (
        '_log',
        '_follower',
        '_table',
        '_max_call_bytes',
        '_pending',
        '_of_peers',
        '_must_sync',
        '_wake',
        '_writer',
        '_own_until_s',
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
        self._pending: list[_operations.Operation] = []
        self._of_peers: set[_operations.Operation] = set()
        self._must_sync = False
        self._wake = trio.Event()
        self._writer: PreferredWriter = _NoWriter()
        self._own_until_s = float('-inf')

    def set_writer(self, writer: PreferredWriter) -> None:
        """Sets what determines the member that writes for all."""
        self._writer = writer

    @property
    def open_count(self) -> int:
        """Number of operations that have no outcome yet."""
        return len(self._pending)

    def submit(self, operation: _operations.Operation) -> None:
        """Queues an operation without waiting for its outcome."""
        self._pending.append(operation)
        self._wake.set()

    def withdraw(self, operation: _operations.Operation) -> None:
        """Removes a queued operation that another member writes instead.

        An append in progress may still write the operation, which is harmless:
        each item is listed once only.
        """
        if operation in self._pending:
            self._pending.remove(operation)

    async def write(
        self, operation: _operations.Operation
    ) -> _operations.WriteOutcome | results.Failure:
        """Writes a caller's operation and returns its outcome."""
        follower = self._follower
        lost_s = trio.current_time() - follower.lost_at_s
        is_unavailable = (
            not follower.is_reachable
            and lost_s > MAX_OUTAGE_S
            and self._choose_writer() is None
        )
        if is_unavailable or len(self._pending) >= MAX_CALLER_OPERATIONS:
            return results.Failure(
                results.ResultCode.LOG_UNAVAILABLE,
                'the log is unreachable or its queue of operations is full',
                retry_after_ms=500,
            )
        self.submit(operation)
        await operation.finished.wait()
        if operation.outcome is None:
            raise AssertionError('an operation ended without an outcome')
        return operation.outcome

    async def write_for_peer(
        self, operations: list[_operations.Operation]
    ) -> Outcomes:
        """Writes operations of another member and returns their outcomes.

        Those that are not finished in time are withdrawn; an append in progress
        may still write them, and their member asks the log.
        """
        self._of_peers.update(operations)
        for operation in operations:
            self.submit(operation)
        with trio.move_on_after(PEER_WAIT_S):
            for operation in operations:
                await operation.finished.wait()
        for operation in operations:
            self._of_peers.discard(operation)
            self.withdraw(operation)
        return [operation.outcome for operation in operations]

    async def run(self) -> None:
        """Writes queued operations until cancelled."""
        failures = 0
        while True:
            if not self._pending:
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
        """Plans and performs one append, or has another member do so."""
        writer = self._choose_writer()
        if writer is not None:
            await self._hand_over(writer)
            return None
        follower = self._follower
        if self._must_sync or follower.is_pausing or not follower.is_loaded:
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
                self._finish(operation, _operations.WriteOutcome.DONE)
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
        await trio.sleep(random.uniform(0, MAX_CONFLICT_PAUSE_MS) / 1000)
        return None

    def _choose_writer(self) -> str | None:
        """Returns the member to which operations are handed; None for none."""
        if self._of_peers or trio.current_time() < self._own_until_s:
            return None
        return self._writer.choose()

    async def _hand_over(self, writer: str) -> None:
        """Has another member write the first operations."""
        operations: list[_operations.Operation] = []
        size_bytes = 0
        for operation in self._pending[:MAX_HANDED_OPERATIONS]:
            size_bytes += operation.estimate_bytes()
            if operations and size_bytes > self._max_call_bytes:
                break
            operations.append(operation)
        outcomes = await self._writer.write(writer, operations)
        failure: results.Failure | None = None
        if isinstance(outcomes, results.Failure):
            failure = outcomes
            outcomes = [None] * len(operations)
        else:
            # What this member decides next must see what was written. If that
            # fails, the follower reads it when it can.
            with trio.move_on_after(READ_BACK_S):
                await self._follower.sync()
        unfinished = 0
        for operation, outcome in zip(operations, outcomes, strict=True):
            if outcome is not None:
                self._finish(operation, outcome)
                continue
            unfinished += 1
            if (
                failure is None
                or failure.run_state is not results.RunState.NOT_RUN
            ):
                operation.may_have_been_written = True
        if unfinished:
            self._must_sync = True
            self._own_until_s = trio.current_time() + OWN_APPENDS_S
            _LOGGER.warning(
                'operations_not_written_by_peer',
                extra={
                    'peer': writer,
                    'operations': len(operations),
                    'unfinished': unfinished,
                    'reason': failure.reason if failure else 'no outcome',
                },
            )

    async def _append(
        self, records: list[keyed_log.KeyedRecord]
    ) -> keyed_log.AppendRefusal | results.Failure | None:
        """Appends records, split into as many calls as their size requires.

        Calls before the last hold only parts after the first of a value, which
        readers ignore until the first part follows. Each call is conditional on
        the end of the call before, not on the follower's offset: the follower
        may have read other members' records, on which the plan is not based.
        """
        at_offset = self._follower.next_offset
        for group in _split_into_calls(records, self._max_call_bytes):
            outcome = await self._log.append(group, at_offset)
            if not isinstance(outcome, int):
                return outcome
            appended: list[keyed_log.KeyedRecord] = []
            for index, record in enumerate(group):
                appended.append(
                    keyed_log.KeyedRecord(
                        record.key, record.value, outcome + index
                    )
                )
            self._follower.apply_page(
                keyed_log.LogPage(appended, outcome + len(group))
            )
            at_offset = outcome + len(group)
        return None

    def _plan(
        self,
    ) -> tuple[list[_operations.Operation], list[keyed_log.KeyedRecord]]:
        """Returns the operations that fit in one append, and their records."""
        planned = _operations.PlannedChanges()
        chosen: list[_operations.Operation] = []
        records: list[keyed_log.KeyedRecord] = []
        changed_jobs: set[str] = set()
        dropped_jobs: set[str] = set()
        size_bytes = 0
        for operation in list(self._pending):
            is_drop = isinstance(operation, _operations.DropJob)
            # A drop removes the keys that the table holds. Another operation of
            # the job in the same append would leave a record behind.
            if operation.job_id in dropped_jobs or (
                is_drop and operation.job_id in changed_jobs
            ):
                break
            plan = operation.plan(self._table, planned)
            if isinstance(plan, (_operations.WriteOutcome, results.Failure)):
                self._finish(operation, plan)
                continue
            plan_bytes = sum(_size_bytes(record) for record in plan)
            if chosen and size_bytes + plan_bytes > self._max_call_bytes:
                break
            size_bytes += plan_bytes
            chosen.append(operation)
            records.extend(plan)
            job_ids = dropped_jobs if is_drop else changed_jobs
            job_ids.add(operation.job_id)
        return chosen, records

    def _expire(self) -> None:
        """Fails operations whose callers have stopped waiting."""
        for operation in list(self._pending):
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
                    'the log did not answer before the deadline',
                    run_state,
                    retry_after_ms=500,
                ),
            )

    def _finish(
        self,
        operation: _operations.Operation,
        outcome: _operations.WriteOutcome | results.Failure,
    ) -> None:
        operation.outcome = outcome
        operation.finished.set()
        self.withdraw(operation)


def _split_into_calls(
    records: list[keyed_log.KeyedRecord], max_call_bytes: int
) -> list[list[keyed_log.KeyedRecord]]:
    """Splits records into groups that each fit into one call."""
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
