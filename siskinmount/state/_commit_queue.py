"""Queue of records for group commit."""

import collections

import trio

from siskinmount import results
from siskinmount.state import _state_machine
from siskinmount.state import records_pb2

# Encoding overhead of a record within a group.
RECORD_OVERHEAD_BYTES = 8


class Committed:
    """A record that was read back under the current epoch.

    Attributes:
        position: Position of the record in the stream.
    """

    __slots__ = ('position',)

    def __init__(self, position: _state_machine.Position) -> None:
        self.position = position


class PendingRecord:
    """A record that is queued or in flight to the log.

    Attributes:
        record: The record.
        size_bytes: Encoded size of the record within a group.
        is_sent: Whether an append of the record may have reached the log.
        outcome: Outcome of the commit, or None while it is unknown.
        settled: Set when the outcome is known.
    """

    __slots__ = ('record', 'size_bytes', 'is_sent', 'outcome', 'settled')

    def __init__(self, record: records_pb2.Record) -> None:
        self.record = record
        self.size_bytes = record.ByteSize() + RECORD_OVERHEAD_BYTES
        self.is_sent = False
        self.outcome: Committed | results.Failure | None = None
        self.settled = trio.Event()

    def settle(self, outcome: Committed | results.Failure) -> None:
        """Sets the outcome and wakes the waiting tasks."""
        self.outcome = outcome
        self.settled.set()


class CommitQueue:
    """Holds records in order until they are read back.

    Attributes:
        queued_bytes: Bytes of the records that are queued or in flight.
    """

    __slots__ = ('queued_bytes', '_waiting', '_in_flight', '_changed')

    def __init__(self) -> None:
        self.queued_bytes = 0
        self._waiting: collections.deque[PendingRecord] = collections.deque()
        self._in_flight: list[PendingRecord] = []
        self._changed = trio.Event()

    @property
    def is_empty(self) -> bool:
        """Whether no record is queued or in flight."""
        return not self._waiting and not self._in_flight

    @property
    def has_waiting(self) -> bool:
        """Whether a record is queued and not yet in flight."""
        return bool(self._waiting)

    def add(self, pending: PendingRecord) -> None:
        """Appends a record to the queue."""
        self._waiting.append(pending)
        self.queued_bytes += pending.size_bytes
        self._changed.set()

    def withdraw(self, pending: PendingRecord) -> None:
        """Removes a record that has not been sent."""
        self._waiting.remove(pending)
        self.queued_bytes -= pending.size_bytes

    async def wait_changed(self) -> None:
        """Waits until `add` or `wake` is called."""
        self._changed = trio.Event()
        await self._changed.wait()

    def wake(self) -> None:
        """Wakes a task in `wait_changed`."""
        self._changed.set()

    def dequeue_group(self, max_bytes: int) -> records_pb2.Group:
        """Moves queued records, at least one, into the group in flight.

        Args:
            max_bytes: Most bytes in the group, unless one record has more.
        """
        group = records_pb2.Group()
        size_bytes = 0
        while self._waiting:
            size_bytes += self._waiting[0].size_bytes
            if self._in_flight and size_bytes > max_bytes:
                break
            pending = self._waiting.popleft()
            pending.is_sent = True
            self._in_flight.append(pending)
            group.records.append(pending.record)
        return group

    def confirm_group(self, offset: int) -> None:
        """Settles the group in flight as read back at an offset."""
        in_flight, self._in_flight = self._in_flight, []
        for index, pending in enumerate(in_flight):
            self.queued_bytes -= pending.size_bytes
            pending.settle(Committed(_state_machine.Position(offset, index)))

    def fail_group(self, failure: results.Failure) -> None:
        """Settles the records of the group in flight with a failure."""
        in_flight, self._in_flight = self._in_flight, []
        for pending in in_flight:
            self.queued_bytes -= pending.size_bytes
            pending.settle(failure)

    def fail_all(self, sent: results.Failure, unsent: results.Failure) -> None:
        """Settles all remaining records at the end of a term.

        Args:
            sent: Failure of records that may have reached the log.
            unsent: Failure of records that were never sent.
        """
        self.fail_group(sent)
        while self._waiting:
            pending = self._waiting.popleft()
            self.queued_bytes -= pending.size_bytes
            pending.settle(unsent)
