"""Notices pauses of this process."""

import trio

#: Longest gap between two ticks that is no pause. Ticks come every second; others
#: take over the work of a silent process after three seconds and more.
PAUSE_THRESHOLD_S = 2.0


class PauseDetector:
    """Notices that this process did not run for a time.

    `tick` must be called about every second, and before each decision that a
    pause would make wrong.

    Attributes:
        ended_at_s: Monotonic time at which the end of the last pause was
            noticed; negative infinity if there was none.
    """

    __slots__ = ('ended_at_s', '_last_tick_s')

    def __init__(self) -> None:
        self.ended_at_s = float('-inf')
        self._last_tick_s: float | None = None

    def tick(self) -> bool:
        """Returns whether a pause has ended since the last call."""
        now_s = trio.current_time()
        last_s, self._last_tick_s = self._last_tick_s, now_s
        if last_s is None or now_s - last_s <= PAUSE_THRESHOLD_S:
            return False
        self.ended_at_s = now_s
        return True


def create_pause_detector() -> PauseDetector:
    """Creates a detector whose first tick notices no pause."""
    return PauseDetector()
