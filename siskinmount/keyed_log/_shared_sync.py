"""Reads a followed log to its end, once for all who need that at a time."""

import trio

from siskinmount.keyed_log import _log_follower


class SharedSync:
    """Has a follower read to the end of its log, for several tasks at once."""

    __slots__ = ('_follower', '_reading', '_sent_at_s', '_is_read')

    def __init__(self, follower: _log_follower.LogFollower) -> None:
        self._follower = follower
        self._reading: trio.Event | None = None
        self._sent_at_s = float('-inf')
        self._is_read = False

    @property
    def confirmed_at_s(self) -> float:
        """Monotonic time that the view is at least as new as."""
        return self._follower.confirmed_at_s

    @property
    def regained_at_s(self) -> float:
        """Monotonic time at which the log last became reachable."""
        return self._follower.regained_at_s

    async def read(self, timeout_s: float) -> bool:
        """Returns whether all that the log held at the call has been applied.

        Args:
            timeout_s: Longest wait.
        """
        called_at_s = trio.current_time()
        with trio.move_on_after(timeout_s):
            while self._sent_at_s < called_at_s:
                if self._reading is not None:
                    await self._reading.wait()
                    continue
                await self._read_once()
            return self._is_read
        return False

    async def _read_once(self) -> None:
        """Reads to the end, and sets what came of it also if cancelled."""
        reading = trio.Event()
        self._reading = reading
        sent_at_s = trio.current_time()
        is_read = False
        try:
            failure = await self._follower.sync()
            is_read = failure is None
        finally:
            self._reading = None
            self._sent_at_s = sent_at_s
            self._is_read = is_read
            reading.set()


def create_shared_sync(follower: _log_follower.LogFollower) -> SharedSync:
    """Creates a shared sync; nothing is read before it is needed."""
    return SharedSync(follower)
