"""Reports open items that wait for a run, and why this member starts none."""

from collections.abc import Iterator
import enum
import logging

import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import peering
from siskinmount import placement
from siskinmount.gateway import _batch_membership
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _item_runner
from siskinmount.gateway import _result_writer

_LOGGER = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0
#: Time since the last start of an item, or since its job became known, after
#: which the item counts as waiting.
WAIT_THRESHOLD_S = 5.0
#: Factor on the threshold for what many members find of the same item.
SHARED_FINDING_FACTOR = 2
#: Minimum time between two lines on one item.
LINE_INTERVAL_S = 10.0
MAX_LINES_PER_CHECK = 4
#: Number of the oldest open items that one check covers: a check must not delay
#: requests, however many items are open.
MAX_CHECKED_ITEMS = 200


class WaitReason(enum.Enum):
    """Why this member does not start an open item."""

    #: This member claims the item, but does not run it.
    HELD_HERE = 'held_here'

    #: A peer claims the item.
    HELD_BY_PEER = 'held_by_peer'

    #: The last run failed or was preempted a moment ago.
    BACKING_OFF = 'backing_off'

    #: This member may start no items.
    NOT_ELIGIBLE = 'not_eligible'

    #: A peer keeps output of the item and must continue it.
    OUTPUT_KEPT_BY_PEER = 'output_kept_by_peer'

    #: Another member is responsible by hash.
    RESPONSIBLE_ELSEWHERE = 'responsible_elsewhere'

    #: The document has no route for the job.
    ROUTE_MISSING = 'route_missing'

    #: Older items take all free slots, or there are none.
    NO_FREE_SLOT = 'no_free_slot'

    #: Nothing known prevents a start.
    STARTABLE = 'startable'


_SHARED_REASONS = frozenset(
    [
        WaitReason.HELD_BY_PEER,
        WaitReason.OUTPUT_KEPT_BY_PEER,
        WaitReason.RESPONSIBLE_ELSEWHERE,
    ]
)


class _OpenItem:
    """What earlier checks saw of an open item.

    Attributes:
        holder: Member that claimed the item at the last check; empty if none.
        held_since_s: Monotonic time at which `holder` was first seen. Counts as
            the start of a run.
        logged_at_s: Monotonic time of the last line on the item.
    """

    __slots__ = ('holder', 'held_since_s', 'logged_at_s')

    def __init__(self) -> None:
        self.holder = ''
        self.held_since_s = float('-inf')
        self.logged_at_s = float('-inf')


class _Finding:
    """Why an item waits.

    Attributes:
        reason: Why this member does not start the item.
        fields: Further fields of the log line.
    """

    __slots__ = ('reason', 'fields')

    def __init__(self, reason: WaitReason, **fields: object) -> None:
        self.reason = reason
        self.fields = fields


class _Check:
    """The state that one check compares all items with.

    Attributes:
        members: Members among which items are divided.
        peer_items: Items that peers hold or keep output of.
        holder_by_tag: Peer that claims an item.
        running_tags: Items that run here.
        queued_by_route: Number of older items that wait for a slot.
        free_by_route: Free slots for a route's items.
    """

    __slots__ = (
        'members',
        'peer_items',
        'holder_by_tag',
        'running_tags',
        'queued_by_route',
        'free_by_route',
    )

    def __init__(
        self,
        members: list[str],
        peer_items: jobs.PeerItems,
        holder_by_tag: dict[str, str],
        running_tags: set[str],
    ) -> None:
        self.members = members
        self.peer_items = peer_items
        self.holder_by_tag = holder_by_tag
        self.running_tags = running_tags
        self.queued_by_route: dict[str, int] = {}
        self.free_by_route: dict[str, int] = {}


