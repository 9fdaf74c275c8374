"""Bounds the rate of appends over all streams."""

import trio


class AppendBudget:
    """A token bucket."""

    __slots__ = ('_rate_per_s', '_burst', '_tokens', '_filled_at_s')

    def __init__(self, rate_per_s: float, burst: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._filled_at_s: float | None = None

    def take(self) -> bool:
        """Takes one append from the budget, if it holds one."""
        now_s = trio.current_time()
        if self._filled_at_s is not None:
            earned = (now_s - self._filled_at_s) * self._rate_per_s
            self._tokens = min(float(self._burst), self._tokens + earned)
        self._filled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
