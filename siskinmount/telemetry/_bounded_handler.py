"""A log handler that never blocks on a slow reader."""

import logging
import os
import time

#: Bytes buffered while the reader does not read: a few seconds of lines at peak
#: load.
MAX_BUFFER_BYTES = 512 * 1024
#: Rate above which lines below WARNING are dropped. Twenty requests in flight
#: at the target load of 20 requests per second and daemon log a tenth of this.
MAX_LINES_PER_SECOND = 2000


class BoundedHandler(logging.Handler):
    """Writes lines to a non-blocking descriptor; drops and counts excess lines.

    Attributes:
        dropped_count: Number of dropped lines.
    """

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self.dropped_count = 0
        self._descriptor = descriptor
        self._buffer = bytearray()
        self._second = 0
        self._lines_this_second = 0
        self._reported_dropped_count = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes or buffers a line, or counts it as dropped."""
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        is_minor = record.levelno < logging.WARNING
        if is_minor and self._lines_this_second > MAX_LINES_PER_SECOND:
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
        """Writes buffered bytes until the descriptor would block."""
        while self._buffer:
            try:
                count = os.write(self._descriptor, self._buffer[:65536])
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe: the error cannot be logged.
                self._buffer.clear()
                return
            del self._buffer[:count]

    def pop_dropped_count(self) -> int:
        """Returns the number of lines dropped since the last call."""
        count = self.dropped_count - self._reported_dropped_count
        self._reported_dropped_count = self.dropped_count
        return count


def create_bounded_handler(descriptor: int) -> BoundedHandler:
    """Creates a handler that writes to a descriptor."""
    return BoundedHandler(descriptor)
