"""Chooses the upstream of an online request or a batch item."""

from collections.abc import Callable
import enum
import math
import random

import xxhash

from siskinmount import fleet
from siskinmount.placement import _batch_slots
from siskinmount.placement import _fill_level
from siskinmount.placement import _load_table
from siskinmount.placement import _rate_limits
from siskinmount.placement import _run_times
from siskinmount.placement import _upstream_health
from siskinmount.placement import _upstream_paces

DEFAULT_SLOTS = _load_table.DEFAULT_SLOTS
#: Retry-after for callers if no upstream takes requests. Entries of upstreams
#: change with their heartbeats, about once a second.
NO_UPSTREAM_RETRY_MS = 400
#: Minimum retry-after for callers, as a retry needs a new connection.
MIN_RETRY_MS = 100
#: Upstreams with at most this many more requests than the least loaded one
#: count as equally loaded, so that prompt affinity decides among them.
LOAD_TOLERANCE_REQUESTS = 1
#: Requests of peers that are not seen yet from which on the counts no longer
#: tell which upstream is the least loaded.
MIN_UNSEEN_REQUESTS = 2.0
#: Upstreams that are drawn for a request, of which prompt affinity takes one.
AFFINITY_DRAWS = 2
#: Share of the acceptable wait up to which a request waits elsewhere rather than
#: exceed the window of a starting upstream, where most upstreams have one.
MAX_SHIFTED_SHARE = 1 / 3


