"""One term of a state stream's owner: replay, claim, group commit, release."""

from collections.abc import Callable
import enum
import logging
import time

import trio

from siskinmount import backing_services
from siskinmount import results
from siskinmount.state import _backoff
from siskinmount.state import _commit_queue
from siskinmount.state import _epoch_filter
from siskinmount.state import _replay
from siskinmount.state import _replay_start
from siskinmount.state import _snapshot_writer
from siskinmount.state import _state_machine
from siskinmount.state import _stream_limits
from siskinmount.state import _time_index
from siskinmount.state import _writer
from siskinmount.state import records_pb2

_LOGGER = logging.getLogger(__name__)

HOUSEKEEPING_INTERVAL_MS = 1000
CLAIM_POLL_MS = 100


class TermEnd(enum.Enum):
    """Why a term as owner ended."""

    #: The owner released the stream, or never claimed it.
    RELEASED = 'released'

    #: Another process has claimed the stream.
    EPOCH_LOST = 'epoch_lost'

    #: Records expired before they were read; replay must start again.
    GAP = 'gap'


def wall_clock_ms() -> int:
    """Returns milliseconds since the Unix epoch."""
    return int(time.time() * 1000)


class StateStream:
    """Follows a stream, claims it, and commits records while it is owned.

    An instance serves one term: `run` replays the stream, waits until the
    stream may be claimed, claims it, and returns when ownership is lost or
    released.

    Attributes:
        name: Name of the stream.
        limits: Size limits and intervals.
        is_owned: Whether this process's claim is the newest that it has read.
        time_index: Offsets by the time at which records were written.
        ageing_below: Offset below which records are the next to expire.
        confirmed_at_s: Monotonic time at which the last read that reached the
            end of the stream was sent.
    """

    __slots__ = (
        'name',
        'limits',
        'is_owned',
        'confirmed_at_s',
        'time_index',
        'ageing_below',
        '_log',
        '_writer',
        '_is_live',
        '_clock_ms',
        '_state_machines',
        '_replay',
        '_queue',
        '_changed',
        '_is_at_tail',
        '_reads_at_once',
        '_is_log_failing',
        '_read_scope',
        '_is_resigning',
        '_end',
        '_snapshot',
        '_snapshot_count',
        '_in_flight_sequence',
    )

    def __init__(
        self,
        name: str,
        log: backing_services.LogService,
        writer: _writer.Writer,
        limits: _stream_limits.StreamLimits,
        is_live: Callable[[str], bool],
        clock_ms: Callable[[], int],
    ) -> None:
        self.name = name
        self.limits = limits
        self.is_owned = False
        self.confirmed_at_s = float('-inf')
        self.time_index = _time_index.TimeIndex(limits.retention_ms)
        self.ageing_below = 0
        self._log = log
        self._writer = writer
        self._is_live = is_live
        self._clock_ms = clock_ms
        self._state_machines: list[_state_machine.StateMachine] = []
        self._replay = _replay.Replay(name, [], self.time_index)
        self._queue = _commit_queue.CommitQueue()
        self._changed = trio.Event()
        self._is_at_tail = False
        self._reads_at_once = False
        self._is_log_failing = False
        # Scope of the read in progress; cancelled if the read hangs.
        self._read_scope = trio.CancelScope()
        self._is_resigning = False
        self._end: TermEnd | None = None
        self._snapshot: _snapshot_writer.SnapshotWriter | None = None
        self._snapshot_count = 0
        self._in_flight_sequence = 0

    @property
    def epoch(self) -> int:
        """Offset of the newest accepted claim that was read."""
        return self._replay.filter.epoch

    @property
    def next_offset(self) -> int:
        """First offset of the stream that has not been read."""
        return self._replay.next_offset

    @property
    def is_log_failing(self) -> bool:
        """Whether the last append failed or has an unknown outcome."""
        return self._is_log_failing

    @property
    def is_buffer_full(self) -> bool:
        """Whether the bytes of uncommitted records have reached the limit."""
        return self._queue.queued_bytes >= self.limits.max_queued_bytes

    @property
    def end(self) -> TermEnd | None:
        """Why the term ended, or None while it lasts."""
        return self._end

    def now_ms(self) -> int:
        """Returns the wall clock in milliseconds since the Unix epoch."""
        return self._clock_ms()

    def add_state_machine(
        self, state_machine: _state_machine.StateMachine
    ) -> None:
        """Adds a state machine; must be called before `run`."""
        self._state_machines.append(state_machine)

    def resign(self) -> None:
        """Requests a release; `run` returns once it is done."""
        self._is_resigning = True
        self._notify()

    def read_at_once(self) -> None:
        """Reads up to the end of the stream, in place of a read that waits."""
        self._reads_at_once = True
        self._read_scope.cancel()

    async def wait_owned(self) -> bool:
        """Waits for ownership; returns False if the term ended first."""
        while not self.is_owned and self._end is None:
            await self._changed.wait()
        return self.is_owned

    async def commit(
        self, record: records_pb2.Record
    ) -> _commit_queue.Committed | results.Failure:
        """Commits a record and returns when it has been read back.

        A failure has run state `NOT_RUN` if the record is not and never will
        be accepted, and `UNKNOWN` if it may be.
        """
        if self.is_owned and self._is_log_failing:
            return self._unavailable_failure('appends to the log are failing')
        pending = self.enqueue(record)
        if isinstance(pending, results.Failure):
            return pending
        with trio.move_on_after(self.limits.commit_timeout_ms / 1000):
            await pending.settled.wait()
        if pending.outcome is not None:
            return pending.outcome
        if not pending.is_sent:
            self._queue.withdraw(pending)
            return self._unavailable_failure(
                'no append was sent within the commit timeout'
            )
        return results.Failure(
            results.ResultCode.LOG_APPEND_UNKNOWN,
            'the record was sent to the log but not read back in time',
            results.RunState.UNKNOWN,
            self.limits.max_backoff_ms,
        )

    def enqueue(
        self, record: records_pb2.Record
    ) -> _commit_queue.PendingRecord | results.Failure:
        """Queues a record without waiting, even while the log is down."""
        if not self.is_owned:
            return results.Failure(
                results.ResultCode.NOT_OWNER,
                f'{self.name} is not owned by this process',
                retry_after_ms=self.limits.claim_wait_ms,
            )
        if self.is_buffer_full:
            return self._unavailable_failure(
                'the queue of records for the log is full'
            )
        pending = _commit_queue.PendingRecord(record)
        self._queue.add(pending)
        return pending

    async def run(self) -> TermEnd:
        """Runs one term."""
        self._replay = _replay.Replay(
            self.name, self._state_machines, self.time_index
        )
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._follow, nursery.cancel_scope)
                nursery.start_soon(self._run_ownership, nursery.cancel_scope)
                nursery.start_soon(
                    self._enforce_release_timeout, nursery.cancel_scope
                )
        finally:
            self._close()
        assert self._end is not None
        return self._end

    def _close(self) -> None:
        """Fails all records that are not committed."""
        self.is_owned = False
        unsent = results.Failure(
            results.ResultCode.OWNERSHIP_LOST,
            f'{self.name} has another owner',
            retry_after_ms=self.limits.claim_wait_ms,
        )
        sent = unsent
        if self._end is not TermEnd.EPOCH_LOST:
            sent = results.Failure(
                results.ResultCode.LOG_APPEND_UNKNOWN,
                'the record was not read back before the term ended',
                results.RunState.UNKNOWN,
                self.limits.claim_wait_ms,
            )
        self._queue.fail_all(sent, unsent)
        self._notify()

    def _unavailable_failure(self, reason: str) -> results.Failure:
        return results.Failure(
            results.ResultCode.LOG_UNAVAILABLE,
            reason,
            retry_after_ms=self.limits.max_backoff_ms,
        )

    def _notify(self) -> None:
        """Wakes all tasks that wait for a change."""
        changed, self._changed = self._changed, trio.Event()
        changed.set()
        self._queue.wake()

    def _end_term(self, end: TermEnd) -> None:
        """Ends the term, unless it has already ended."""
        if self._end is not None:
            return
        self._end = end
        self.is_owned = False
        _LOGGER.info(
            'ownership_ended',
            extra={
                'stream': self.name,
                'epoch': self.epoch,
                'reason': end.value,
            },
        )
        self._notify()

    async def _follow(self, scope: trio.CancelScope) -> None:
        """Reads and applies the stream until the term ends."""
        await self._start_replay()
        backoff = self._new_backoff()
        while self._end is None:
            sent_at_s = trio.current_time()
            # Replay must find out at once that it has reached the tail.
            may_wait = self._is_at_tail and not self._reads_at_once
            with trio.CancelScope() as self._read_scope:
                page = await self._log.read(
                    self.name,
                    self._replay.next_offset,
                    wait_ms=self.limits.tail_wait_ms if may_wait else 0,
                )
            if self._read_scope.cancelled_caught:
                continue
            if isinstance(page, results.Failure):
                await backoff.pause(page.retry_after_ms)
                continue
            if isinstance(page, backing_services.LogExpired):
                self._end_term(TermEnd.GAP)
                break
            backoff.reset()
            self._update_ageing_offset(page)
            for record in page.records:
                self._apply(record)
                if self._end is not None:
                    break
            if self._replay.next_offset >= page.next_offset:
                self._check_snapshot_restored()
                self._is_at_tail = True
                self._reads_at_once = False
                self.confirmed_at_s = sent_at_s
            self._notify()
        scope.cancel()

    def _update_ageing_offset(self, page: backing_services.LogPage) -> None:
        """Updates the offset below which records are the next to expire."""
        self.ageing_below = backing_services.ageing_below(
            page.first_offset, page.next_offset
        )
        if self.limits.retention_records:
            self.ageing_below = max(
                self.ageing_below,
                page.next_offset - self.limits.retention_records // 2,
            )

    async def _start_replay(self) -> None:
        """Finds where replay starts, retrying while the log is unavailable."""
        backoff = self._new_backoff()
        while True:
            start = await _replay_start.find_replay_start(self._log, self.name)
            if not isinstance(start, results.Failure):
                break
            await backoff.pause(start.retry_after_ms)
        if start.anchor is not None:
            self._replay.start_at_snapshot(start.anchor)
        elif start.first_offset > 1:
            _LOGGER.error(
                'state_expired',
                extra={
                    'code': int(results.ResultCode.LOG_RECORD_EXPIRED),
                    'stream': self.name,
                    'first_offset': start.first_offset,
                },
            )
            self._replay.start_after_expiry(start.first_offset)

    def _check_snapshot_restored(self) -> None:
        """Asserts that the snapshot from which replay started was complete."""
        if not self._replay.is_restoring:
            return
        _LOGGER.critical(
            'invariant_broken',
            extra={
                'code': int(results.ResultCode.INVARIANT_BROKEN),
                'invariant': 'an anchor names a complete snapshot',
                'stream': self.name,
            },
        )
        raise AssertionError(f'{self.name}: the snapshot has no end')

    def _apply(self, record: backing_services.LogRecord) -> None:
        """Applies one record and updates the queue and the term."""
        decision = self._replay.apply(record)
        epoch_filter = self._replay.filter
        if decision is _epoch_filter.FilterDecision.ACCEPTED:
            if (
                self.is_owned
                and epoch_filter.sequence == self._in_flight_sequence
            ):
                self._queue.confirm_group(record.offset)
            return
        if decision is not _epoch_filter.FilterDecision.CLAIM:
            return
        is_own = (
            epoch_filter.owner_vm == self._writer.vm
            and epoch_filter.owner_incarnation == self._writer.incarnation
        )
        if self.is_owned and not is_own:
            self._end_term(TermEnd.EPOCH_LOST)

    async def _run_ownership(self, scope: trio.CancelScope) -> None:
        """Claims the stream, commits while it is owned, and releases it."""
        await self._wait_until_claimable()
        if not self._is_resigning:
            await self._claim()
        while self.is_owned and not self._is_resigning:
            await self._write_once()
        if self.is_owned:
            await self._release()
        self._end_term(TermEnd.RELEASED)
        scope.cancel()

    async def _enforce_release_timeout(self, scope: trio.CancelScope) -> None:
        """Ends the term if the release exceeds its timeout."""
        while not self._is_resigning:
            await self._changed.wait()
        await trio.sleep(self.limits.release_timeout_ms / 1000)
        self._end_term(TermEnd.RELEASED)
        scope.cancel()

    async def _wait_until_claimable(self) -> None:
        """Waits until replay is at the tail and the stream may be claimed."""
        while not self._is_at_tail and not self._is_resigning:
            await self._changed.wait()
        epoch_filter = self._replay.filter
        claim_at_s = trio.current_time() + self.limits.claim_wait_ms / 1000
        while not self._is_resigning:
            if (
                epoch_filter.is_released
                or epoch_filter.epoch == 0
                or not epoch_filter.is_epoch_known
                or epoch_filter.owner_vm == self._writer.vm
                or not self._is_live(epoch_filter.owner_vm)
                or trio.current_time() >= claim_at_s
            ):
                return
            with trio.move_on_after(CLAIM_POLL_MS / 1000):
                await self._changed.wait()

    async def _claim(self) -> None:
        """Appends a claim and begins or ends the term by its result."""
        epoch_filter = self._replay.filter
        envelope = records_pb2.Envelope(
            claim=records_pb2.Claim(
                previous_epoch=epoch_filter.epoch,
                after_expiry=not epoch_filter.is_epoch_known,
            )
        )
        await self._append(envelope)
        if (
            epoch_filter.owner_vm != self._writer.vm
            or epoch_filter.owner_incarnation != self._writer.incarnation
            or epoch_filter.sequence != envelope.sequence
        ):
            self._end_term(TermEnd.EPOCH_LOST)
            return
        self.is_owned = True
        for state_machine in self._state_machines:
            state_machine.begin_term()
        _LOGGER.info(
            'stream_claimed', extra={'stream': self.name, 'epoch': self.epoch}
        )
        self._notify()

    async def _release(self) -> None:
        """Commits the queued records and appends a release."""
        while self._queue.has_waiting and self.is_owned:
            await self._write_group()
        if self.is_owned:
            self.is_owned = False
            await self._append(
                records_pb2.Envelope(release=records_pb2.Release())
            )

    async def _write_once(self) -> None:
        """Appends a group and a snapshot chunk, if there are any to write."""
        self._start_snapshot_if_due()
        if not self._queue.has_waiting and self._snapshot is None:
            with trio.move_on_after(HOUSEKEEPING_INTERVAL_MS / 1000):
                await self._queue.wait_changed()
            return
        if self._queue.has_waiting:
            await self._write_group()
        if self._snapshot is not None and self.is_owned:
            await self._append(self._snapshot.pop_next())
            if self._snapshot.is_finished:
                self._snapshot = None
        await trio.sleep(self.limits.min_append_interval_ms / 1000)

    async def _write_group(self) -> None:
        """Commits queued records together."""
        group = self._queue.dequeue_group(self.limits.max_group_bytes)
        failure = await self._append(records_pb2.Envelope(group=group))
        if failure is not None:
            self._queue.fail_group(failure)

    def _start_snapshot_if_due(self) -> None:
        """Starts a new snapshot if one is due and none is being written."""
        if self._snapshot is not None or not self._is_snapshot_due():
            return
        self._snapshot_count += 1
        self._snapshot = _snapshot_writer.SnapshotWriter(
            self._replay,
            self._snapshot_count,
            self.limits.snapshot_chunk_bytes,
        )

    def _is_snapshot_due(self) -> bool:
        """Whether the newest snapshot is too old or too far back."""
        replay = self._replay
        age_ms = self.now_ms() - replay.anchor_written_at_ms
        return (
            age_ms >= self.limits.snapshot_after_ms
            or replay.records_since_anchor >= self.limits.snapshot_after_records
            or replay.bytes_since_anchor >= self.limits.snapshot_after_bytes
            or replay.anchor.replay_offset < self.ageing_below
        )

    async def _append(
        self, envelope: records_pb2.Envelope
    ) -> results.Failure | None:
        """Appends a record, retrying until it has been read back.

        A repeated append has the same writer and sequence number, so at most
        one of its copies is accepted.

        Returns:
            A failure if the log rejected the record permanently.
        """
        envelope.writer_vm = self._writer.vm
        envelope.writer_incarnation = self._writer.incarnation
        envelope.sequence = self._writer.next_sequence()
        self._in_flight_sequence = envelope.sequence
        if envelope.WhichOneof('body') != 'claim':
            envelope.epoch = self.epoch
        envelope.written_at_ms = self.now_ms()
        envelope.anchor.CopyFrom(self._replay.anchor)
        data = envelope.SerializeToString()
        backoff = self._new_backoff()
        while True:
            answer = await self._log.append(self.name, data)
            if isinstance(answer, backing_services.Appended):
                self._is_log_failing = False
                await self._wait_until_read(answer.offset)
                return None
            if answer.code is results.ResultCode.LOG_RECORD_INVALID:
                return answer
            self._is_log_failing = True
            await backoff.pause(answer.retry_after_ms)

    async def _wait_until_read(self, offset: int) -> None:
        """Waits until the record at an offset has been read and applied.

        A read that hangs is cancelled, after which `_follow` repeats it.
        """
        timeout_ms = self.limits.read_back_timeout_ms
        while self._replay.next_offset <= offset:
            with trio.move_on_after(timeout_ms / 1000) as scope:
                await self._changed.wait()
            if scope.cancelled_caught:
                self._read_scope.cancel()
                timeout_ms *= 2

    def _new_backoff(self) -> _backoff.Backoff:
        return _backoff.Backoff(
            self.limits.first_backoff_ms, self.limits.max_backoff_ms
        )


def create_state_stream(
    name: str,
    log: backing_services.LogService,
    writer: _writer.Writer,
    limits: _stream_limits.StreamLimits | None = None,
    is_live: Callable[[str], bool] | None = None,
    clock_ms: Callable[[], int] = wall_clock_ms,
) -> StateStream:
    """Creates a stream for one term as owner.

    Args:
        name: Name of the stream.
        log: The platform's log.
        writer: Identity of this process, shared by all its streams.
        limits: Size limits and intervals.
        is_live: Returns whether a VM is believed to be alive. A stream whose
            owner is alive is claimed only after `claim_wait_ms`.
        clock_ms: Milliseconds since the Unix epoch.
    """
    return StateStream(
        name,
        log,
        writer,
        limits or _stream_limits.StreamLimits(),
        is_live or (lambda vm: True),
        clock_ms,
    )