class ItemWatch:
    """Checks the oldest open items once a second."""

    __slots__ = (
        '_membership',
        '_directory',
        '_table',
        '_scheduler',
        '_runner',
        '_result_writer',
        '_view',
        '_health',
        '_metrics',
        '_open_items',
    )

    def __init__(
        self,
        *,
        membership: _batch_membership.BatchMembership,
        directory: peering.PeerDirectory,
        table: jobs.JobTable,
        scheduler: jobs.ItemScheduler,
        runner: _item_runner.ItemRunner,
        result_writer: _result_writer.ResultWriter,
        view: fleet.FleetView,
        health: placement.UpstreamHealth,
        metrics: _gateway_metrics.GatewayMetrics,
    ) -> None:
        self._membership = membership
        self._directory = directory
        self._table = table
        self._scheduler = scheduler
        self._runner = runner
        self._result_writer = result_writer
        self._view = view
        self._health = health
        self._metrics = metrics
        self._open_items: dict[str, _OpenItem] = {}

    async def run(self) -> None:
        """Checks forever; a check that fails is logged."""
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            try:
                self.check()
            except Exception:
                # A fault of the report must not restart the gateway.
                _LOGGER.exception('item_check_failed')

    def check(self) -> None:
        """Logs and counts the items that wait."""
        check = self._create_check()
        open_items: dict[str, _OpenItem] = {}
        counts = dict.fromkeys(WaitReason, 0)
        oldest_known_s = now_s = trio.current_time()
        lines = 0
        for next_item in self._iterate_oldest():
            job = next_item.job
            oldest_known_s = min(oldest_known_s, job.known_since_s)
            tag = jobs.make_tag(job.job_id, next_item.item.item_id)
            open_item = self._open_items.get(tag) or _OpenItem()
            open_items[tag] = open_item
            self._update_holder(open_item, tag, check)
            is_queued = self._is_queued(tag, open_item)
            waiting_s = now_s - max(
                job.known_since_s,
                open_item.held_since_s,
                self._scheduler.started_at_s.get(tag, float('-inf')),
            )
            if waiting_s > WAIT_THRESHOLD_S and tag not in check.running_tags:
                finding = self._find_reason(next_item, tag, open_item, check)
                counts[finding.reason] += 1
                if lines < MAX_LINES_PER_CHECK and _is_line_due(
                    open_item, finding.reason, waiting_s
                ):
                    lines += 1
                    open_item.logged_at_s = now_s
                    self._log(next_item, tag, waiting_s, finding)
            if is_queued:
                queued = check.queued_by_route.get(job.route_name, 0)
                check.queued_by_route[job.route_name] = queued + 1
        self._open_items = open_items
        for reason, count in counts.items():
            self._metrics.items_waiting.set(count, reason.value)
        self._metrics.oldest_open_item.set(now_s - oldest_known_s)

    def _create_check(self) -> _Check:
        holder_by_tag: dict[str, str] = {}
        self._directory.list_live()
        for tag, holders in self._directory.claims.holders_by_tag.items():
            holder_by_tag[tag] = holders[-1]
        return _Check(
            self._membership.list_eligible_members(),
            self._membership.list_peer_items(),
            holder_by_tag,
            self._runner.running_tags,
        )

    def _iterate_oldest(self) -> Iterator[jobs.NextItem]:
        """Yields the oldest open items, at most `MAX_CHECKED_ITEMS`."""
        count = 0
        for job in self._table.list_open():
            for item in job.open_items.values():
                if count >= MAX_CHECKED_ITEMS:
                    return
                count += 1
                yield jobs.NextItem(job, item)

    def _update_holder(
        self, open_item: _OpenItem, tag: str, check: _Check
    ) -> None:
        """Records who claims an item, and since when."""
        if tag in self._scheduler.held_tags:
            holder = self._membership.vm
        else:
            holder = check.holder_by_tag.get(tag, '')
        if holder != open_item.holder:
            open_item.holder = holder
            if holder:
                open_item.held_since_s = trio.current_time()

    def _is_queued(self, tag: str, open_item: _OpenItem) -> bool:
        """Returns whether an item takes a slot as soon as there is one."""
        return not open_item.holder and self._get_backoff_s(tag) <= 0

    def _get_backoff_s(self, tag: str) -> float:
        progress = self._scheduler.progress.get(tag)
        if progress is None:
            return 0.0
        return progress.not_before_s - trio.current_time()

    def _find_reason(
        self,
        next_item: jobs.NextItem,
        tag: str,
        open_item: _OpenItem,
        check: _Check,
    ) -> _Finding:
        """Returns why this member does not start an item.

        The order is that in which the scheduler and the runner decide, except
        that free slots come last: then only the member that would start the
        item reports that there are none.
        """
        if open_item.holder:
            return self._find_holder(tag, open_item)
        backoff_s = self._get_backoff_s(tag)
        if backoff_s > 0:
            return _Finding(
                WaitReason.BACKING_OFF, backoff_ms=int(backoff_s * 1000)
            )
        obstacle = self._membership.find_obstacle()
        if (
            self._membership.vm not in check.members
            or not self._membership.may_start_items()
        ):
            return _Finding(
                WaitReason.NOT_ELIGIBLE,
                obstacle=obstacle.value if obstacle else None,
                view_age_ms=self._membership.get_view_age_ms(),
                responsible=self._scheduler.get_responsible(tag, check.members),
            )
        if not self._scheduler.is_own(tag, check.peer_items, check.members):
            return self._find_owner(tag, check)
        return self._find_placement(next_item.job, tag, check)

    def _find_holder(self, tag: str, open_item: _OpenItem) -> _Finding:
        """Returns who claims an item, and what for if it is this member."""
        held_s = round(trio.current_time() - open_item.held_since_s, 1)
        if open_item.holder != self._membership.vm:
            return _Finding(
                WaitReason.HELD_BY_PEER,
                held_s=held_s,
                **self._describe_peer(open_item.holder),
            )
        activity = 'none'
        if tag in self._result_writer.handing_over_tags:
            activity = 'handover'
        elif tag in self._result_writer.writing_tags:
            activity = 'write'
        return _Finding(WaitReason.HELD_HERE, held_s=held_s, activity=activity)

    def _find_owner(self, tag: str, check: _Check) -> _Finding:
        """Returns the member that must start an item instead of this one."""
        keeper = check.peer_items.output_holder_by_tag.get(tag)
        if keeper is not None:
            return _Finding(
                WaitReason.OUTPUT_KEPT_BY_PEER, **self._describe_peer(keeper)
            )
        responsible = self._scheduler.get_responsible(tag, check.members)
        return _Finding(
            WaitReason.RESPONSIBLE_ELSEWHERE, **self._describe_peer(responsible)
        )

    def _describe_peer(self, member: str) -> dict[str, object]:
        """Returns the fields that tell what this member knows of a peer."""
        peer = self._directory.peers.get(member)
        if peer is None or peer.message is None:
            return {'peer': member, 'peer_heard_ms': None}
        heard_s = trio.current_time() - peer.heard_at_s
        return {
            'peer': member,
            'peer_heard_ms': int(heard_s * 1000),
            'peer_knows_jobs': peer.message.knows_jobs,
        }

    def _find_placement(
        self, job: jobs.Job, tag: str, check: _Check
    ) -> _Finding:
        """Returns what prevents the start of an item of this member."""
        document = self._view.document
        route = None
        if document is not None:
            route = document.find_route_by_name(job.route_name)
        if route is None:
            return _Finding(WaitReason.ROUTE_MISSING, route=job.route_name)
        free_slots = check.free_by_route.get(job.route_name)
        if free_slots is None:
            free_slots = self._runner.count_free_slots(job.route_name)
            check.free_by_route[job.route_name] = free_slots
        queued_before = check.queued_by_route.get(job.route_name, 0)
        if queued_before < free_slots:
            step_s = trio.current_time() - self._runner.stepped_at_s
            return _Finding(
                WaitReason.STARTABLE,
                free_slots=free_slots,
                queued_before=queued_before,
                runner_step_ms=int(step_s * 1000),
            )
        ready = 0
        avoided = 0
        for share in route.shares:
            for upstream in self._view.list_ready(share.service):
                ready += 1
                if self._health.is_avoided(upstream.upstream_id):
                    avoided += 1
        return _Finding(
            WaitReason.NO_FREE_SLOT,
            free_slots=free_slots,
            queued_before=queued_before,
            upstreams_ready=ready,
            upstreams_avoided=avoided,
        )

    def _log(
        self,
        next_item: jobs.NextItem,
        tag: str,
        waiting_s: float,
        finding: _Finding,
    ) -> None:
        progress = self._scheduler.progress.get(tag)
        known_s = trio.current_time() - next_item.job.known_since_s
        _LOGGER.info(
            'item_waiting',
            extra={
                'job': next_item.job.job_id,
                'customer': next_item.job.customer,
                'item': next_item.item.item_id,
                'tag': tag,
                'waiting_s': round(waiting_s, 1),
                'known_s': round(known_s, 1),
                'reason': finding.reason.value,
                'own_events': len(progress.events) if progress else 0,
                'own_complete': progress.is_complete if progress else False,
                **finding.fields,
            },
        )


