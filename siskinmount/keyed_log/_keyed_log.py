"""What the product needs of a durable log whose records have keys."""

import enum
from typing import Protocol

from siskinmount import results


class AppendRefusal(enum.Enum):
    """Why an append changed nothing, other than a failure of the store."""

    #: The log does not end where the append was to begin.
    END_MOVED = 'end_moved'


class KeyedRecord:
    """One record.

    Attributes:
        key: Names what the record is about.
        value: The newest value, or None if the key was dropped.
        offset: Place in the log; -1 for a record that is not yet there.
    """

    __slots__ = ('key', 'value', 'offset')

    def __init__(self, key: str, value: bytes | None, offset: int = -1) -> None:
        self.key = key
        self.value = value
        self.offset = offset


class LogPage:
    """Records read in the order of their offsets.

    Attributes:
        records: The records, without gaps.
        end_offset: What the next append gets.
    """

    __slots__ = ('records', 'end_offset')

    def __init__(self, records: list[KeyedRecord], end_offset: int) -> None:
        self.records = records
        self.end_offset = end_offset


class HistoryGone:
    """Says that records that were asked for are not kept any more.

    Attributes:
        first_offset: The oldest record that is kept.
    """

    __slots__ = ('first_offset',)

    def __init__(self, first_offset: int) -> None:
        self.first_offset = first_offset


class KeyedLog(Protocol):
    """One partition of a durable, totally ordered log with keys.

    The newest record of each key is kept for good; older ones may go at any
    time. A failure with run state `UNKNOWN` may still take effect seconds
    later, if its condition then holds.
    """

    async def append(
        self, records: list[KeyedRecord], at_offset: int | None
    ) -> int | AppendRefusal | results.Failure:
        """Appends all records or none and returns the offset of the first.

        Args:
            records: What to append.
            at_offset: Append only if the log ends here; None for always.
        """
        ...

    async def read(
        self, from_offset: int, wait_ms: int
    ) -> LogPage | HistoryGone | results.Failure:
        """Reads records from an offset on, waiting for the first if need be."""
        ...

    async def read_newest(self) -> LogPage | results.Failure:
        """Reads the newest record of each key.

        The `end_offset` of the page is that from before the first was read: a
        read from there on misses nothing, and may repeat some.
        """
        ...
