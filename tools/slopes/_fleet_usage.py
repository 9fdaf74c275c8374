"""What a fleet's processes and its log have used between two moments."""

import trio

from siskinmount import backing_services
from standins import processes

READ_RECORDS = 1000
READ_BYTES = 1024 * 1024


class LogUsage:
    """Appends and bytes of one stream.

    Attributes:
        append_count: Records appended.
        size_bytes: Bytes of these records.
    """

    __slots__ = ('append_count', 'size_bytes')

    def __init__(self, append_count: int, size_bytes: int) -> None:
        self.append_count = append_count
        self.size_bytes = size_bytes


class StreamCounter:
    """Counts what is appended to one stream of the log."""

    __slots__ = ('_log', '_stream', '_next_offset')

    def __init__(self, log: backing_services.LogService, stream: str) -> None:
        self._log = log
        self._stream = stream
        self._next_offset = 1

    async def take(self) -> LogUsage:
        """Returns what was appended since the last call.

        Raises:
            RuntimeError: The log did not answer with the records.
        """
        usage = LogUsage(0, 0)
        while True:
            page = await self._log.read(
                self._stream,
                self._next_offset,
                limit=READ_RECORDS,
                max_bytes=READ_BYTES,
                wait_ms=0,
            )
            if not isinstance(page, backing_services.LogPage):
                raise RuntimeError(repr(page))
            if not page.records:
                return usage
            for record in page.records:
                usage.append_count += 1
                usage.size_bytes += len(record.data)
            self._next_offset = page.records[-1].offset + 1


class ProcessCost:
    """Reads one process's use of the machine."""

    __slots__ = ('_process', '_cpu_s')

    def __init__(self, process: processes.ManagedProcess) -> None:
        self._process = process
        self._cpu_s = 0.0

    def read_cpu_delta_s(self) -> float:
        """Returns the processor time since the last call."""
        before_s = self._cpu_s
        self._cpu_s = self._read().cpu_s
        return self._cpu_s - before_s

    def read_resident_mb(self) -> float:
        """Returns the resident memory."""
        return self._read().resident_bytes / 1e6

    async def measure_idle_share(self, duration_s: float) -> float:
        """Returns the share of a core that is used in a time without work."""
        self.read_cpu_delta_s()
        await trio.sleep(duration_s)
        return self.read_cpu_delta_s() / duration_s

    def _read(self) -> processes.ProcessUsage:
        usage = self._process.read_usage()
        if usage is None:
            raise RuntimeError(f'{self._process.name} has ended')
        return usage
