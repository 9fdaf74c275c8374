"""Histograms and event counts of objectives over time windows.

Each series has one open window of a minute and one of an hour. Closed windows
are kept encoded, so that a month of windows takes little memory.
"""

import collections
from collections.abc import Callable
import time

from hdrh import histogram as hdr

MINUTE_S = 60
HOUR_S = 3600
RETAINED_MINUTES = 70
RETAINED_HOURS = 30 * 24

#: Age above which windows are sent without their histogram.
MAX_SENT_HISTOGRAM_AGE_S = 73 * HOUR_S

#: Maximum number of series per process; values of further series are dropped
#: and counted.
MAX_SERIES = 256

_LOWEST_VALUE_US = 1
_HIGHEST_VALUE_US = 3_600_000_000
_SIGNIFICANT_DIGITS = 2
_US_PER_MS = 1000


class ObjectiveBound:
    """The part of an objective that is needed for recording.

    Attributes:
        name: Name of the objective.
        service: Name of the service.
        measure: Name of the measure.
        within_ms: Values up to this bound are good.
    """

    __slots__ = ('name', 'service', 'measure', 'within_ms')

    def __init__(
        self, *, name: str, service: str, measure: str, within_ms: float
    ) -> None:
        self.name = name
        self.service = service
        self.measure = measure
        self.within_ms = within_ms


class WindowSnapshot:
    """One window of one series, ready to be sent.

    Attributes:
        service: Name of the service.
        objective: Name of the objective, or of the measure if no objective
            bounds it.
        window_start_s: Start of the window in seconds since the Unix epoch.
        window_s: Length of the window in seconds.
        good: Number of values that met the objective.
        bad: Number of values that did not.
        histogram: Values in microseconds in HdrHistogram's compressed V2
            encoding; empty for windows older than
            `MAX_SENT_HISTOGRAM_AGE_S`.
    """

    __slots__ = (
        'service',
        'objective',
        'window_start_s',
        'window_s',
        'good',
        'bad',
        'histogram',
    )

    def __init__(
        self,
        *,
        service: str,
        objective: str,
        window_start_s: int,
        window_s: int,
        good: int,
        bad: int,
        histogram: bytes,
    ) -> None:
        self.service = service
        self.objective = objective
        self.window_start_s = window_start_s
        self.window_s = window_s
        self.good = good
        self.bad = bad
        self.histogram = histogram


class Summary:
    """Quantiles of a series, in milliseconds.

    Attributes:
        service: Name of the service.
        objective: Name of the objective or measure.
        count: Number of values.
        good: Number of values that met the objective.
        bad: Number of values that did not.
        p50_ms: Median.
        p95_ms: 95th percentile.
        p99_ms: 99th percentile.
    """

    __slots__ = (
        'service',
        'objective',
        'count',
        'good',
        'bad',
        'p50_ms',
        'p95_ms',
        'p99_ms',
    )

    def __init__(
        self,
        *,
        service: str,
        objective: str,
        count: int,
        good: int,
        bad: int,
        p50_ms: float,
        p95_ms: float,
        p99_ms: float,
    ) -> None:
        self.service = service
        self.objective = objective
        self.count = count
        self.good = good
        self.bad = bad
        self.p50_ms = p50_ms
        self.p95_ms = p95_ms
        self.p99_ms = p99_ms


def create_histograms(
    bounds: list[ObjectiveBound], clock: Callable[[], float] = time.time
) -> 'Histograms':
    """Returns empty histograms.

    Args:
        bounds: Current objectives.
        clock: Returns the seconds since the Unix epoch.
    """
    histograms = Histograms(clock)
    histograms.set_bounds(bounds)
    return histograms


