"""Delays new runs after a pause of this process until it has caught up."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging

import trio

_LOGGER = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.25
#: A longer gap between two ticks means that this process was paused.
PAUSE_THRESHOLD_S = 1.5
#: Bound on catching up, so that an unavailable log does not block requests.
CATCH_UP_TIMEOUT_S = 1.0


class PauseGuard:
    """Detects pauses of this process and catches up before new runs start.

    A process that was paused may still be about to send a request that has
    been quarantined for crashing upstreams meanwhile. It must read the log
    before it sends anything.
    """

    __slots__ = ('_catch_up', '_last_tick_s', '_caught_up')

    def __init__(self, catch_up: Callable[[], Awaitable[None]]) -> None:
        self._catch_up = catch_up
        self._last_tick_s = trio.current_time()
        self._caught_up = trio.Event()

    async def run(self) -> None:
        """Detects pauses and catches up after them, until cancelled."""
        self._last_tick_s = trio.current_time()
        while True:
            gap_s = trio.current_time() - self._last_tick_s
            if gap_s > PAUSE_THRESHOLD_S:
                _LOGGER.warning('pause_detected', extra={'pause_s': gap_s})
                with trio.move_on_after(CATCH_UP_TIMEOUT_S):
                    await self._catch_up()
            self._last_tick_s = trio.current_time()
            caught_up, self._caught_up = self._caught_up, trio.Event()
            caught_up.set()
            await trio.sleep(TICK_INTERVAL_S)

    async def wait_caught_up(self) -> None:
        """Waits, after a pause, until this process has caught up."""
        if trio.current_time() - self._last_tick_s <= PAUSE_THRESHOLD_S:
            return
        with trio.move_on_after(CATCH_UP_TIMEOUT_S + TICK_INTERVAL_S):
            await self._caught_up.wait()
