"""Interface of the platform's log service."""

from typing import Protocol

from siskinmount import results


class Appended:
    """An append that the log acknowledged.

    Attributes:
        offset: Offset of the record in its stream, from 1.
    """

    __slots__ = ('offset',)

    def __init__(self, offset: int) -> None:
        self.offset = offset


class LogRecord:
    """One record of a stream.

    Attributes:
        offset: Offset of the record in its stream.
        data: Content of the record.
    """

    __slots__ = ('offset', 'data')

    def __init__(self, offset: int, data: bytes) -> None:
        self.offset = offset
        self.data = data


class LogPage:
    """Consecutive records of a stream.

    Attributes:
        first_offset: Oldest offset that the log still holds.
        next_offset: Offset that the next append will get.
        records: Records in order of their offsets; empty at the tail.
    """

    __slots__ = ('first_offset', 'next_offset', 'records')

    def __init__(
        self, first_offset: int, next_offset: int, records: list[LogRecord]
    ) -> None:
        self.first_offset = first_offset
        self.next_offset = next_offset
        self.records = records


class LogExpired:
    """The requested offset is no longer retained by the log.

    Attributes:
        first_offset: Oldest offset that the log still holds.
    """

    __slots__ = ('first_offset',)

    def __init__(self, first_offset: int) -> None:
        self.first_offset = first_offset


class StreamRange:
    """The range of offsets that the log holds of a stream.

    Attributes:
        first_offset: Oldest offset that the log still holds.
        next_offset: Offset that the next append will get.
    """

    __slots__ = ('first_offset', 'next_offset')

    def __init__(self, first_offset: int, next_offset: int) -> None:
        self.first_offset = first_offset
        self.next_offset = next_offset


def ageing_below(first_offset: int, next_offset: int) -> int:
    """Returns the offset below which records expire soonest.

    This is the middle of the retained range, whatever the retention policy, or
    0 while no record has expired.
    """
    if first_offset <= 1:
        return 0
    return (first_offset + next_offset) // 2


class LogService(Protocol):
    """An append-only log with streams, offsets and limited retention."""

    async def append(
        self, stream: str, data: bytes
    ) -> Appended | results.Failure:
        """Appends one record.

        A failure has run state `NOT_RUN` only if the record is certainly not
        in the stream, and `UNKNOWN` if the response was lost.
        """
        ...

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = 1000,
        max_bytes: int = 1 << 20,
        wait_ms: int = 0,
    ) -> LogPage | LogExpired | results.Failure:
        """Reads records from an offset onwards.

        Args:
            stream: Name of the stream.
            from_offset: First offset to read.
            limit: Maximum number of records.
            max_bytes: Maximum total size of the records; at least one record is
                returned in full.
            wait_ms: Maximum time to wait at the tail for an append.

        Returns:
            The records, or `LogExpired` if the offset is no longer retained.
        """
        ...

    async def stream_range(self, stream: str) -> StreamRange | results.Failure:
        """Returns the range of offsets that a stream holds."""
        ...
