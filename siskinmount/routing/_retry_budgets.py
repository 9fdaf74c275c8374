"""Bounds retries to a share of the traffic."""

from collections.abc import Callable
import math

import trio

RETRY_SHARE = 0.1
#: Retries that may follow on quiet times, when an upstream with all its
#: requests is lost.
MAX_SAVED_RETRIES = 100.0
#: Keeps a service with little traffic able to retry.
RETRIES_PER_S = 1.0


class RetryBudgets:
    """A token bucket per service: each first attempt pays in a tenth of a retry.

    Retries never exceed `RETRY_SHARE` of the first attempts plus
    `RETRIES_PER_S` for each second plus `MAX_SAVED_RETRIES`.
    """

    __slots__ = ('_clock', '_buckets')

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}

    def earn(self, service: str) -> None:
        """Counts a first attempt, which earns a part of a retry."""
        bucket = self._refill(service)
        bucket.tokens = min(MAX_SAVED_RETRIES, bucket.tokens + RETRY_SHARE)

    def take(self, service: str) -> bool:
        """Takes one retry out of the budget; tells whether there was one."""
        bucket = self._refill(service)
        if bucket.tokens < 1:
            return False
        bucket.tokens -= 1
        return True

    def wait_ms(self, service: str) -> int:
        """Returns when there will be a retry, in milliseconds from now."""
        missing = 1 - self._refill(service).tokens
        if missing <= 0:
            return 0
        return math.ceil(missing / RETRIES_PER_S * 1000)

    def _refill(self, service: str) -> '_Bucket':
        """Returns the bucket of the service, filled up to now."""
        now_s = self._clock()
        bucket = self._buckets.get(service)
        if bucket is None:
            bucket = _Bucket(MAX_SAVED_RETRIES, now_s)
            self._buckets[service] = bucket
        earned = (now_s - bucket.filled_at_s) * RETRIES_PER_S
        bucket.tokens = min(MAX_SAVED_RETRIES, bucket.tokens + earned)
        bucket.filled_at_s = now_s
        return bucket


class _Bucket:
    """Retries that a service has saved.

    Attributes:
        tokens: The retries.
        filled_at_s: Monotonic time up to which they were earned.
    """

    __slots__ = ('tokens', 'filled_at_s')

    def __init__(self, tokens: float, filled_at_s: float) -> None:
        self.tokens = tokens
        self.filled_at_s = filled_at_s


def create_retry_budgets(
    clock: Callable[[], float] = trio.current_time,
) -> RetryBudgets:
    """Creates the budgets; each service starts with all its retries saved."""
    return RetryBudgets(clock)
