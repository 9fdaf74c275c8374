"""Chooses the upstream of an online request or a batch item."""

import enum
import random

import xxhash

from siskinmount import fleet
from siskinmount.placement import _load_table
from siskinmount.placement import _upstream_health

#: Slots of an upstream that does not report how many it has.
DEFAULT_SLOTS = 8
#: Weight of a new sample in the moving average of run durations.
RUN_SAMPLE_WEIGHT = 0.05
INITIAL_RUN_MS = 700.0
#: Retry-after for callers if no upstream takes requests. Entries of upstreams
#: change with their heartbeats, about once a second.
NO_UPSTREAM_RETRY_MS = 400
#: Minimum retry-after for callers, as a retry needs a new connection.
MIN_RETRY_MS = 100
#: Upstreams with at most this many more requests than the least loaded one
#: count as equally loaded, so that prompt affinity decides among them.
LOAD_TOLERANCE_REQUESTS = 1


class RefusalReason(enum.Enum):
    """Why no upstream was chosen for a request."""

    #: No upstream of the service takes requests.
    NO_UPSTREAM = 'no_upstream'

    #: The expected wait is too long at all upstreams.
    FULL = 'full'


class Refusal:
    """The result for a request for which no upstream was chosen.

    Attributes:
        reason: Why no upstream was chosen.
        retry_after_ms: Estimated time after which a retry succeeds.
    """

    __slots__ = ('reason', 'retry_after_ms')

    def __init__(self, reason: RefusalReason, retry_after_ms: int) -> None:
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class Placement:
    """The upstream chosen for a request.

    Attributes:
        upstream: The chosen upstream.
        waiting_count: Estimated online requests that wait there already.
        expected_wait_ms: Estimated wait for a slot.
    """

    __slots__ = ('upstream', 'waiting_count', 'expected_wait_ms')

    def __init__(
        self,
        upstream: fleet.Upstream,
        waiting_count: int,
        expected_wait_ms: float,
    ) -> None:
        self.upstream = upstream
        self.waiting_count = waiting_count
        self.expected_wait_ms = expected_wait_ms


