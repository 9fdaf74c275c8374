"""What the system needs of the platform's log service."""

from typing import Protocol

from siskinmount import results


class Appended:
    """An append that the log has acknowledged.

    Attributes:
        offset: Where the record stands in its stream, from 1.
    """

    __slots__ = ('offset',)

    def __init__(self, offset: int) -> None:
        self.offset = offset


class LogRecord:
    """One record of a stream.

    Attributes:
        offset: Where it stands in its stream.
        data: The record's bytes.
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
        records: The records read, by rising offset; empty at the tail.
    """

    __slots__ = ('first_offset', 'next_offset', 'records')

    def __init__(
        self, first_offset: int, next_offset: int, records: list[LogRecord]
    ) -> None:
        self.first_offset = first_offset
        self.next_offset = next_offset
        self.records = records


class LogExpired:
    """The offset asked for is older than the log's retention.

    Attributes:
        first_offset: Oldest offset that the log still holds.
    """

    __slots__ = ('first_offset',)

    def __init__(self, first_offset: int) -> None:
        self.first_offset = first_offset


class StreamRange:
    """Which offsets of a stream the log holds.

    Attributes:
        first_offset: Oldest offset that the log still holds.
        next_offset: Offset that the next append will get.
    """

    __slots__ = ('first_offset', 'next_offset')

    def __init__(self, first_offset: int, next_offset: int) -> None:
        self.first_offset = first_offset
        self.next_offset = next_offset


def ageing_below(first_offset: int, next_offset: int) -> int:
    """Returns the offset below which records have the least time left.

    That is the middle of what the log holds, whatever its rule of retention,
    or 0 while it still holds everything.
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
        in the stream, and `UNKNOWN` if the answer was lost.
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
        """Reads records from an offset on.

        Args:
            stream: Name of the stream.
            from_offset: First offset wanted.
            limit: Most records to return.
            max_bytes: Most bytes of records to return; one record is always
                returned whole.
            wait_ms: How long to wait at the tail for a record to be appended.

        Returns:
            The records, or that the offset has expired.
        """
        ...

    async def stream_range(self, stream: str) -> StreamRange | results.Failure:
        """Returns which offsets of a stream are held."""
        ...
