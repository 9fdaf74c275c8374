"""Reads the objective counts of entries that have stopped."""

from siskinmount import backing_services
from siskinmount import results
from siskinmount import telemetry
from siskinmount.objectives import _archive_record

_PAGE_BYTES = 1 << 20


class Archive:
    """Objective counts read from the log.

    Attributes:
        invalid_count: Number of records that could not be decoded.
    """

    __slots__ = ('invalid_count', '_windows')

    def __init__(self) -> None:
        self.invalid_count = 0
        # Newest copy of each window, by process and then by window.
        self._windows: dict[
            tuple[str, int],
            dict[tuple[str, str, int, int], telemetry.WindowSnapshot],
        ] = {}

    def add(self, data: bytes) -> None:
        """Adds one record, which replaces earlier copies of its windows."""
        record = _archive_record.decode_record(data)
        if isinstance(record, results.Failure):
            self.invalid_count += 1
            return
        process = (record.vm, record.incarnation)
        windows = self._windows.setdefault(process, {})
        for window in record.windows:
            key = (
                window.service,
                window.objective,
                window.window_start_s,
                window.window_s,
            )
            windows[key] = window

    def list_windows(
        self, live_processes: set[tuple[str, int]]
    ) -> list[telemetry.WindowSnapshot]:
        """Returns the windows of processes that can no longer be queried.

        Args:
            live_processes: VM and incarnation of the processes that were
                queried directly.
        """
        found: list[telemetry.WindowSnapshot] = []
        for process, windows in self._windows.items():
            if process not in live_processes:
                found.extend(windows.values())
        return found


async def read_archive(
    log: backing_services.LogService,
) -> Archive | results.Failure:
    """Reads all records that the log currently holds."""
    stream = _archive_record.ARCHIVE_STREAM
    held = await log.stream_range(stream)
    if isinstance(held, results.Failure):
        return held
    archive = Archive()
    offset = held.first_offset
    while offset < held.next_offset:
        page = await log.read(stream, offset, max_bytes=_PAGE_BYTES)
        if isinstance(page, results.Failure):
            return page
        if isinstance(page, backing_services.LogExpired):
            offset = page.first_offset
            continue
        if not page.records:
            break
        for record in page.records:
            archive.add(record.data)
        offset = page.records[-1].offset + 1
    return archive