class Placer:
    """Chooses upstreams by the counts of all processes.

    An online request goes to an upstream where it starts soonest. Batch items
    are preempted, so only online requests count as waiting. Among upstreams
    with the same number of waiting requests, one with a free slot is preferred
    to one where a batch item must be preempted; prompt affinity decides among
    the rest.
    """

    __slots__ = ('_view', '_load', '_health', '_run_ms_by_service')

    def __init__(
        self,
        view: fleet.FleetView,
        load: _load_table.LoadTable,
        health: _upstream_health.UpstreamHealth,
    ) -> None:
        self._view = view
        self._load = load
        self._health = health
        self._run_ms_by_service: dict[str, float] = {}

    def place_online(
        self,
        service: str,
        affinity_key: str,
        excluded: set[str],
        max_wait_ms: float,
        may_use_avoided: bool = False,
    ) -> Placement | Refusal:
        """Returns the upstream where an online request starts soonest.

        Avoided upstreams are used only if there are no healthy ones, or if the
        wait at those is too long and the request may be repeated elsewhere:
        then an avoided upstream is better than a refusal.

        Args:
            service: Service of the request.
            affinity_key: Requests with the same key prefer the same upstream;
                empty for no preference.
            excluded: Ids of upstreams at which this request has failed.
            max_wait_ms: Longest acceptable wait for a slot.
            may_use_avoided: Whether an avoided upstream may be used instead of
                a refusal.
        """
        ready = self._list_ready(service, excluded)
        healthy: list[fleet.Upstream] = []
        for upstream in ready:
            if not self._health.is_avoided(upstream.upstream_id):
                healthy.append(upstream)
        placed = self._place_among(
            healthy or ready, service, affinity_key, max_wait_ms
        )
        if isinstance(placed, Placement) or not may_use_avoided:
            return placed
        return self._place_among(ready, service, affinity_key, max_wait_ms)

    def _place_among(
        self,
        candidates: list[fleet.Upstream],
        service: str,
        affinity_key: str,
        max_wait_ms: float,
    ) -> Placement | Refusal:
        """Returns the candidate where a request starts soonest."""
        if not candidates:
            return Refusal(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS)
        totals = self._load.sum_counts()
        scored: list[tuple[int, int, fleet.Upstream]] = []
        for upstream in candidates:
            counts = totals.get(upstream.upstream_id, _NO_COUNTS)
            slots = upstream.slot_count or DEFAULT_SLOTS
            waiting = max(0, counts.online + 1 - slots)
            scored.append((waiting, counts.online + counts.batch, upstream))
        least_waiting = min(score[0] for score in scored)
        least_total = min(
            total for waiting, total, _ in scored if waiting == least_waiting
        )
        least_loaded: list[fleet.Upstream] = []
        for waiting, total, upstream in scored:
            if waiting != least_waiting:
                continue
            if total <= least_total + LOAD_TOLERANCE_REQUESTS:
                least_loaded.append(upstream)
        chosen = _choose_by_affinity(least_loaded, affinity_key)
        slots = chosen.slot_count or DEFAULT_SLOTS
        wait_ms = least_waiting * self.get_run_ms(service) / slots
        if wait_ms > max_wait_ms:
            retry_ms = wait_ms - max_wait_ms + random.uniform(0, max_wait_ms)
            return Refusal(RefusalReason.FULL, max(MIN_RETRY_MS, int(retry_ms)))
        return Placement(chosen, least_waiting, wait_ms)

    def list_passed_over(self, service: str) -> list[str]:
        """Returns upstreams that leave though their entries say ready."""
        return self._view.list_passed_over(service)

    def place_batch(
        self, service: str, reserved_slots: int, excluded: set[str]
    ) -> fleet.Upstream | RefusalReason:
        """Returns an upstream with the most free slots beyond the reserve."""
        rows: list[tuple[int, fleet.Upstream]] = []
        for free, upstream in self._list_free(service, reserved_slots):
            if upstream.upstream_id not in excluded:
                rows.append((free, upstream))
        if not rows:
            return RefusalReason.FULL
        most = max(free for free, _ in rows)
        return random.choice(
            [upstream for free, upstream in rows if free == most]
        )

    def count_free(self, service: str, reserved_slots: int) -> int:
        """Returns the free slots of all upstreams beyond the reserve."""
        return sum(free for free, _ in self._list_free(service, reserved_slots))

    def _list_free(
        self, service: str, reserved_slots: int
    ) -> list[tuple[int, fleet.Upstream]]:
        """Returns the upstreams that batch may use and their free slots."""
        totals = self._load.sum_counts()
        rows: list[tuple[int, fleet.Upstream]] = []
        for upstream in self._view.list_ready(service):
            if self._health.is_avoided(upstream.upstream_id):
                continue
            counts = totals.get(upstream.upstream_id, _NO_COUNTS)
            slots = upstream.slot_count or DEFAULT_SLOTS
            free = slots - reserved_slots - counts.online - counts.batch
            if free > 0:
                rows.append((free, upstream))
        return rows

    def record_run(self, service: str, run_ms: float) -> None:
        """Adds the duration of a successful run to the average."""
        mean_ms = self.get_run_ms(service)
        self._run_ms_by_service[service] = (
            mean_ms + (run_ms - mean_ms) * RUN_SAMPLE_WEIGHT
        )

    def get_run_ms(self, service: str) -> float:
        """Returns the average duration of a run."""
        return self._run_ms_by_service.get(service, INITIAL_RUN_MS)

    def _list_ready(
        self, service: str, excluded: set[str]
    ) -> list[fleet.Upstream]:
        """Returns the ready upstreams that are not excluded."""
        ready: list[fleet.Upstream] = []
        for upstream in self._view.list_ready(service):
            if upstream.upstream_id not in excluded:
                ready.append(upstream)
        return ready


_NO_COUNTS = _load_table.UpstreamCounts()


def _choose_by_affinity(
    upstreams: list[fleet.Upstream], affinity_key: str
) -> fleet.Upstream:
    """Returns the first by rendezvous hash, or a random one without a key."""
    if not affinity_key:
        return random.choice(upstreams)
    best = upstreams[0]
    best_hash = -1
    for upstream in upstreams:
        value = xxhash.xxh64_intdigest(
            f'{affinity_key}/{upstream.upstream_id}'.encode()
        )
        if value > best_hash:
            best = upstream
            best_hash = value
    return best


def create_placer(
    view: fleet.FleetView,
    load: _load_table.LoadTable,
    health: _upstream_health.UpstreamHealth,
) -> Placer:
    """Creates a placer."""
    return Placer(view, load, health)
