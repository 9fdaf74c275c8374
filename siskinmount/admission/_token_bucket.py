"""Token bucket rate limiter."""


class TokenBucket:
    """Gains tokens at a steady rate up to a maximum.

    Attributes:
        rate_per_s: Tokens added per second.
        burst: Most tokens that the bucket holds.
    """

    __slots__ = ('rate_per_s', 'burst', '_tokens', '_filled_at_s')

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._filled_at_s = now_s

    def configure(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Changes rate and burst; tokens above the new burst are lost."""
        self._fill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def is_full(self, now_s: float) -> bool:
        """Returns whether the bucket holds the most tokens it can."""
        self._fill(now_s)
        return self._tokens >= self.burst

    def wait_ms(self, now_s: float) -> float | None:
        """Returns the wait for a token; None if none will be available."""
        self._fill(now_s)
        if self._tokens >= 1:
            return 0.0
        if self.rate_per_s <= 0 or self.burst < 1:
            return None
        return (1 - self._tokens) / self.rate_per_s * 1000

    def take(self, now_s: float) -> None:
        """Takes a token; `wait_ms` must have returned 0 before."""
        self._fill(now_s)
        self._tokens -= 1

    def _fill(self, now_s: float) -> None:
        """Adds the tokens gained since the last call."""
        earned = max(0.0, now_s - self._filled_at_s) * self.rate_per_s
        self._tokens = min(self.burst, self._tokens + earned)
        self._filled_at_s = now_s