class Histograms:
    """The histograms of one process."""

    __slots__ = ('_clock', '_bounds', '_targets', '_series', '_dropped_count')

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        # Objectives by service and measure.
        self._bounds: dict[tuple[str, str], list[ObjectiveBound]] = {}
        # Targets by service and measure, created on first use.
        self._targets: dict[tuple[str, str], list[_Target]] = {}
        # Series by service and objective.
        self._series: dict[tuple[str, str], _Series] = {}
        self._dropped_count = 0

    @property
    def dropped_count(self) -> int:
        """Number of values dropped because of `MAX_SERIES`."""
        return self._dropped_count

    def set_bounds(self, bounds: list[ObjectiveBound]) -> None:
        """Replaces the objectives; recorded values are kept."""
        by_measure: dict[tuple[str, str], list[ObjectiveBound]] = {}
        for bound in bounds:
            key = (bound.service, bound.measure)
            by_measure.setdefault(key, []).append(bound)
        self._bounds = by_measure
        self._targets = {}

    def record(self, service: str, measure: str, value_ms: float) -> None:
        """Records a value for each objective that bounds the measure."""
        now_s = self._clock()
        value_us = int(value_ms * _US_PER_MS)
        for target in self._find_targets(service, measure):
            is_good = None
            if target.within_ms is not None:
                is_good = value_ms <= target.within_ms
            target.series.record(now_s, value_us, is_good)

    def record_outcome(self, service: str, measure: str, is_good: bool) -> None:
        """Counts an event without a duration, such as a successful answer."""
        now_s = self._clock()
        for target in self._find_targets(service, measure):
            target.series.record(now_s, None, is_good)

    def take_snapshots(self) -> list[WindowSnapshot]:
        """Returns all windows, including the open ones."""
        now_s = self._clock()
        snapshots: list[WindowSnapshot] = []
        for service, objective in self._series:
            series = self._series[(service, objective)]
            series.advance(now_s)
            for window in series.list_windows():
                snapshot = window.take_snapshot(service, objective)
                if window.start_s < now_s - MAX_SENT_HISTOGRAM_AGE_S:
                    snapshot.histogram = b''
                snapshots.append(snapshot)
        return snapshots

    def summarize(self) -> list[Summary]:
        """Returns the quantiles of each series over the current hour."""
        now_s = self._clock()
        summaries: list[Summary] = []
        for (service, objective), series in self._series.items():
            series.advance(now_s)
            summaries.append(series.summarize(service, objective))
        return summaries

    def _find_targets(self, service: str, measure: str) -> list['_Target']:
        """Returns the targets that record a measure."""
        key = (service, measure)
        targets = self._targets.get(key)
        if targets is None:
            targets = self._create_targets(service, measure)
            self._targets[key] = targets
        elif not targets:
            self._dropped_count += 1
        return targets

    def _create_targets(self, service: str, measure: str) -> list['_Target']:
        """Returns a target per objective, or one for the measure if none."""
        targets: list[_Target] = []
        bounds = self._bounds.get((service, measure))
        if bounds is None:
            self._add_target(targets, service, measure, None)
            return targets
        for bound in bounds:
            self._add_target(targets, service, bound.name, bound.within_ms)
        return targets

    def _add_target(
        self,
        targets: list['_Target'],
        service: str,
        name: str,
        within_ms: float | None,
    ) -> None:
        """Adds a target and its series, unless `MAX_SERIES` is reached."""
        series = self._series.get((service, name))
        if series is None:
            if len(self._series) >= MAX_SERIES:
                self._dropped_count += 1
                return
            series = _Series(self._clock())
            self._series[(service, name)] = series
        targets.append(_Target(series, within_ms))


def create_hdr_histogram() -> hdr.HdrHistogram:
    """Returns an empty histogram of values in microseconds."""
    return hdr.HdrHistogram(
        _LOWEST_VALUE_US, _HIGHEST_VALUE_US, _SIGNIFICANT_DIGITS
    )


def decode_hdr_histogram(data: bytes) -> hdr.HdrHistogram:
    """Decodes a histogram from the compressed V2 encoding."""
    return hdr.HdrHistogram.decode(data)


class _ClosedWindow:
    """A completed window with an encoded histogram."""

    __slots__ = ('start_s', 'length_s', 'good', 'bad', 'data')

    def __init__(
        self, start_s: int, length_s: int, good: int, bad: int, data: bytes
    ) -> None:
        self.start_s = start_s
        self.length_s = length_s
        self.good = good
        self.bad = bad
        self.data = data

    def take_snapshot(self, service: str, objective: str) -> WindowSnapshot:
        """Returns a snapshot of the window."""
        return WindowSnapshot(
            service=service,
            objective=objective,
            window_start_s=self.start_s,
            window_s=self.length_s,
            good=self.good,
            bad=self.bad,
            histogram=self.data,
        )


