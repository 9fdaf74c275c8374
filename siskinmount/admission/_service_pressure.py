"""How loaded a service is, as seen from this entry."""

import enum

DURATION_SMOOTHING = 0.1
FIRST_DURATION_MS = 1000.0
#: Parts of the slots in use from which each kind of request is refused.
SHED_BATCH_AT = 0.85
SHED_OVER_SHARE_AT = 1.0
SHED_ALL_AT = 1.25
#: Waits for an upstream from which each kind of request is refused.
SHED_BATCH_DELAY_MS = 50.0
SHED_OVER_SHARE_DELAY_MS = 200.0
SHED_ALL_DELAY_MS = 1000.0
#: Time in which one wait must have been short for the delay to count as gone.
DELAY_WINDOW_S = 0.5


class Pressure(enum.IntEnum):
    """What a service can still take."""

    #: Everything.
    NONE = 0

    #: Online requests.
    BATCH_SHED = 1

    #: Online requests of callers that use no more than their share.
    OVER_SHARE_SHED = 2

    #: Nothing.
    ALL_SHED = 3


class ServicePressure:
    """Durations and waits of a service's requests.

    The delay is the shortest wait within a window, so that a burst which is
    worked off at once is no overload.

    Attributes:
        duration_ms: Smoothed duration of a request.
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

    def note_duration(self, duration_ms: float) -> None:
        """Takes the duration of a request that has ended."""
        self.duration_ms += DURATION_SMOOTHING * (
            duration_ms - self.duration_ms
        )

    def note_delay(self, delay_ms: float, now_s: float) -> None:
        """Takes the time that a request has waited for an upstream."""
        self._roll(now_s)
        if self._window_min_ms is None or delay_ms < self._window_min_ms:
            self._window_min_ms = delay_ms

    def conclude(self, in_flight: int, slots: int, now_s: float) -> Pressure:
        """Returns what the service can still take.

        Args:
            in_flight: Requests in flight at all its upstreams.
            slots: Requests that these run at once.
            now_s: Monotonic time.
        """
        self._roll(now_s)
        part = in_flight / slots if slots else 0.0
        delay_ms = self._delay_ms
        if part >= SHED_ALL_AT or delay_ms >= SHED_ALL_DELAY_MS:
            return Pressure.ALL_SHED
        if part >= SHED_OVER_SHARE_AT or delay_ms >= SHED_OVER_SHARE_DELAY_MS:
            return Pressure.OVER_SHARE_SHED
        if part >= SHED_BATCH_AT or delay_ms >= SHED_BATCH_DELAY_MS:
            return Pressure.BATCH_SHED
        return Pressure.NONE

    def _roll(self, now_s: float) -> None:
        """Ends the window when its time is over."""
        age_s = now_s - self._window_started_s
        if age_s < DELAY_WINDOW_S:
            return
        is_recent = age_s < 2 * DELAY_WINDOW_S
        self._delay_ms = (self._window_min_ms or 0.0) if is_recent else 0.0
        self._window_min_ms = None
        self._window_started_s = now_s
