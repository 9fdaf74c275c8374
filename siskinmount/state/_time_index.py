"""Remembers when the records of a stream were written."""

from collections.abc import Iterable

from siskinmount.state import _state_machine
from siskinmount.state import records_pb2

ENTRIES_PER_RETENTION = 64


class TimeIndex:
    """Maps times to offsets, coarsely.

    Attributes:
        kinds: Kind of the records that a snapshot holds for it.
    """

    kinds = frozenset({'age_marks'})

    __slots__ = ('_spacing_ms', '_offsets', '_written_at_ms')

    def __init__(self, retention_ms: int) -> None:
        self._spacing_ms = max(1, retention_ms // ENTRIES_PER_RETENTION)
        self._offsets: list[int] = []
        self._written_at_ms: list[int] = []

    def note(self, offset: int, written_at_ms: int) -> None:
        """Notes when a record was written."""
        if self._written_at_ms:
            since_last_ms = written_at_ms - self._written_at_ms[-1]
            if since_last_ms < self._spacing_ms:
                return
        self._offsets.append(offset)
        self._written_at_ms.append(written_at_ms)

    def first_offset_after(self, time_ms: int) -> int:
        """Returns an offset before which all records are older than a time.

        Records at and after it may be older too, by the spacing of marks.
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
        """Forgets marks older than a time, but for the last of them."""
        while len(self._offsets) > 1 and self._written_at_ms[1] <= time_ms:
            del self._offsets[0]
            del self._written_at_ms[0]

    def apply(
        self,
        record: records_pb2.Record,
        position: _state_machine.Position,
    ) -> None:
        """Ignores records: marks come from envelopes."""

    def begin_tenure(self) -> None:
        """Does nothing: marks are the same for all."""

    def describe(self) -> Iterable[records_pb2.Record]:
        """Returns a record with all marks."""
        yield records_pb2.Record(
            age_marks=records_pb2.AgeMarks(
                offsets=self._offsets, written_at_ms=self._written_at_ms
            )
        )

    def restore(self, record: records_pb2.Record) -> None:
        """Takes the marks of a snapshot."""
        self._offsets = list(record.age_marks.offsets)
        self._written_at_ms = list(record.age_marks.written_at_ms)
