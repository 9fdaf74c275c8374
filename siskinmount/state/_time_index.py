"""Sparse index from the time at which records were written to offsets."""

from collections.abc import Iterable

from siskinmount.state import _state_machine
from siskinmount.state import records_pb2

ENTRIES_PER_RETENTION = 64


class TimeIndex:
    """Sparse index from times to offsets of a stream.

    Attributes:
        kinds: Kind of the snapshot record that holds the index.
    """

    kinds = frozenset({'age_marks'})

    __slots__ = ('_spacing_ms', '_offsets', '_written_at_ms')

    def __init__(self, retention_ms: int) -> None:
        self._spacing_ms = max(1, retention_ms // ENTRIES_PER_RETENTION)
        self._offsets: list[int] = []
        self._written_at_ms: list[int] = []

    def add(self, offset: int, written_at_ms: int) -> None:
        """Adds an entry, unless it is too close to the last one.

        Args:
            offset: Offset of the record.
            written_at_ms: When the record was written, in milliseconds since
                the Unix epoch.
        """
        if self._written_at_ms:
            since_last_ms = written_at_ms - self._written_at_ms[-1]
            if since_last_ms < self._spacing_ms:
                return
        self._offsets.append(offset)
        self._written_at_ms.append(written_at_ms)

    def first_offset_after(self, time_ms: int) -> int:
        """Returns an offset before which all records are older than a time.

        The index is sparse: records at and after this offset may be older too,
        by up to the interval between two entries.
        """
        result = 0
        for offset, written_at_ms in zip(
            self._offsets, self._written_at_ms, strict=True
        ):
            if written_at_ms > time_ms:
                break
            result = offset
        return result

    def drop_before(self, time_ms: int) -> None:
        """Drops entries older than a time, except the newest of these."""
        while len(self._offsets) > 1 and self._written_at_ms[1] <= time_ms:
            del self._offsets[0]
            del self._written_at_ms[0]

    def apply(
        self,
        record: records_pb2.Record,
        position: _state_machine.Position,
    ) -> None:
        """Does nothing: `add` is called with the times of envelopes."""

    def begin_term(self) -> None:
        """Does nothing: the index does not depend on the owner."""

    def describe(self) -> Iterable[records_pb2.Record]:
        """Returns a record with all entries."""
        yield records_pb2.Record(
            age_marks=records_pb2.AgeMarks(
                offsets=self._offsets, written_at_ms=self._written_at_ms
            )
        )

    def restore(self, record: records_pb2.Record) -> None:
        """Restores the entries from a snapshot."""
        self._offsets = list(record.age_marks.offsets)
        self._written_at_ms = list(record.age_marks.written_at_ms)
