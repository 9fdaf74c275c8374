"""Usage of one caller at this entry."""

import collections

from siskinmount import configuration
from siskinmount.admission import _token_bucket

MIN_BURST = 1.0


class CallerUsage:
    """Request rate and requests in progress of one caller.

    Attributes:
        policy: The caller's limits for the whole fleet.
        bucket: This entry's part of the rate limit.
        max_in_flight: This entry's part of the limit on requests in progress.
        in_flight: Requests in progress.
        in_flight_by_service: Requests in progress by service.
    """

    __slots__ = (
        'policy',
        'bucket',
        'max_in_flight',
        'in_flight',
        'in_flight_by_service',
    )

    def __init__(
        self,
        policy: configuration.CallerPolicy,
        entry_count: int,
        now_s: float,
    ) -> None:
        self.policy = policy
        self.bucket = _token_bucket.TokenBucket(
            policy.requests_per_s / entry_count,
            _burst_per_entry(policy, entry_count),
            now_s,
        )
        self.max_in_flight = _in_flight_per_entry(policy, entry_count)
        self.in_flight = 0
        self.in_flight_by_service: collections.Counter[str] = (
            collections.Counter()
        )

    def configure(
        self,
        policy: configuration.CallerPolicy,
        entry_count: int,
        now_s: float,
    ) -> None:
        """Changes the limits; requests in progress stay counted."""
        self.policy = policy
        self.bucket.configure(
            policy.requests_per_s / entry_count,
            _burst_per_entry(policy, entry_count),
            now_s,
        )
        self.max_in_flight = _in_flight_per_entry(policy, entry_count)

    def begin(self, service: str) -> None:
        """Counts the start of a request."""
        self.in_flight += 1
        self.in_flight_by_service[service] += 1

    def end(self, service: str) -> None:
        """Counts the end of a request."""
        self.in_flight -= 1
        self.in_flight_by_service[service] -= 1
        if not self.in_flight_by_service[service]:
            del self.in_flight_by_service[service]


def _burst_per_entry(
    policy: configuration.CallerPolicy, entry_count: int
) -> float:
    return max(MIN_BURST, policy.burst_requests / entry_count)


def _in_flight_per_entry(
    policy: configuration.CallerPolicy, entry_count: int
) -> int:
    return max(1, -(-policy.max_in_flight // entry_count))
