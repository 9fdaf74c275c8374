"""Overload detection for a service, as seen from this entry."""

import enum

DURATION_SMOOTHING = 0.1
FIRST_DURATION_MS = 1000.0
#: Shares of the slots in use from which each kind of request is shed.
SHED_BATCH_UTILISATION = 0.85
SHED_OVER_SHARE_UTILISATION = 1.0
SHED_ALL_UTILISATION = 1.25
#: Delays before an upstream from which each kind of request is shed.
SHED_BATCH_DELAY_MS = 50.0
SHED_OVER_SHARE_DELAY_MS = 200.0
SHED_ALL_DELAY_MS = 1000.0
#: Window over which the shortest wait is taken as the delay.
DELAY_WINDOW_S = 0.5


class Pressure(enum.IntEnum):
    """Which requests of a service are shed."""

    #: No requests are shed.
    NONE = 0

    #: Batch requests are shed.
    BATCH_SHED = 1

    #: Batch requests and those of callers above their fair share are shed.
    OVER_SHARE_SHED = 2

    #: All requests are shed.
    ALL_SHED = 3


class ServicePressure:
    """Durations and waits of a service's requests.

    The delay is the shortest wait within a window, so that a burst that is
    processed within the window does not count as overload.

    Attributes:
        duration_ms: Exponentially smoothed duration of a request.
    """

    __slots__ = (
        'duration_ms',
        '_window_started_s',
        '_window_min_ms',
        '_delay_ms',
    )

    def __init__(self) -> None:
        self.duration_ms = FIRST_DURATION_MS
        self._window_started_s = float('-inf')
        self._window_min_ms: float | None = None
        self._delay_ms = 0.0

    def record_duration(self, duration_ms: float) -> None:
        """Records the duration of a request that has ended."""
        self.duration_ms += DURATION_SMOOTHING * (
            duration_ms - self.duration_ms
        )

    def record_delay(self, delay_ms: float, now_s: float) -> None:
        """Records how long a request waited for an upstream."""
        self._advance_window(now_s)
        if self._window_min_ms is None or delay_ms < self._window_min_ms:
            self._window_min_ms = delay_ms

    def evaluate(self, in_flight: int, slots: int, now_s: float) -> Pressure:
        """Returns which requests to shed.

        Args:
            in_flight: Requests in flight at all upstreams of the service.
            slots: Requests that these upstreams run at once.
            now_s: Monotonic time.
        """
        self._advance_window(now_s)
        utilisation = in_flight / slots if slots else 0.0
        delay_ms = self._delay_ms
        if utilisation >= SHED_ALL_UTILISATION or delay_ms >= SHED_ALL_DELAY_MS:
            return Pressure.ALL_SHED
        if (
            utilisation >= SHED_OVER_SHARE_UTILISATION
            or delay_ms >= SHED_OVER_SHARE_DELAY_MS
        ):
            return Pressure.OVER_SHARE_SHED
        if (
            utilisation >= SHED_BATCH_UTILISATION
            or delay_ms >= SHED_BATCH_DELAY_MS
        ):
            return Pressure.BATCH_SHED
        return Pressure.NONE

    def _advance_window(self, now_s: float) -> None:
        """Starts a new window once the current one has elapsed."""
        age_s = now_s - self._window_started_s
        if age_s < DELAY_WINDOW_S:
            return
        is_recent = age_s < 2 * DELAY_WINDOW_S
        self._delay_ms = (self._window_min_ms or 0.0) if is_recent else 0.0
        self._window_min_ms = None
        self._window_started_s = now_s
