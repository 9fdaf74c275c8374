"""Bounds retries to a share of the traffic."""

from collections.abc import Callable

import trio

from siskinmount import results

RETRY_SHARE = 0.1
#: Retries that may follow on quiet times, when an upstream with all its
#: requests is lost.
MAX_SAVED_RETRIES = 100.0
#: Keeps a service with little traffic able to retry.
RETRIES_PER_S = 1.0


class RetryBudget:
    """A token bucket per service: each first attempt pays in a tenth of a retry.

    Retries never exceed `RETRY_SHARE` of the first attempts plus
    `RETRIES_PER_S` for each second plus `MAX_SAVED_RETRIES`.
    """

    __slots__ = ('_clock', '_buckets')

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._buckets: dict[str, _Bucket] = {}

    def note_first_attempt(self, service: str) -> None:
        """Counts a request of the service."""
        bucket = self._refill(service)
        bucket.tokens = min(MAX_SAVED_RETRIES, bucket.tokens + RETRY_SHARE)

    def spend_retry(self, service: str) -> None | results.Failure:
        """Takes one retry out of the budget, or says when there will be one."""
        bucket = self._refill(service)
        if bucket.tokens >= 1:
            bucket.tokens -= 1
            return None
        wait_ms = (1 - bucket.tokens) / RETRIES_PER_S * 1000
        return results.Failure(
            results.ResultCode.RETRY_BUDGET_EXHAUSTED,
            f'too many requests of {service} are being retried',
            retry_after_ms=int(wait_ms) + 1,
        )

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


def create_retry_budget(
    clock: Callable[[], float] = trio.current_time,
) -> RetryBudget:
    """Creates a budget; each service starts with all its retries saved."""
    return RetryBudget(clock)
