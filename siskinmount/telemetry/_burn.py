"""Burn rates of error budgets.

A burn rate of 1 consumes the error budget exactly by the end of the objective's
period; a rate of 14.4 consumes 2 % of a 30-day budget within an hour.
"""

from collections.abc import Iterable
import enum

from siskinmount.telemetry import _histograms

SHORT_WINDOW_S = 300
HOUR_WINDOW_S = 3600
SIX_HOURS_WINDOW_S = 6 * 3600
THREE_DAYS_WINDOW_S = 3 * 24 * 3600
REPORT_WINDOWS_S = (
    SHORT_WINDOW_S,
    HOUR_WINDOW_S,
    SIX_HOURS_WINDOW_S,
    THREE_DAYS_WINDOW_S,
)

FAST_BURN_RATE = 14.4
MEDIUM_BURN_RATE = 6.0
SLOW_BURN_RATE = 1.0

_DAY_S = 24 * 3600
_US_PER_MS = 1000


class BurnLevel(enum.Enum):
    """Urgency of a burn rate."""

    #: No events were recorded.
    NO_DATA = 'no_data'

    #: The budget will last for its period.
    OK = 'ok'

    #: The budget will be exhausted before its period ends: investigate today.
    SLOW_BURN = 'slow_burn'

    #: The budget will be exhausted within hours or days: act at once.
    FAST_BURN = 'fast_burn'


class WindowBurn:
    """Burn rate of one objective over a window that ends now.

    Attributes:
        window_s: Length of the window in seconds.
        good: Events that met the objective.
        bad: Events that did not.
        burn_rate: Share of bad events as a multiple of the allowed share.
        p50_ms: Median, or None without durations.
        p95_ms: 95th percentile, or None without durations.
        p99_ms: 99th percentile, or None without durations.
    """

    __slots__ = (
        'window_s',
        'good',
        'bad',
        'burn_rate',
        'p50_ms',
        'p95_ms',
        'p99_ms',
    )

    def __init__(
        self,
        *,
        window_s: int,
        good: int,
        bad: int,
        burn_rate: float,
        p50_ms: float | None = None,
        p95_ms: float | None = None,
        p99_ms: float | None = None,
    ) -> None:
        self.window_s = window_s
        self.good = good
        self.bad = bad
        self.burn_rate = burn_rate
        self.p50_ms = p50_ms
        self.p95_ms = p95_ms
        self.p99_ms = p99_ms


class BurnPoint:
    """Burn rate within one interval of a time series.

    Attributes:
        start_s: Start of the interval in seconds since the Unix epoch.
        burn_rate: Burn rate within the interval; 0 without events.
    """

    __slots__ = ('start_s', 'burn_rate')

    def __init__(self, start_s: int, burn_rate: float) -> None:
        self.start_s = start_s
        self.burn_rate = burn_rate


def compute_window_burn(
    snapshots: Iterable[_histograms.WindowSnapshot],
    share: float,
    now_s: float,
    window_s: int,
) -> WindowBurn:
    """Computes the burn of one objective from the snapshots of all daemons.

    Windows of up to an hour are built from minutes, longer ones from hours. A
    minute or hour that is partly inside the window counts as a whole.

    Args:
        snapshots: Snapshots of the objective, of any daemon and length.
        share: Required share of good events, between 0 and 1.
        now_s: End of the window in seconds since the Unix epoch.
        window_s: Length of the window in seconds.
    """
    good = 0
    bad = 0
    merged = _histograms.create_hdr_histogram()
    interval_s = _choose_interval_s(window_s)
    for snapshot in snapshots:
        if not _is_in_window(snapshot, interval_s, now_s - window_s):
            continue
        good += snapshot.good
        bad += snapshot.bad
        if snapshot.histogram:
            merged.add(_histograms.decode_hdr_histogram(snapshot.histogram))
    burn = WindowBurn(
        window_s=window_s,
        good=good,
        bad=bad,
        burn_rate=_compute_burn_rate(good, bad, share),
    )
    if merged.total_count:
        burn.p50_ms = merged.get_value_at_percentile(50) / _US_PER_MS
        burn.p95_ms = merged.get_value_at_percentile(95) / _US_PER_MS
        burn.p99_ms = merged.get_value_at_percentile(99) / _US_PER_MS
    return burn


def compute_budget_used(
    snapshots: Iterable[_histograms.WindowSnapshot],
    share: float,
    now_s: float,
    period_days: int,
) -> float:
    """Returns the share of the budget used in the period that ends now."""
    good = 0
    bad = 0
    for snapshot in snapshots:
        start_s = now_s - period_days * _DAY_S
        if _is_in_window(snapshot, _histograms.HOUR_S, start_s):
            good += snapshot.good
            bad += snapshot.bad
    return _compute_burn_rate(good, bad, share)


def list_burn_points(
    snapshots: Iterable[_histograms.WindowSnapshot],
    share: float,
    now_s: float,
    window_s: int,
) -> list[BurnPoint]:
    """Returns the burn rate of each minute or hour of a window, in order."""
    interval_s = _choose_interval_s(window_s)
    good_by_start: dict[int, int] = {}
    bad_by_start: dict[int, int] = {}
    for snapshot in snapshots:
        if not _is_in_window(snapshot, interval_s, now_s - window_s):
            continue
        start_s = snapshot.window_start_s
        good_by_start[start_s] = good_by_start.get(start_s, 0) + snapshot.good
        bad_by_start[start_s] = bad_by_start.get(start_s, 0) + snapshot.bad
    first_s = int(now_s - window_s) // interval_s * interval_s
    points: list[BurnPoint] = []
    for start_s in range(first_s, int(now_s) + 1, interval_s):
        rate = _compute_burn_rate(
            good_by_start.get(start_s, 0), bad_by_start.get(start_s, 0), share
        )
        points.append(BurnPoint(start_s, rate))
    return points


def classify_burn(windows: list[WindowBurn]) -> BurnLevel:
    """Returns the urgency of the burn over the report's windows.

    Each rule needs a long window, which shows that the burn is significant, and
    a short one, which shows that it still continues.

    Args:
        windows: The burn over each of `REPORT_WINDOWS_S`, in that order.
    """
    short, hour, six_hours, three_days = windows
    if not any(window.good + window.bad for window in windows):
        return BurnLevel.NO_DATA
    if _both_reach(hour, short, FAST_BURN_RATE):
        return BurnLevel.FAST_BURN
    if _both_reach(six_hours, hour, MEDIUM_BURN_RATE):
        return BurnLevel.FAST_BURN
    if _both_reach(three_days, six_hours, SLOW_BURN_RATE):
        return BurnLevel.SLOW_BURN
    return BurnLevel.OK


def _both_reach(
    long_window: WindowBurn, short_window: WindowBurn, rate: float
) -> bool:
    return min(long_window.burn_rate, short_window.burn_rate) >= rate


def _choose_interval_s(window_s: int) -> int:
    """Returns the length of the snapshots that a window is built from."""
    if window_s <= _histograms.HOUR_S:
        return _histograms.MINUTE_S
    return _histograms.HOUR_S


def _is_in_window(
    snapshot: _histograms.WindowSnapshot, interval_s: int, start_s: float
) -> bool:
    """Returns whether a snapshot has a given length and ends after a time."""
    if snapshot.window_s != interval_s:
        return False
    return snapshot.window_start_s + snapshot.window_s > start_s


def _compute_burn_rate(good: int, bad: int, share: float) -> float:
    """Returns the share of bad events as a multiple of the allowed share."""
    total = good + bad
    if not total:
        return 0.0
    return bad / total / (1 - share)
