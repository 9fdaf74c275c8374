"""A rate with a burst."""


class TokenBucket:
    """Earns tokens at a steady rate up to a bound.

    Attributes:
        rate_per_s: Tokens earned in a second.
        burst: Most tokens that are saved.
    """

    __slots__ = ('rate_per_s', 'burst', '_tokens', '_filled_at_s')

    def __init__(self, rate_per_s: float, burst: float, now_s: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst
        self._filled_at_s = now_s

    def configure(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Changes rate and bound; tokens above the bound are lost."""
        self._fill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def is_full(self, now_s: float) -> bool:
        """Tells whether no use is remembered."""
        self._fill(now_s)
        return self._tokens >= self.burst

    def wait_ms(self, now_s: float) -> float | None:
        """Returns the time until a token is there; None if it never will be."""
        self._fill(now_s)
        if self._tokens >= 1:
            return 0.0
        if self.rate_per_s <= 0 or self.burst < 1:
            return None
        return (1 - self._tokens) / self.rate_per_s * 1000

    def take(self, now_s: float) -> None:
        """Takes a token; the caller has seen that there is one."""
        self._fill(now_s)
        self._tokens -= 1

    def _fill(self, now_s: float) -> None:
        """Adds the tokens earned since the last use."""
        earned = max(0.0, now_s - self._filled_at_s) * self.rate_per_s
        self._tokens = min(self.burst, self._tokens + earned)
        self._filled_at_s = now_s
