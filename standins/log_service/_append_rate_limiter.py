"""Rate limit of appends over all streams."""

import trio


class AppendRateLimiter:
    """A token bucket with one token per append."""

    __slots__ = ('_rate_per_s', '_burst', '_tokens', '_refilled_at_s')

    def __init__(self, rate_per_s: float, burst: int) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = float(burst)
        self._refilled_at_s: float | None = None

    def try_acquire(self) -> bool:
        """Takes a token for one append; returns False if none is left."""
        now_s = trio.current_time()
        if self._refilled_at_s is not None:
            refilled = (now_s - self._refilled_at_s) * self._rate_per_s
            self._tokens = min(float(self._burst), self._tokens + refilled)
        self._refilled_at_s = now_s
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