class _OpenWindow:
    """A window that values are being recorded in.

    The object is reused for the next window, as creating a histogram is costly.
    """

    __slots__ = ('start_s', 'end_s', 'length_s', 'good', 'bad', 'histogram')

    def __init__(self, now_s: float, length_s: int) -> None:
        self.length_s = length_s
        self.histogram = create_hdr_histogram()
        self.restart(now_s)

    def restart(self, now_s: float) -> None:
        """Clears all values and starts the window that contains a time."""
        self.start_s = int(now_s) // self.length_s * self.length_s
        self.end_s = self.start_s + self.length_s
        self.good = 0
        self.bad = 0
        self.histogram.reset()

    def record(self, value_us: int | None, is_good: bool | None) -> None:
        """Records one value."""
        if value_us is not None:
            self.histogram.record_value(min(value_us, _HIGHEST_VALUE_US))
        if is_good is None:
            return
        if is_good:
            self.good += 1
        else:
            self.bad += 1

    def add(self, other: '_OpenWindow') -> None:
        """Adds the values of a shorter window."""
        self.good += other.good
        self.bad += other.bad
        self.histogram.add(other.histogram)

    def copy(self) -> '_OpenWindow':
        """Returns a copy of the window."""
        result = _OpenWindow(self.start_s, self.length_s)
        result.add(self)
        return result

    def is_empty(self) -> bool:
        """Returns whether the window has no values."""
        return not (self.good or self.bad or self.histogram.total_count)

    def close(self) -> _ClosedWindow:
        """Returns the window as a closed one, with an encoded histogram."""
        return _ClosedWindow(
            self.start_s,
            self.length_s,
            self.good,
            self.bad,
            self.histogram.encode(),
        )


class _Target:
    """A series that records the values of a measure.

    Attributes:
        series: The series.
        within_ms: Values up to this bound are good; None without an objective.
    """

    __slots__ = ('series', 'within_ms')

    def __init__(self, series: '_Series', within_ms: float | None) -> None:
        self.series = series
        self.within_ms = within_ms


class _Series:
    """The time windows of one service and objective."""

    __slots__ = ('_minute', '_hour', '_minutes', '_hours')

    def __init__(self, now_s: float) -> None:
        self._minute = _OpenWindow(now_s, MINUTE_S)
        # Contains only the closed minutes of the hour.
        self._hour = _OpenWindow(now_s, HOUR_S)
        self._minutes: collections.deque[_ClosedWindow] = collections.deque()
        self._hours: collections.deque[_ClosedWindow] = collections.deque()

    def record(
        self, now_s: float, value_us: int | None, is_good: bool | None
    ) -> None:
        """Records one value in the open window."""
        if now_s >= self._minute.end_s:
            self.advance(now_s)
        self._minute.record(value_us, is_good)

    def advance(self, now_s: float) -> None:
        """Closes windows that have ended and drops expired ones.

        If the clock is set back, the windows stay open until it has caught up.
        """
        if now_s < self._minute.end_s:
            return
        if not self._minute.is_empty():
            self._hour.add(self._minute)
            self._minutes.append(self._minute.close())
        self._minute.restart(now_s)
        if now_s >= self._hour.end_s:
            if not self._hour.is_empty():
                self._hours.append(self._hour.close())
            self._hour.restart(now_s)
        _drop_expired(self._minutes, now_s - RETAINED_MINUTES * MINUTE_S)
        _drop_expired(self._hours, now_s - RETAINED_HOURS * HOUR_S)

    def list_windows(self) -> list[_ClosedWindow]:
        """Returns all windows, minutes before hours, each oldest first."""
        windows = [*self._minutes]
        if not self._minute.is_empty():
            windows.append(self._minute.close())
        windows.extend(self._hours)
        hour = self._copy_hour()
        if not hour.is_empty():
            windows.append(hour.close())
        return windows

    def summarize(self, service: str, objective: str) -> Summary:
        """Returns the quantiles of the current hour."""
        hour = self._copy_hour()
        return Summary(
            service=service,
            objective=objective,
            count=hour.histogram.total_count,
            good=hour.good,
            bad=hour.bad,
            p50_ms=_get_quantile_ms(hour.histogram, 50),
            p95_ms=_get_quantile_ms(hour.histogram, 95),
            p99_ms=_get_quantile_ms(hour.histogram, 99),
        )

    def _copy_hour(self) -> _OpenWindow:
        """Returns a copy of the open hour that includes the open minute."""
        hour = self._hour.copy()
        hour.add(self._minute)
        return hour


def _get_quantile_ms(histogram: hdr.HdrHistogram, percentile: float) -> float:
    return float(histogram.get_value_at_percentile(percentile)) / _US_PER_MS


def _drop_expired(
    windows: collections.deque[_ClosedWindow], limit_s: float
) -> None:
    """Drops the oldest windows, up to those that ended at or before a time."""
    while windows and windows[0].start_s + windows[0].length_s <= limit_s:
        windows.popleft()