def _is_line_due(
    open_item: _OpenItem, reason: WaitReason, waiting_s: float
) -> bool:
    """Returns whether an item that waits is to be logged now."""
    if trio.current_time() - open_item.logged_at_s < LINE_INTERVAL_S:
        return False
    if reason in _SHARED_REASONS:
        return waiting_s > WAIT_THRESHOLD_S * SHARED_FINDING_FACTOR
    return True


def create_item_watch(
    *,
    membership: _batch_membership.BatchMembership,
    directory: peering.PeerDirectory,
    table: jobs.JobTable,
    scheduler: jobs.ItemScheduler,
    runner: _item_runner.ItemRunner,
    result_writer: _result_writer.ResultWriter,
    view: fleet.FleetView,
    health: placement.UpstreamHealth,
    metrics: _gateway_metrics.GatewayMetrics,
) -> ItemWatch:
    """Creates a watch that has seen no items.

    Args:
        membership: Tracks whether this member may start items.
        directory: The other members.
        table: All jobs.
        scheduler: Determines which items are next.
        runner: Runs items.
        result_writer: Writes results and hands over output.
        view: Routes and upstreams.
        health: Determines which upstreams are avoided.
        metrics: Gauges of the gateway.
    """
    return ItemWatch(
        membership=membership,
        directory=directory,
        table=table,
        scheduler=scheduler,
        runner=runner,
        result_writer=result_writer,
        view=view,
        health=health,
        metrics=metrics,
    )
