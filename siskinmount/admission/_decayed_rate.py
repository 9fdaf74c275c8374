"""Estimates the rate of events that come in counts."""

import math


class DecayedRate:
    """A rate whose past counts less and less.

    Attributes:
        time_constant_s: Time in which the weight of an event falls to 1/e.
    """

    __slots__ = ('time_constant_s', '_count', '_at_s')

    def __init__(self, time_constant_s: float, now_s: float) -> None:
        self.time_constant_s = time_constant_s
        self._count = 0.0
        self._at_s = now_s

    def add(self, count: float, now_s: float) -> None:
        """Adds events; a negative count takes some back."""
        self._count = max(0.0, self._decay(now_s) + count)
        self._at_s = now_s

    def get_per_s(self, now_s: float) -> float:
        """Returns the events per second."""
        return self._decay(now_s) / self.time_constant_s

    def get_mean_per_s(self, since_s: float, now_s: float) -> float:
        """Returns the events per second, if counting began at a time.

        Without the correction for that, a young rate is far too low.
        """
        age_s = max(0.0, now_s - since_s)
        known = 1 - math.exp(-age_s / self.time_constant_s)
        return self.get_per_s(now_s) / known if known else 0.0

    def _decay(self, now_s: float) -> float:
        elapsed_s = max(0.0, now_s - self._at_s)
        return self._count * math.exp(-elapsed_s / self.time_constant_s)
