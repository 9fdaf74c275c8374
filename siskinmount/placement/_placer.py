"""Chooses the upstream of an online request or a batch item."""

import enum
import random

import xxhash

from siskinmount import fleet
from siskinmount.placement import _load_table
from siskinmount.placement import _upstream_health

#: Slots of an upstream that does not tell how many it has.
DEFAULT_SLOTS = 8
#: Weight of a new measurement in the running mean of a run's length.
RUN_LENGTH_WEIGHT = 0.05
FIRST_RUN_MS = 700.0
#: When a caller may come back if no upstream takes requests: entries of
#: upstreams change once in a heartbeat of about a second.
NO_UPSTREAM_RETRY_MS = 400
#: Shortest time that a caller is told; it takes a new connection to come back.
MIN_RETRY_MS = 100
#: Requests placed within this many of the least loaded count as equal, so that
#: the prompt's affinity may decide among them.
NEAR_COUNT = 1


class NoPlace(enum.Enum):
    """Why a request has no upstream."""

    #: No upstream of the service takes requests.
    NO_UPSTREAM = 'no_upstream'

    #: All would let it wait longer than is of use.
    FULL = 'full'


class Refusal:
    """Says that a request has no place.

    Attributes:
        reason: Why.
        retry_after_ms: When it would probably have one.
    """

    __slots__ = ('reason', 'retry_after_ms')

    def __init__(self, reason: NoPlace, retry_after_ms: int) -> None:
        self.reason = reason
        self.retry_after_ms = retry_after_ms


class Placement:
    """Where a request goes.

    Attributes:
        upstream: The upstream.
        waiting_count: Online requests that wait there before it, as believed.
        expected_wait_ms: How long it will probably wait for a slot.
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

    Online requests go where they start soonest: batch items that hold a slot
    give way, so only online requests count as waiting; among those that would
    start at once, a free slot goes before one that batch must leave, and the
    prompt's affinity decides the rest.
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
        """Returns where an online request starts soonest.

        Where the sound upstreams would let it wait too long, one that is
        avoided is better than a refusal, if the request may go on elsewhere
        from there.

        Args:
            service: Service of the request.
            affinity_key: Requests with the same key prefer the same upstream.
            excluded: Upstreams that have failed this request.
            max_wait_ms: A longer wait for a slot is of no use.
            may_use_avoided: Whether it may go to an upstream that fails.
        """
        ready = self._list_ready(service, excluded)
        sound: list[fleet.Upstream] = []
        for upstream in ready:
            if not self._health.is_avoided(upstream.upstream_id):
                sound.append(upstream)
        placed = self._place_among(
            sound or ready, service, affinity_key, max_wait_ms
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
        """Returns where among some upstreams a request starts soonest."""
        if not candidates:
            return Refusal(NoPlace.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS)
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
        near: list[fleet.Upstream] = []
        for waiting, total, upstream in scored:
            if waiting != least_waiting:
                continue
            if total <= least_total + NEAR_COUNT:
                near.append(upstream)
        chosen = _choose_by_affinity(near, affinity_key)
        slots = chosen.slot_count or DEFAULT_SLOTS
        wait_ms = least_waiting * self.get_run_ms(service) / slots
        if wait_ms > max_wait_ms:
            retry_ms = wait_ms - max_wait_ms + random.uniform(0, max_wait_ms)
            return Refusal(NoPlace.FULL, max(MIN_RETRY_MS, int(retry_ms)))
        return Placement(chosen, least_waiting, wait_ms)

    def place_batch(
        self, service: str, reserved_slots: int, excluded: set[str]
    ) -> fleet.Upstream | NoPlace:
        """Returns the emptiest upstream with a slot beside the reserve."""
        rows: list[tuple[int, fleet.Upstream]] = []
        for free, upstream in self._list_free(service, reserved_slots):
            if upstream.upstream_id not in excluded:
                rows.append((free, upstream))
        if not rows:
            return NoPlace.FULL
        most = max(free for free, _ in rows)
        return random.choice(
            [upstream for free, upstream in rows if free == most]
        )

    def count_free(self, service: str, reserved_slots: int) -> int:
        """Returns the free slots of all upstreams beside the reserve."""
        return sum(free for free, _ in self._list_free(service, reserved_slots))

    def _list_free(
        self, service: str, reserved_slots: int
    ) -> list[tuple[int, fleet.Upstream]]:
        """Returns upstreams that batch may use, with their free slots."""
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

    def note_run(self, service: str, run_ms: float) -> None:
        """Takes the length of a run that has ended well."""
        mean_ms = self.get_run_ms(service)
        self._run_ms_by_service[service] = (
            mean_ms + (run_ms - mean_ms) * RUN_LENGTH_WEIGHT
        )

    def get_run_ms(self, service: str) -> float:
        """Returns the mean length of a run."""
        return self._run_ms_by_service.get(service, FIRST_RUN_MS)

    def _list_ready(
        self, service: str, excluded: set[str]
    ) -> list[fleet.Upstream]:
        """Returns those that take requests."""
        ready: list[fleet.Upstream] = []
        for upstream in self._view.list_ready(service):
            if upstream.upstream_id not in excluded:
                ready.append(upstream)
        return ready


_NO_COUNTS = _load_table.UpstreamCounts()


def _choose_by_affinity(
    upstreams: list[fleet.Upstream], affinity_key: str
) -> fleet.Upstream:
    """Returns the first by rendezvous hash, or any if there is no key."""
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