class RefusalReason(enum.Enum):
    """Why no upstream was chosen for a request."""

    #: No upstream of the service takes requests.
    NO_UPSTREAM = 'no_upstream'

    #: The expected wait is too long at all upstreams.
    FULL = 'full'

    #: Upstreams have had all the requests that they accept at present.
    RATE_LIMITED = 'rate_limited'


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

    __slots__ = (
        '_view',
        '_load',
        '_health',
        '_rate_limits',
        '_get_message_delay_s',
        '_paces',
        '_run_times',
    )

    def __init__(
        self,
        view: fleet.FleetView,
        load: _load_table.LoadTable,
        health: _upstream_health.UpstreamHealth,
        get_message_delay_s: Callable[[], float],
        rate_limits: _rate_limits.RateLimits,
        paces: _upstream_paces.UpstreamPaces,
        run_times: _run_times.RunTimes,
    ) -> None:
        self._view = view
        self._load = load
        self._health = health
        self._rate_limits = rate_limits
        self._get_message_delay_s = get_message_delay_s
        self._paces = paces
        self._run_times = run_times

    def place_online(
        self,
        service: str,
        affinity_key: str,
        excluded: set[str],
        max_wait_ms: float,
        may_use_avoided: bool = False,
        urgency: _rate_limits.Urgency = _rate_limits.Urgency.HIGHEST,
        software: fleet.Software | None = None,
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
            urgency: Decides which requests upstreams with a limit get first.
            software: Only upstreams that run this may be chosen; None for any.
        """
        self._rate_limits.record_demand(service)
        ready = self._list_ready(service, excluded)
        if software is not None:
            ready = [each for each in ready if each.software == software]
        healthy: list[fleet.Upstream] = []
        for upstream in ready:
            if not self._health.is_avoided(upstream.upstream_id):
                healthy.append(upstream)
        placed = self._place_paced(
            healthy or ready, service, affinity_key, max_wait_ms, urgency
        )
        if isinstance(placed, Placement) or not may_use_avoided:
            return placed
        return self._place_paced(
            ready, service, affinity_key, max_wait_ms, urgency
        )

    def _place_paced(
        self,
        candidates: list[fleet.Upstream],
        service: str,
        affinity_key: str,
        max_wait_ms: float,
        urgency: _rate_limits.Urgency,
    ) -> Placement | Refusal:
        """Returns the candidate where a request starts soonest.

        Those whose window is full are used only if most have a window, so that
        the others cannot serve in their place: instead of a refusal or of a
        long wait.
        """
        if not self._paces.has_any():
            return self._place_among(
                candidates, service, affinity_key, max_wait_ms, urgency
            )
        with_room = self._paces.list_with_room(candidates)
        is_shiftable = self._paces.can_shift_load(candidates)
        placed: Placement | Refusal | None = None
        if with_room:
            placed = self._place_among(
                with_room, service, affinity_key, max_wait_ms, urgency
            )
            if is_shiftable:
                return placed
            if isinstance(placed, Placement):
                if placed.expected_wait_ms <= max_wait_ms * MAX_SHIFTED_SHARE:
                    return placed
        unpaced = self._place_among(
            candidates, service, affinity_key, max_wait_ms, urgency
        )
        if not isinstance(placed, Placement):
            return unpaced
        if isinstance(unpaced, Refusal):
            return placed
        if unpaced.expected_wait_ms < placed.expected_wait_ms:
            return unpaced
        return placed

    def _place_among(
        self,
        candidates: list[fleet.Upstream],
        service: str,
        affinity_key: str,
        max_wait_ms: float,
        urgency: _rate_limits.Urgency,
    ) -> Placement | Refusal:
        """Returns the candidate where a request starts soonest.

        The tokens of upstreams with a limit are kept for bursts as long as
        others can begin the request at once.
        """
        if not candidates:
            return Refusal(RefusalReason.NO_UPSTREAM, NO_UPSTREAM_RETRY_MS)
        if not self._rate_limits.has_any():
            return self._choose(candidates, service, affinity_key, max_wait_ms)
        admitting = self._list_admitting(
            candidates, service, _rate_limits.Urgency.SPARE
        )
        if admitting:
            placed = self._choose(admitting, service, affinity_key, max_wait_ms)
            if isinstance(placed, Placement) and not placed.waiting_count:
                return placed
        admitting = self._list_admitting(candidates, service, urgency)
        if admitting:
            return self._choose(admitting, service, affinity_key, max_wait_ms)
        retry_s = self._rate_limits.estimate_retry_s(
            service, [each.upstream_id for each in candidates], urgency
        )
        return Refusal(
            RefusalReason.RATE_LIMITED, max(MIN_RETRY_MS, int(retry_s * 1000))
        )

    def _choose(
        self,
        candidates: list[fleet.Upstream],
        service: str,
        affinity_key: str,
        max_wait_ms: float,
    ) -> Placement | Refusal:
        """Returns the candidate with the shortest wait, or why it is none."""
        unseen = self._estimate_unseen(candidates)
        if unseen < MIN_UNSEEN_REQUESTS:
            chosen, waiting = self._choose_least_loaded(
                candidates, affinity_key
            )
        else:
            chosen, waiting = self._choose_by_room(
                candidates, affinity_key, unseen
            )
        slots = chosen.slot_count or DEFAULT_SLOTS
        wait_ms = waiting * self._run_times.get_run_ms(service) / slots
        if wait_ms > max_wait_ms:
            retry_ms = wait_ms - max_wait_ms + random.uniform(0, max_wait_ms)
            return Refusal(RefusalReason.FULL, max(MIN_RETRY_MS, int(retry_ms)))
        return Placement(chosen, math.ceil(waiting), wait_ms)

    def _list_admitting(
        self,
        candidates: list[fleet.Upstream],
        service: str,
        urgency: _rate_limits.Urgency,
    ) -> list[fleet.Upstream]:
        """Returns the candidates whose limits admit one more request."""
        unlimited: list[fleet.Upstream] = []
        limited: list[fleet.Upstream] = []
        total_tokens = 0.0
        for upstream in candidates:
            tokens = self._rate_limits.count_tokens(
                upstream.upstream_id, urgency
            )
            if math.isinf(tokens):
                unlimited.append(upstream)
            elif tokens >= 1:
                limited.append(upstream)
                total_tokens += tokens
        if not limited:
            return unlimited
        if not self._rate_limits.may_compete(service, total_tokens):
            return unlimited
        return unlimited + limited

    def _estimate_unseen(self, candidates: list[fleet.Upstream]) -> float:
        """Returns how many requests peers have placed that are not counted."""
        rate_per_s = self._load.estimate_peer_arrivals_per_s(
            [upstream.upstream_id for upstream in candidates]
        )
        return rate_per_s * self._get_message_delay_s()

    def _choose_least_loaded(
        self, candidates: list[fleet.Upstream], affinity_key: str
    ) -> tuple[fleet.Upstream, float]:
        """Returns the best candidate by counts that are up to date.

        A request at a slow upstream weighs as much as those that others would
        have run in its time.

        Returns:
            The candidate, and the number of requests that wait there, in runs
            of average length.
        """
        totals = self._load.sum_counts()
        is_uneven = self._run_times.has_uneven()
        scored: list[tuple[float, float, fleet.Upstream]] = []
        for upstream in candidates:
            counts = totals.get(upstream.upstream_id, _NO_COUNTS)
            slots = upstream.slot_count or DEFAULT_SLOTS
            waiting: float = max(0, counts.online + 1 - slots)
            total: float = counts.online + counts.batch
            if is_uneven:
                ratio = self._run_times.get_ratio(upstream.upstream_id)
                waiting *= ratio
                total = (total + 1) * ratio - 1
            scored.append((waiting, total, upstream))
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
        return _choose_by_affinity(least_loaded, affinity_key), least_waiting

    def _choose_by_room(
        self,
        candidates: list[fleet.Upstream],
        affinity_key: str,
        unseen: float,
    ) -> tuple[fleet.Upstream, int]:
        """Draws a candidate as if the unseen requests were placed with it.

        Free slots are filled first, then those of batch items, which are
        preempted, then queues.

        Returns:
            The candidate, and the expected number of requests that wait there.
        """
        totals = self._load.sum_counts()
        above_slots: list[float] = []
        online_above_slots: list[float] = []
        free = 0.0
        is_uneven = self._run_times.has_uneven()
        has_paces = self._paces.has_any()
        for upstream in candidates:
            counts = totals.get(upstream.upstream_id, _NO_COUNTS)
            slots: float = upstream.slot_count or DEFAULT_SLOTS
            if has_paces:
                window = self._paces.limit_slots(upstream, slots)
                # Full windows are passed over, or all are to be used.
                if counts.online + counts.batch < window:
                    slots = window
            online_above_slots.append(counts.online - slots)
            if is_uneven:
                ratio = self._run_times.get_ratio(upstream.upstream_id)
                slots = slots / max(1.0, ratio)
            above_slots.append(counts.online + counts.batch - slots)
            free += max(0, slots - counts.online - counts.batch)
        amount = unseen + 1
        loads = above_slots if free >= amount else online_above_slots
        level = _fill_level.find_fill_level(loads, amount)
        drawn: list[fleet.Upstream] = []
        for index in _fill_level.draw_by_room(loads, level, AFFINITY_DRAWS):
            drawn.append(candidates[index])
        return _choose_by_affinity(drawn, affinity_key), max(0, round(level))

    def list_passed_over(self, service: str) -> list[str]:
        """Returns upstreams that leave though their entries say ready."""
        return self._view.list_passed_over(service)

    def list_batch_slots(
        self, service: str, reserved_slots: int
    ) -> _batch_slots.BatchSlots:
        """Returns the upstream of each free slot, the emptiest first.

        Args:
            service: Service of the items.
            reserved_slots: Slots to leave free at each upstream.
        """
        return _batch_slots.create_batch_slots(
            self._list_free(service, reserved_slots)
        )

    def count_free(self, service: str, reserved_slots: int) -> int:
        """Returns the free slots of all upstreams beyond the reserve."""
        return sum(free for free, _ in self._list_free(service, reserved_slots))

    def _list_free(
        self, service: str, reserved_slots: int
    ) -> list[tuple[int, fleet.Upstream]]:
        """Returns the upstreams that batch may use and their free slots."""
        totals = self._load.sum_counts()
        has_paces = self._paces.has_any()
        rows: list[tuple[int, fleet.Upstream]] = []
        for upstream in self._view.list_ready(service):
            if self._health.is_avoided(upstream.upstream_id):
                continue
            counts = totals.get(upstream.upstream_id, _NO_COUNTS)
            slots = upstream.slot_count or DEFAULT_SLOTS
            free = slots - reserved_slots - counts.online - counts.batch
            if has_paces:
                free = self._paces.limit_batch(upstream, counts, free)
            tokens = self._rate_limits.count_tokens(
                upstream.upstream_id, _rate_limits.Urgency.BATCH
            )
            free = int(min(free, tokens))
            if free > 0:
                rows.append((free, upstream))
        return rows

    def record_send(self, upstream_id: str) -> None:
        """Counts a request or item that is being sent to an upstream."""
        self._rate_limits.record_send(upstream_id)

    def describe_limit(self, upstream_id: str) -> dict[str, object]:
        """Returns what is known of the limit of an upstream, for the log."""
        return self._rate_limits.describe(upstream_id)

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


def _return_zero() -> float:
    return 0.0


def create_placer(
    view: fleet.FleetView,
    load: _load_table.LoadTable,
    health: _upstream_health.UpstreamHealth,
    get_message_delay_s: Callable[[], float] = _return_zero,
    rate_limits: _rate_limits.RateLimits | None = None,
    paces: _upstream_paces.UpstreamPaces | None = None,
    run_times: _run_times.RunTimes | None = None,
) -> Placer:
    """Creates a placer.

    Args:
        view: Upstreams and their states.
        load: Requests in flight of all members.
        health: Upstreams to avoid.
        get_message_delay_s: Returns how old the counts of peers are.
        rate_limits: Request rates that upstreams accept; by default none.
        paces: Windows of starting and recovered upstreams; by default none.
        run_times: How long runs take; by default none is known.
    """
    return Placer(
        view,
        load,
        health,
        get_message_delay_s,
        rate_limits or _rate_limits.create_rate_limits(),
        paces or _upstream_paces.create_upstream_paces(view, load),
        run_times or _run_times.create_run_times(),
    )
