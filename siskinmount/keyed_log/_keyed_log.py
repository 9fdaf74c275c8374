"""Protocol of a durable log whose records have keys."""

import enum
from typing import Protocol

from siskinmount import results


class AppendRefusal(enum.Enum):
    """Reason for which a working log refused an append."""

    #: The log does not end at the offset on which the append was conditional.
    END_MOVED = 'end_moved'


class KeyedRecord:
    """One record.

    Attributes:
        key: Key of the record; a newer record of the same key replaces it.
        value: Value of the key; None if the key was dropped.
        offset: Offset in the log; -1 for a record that is not yet appended.
    """

    __slots__ = ('key', 'value', 'offset')

    def __init__(self, key: str, value: bytes | None, offset: int = -1) -> None:
        self.key = key
        self.value = value
        self.offset = offset


class LogPage:
    """Records read from the log.

    Attributes:
        records: The records; those of `KeyedLog.read` are consecutive and in
            the order of their offsets.
        end_offset: Offset that the next append to the log gets.
    """

    __slots__ = ('records', 'end_offset')

    def __init__(self, records: list[KeyedRecord], end_offset: int) -> None:
        self.records = records
        self.end_offset = end_offset


class OffsetExpired:
    """The result of a read whose first records are no longer kept.

    Attributes:
        first_offset: Offset of the oldest record that is kept.
    """

    __slots__ = ('first_offset',)

    def __init__(self, first_offset: int) -> None:
        self.first_offset = first_offset


class KeyedLog(Protocol):
    """One partition of a durable, totally ordered log with keys.

    The newest record of each key is kept forever; older ones may be removed at
    any time (log compaction). An append that failed with run state `UNKNOWN`
    may still take effect seconds later, if its condition then holds.
    """

    async def append(
        self, records: list[KeyedRecord], at_offset: int | None
    ) -> int | AppendRefusal | results.Failure:
        """Appends all records or none and returns the offset of the first.

        Args:
            records: Records to append.
            at_offset: Append only if the log ends at this offset; None for
                unconditionally.
        """
        ...

    async def read(
        self, from_offset: int, wait_ms: int
    ) -> LogPage | OffsetExpired | results.Failure:
        """Reads records from an offset on.

        Args:
            from_offset: Offset of the first record to read.
            wait_ms: Longest wait for a record if there is none yet.
        """
        ...

    async def read_newest(self) -> LogPage | results.Failure:
        """Reads the newest record of each key.

        The `end_offset` of the page was taken before the first record was read:
        a read from there on misses no record but may repeat some.
        """
        ...


class EndReadableLog(KeyedLog, Protocol):
    """A keyed log that can also be asked for its end alone."""

    async def read_end(
        self, from_offset: int
    ) -> LogPage | OffsetExpired | results.Failure:
        """Reads where the log ends, without a limit on the time.

        Several such reads may run at once, beside one of `read`. The caller
        bounds the time: a late answer still says where the log ended. Records
        that another read is receiving may be left out: large ones that are
        received several times at once take as many times as long.

        Args:
            from_offset: Offset of the first record to read.
        """
        ...
