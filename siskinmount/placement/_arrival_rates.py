"""Estimates how often peers send requests to each upstream."""

import math

import trio

#: Time constant of the estimate: longer than the pause between two messages of
#: a peer, a tenth of a burst.
TIME_CONSTANT_S = 0.2
#: Time constants after which nothing is left of an arrival.
IDLE_TIME_CONSTANTS = 50


class _DecayedCount:
    """An exponentially decaying count of arrivals.

    Attributes:
        count: Arrivals, decayed up to `at_s`.
        at_s: Monotonic time of the last arrival.
    """

    __slots__ = ('count', 'at_s')

    def __init__(self, now_s: float) -> None:
        self.count = 0.0
        self.at_s = now_s

    def read(self, now_s: float) -> float:
        """Returns the count, decayed up to a time."""
        return self.count * math.exp((self.at_s - now_s) / TIME_CONSTANT_S)


class ArrivalRates:
    """Rates of the arrivals that peers have told of, by upstream."""

    __slots__ = ('_counts',)

    def __init__(self) -> None:
        self._counts: dict[str, _DecayedCount] = {}

    def record(self, upstream_id: str, count: int) -> None:
        """Adds requests that a peer has sent to an upstream."""
        now_s = trio.current_time()
        known = self._counts.get(upstream_id)
        if known is None:
            self._forget_idle(now_s)
            known = _DecayedCount(now_s)
            self._counts[upstream_id] = known
        known.count = known.read(now_s) + count
        known.at_s = now_s

    def estimate_per_s(self, upstream_ids: list[str]) -> float:
        """Returns the rate of arrivals at some upstreams together."""
        now_s = trio.current_time()
        total = 0.0
        for upstream_id in upstream_ids:
            known = self._counts.get(upstream_id)
            if known is not None:
                total += known.read(now_s)
        return total / TIME_CONSTANT_S

    def _forget_idle(self, now_s: float) -> None:
        """Drops upstreams without recent arrivals, as they may be gone."""
        limit_s = now_s - IDLE_TIME_CONSTANTS * TIME_CONSTANT_S
        for upstream_id, known in list(self._counts.items()):
            if known.at_s < limit_s:
                del self._counts[upstream_id]


def create_arrival_rates() -> ArrivalRates:
    """Creates an `ArrivalRates` without arrivals."""
    return ArrivalRates()
