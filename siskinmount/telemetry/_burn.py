"""How fast an objective's error budget is used up.

A burn rate of 1 uses up the budget exactly by the end of the objective's
period; a rate of 14.4 uses 2 % of a budget of 30 days within an hour.
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
    """How urgent a burn is."""

    #: Nothing was measured.
    NO_DATA = 'no_data'

    #: The budget lasts.
    OK = 'ok'

    #: The budget will be used up before its period ends: look into it today.
    SLOW_BURN = 'slow_burn'

    #: The budget will be used up within days or hours: act now.
    FAST_BURN = 'fast_burn'


class WindowBurn:
    """The burn of one objective over one window that ends now.

    Attributes:
        window_s: Length of the window in seconds.
        good: Events that met the objective.
        bad: Events that did not.
        burn_rate: Share of bad events as a multiple of the share allowed.
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
    """The burn within one window of a plot.

    Attributes:
        start_s: Start of the window in seconds since the Unix epoch.
        burn_rate: Burn rate within it; 0 without events.
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
    """Merges the windows of all daemons for one objective.

    Windows of an hour or less are built from minutes, longer ones from hours.
    A minute or hour that lies partly in the window counts whole.

    Args:
        snapshots: Windows of the objective, of any daemon and length.
        share: Share of events that must be good, between 0 and 1.
        now_s: End of the window in seconds since the Unix epoch.
        window_s: Length of the window in seconds.
    """
    good = 0
    bad = 0
    merged = _histograms.create_hdr_histogram()
    part_s = _choose_part_s(window_s)
    for snapshot in snapshots:
        if not _lies_in(snapshot, part_s, now_s - window_s):
            continue
        good += snapshot.good
        bad += snapshot.bad
        if snapshot.histogram:
            merged.add(_histograms.decode_hdr_histogram(snapshot.histogram))
    burn = WindowBurn(
        window_s=window_s,
        good=good,
        bad=bad,
        burn_rate=_compute_rate(good, bad, share),
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
    """Returns the share of the budget that the events of the period used."""
    good = 0
    bad = 0
    for snapshot in snapshots:
        start_s = now_s - period_days * _DAY_S
        if _lies_in(snapshot, _histograms.HOUR_S, start_s):
            good += snapshot.good
            bad += snapshot.bad
    return _compute_rate(good, bad, share)


def list_burn_points(
    snapshots: Iterable[_histograms.WindowSnapshot],
    share: float,
    now_s: float,
    window_s: int,
) -> list[BurnPoint]:
    """Returns the burn rate of each minute or hour of a window, in order."""
    part_s = _choose_part_s(window_s)
    good_by_start: dict[int, int] = {}
    bad_by_start: dict[int, int] = {}
    for snapshot in snapshots:
        if not _lies_in(snapshot, part_s, now_s - window_s):
            continue
        start_s = snapshot.window_start_s
        good_by_start[start_s] = good_by_start.get(start_s, 0) + snapshot.good
        bad_by_start[start_s] = bad_by_start.get(start_s, 0) + snapshot.bad
    first_s = int(now_s - window_s) // part_s * part_s
    points: list[BurnPoint] = []
    for start_s in range(first_s, int(now_s) + 1, part_s):
        rate = _compute_rate(
            good_by_start.get(start_s, 0), bad_by_start.get(start_s, 0), share
        )
        points.append(BurnPoint(start_s, rate))
    return points


def judge_burn(windows: list[WindowBurn]) -> BurnLevel:
    """Returns how urgent the burn over the report's windows is.

    A long window shows that the burn matters, a short one that it goes on.

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


def _choose_part_s(window_s: int) -> int:
    """Returns the length of the windows that a longer one is built from."""
    if window_s <= _histograms.HOUR_S:
        return _histograms.MINUTE_S
    return _histograms.HOUR_S


def _lies_in(
    snapshot: _histograms.WindowSnapshot, part_s: int, start_s: float
) -> bool:
    """Returns whether a snapshot has the length and ends after a time."""
    if snapshot.window_s != part_s:
        return False
    return snapshot.window_start_s + snapshot.window_s > start_s


def _compute_rate(good: int, bad: int, share: float) -> float:
    """Returns the share of bad events as a multiple of the share allowed."""
    total = good + bad
    if not total:
        return 0.0
    return bad / total / (1 - share)
