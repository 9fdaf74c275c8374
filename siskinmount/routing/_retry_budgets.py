"""Retry budgets, which bound retries to a share of the traffic."""

from collections.abc import Callable
import math

import trio

RETRY_RATIO = 0.1
#: Largest burst of retries, as needed when an upstream is lost with all its
#: requests after a time with few retries.
MAX_TOKENS = 100.0
#: Tokens earned per second regardless of traffic, so that services with little
#: traffic can retry.
MIN_RETRIES_PER_S = 1.0


class RetryBudgets:
    """Token bucket per service, to which each first attempt adds a share.

    A retry costs one token. Retries never exceed `RETRY_RATIO` of the first
    attempts plus `MIN_RETRIES_PER_S` for each second plus `MAX_TOKENS`.
    """

    __slots__ = ('_clock', '_buckets')

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}

    def earn(self, service: str) -> None:
        """Counts a first attempt, which earns `RETRY_RATIO` tokens."""
        bucket = self._refill(service)
        bucket.tokens = min(MAX_TOKENS, bucket.tokens + RETRY_RATIO)

    def take(self, service: str) -> bool:
        """Takes a token for a retry; returns False if there is none."""
        bucket = self._refill(service)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def wait_ms(self, service: str) -> int:
        """Returns the milliseconds until a retry is available."""
        missing = 1 - self._refill(service).tokens
        if missing <= 0:
            return 0
        return math.ceil(missing / MIN_RETRIES_PER_S * 1000)

    def _refill(self, service: str) -> '_Bucket':
        """Returns the bucket of the service, refilled up to now."""
        now_s = self._clock()
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = _Bucket(MAX_TOKENS, now_s)
            self._buckets[service] = bucket
        earned = (now_s - bucket.filled_at_s) * MIN_RETRIES_PER_S
        bucket.tokens = min(MAX_TOKENS, bucket.tokens + earned)
        bucket.filled_at_s = now_s
        return bucket


class _Bucket:
    """Token bucket of one service.

    Attributes:
        tokens: Retries available.
        filled_at_s: Monotonic time of the last refill.
    """

    __slots__ = ('tokens', 'filled_at_s')

    def __init__(self, tokens: float, filled_at_s: float) -> None:
        self.tokens = tokens
        self.filled_at_s = filled_at_s


def create_retry_budgets(
    clock: Callable[[], float] = trio.current_time,
) -> RetryBudgets:
    """Creates the budgets; the bucket of each service starts full."""
    return RetryBudgets(clock)
