"""How long runs take, by service and by upstream.

Durations of different routes are not alike, so an upstream is described by the
mean ratio of its runs to the mean of their route.
"""

import math

import trio

from siskinmount import fleet
from siskinmount.placement import _run_mean

#: Duration of a run of a service that has had none.
INITIAL_RUN_MS = 700.0
#: Runs of ratio 1 that the runs of an upstream are added to, so that a few long
#: answers do not make an upstream slow.
PRIOR_RUNS = 4.0
#: Half-life of the weight of runs. An upstream that was slow and gets little is
#: tried again after about this time.
HALF_LIFE_S = 30.0
#: Runs of a route before ratios to its mean are taken.
MIN_ROUTE_RUNS = 8
#: Bounds on the ratio of one run: the lengths of answers vary.
MIN_RATIO = 0.2
MAX_RATIO = 5.0
#: An upstream within this factor of the mean counts as equally fast: half of
#: the difference at which the choice between two requests would change.
EVEN_FACTOR = 1.25


class _RatioMean:
    """The decaying mean ratio of the runs of one start of an upstream.

    Attributes:
        started_at_ms: Start of the upstream.
        total: Decayed sum of the ratios.
        weight: Decayed number of runs.
        at_s: Monotonic time up to which both are decayed.
    """

    __slots__ = ('started_at_ms', 'total', 'weight', 'at_s')

    def __init__(self, started_at_ms: int) -> None:
        self.started_at_ms = started_at_ms
        self.total = 0.0
        self.weight = 0.0
        self.at_s = trio.current_time()

    def decay(self) -> None:
        """Decays the sums up to the current time."""
        now_s = trio.current_time()
        factor = math.exp2((self.at_s - now_s) / HALF_LIFE_S)
        self.total *= factor
        self.weight *= factor
        self.at_s = now_s

    def read(self) -> float:
        """Returns the ratio with the prior, as of the last decay."""
        return (self.total + PRIOR_RUNS) / (self.weight + PRIOR_RUNS)


class RunTimes:
    """Mean run times of services and relative ones of upstreams."""

    __slots__ = ('_by_service', '_by_route', '_ratios', '_uneven')

    def __init__(self) -> None:
        self._by_service: dict[str, _run_mean.RunMean] = {}
        self._by_route: dict[str, dict[str, _run_mean.RunMean]] = {}
        self._ratios: dict[str, _RatioMean] = {}
        #: Ratios of the upstreams that are faster or slower than others.
        self._uneven: dict[str, float] = {}

    def record(
        self, upstream: fleet.Upstream, route_name: str, run_ms: float
    ) -> None:
        """Adds the duration of a successful run of a caller's request."""
        service = upstream.service
        mean = self._by_service.get(service)
        if mean is None:
            mean = self._by_service[service] = _run_mean.RunMean()
            self._by_route[service] = {}
        mean.add(run_ms)
        routes = self._by_route[service]
        route_mean = routes.get(route_name)
        if route_mean is None:
            route_mean = routes[route_name] = _run_mean.RunMean()
        route_mean.add(run_ms)
        if route_mean.sample_count < MIN_ROUTE_RUNS or not route_mean.run_ms:
            return
        ratio = self._ratios.get(upstream.upstream_id)
        if ratio is None or ratio.started_at_ms != upstream.started_at_ms:
            ratio = _RatioMean(upstream.started_at_ms)
            self._ratios[upstream.upstream_id] = ratio
        ratio.decay()
        ratio.weight += 1
        ratio.total += min(
            MAX_RATIO, max(MIN_RATIO, run_ms / route_mean.run_ms)
        )
        self._update_uneven(upstream.upstream_id, ratio)

    def get_run_ms(self, service: str) -> float:
        """Returns the average duration of a run of a service."""
        mean = self._by_service.get(service)
        return INITIAL_RUN_MS if mean is None else mean.run_ms

    def has_uneven(self) -> bool:
        """Returns whether any upstream is faster or slower than others."""
        return bool(self._uneven)

    def get_ratio(self, upstream_id: str) -> float:
        """Returns how long runs take in relation to those elsewhere.

        It is 1 for upstreams that are about as fast as the mean.
        """
        return self._uneven.get(upstream_id, 1.0)

    def forget(self, upstream_id: str) -> None:
        """Forgets an upstream that is gone or has restarted."""
        self._ratios.pop(upstream_id, None)
        self._uneven.pop(upstream_id, None)

    def expire(self) -> None:
        """Lets the weight of old runs fade."""
        for upstream_id in list(self._uneven):
            ratio = self._ratios[upstream_id]
            ratio.decay()
            self._update_uneven(upstream_id, ratio)

    def _update_uneven(self, upstream_id: str, ratio: _RatioMean) -> None:
        value = ratio.read()
        if 1 / EVEN_FACTOR < value < EVEN_FACTOR:
            self._uneven.pop(upstream_id, None)
        else:
            self._uneven[upstream_id] = value


def create_run_times() -> RunTimes:
    """Creates a `RunTimes` without runs."""
    return RunTimes()
