"""Follows a stream and retries reads while the log is unavailable."""

from collections.abc import Callable

from siskinmount import backing_services
from siskinmount import results
from siskinmount.state import _backoff

TAIL_WAIT_MS = 2000
FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 2000


class LogTail:
    """Reads a stream without an owner from its oldest record on.

    Attributes:
        next_offset: First offset that has not been read.
        ageing_below: Offset below which records are the next to expire.
        is_at_tail: Whether the last read reached the end of the stream.
    """

    __slots__ = ('next_offset', 'ageing_below', 'is_at_tail', '_log', '_stream')

    def __init__(self, log: backing_services.LogService, stream: str) -> None:
        self.next_offset = 1
        self.ageing_below = 0
        self.is_at_tail = False
        self._log = log
        self._stream = stream

    async def read_once(
        self,
        handle_record: Callable[[backing_services.LogRecord], None],
        wait_ms: int,
    ) -> results.Failure | None:
        """Makes one read, skipping records that have expired.

        Args:
            handle_record: Called with each record in order.
            wait_ms: How long to wait for new records at the tail.
        """
        page = await self._log.read(
            self._stream, self.next_offset, wait_ms=wait_ms
        )
        if isinstance(page, results.Failure):
            return page
        if isinstance(page, backing_services.LogExpired):
            self.next_offset = max(page.first_offset, self.next_offset + 1)
            return None
        self.ageing_below = backing_services.ageing_below(
            page.first_offset, page.next_offset
        )
        for record in page.records:
            self.next_offset = record.offset + 1
            handle_record(record)
        self.is_at_tail = self.next_offset >= page.next_offset
        return None

    async def follow(
        self, handle_record: Callable[[backing_services.LogRecord], None]
    ) -> None:
        """Calls a function with each record until cancelled."""
        backoff = _backoff.Backoff(FIRST_BACKOFF_MS, MAX_BACKOFF_MS)
        while True:
            failure = await self.read_once(handle_record, TAIL_WAIT_MS)
            if failure is not None:
                await backoff.pause(failure.retry_after_ms)
                continue
            backoff.reset()
