"""Appends the objective counts of an entry to the log every hour."""

from collections.abc import Callable
import logging
import random
import time

import trio

from siskinmount import backing_services
from siskinmount import results
from siskinmount import telemetry
from siskinmount.objectives import _archive_record

_LOGGER = logging.getLogger(__name__)

CHECK_INTERVAL_S = 300.0
STOP_TIMEOUT_S = 3.0
STOP_RETRY_S = 0.3
MAX_WINDOWS_PER_RECORD = 500

_HOUR_S = 3600


class ArchiveWriter:
    """Writes the objective counts of one entry.

    Each hour is appended after its end. An append whose response was lost is
    retried, as readers count each window of a process only once.
    """

    __slots__ = (
        '_log',
        '_histograms',
        '_vm',
        '_incarnation',
        '_clock',
        '_newest_start_s',
    )

    def __init__(
        self,
        log: backing_services.LogService,
        histograms: telemetry.Histograms,
        vm: str,
        incarnation: int,
        clock: Callable[[], float],
    ) -> None:
        self._log = log
        self._histograms = histograms
        self._vm = vm
        self._incarnation = incarnation
        self._clock = clock
        # Start of the newest hour in the log.
        self._newest_start_s = -1

    async def run(self) -> None:
        """Appends each hour after its end, until cancelled."""
        # Jitter, so that entries started together do not append together.
        await trio.sleep(random.uniform(0, CHECK_INTERVAL_S))
        while True:
            await self.append_closed_hours()
            await trio.sleep(CHECK_INTERVAL_S)

    async def append_closed_hours(self) -> None:
        """Appends the closed hours that are not yet in the log."""
        now_s = self._clock()
        windows: list[telemetry.WindowSnapshot] = []
        for window in self._list_new_hours():
            if window.window_start_s + window.window_s <= now_s:
                windows.append(window)
        if not windows or not await self._append(windows):
            return
        self._newest_start_s = max(w.window_start_s for w in windows)

    async def append_rest(self) -> None:
        """Appends all windows that are not in the log, before a planned stop.

        Windows that cannot be appended within `STOP_TIMEOUT_S` are lost.
        """
        windows = self._list_new_hours()
        for window in self._histograms.take_snapshots():
            if window.window_s != _HOUR_S:
                windows.append(window)
        with trio.move_on_after(STOP_TIMEOUT_S):
            while True:
                if await self._append(windows):
                    return
                await trio.sleep(STOP_RETRY_S)

    def _list_new_hours(self) -> list[telemetry.WindowSnapshot]:
        """Returns the hours after the newest hour in the log."""
        windows: list[telemetry.WindowSnapshot] = []
        for window in self._histograms.take_snapshots():
            if window.window_s != _HOUR_S:
                continue
            if window.window_start_s > self._newest_start_s:
                windows.append(window)
        return windows

    async def _append(self, windows: list[telemetry.WindowSnapshot]) -> bool:
        """Appends windows; returns whether all appends were acknowledged."""
        for first in range(0, len(windows), MAX_WINDOWS_PER_RECORD):
            part = windows[first : first + MAX_WINDOWS_PER_RECORD]
            record = _archive_record.ArchiveRecord(
                self._vm, self._incarnation, part
            )
            outcome = await self._log.append(
                _archive_record.ARCHIVE_STREAM,
                _archive_record.encode_record(record),
            )
            if isinstance(outcome, results.Failure):
                _LOGGER.warning(
                    'objectives_not_archived',
                    extra={
                        'code': int(outcome.code),
                        'reason': outcome.reason,
                    },
                )
                return False
        return True


def create_archive_writer(
    log: backing_services.LogService,
    histograms: telemetry.Histograms,
    vm: str,
    incarnation: int,
    clock: Callable[[], float] = time.time,
) -> ArchiveWriter:
    """Creates the archive writer of one entry.

    Args:
        log: The platform's log.
        histograms: Histograms of the entry.
        vm: Name of the entry's VM.
        incarnation: Incarnation of the entry's process.
        clock: Returns the seconds since the Unix epoch.
    """
    return ArchiveWriter(log, histograms, vm, incarnation, clock)
