"""One append-only stream of records with bounded retention."""

import collections

import trio


class LogRecord:
    """One record.

    Attributes:
        offset: Position in the stream, from 1.
        data: The record's bytes.
        appended_at_s: Monotonic time of the append.
    """

    __slots__ = ('offset', 'data', 'appended_at_s')

    def __init__(self, offset: int, data: bytes, appended_at_s: float) -> None:
        self.offset = offset
        self.data = data
        self.appended_at_s = appended_at_s


class Retention:
    """Retention bounds; a record expires when it exceeds either of them.

    Attributes:
        max_age_ms: Age at which a record expires; 0 for no bound.
        max_records: Records kept in each stream; 0 for no bound.
    """

    __slots__ = ('max_age_ms', 'max_records')

    def __init__(self, max_age_ms: int = 0, max_records: int = 0) -> None:
        self.max_age_ms = max_age_ms
        self.max_records = max_records


class LogStream:
    """Records with consecutive offsets.

    Attributes:
        next_offset: Offset of the next append.
    """

    __slots__ = ('next_offset', '_records', '_retention', '_appended')

    def __init__(self, retention: Retention) -> None:
        self.next_offset = 1
        self._records: collections.deque[LogRecord] = collections.deque()
        self._retention = retention
        self._appended = trio.Event()

    @property
    def first_offset(self) -> int:
        """Offset of the oldest kept record; `next_offset` if there is none."""
        self._expire()
        return self.next_offset - len(self._records)

    def append(self, data: bytes) -> int:
        """Adds a record and returns its offset."""
        offset = self.next_offset
        self._records.append(LogRecord(offset, data, trio.current_time()))
        self.next_offset += 1
        self._appended.set()
        self._appended = trio.Event()
        return offset

    def read(
        self, from_offset: int, limit: int, max_bytes: int
    ) -> list[LogRecord]:
        """Returns records from an offset on.

        The first record is returned also if it exceeds `max_bytes`.
        """
        found: list[LogRecord] = []
        size_bytes = 0
        position = max(0, from_offset - self.first_offset)
        while position < len(self._records) and len(found) < limit:
            record = self._records[position]
            size_bytes += len(record.data)
            if found and size_bytes > max_bytes:
                break
            found.append(record)
            position += 1
        return found

    async def wait_for(self, offset: int, wait_ms: int) -> None:
        """Waits until the offset exists, for at most `wait_ms`."""
        with trio.move_on_after(wait_ms / 1000):
            while self.next_offset <= offset:
                await self._appended.wait()

    def _expire(self) -> None:
        """Drops the records that exceed a retention bound."""
        max_records = self._retention.max_records
        while max_records and len(self._records) > max_records:
            self._records.popleft()
        if not self._retention.max_age_ms:
            return
        limit_s = trio.current_time() - self._retention.max_age_ms / 1000
        while self._records and self._records[0].appended_at_s < limit_s:
            self._records.popleft()
