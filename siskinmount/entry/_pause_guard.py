"""Holds new runs after a pause until this entry knows what it has missed."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging

import trio

_LOGGER = logging.getLogger(__name__)

TICK_INTERVAL_S = 0.25
#: A gap between two ticks that shows that this process was paused.
PAUSE_THRESHOLD_S = 1.5
#: Bound on the wait, so that a log that is down holds nobody up.
CATCH_UP_TIMEOUT_S = 1.0


class PauseGuard:
    """Notices pauses of this process and catches up before it goes on.

    A process that was paused still holds what it was about to send, and may
    not have read yet that it must not be sent any more.
    """

    __slots__ = ('_catch_up', '_last_tick_s', '_caught_up')

    def __init__(self, catch_up: Callable[[], Awaitable[None]]) -> None:
        self._catch_up = catch_up
        self._last_tick_s = trio.current_time()
        self._caught_up = trio.Event()

    async def run(self) -> None:
        """Ticks, and catches up after a pause, for ever."""
        self._last_tick_s = trio.current_time()
        while True:
            gap_s = trio.current_time() - self._last_tick_s
            if gap_s > PAUSE_THRESHOLD_S:
                _LOGGER.warning('pause_noticed', extra={'pause_s': gap_s})
                with trio.move_on_after(CATCH_UP_TIMEOUT_S):
                    await self._catch_up()
            self._last_tick_s = trio.current_time()
            current, self._caught_up = self._caught_up, trio.Event()
            current.set()
            await trio.sleep(TICK_INTERVAL_S)

    async def wait_caught_up(self) -> None:
        """Returns at once, or after a pause once this process has caught up."""
        if trio.current_time() - self._last_tick_s <= PAUSE_THRESHOLD_S:
            return
        with trio.move_on_after(CATCH_UP_TIMEOUT_S + TICK_INTERVAL_S):
            await self._caught_up.wait()
