"""Load of one upstream as estimated by this entry."""

FIRST_PENALTY_MS = 200
MAX_PENALTY_MS = 10_000
#: Age from which the last report of an upstream without attempts of this entry
#: is replaced by its heartbeat.
MAX_REPORT_AGE_S = 1.0


class UpstreamLoad:
    """Load and recent failures of one upstream.

    Attributes:
        outstanding: Attempts of this entry in progress at the upstream.
        reported_in_flight: Requests in flight there at the last report.
        delta_since_report: Attempts of this entry begun since that report, less
            those ended.
        reported_at_s: Monotonic time of that report.
        slots: Requests that the upstream runs at once.
        failure_count: Consecutive failures.
        penalised_until_s: Monotonic time until which other upstreams are
            preferred after a failure.
        limited_until_s: Monotonic time until which other upstreams are
            preferred as this one has had the requests that it accepts.
    """

    __slots__ = (
        'outstanding',
        'reported_in_flight',
        'delta_since_report',
        'reported_at_s',
        'slots',
        'failure_count',
        'penalised_until_s',
        'limited_until_s',
    )

    def __init__(self) -> None:
        self.outstanding = 0
        self.reported_in_flight = 0
        self.delta_since_report = 0
        self.reported_at_s = float('-inf')
        self.slots = 1
        self.failure_count = 0
        self.penalised_until_s = float('-inf')
        self.limited_until_s = float('-inf')

    def begin(self) -> None:
        """Counts the start of an attempt."""
        self.outstanding += 1
        self.delta_since_report += 1

    def end(self) -> None:
        """Counts the end of an attempt."""
        self.outstanding -= 1
        self.delta_since_report -= 1

    def is_stale(self, now_s: float) -> bool:
        """Returns whether the last report is old and no answer is expected."""
        age_s = now_s - self.reported_at_s
        return not self.outstanding and age_s >= MAX_REPORT_AGE_S

    def record_report(self, in_flight: int, slots: int, now_s: float) -> None:
        """Replaces the estimate by the upstream's own report."""
        self.reported_at_s = now_s
        self.reported_in_flight = in_flight
        self.delta_since_report = 0
        self.slots = max(1, slots)

    def record_success(self) -> None:
        """Resets the penalty for failures."""
        self.failure_count = 0
        self.penalised_until_s = float('-inf')

    def record_failure(self, now_s: float) -> None:
        """Penalises the upstream; each consecutive failure doubles the time."""
        penalty_ms = min(
            MAX_PENALTY_MS, FIRST_PENALTY_MS * 2 ** min(self.failure_count, 16)
        )
        self.failure_count += 1
        self.penalised_until_s = now_s + penalty_ms / 1000

    def record_rate_limit(self, retry_after_ms: int, now_s: float) -> None:
        """Has other upstreams preferred until this one accepts a request."""
        self.limited_until_s = now_s + retry_after_ms / 1000

    def is_avoided(self, now_s: float) -> bool:
        """Returns whether other upstreams are preferred."""
        return now_s < max(self.penalised_until_s, self.limited_until_s)

    def estimate(self) -> int:
        """Returns the estimated number of requests in flight now."""
        return max(
            self.outstanding,
            self.reported_in_flight + self.delta_since_report,
        )
