"""What this entry knows of the load of one upstream."""

FIRST_PENALTY_MS = 200
MAX_PENALTY_MS = 10_000
#: Age from which an idle pair's report is replaced by the heartbeat's.
REPORT_AGE_S = 1.0


class UpstreamLoad:
    """Load and recent failures of one upstream.

    Attributes:
        outstanding: Attempts of this entry in progress there.
        reported_in_flight: Requests in flight there at the last report.
        change_since_report: Attempts of this entry begun less those ended
            since that report.
        reported_at_s: Monotonic time of that report.
        slots: Requests that it runs at once.
        failure_count: Failures in a row.
        penalised_until_s: Monotonic time until which others go first.
    """

    __slots__ = (
        'outstanding',
        'reported_in_flight',
        'change_since_report',
        'reported_at_s',
        'slots',
        'failure_count',
        'penalised_until_s',
    )

    def __init__(self) -> None:
        self.outstanding = 0
        self.reported_in_flight = 0
        self.change_since_report = 0
        self.reported_at_s = float('-inf')
        self.slots = 1
        self.failure_count = 0
        self.penalised_until_s = float('-inf')

    def begin(self) -> None:
        """Counts an attempt."""
        self.outstanding += 1
        self.change_since_report += 1

    def end(self) -> None:
        """Counts the end of an attempt."""
        self.outstanding -= 1
        self.change_since_report -= 1

    def is_out_of_date(self, now_s: float) -> bool:
        """Tells whether the last report is old and no answer is to come."""
        age_s = now_s - self.reported_at_s
        return not self.outstanding and age_s >= REPORT_AGE_S

    def note_report(self, in_flight: int, slots: int, now_s: float) -> None:
        """Takes the upstream's own count."""
        self.reported_at_s = now_s
        self.reported_in_flight = in_flight
        self.change_since_report = 0
        self.slots = max(1, slots)

    def note_success(self) -> None:
        """Ends the penalty for failures."""
        self.failure_count = 0
        self.penalised_until_s = float('-inf')

    def note_failure(self, now_s: float) -> None:
        """Puts others first for a time that doubles with each failure."""
        penalty_ms = min(
            MAX_PENALTY_MS, FIRST_PENALTY_MS * 2 ** min(self.failure_count, 16)
        )
        self.failure_count += 1
        self.penalised_until_s = now_s + penalty_ms / 1000

    def estimate(self) -> int:
        """Returns the requests in flight there now, as far as is known."""
        return max(
            self.outstanding,
            self.reported_in_flight + self.change_since_report,
        )
