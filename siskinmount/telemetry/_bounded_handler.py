"""Writes log lines without ever waiting for their reader."""

import logging
import os
import time

#: Lines kept for a reader that does not read: some seconds of the busiest day.
MAX_BUFFER_BYTES = 512 * 1024
#: Lines a second up to which all are written: twenty requests in flight at the
#: aim of 20 requests a second and daemon make a tenth of it.
MAX_LINES_A_SECOND = 2000


class BoundedHandler(logging.Handler):
    """Writes to a descriptor that does not block; what is too much is counted.

    Attributes:
        dropped_count: Lines that were not written.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped_count = 0
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._second = 0
        self._lines_this_second = 0
        self._reported_drops = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a line, keeps it, or counts it as dropped."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        is_minor = record.levelno < logging.WARNING
        if is_minor and self._lines_this_second > MAX_LINES_A_SECOND:
            self.dropped_count += 1
            return
        try:
            line = self.format(record).encode('utf-8', 'replace') + b'\n'
        except Exception:
            self.handleError(record)
            return
        if len(self._buffer) + len(line) > MAX_BUFFER_BYTES:
            self.dropped_count += 1
        else:
            self._buffer += line
        self.flush()

    def flush(self) -> None:
        """Writes what the reader takes."""
        while self._buffer:
            try:
                count = os.write(self._descriptor, self._buffer[:65536])
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; there is nowhere to say so.
                self._buffer.clear()
                return
            del self._buffer[:count]

    def take_new_drops(self) -> int:
        """Returns the lines dropped since the last call."""
        count = self.dropped_count - self._reported_drops
        self._reported_drops = self.dropped_count
        return count


def create_bounded_handler(descriptor: int) -> BoundedHandler:
    """Creates a handler that writes to a descriptor."""
    return BoundedHandler(descriptor)
