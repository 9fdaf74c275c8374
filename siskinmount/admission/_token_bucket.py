"""Token bucket rate limiter."""

#: How much faster a bucket in debt fills. Members that share a bucket come to
#: differ by messages that each of them lost; those with a debt would otherwise
#: refuse everything as long as the others use all that there is.
DEBT_FILL_FACTOR = 1.04


class TokenBucket:
    """Gains tokens at a steady rate up to a maximum.

    Attributes:
        rate_per_s: Tokens added per second.
        burst: Most tokens that the bucket holds.
    """

    __slots__ = ('rate_per_s', 'burst', '_tokens', '_filled_at_s')

    def __init__(
        self,
        rate_per_s: float,
        burst: float,
        now_s: float,
        tokens: float | None = None,
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = burst if tokens is None else min(burst, tokens)
        self._filled_at_s = now_s

    def configure(self, rate_per_s: float, burst: float, now_s: float) -> None:
        """Changes rate and burst; tokens above the new burst are lost."""
        self._fill(now_s)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._tokens = min(self._tokens, burst)

    def count_tokens(self, now_s: float) -> float:
        """Returns the tokens; negative after a debit of more than there were."""
        self._fill(now_s)
        return self._tokens

    def debit(self, count: float, min_tokens: float, now_s: float) -> None:
        """Takes tokens that were used elsewhere; a negative count adds some.

        Args:
            count: Number of tokens.
            min_tokens: Bound on the debt, as a negative number of tokens.
            now_s: Time by the clock of the bucket.
        """
        self._fill(now_s)
        self._tokens = max(min_tokens, min(self.burst, self._tokens - count))

    def drop(self, now_s: float) -> None:
        """Drops all tokens; a debt remains."""
        self._fill(now_s)
        self._tokens = min(0.0, self._tokens)

    def limit(self, max_tokens: float, now_s: float) -> None:
        """Drops the tokens above a number."""
        self._fill(now_s)
        self._tokens = min(max_tokens, self._tokens)

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
        if self._tokens < 0:
            earned *= DEBT_FILL_FACTOR
        self._tokens = min(self.burst, self._tokens + earned)
        self._filled_at_s = now_s
