"""Runs batch items in the slots that callers leave free."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging

import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import placement
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _item_exchange

_LOGGER = logging.getLogger(__name__)

#: Slots that batch items leave free at each upstream. A cut frees a slot in
#: some 50 ms, a fraction of the objective of a first event, so none is kept.
RESERVED_SLOTS = 0
#: Items begun in one step; peers learn of them before the next.
STARTS_A_STEP = 2
#: Items of a route that is gone that are given up in one step.
GIVEN_UP_A_STEP = 16
#: Time between steps: about what a message to all peers takes.
STEP_S = 0.03
#: Time between looks for what need not be remembered any more.
FORGET_INTERVAL_S = 1.0
#: Time between steps when nothing has changed.
IDLE_STEP_S = 0.25
#: Time between two cuts at one upstream: peers must have seen the first.
CUT_INTERVAL_S = 0.06
#: After a cut nothing is begun at an upstream for this long, and the item that
#: was cut waits as long: a burst goes on, and each new run would be cut again.
CROWDED_S = 0.25
#: How long a result waits for the store before it is given to a member that
#: reaches it: an append takes milliseconds, and half a second on a slow store.
LIST_PATIENCE_S = 0.7
#: How long after its retention an item is given up. VMs may have known a job
#: for different times, and the platform counts from the first submission.
RETENTION_MARGIN_S = 3.0
#: How long a route may be missing from the document before its items end.
ROUTE_GONE_S = 5.0


class _Run:
    """One run of an item.

    Attributes:
        next_item: The item and its job.
        tag: Short name of the item.
        upstream_id: Where it runs.
        scope: Cancels the run.
    """

    __slots__ = ('next_item', 'tag', 'upstream_id', 'scope')

    def __init__(
        self, next_item: jobs.NextItem, tag: str, upstream_id: str
    ) -> None:
        self.next_item = next_item
        self.tag = tag
        self.upstream_id = upstream_id
        self.scope = trio.CancelScope()


#: Gives output of an item to another member; tells whether it was taken.
HandOver = Callable[[str, jobs.ItemProgress, str], Awaitable[bool]]


class ItemRunner:
    """Begins, cuts and lists runs of items."""

    __slots__ = (
        '_view',
        '_table',
        '_scheduler',
        '_ledger',
        '_placer',
        '_load',
        '_health',
        '_evidence',
        '_exchange',
        '_metrics',
        '_member',
        '_may_begin',
        '_must_hand_over',
        '_list_members',
        '_hand_over',
        '_max_record_bytes',
        '_runs',
        '_cut_at_s',
        '_route_missing_since_s',
    )

    def __init__(
        self,
        *,
        view: fleet.FleetView,
        table: jobs.JobTable,
        scheduler: jobs.ItemScheduler,
        ledger: jobs.JobLedger,
        placer: placement.Placer,
        load: placement.LoadTable,
        health: placement.UpstreamHealth,
        evidence: placement.CrashEvidence,
        exchange: _item_exchange.ItemExchange,
        metrics: _gateway_metrics.GatewayMetrics,
        member: str,
        may_begin: Callable[[], bool],
        must_hand_over: Callable[[], bool],
        list_members: Callable[[], list[str]],
        hand_over: HandOver,
        max_record_bytes: int,
    ) -> None:
        self._view = view
        self._table = table
        self._scheduler = scheduler
        self._ledger = ledger
        self._placer = placer
        self._load = load
        self._health = health
        self._evidence = evidence
        self._exchange = exchange
        self._metrics = metrics
        self._member = member
        self._may_begin = may_begin
        self._must_hand_over = must_hand_over
        self._list_members = list_members
        self._hand_over = hand_over
        self._max_record_bytes = max_record_bytes
        self._runs: dict[str, _Run] = {}
        self._cut_at_s: dict[str, float] = {}
        self._route_missing_since_s: dict[str, float] = {}

    @property
    def held_count(self) -> int:
        """Items that run here or are about to be listed."""
        return len(self._scheduler.held_tags)

    def cut_all(self) -> None:
        """Ends all runs: the process is about to end."""
        for run in list(self._runs.values()):
            run.scope.cancel()

    async def run(self) -> None:
        """Runs items for ever."""
        forgot_at_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            while True:
                self._cut_ended()
                self._cut_crowded()
                begun = 0
                await self._hand_over_kept()
                if self._may_begin():
                    begun = self._begin(nursery)
                if trio.current_time() - forgot_at_s > FORGET_INTERVAL_S:
                    forgot_at_s = trio.current_time()
                    self._scheduler.forget_closed()
                await trio.sleep(STEP_S)
                if begun:
                    continue
                with trio.move_on_after(IDLE_STEP_S):
                    await self._load.wait_changed()

    async def _hand_over_kept(self) -> None:
        """Gives the output of items that wait to the members that go on."""
        if not self._must_hand_over():
            return
        for tag in self._scheduler.list_kept_tags():
            self._scheduler.held_tags.add(tag)
            await self._give_away(tag)
            self._scheduler.adopt(tag)
            self._scheduler.held_tags.discard(tag)

    async def _give_away(self, tag: str) -> None:
        """Gives the output of an item to another member; keeps it if it fails.

        The item stays held meanwhile, so that nobody begins it anew.
        """
        members = [
            member for member in self._list_members() if member != self._member
        ]
        progress = self._scheduler.get_progress(tag)
        if not members or not progress.events:
            return
        member = jobs.choose_member(tag, members)
        if await self._hand_over(tag, progress, member):
            self._scheduler.progress.pop(tag, None)

    def _cut_ended(self) -> None:
        """Cuts runs that are of no more use.

        Their job has ended, their item is listed, or another member has given
        more of its output.
        """
        for run in list(self._runs.values()):
            job = run.next_item.job
            is_open = run.next_item.item.item_id in job.open_items
            is_overtaken = run.tag in self._scheduler.waiting_output
            if job.is_ended or not is_open or is_overtaken:
                run.scope.cancel()

    def _cut_crowded(self) -> None:
        """Cuts a run at each upstream that has more requests than slots."""
        if not self._runs:
            return
        totals = self._load.sum_counts()
        now_s = trio.current_time()
        for upstream_id, own in list(self._load.own.items()):
            upstream = self._view.upstreams.get(upstream_id)
            if upstream is None or not own.batch:
                continue
            slots = upstream.slot_count or placement.DEFAULT_SLOTS
            total = totals[upstream_id]
            if total.online + total.batch <= slots:
                continue
            since_s = now_s - self._cut_at_s.get(upstream_id, float('-inf'))
            if since_s < CUT_INTERVAL_S:
                continue
            newest = self._load.get_newest_peer_job(upstream_id)
            if newest > (own.newest_job, self._member):
                continue
            run = self._choose_cut(upstream_id)
            if run is None:
                continue
            self._cut_at_s[upstream_id] = now_s
            self._metrics.cuts.increment()
            _LOGGER.info(
                'item_cut',
                extra={
                    'job': run.next_item.job.job_id,
                    'item': run.next_item.item.item_id,
                    'upstream': upstream_id,
                    'online': total.online,
                    'batch': total.batch,
                    'slots': slots,
                },
            )
            run.scope.cancel()

    def _count_runs(self, upstream_id: str) -> None:
        """Tells the load table what runs at an upstream."""
        offsets: list[int] = []
        for run in self._runs.values():
            if run.upstream_id == upstream_id:
                offsets.append(run.next_item.job.offset)
        self._load.set_batch(
            upstream_id, len(offsets), max(offsets, default=-1)
        )

    def _choose_cut(self, upstream_id: str) -> _Run | None:
        """Returns the run of the newest job with the least progress."""
        best: _Run | None = None
        best_rank: tuple[int, int] | None = None
        for run in self._runs.values():
            if run.upstream_id != upstream_id or run.scope.cancel_called:
                continue
            progress = self._scheduler.get_progress(run.tag)
            rank = (run.next_item.job.offset, -len(progress.events))
            if best_rank is None or rank > best_rank:
                best = run
                best_rank = rank
        return best

    def _begin(self, nursery: trio.Nursery) -> int:
        """Begins the next items, and returns how many."""
        begun = 0
        full_services: set[str] = set()
        for next_item in self._scheduler.iterate_next(self._count_free_slots):
            if begun >= STARTS_A_STEP:
                break
            tag = jobs.make_tag(next_item.job.job_id, next_item.item.item_id)
            route = self._find_route(next_item.job)
            if route is None:
                if self._is_route_gone(next_item.job.route_name):
                    self._begin_giving_up(nursery, next_item, tag, 'no route')
                continue
            if self._is_past_retention(next_item.job, route):
                self._begin_giving_up(nursery, next_item, tag, 'retention')
                continue
            if self._evidence.is_convicted(tag):
                # It may be given up only when its retention is over.
                continue
            if self._scheduler.get_progress(tag).is_complete:
                self._scheduler.held_tags.add(tag)
                nursery.start_soon(self._list_complete, next_item, tag)
                continue
            service = route.draw_service()
            if service in full_services:
                continue
            upstream = self._placer.place_batch(
                service, RESERVED_SLOTS, self._list_crowded()
            )
            if isinstance(upstream, placement.NoPlace):
                full_services.add(service)
                continue
            run = _Run(next_item, tag, upstream.upstream_id)
            self._runs[tag] = run
            self._scheduler.held_tags.add(tag)
            self._count_runs(upstream.upstream_id)
            nursery.start_soon(self._run_item, run, route, upstream)
            begun += 1
        return begun

    def _list_crowded(self) -> set[str]:
        """Returns the upstreams where a run was cut a moment ago."""
        limit_s = trio.current_time() - CROWDED_S
        crowded: set[str] = set()
        for upstream_id, cut_at_s in self._cut_at_s.items():
            if cut_at_s > limit_s:
                crowded.add(upstream_id)
        return crowded

    def _count_free_slots(self, route_name: str) -> int:
        """Returns the free slots of all upstreams of a route.

        Items of a route that is gone need none: they are given up.
        """
        document = self._view.document
        route = document.find_route_by_name(route_name) if document else None
        if route is None:
            return GIVEN_UP_A_STEP
        free = 0
        for share in route.shares:
            free += self._placer.count_free(share.service, RESERVED_SLOTS)
        return free

    def _find_route(self, job: jobs.Job) -> fleet.FleetRoute | None:
        """Returns the route of a job as it is in force now."""
        document = self._view.document
        if document is None:
            return None
        return document.find_route_by_name(job.route_name)

    def _is_route_gone(self, route_name: str) -> bool:
        """Returns whether a route has been missing for long enough."""
        document = self._view.document
        if document is None or document.find_route_by_name(route_name):
            self._route_missing_since_s.pop(route_name, None)
            return False
        now_s = trio.current_time()
        since_s = self._route_missing_since_s.setdefault(route_name, now_s)
        return now_s - since_s > ROUTE_GONE_S

    def _begin_giving_up(
        self,
        nursery: trio.Nursery,
        next_item: jobs.NextItem,
        tag: str,
        reason: str,
    ) -> None:
        self._scheduler.held_tags.add(tag)
        nursery.start_soon(self._give_up, next_item, tag, reason)

    def _is_past_retention(
        self, job: jobs.Job, route: fleet.FleetRoute
    ) -> bool:
        if not route.retention_s:
            return False
        known_s = trio.current_time() - job.known_since_s
        return known_s > route.retention_s + RETENTION_MARGIN_S

    async def _run_item(
        self, run: _Run, route: fleet.FleetRoute, upstream: fleet.Upstream
    ) -> None:
        """Runs an item once and decides what follows."""
        next_item = run.next_item
        progress = self._scheduler.get_progress(run.tag)
        began_at_s = trio.current_time()
        resumed_from = progress.last_event_id
        end = _item_exchange.RunEnd.CUT
        reason = 'cut'
        try:
            with run.scope:
                end, reason = await self._exchange.run(
                    run.next_item, progress, upstream
                )
        finally:
            del self._runs[run.tag]
            self._count_runs(upstream.upstream_id)
        self._metrics.items.increment(end.value)
        _LOGGER.info(
            'item_run_ended',
            extra={
                'job': next_item.job.job_id,
                'item': next_item.item.item_id,
                'upstream': upstream.upstream_id,
                'outcome': end.value,
                'reason': reason,
                'resumed_from': resumed_from,
                'events': len(progress.events),
                'failed_attempts': progress.failed_attempts,
                'took_ms': int((trio.current_time() - began_at_s) * 1000),
            },
        )
        if end is _item_exchange.RunEnd.DONE:
            self._health.note_success(upstream.upstream_id)
            progress.is_complete = True
            await self._list_complete(next_item, run.tag)
            return
        if end is _item_exchange.RunEnd.IMPOSSIBLE:
            await self._list(next_item, run.tag, jobs.ItemState.GIVEN_UP, '')
            return
        if end is _item_exchange.RunEnd.FAILED:
            progress.failed_attempts += 1
            if progress.failed_attempts >= route.max_attempts:
                await self._list(
                    next_item, run.tag, jobs.ItemState.GIVEN_UP, ''
                )
                return
            progress.pause(progress.failed_attempts)
        elif end is _item_exchange.RunEnd.LOST:
            progress.lost_runs += 1
            self._evidence.note_broken_run(run.tag, upstream.upstream_id)
            self._health.note_failure(upstream.upstream_id, reason)
            progress.pause(progress.lost_runs)
        elif end is _item_exchange.RunEnd.NOT_RUN:
            progress.pause(1)
        else:
            progress.not_before_s = trio.current_time() + CROWDED_S
        self._scheduler.adopt(run.tag)
        self._scheduler.held_tags.discard(run.tag)

    async def _list_complete(self, next_item: jobs.NextItem, tag: str) -> None:
        """Lists an item whose output is whole."""
        output = '\n'.join(self._scheduler.get_progress(tag).events)
        await self._list(next_item, tag, jobs.ItemState.DONE, output)

    async def _give_up(
        self, next_item: jobs.NextItem, tag: str, reason: str
    ) -> None:
        """Lists an item as given up."""
        _LOGGER.warning(
            'item_given_up',
            extra={
                'job': next_item.job.job_id,
                'item': next_item.item.item_id,
                'reason': reason,
            },
        )
        await self._list(next_item, tag, jobs.ItemState.GIVEN_UP, '')

    async def _list(
        self,
        next_item: jobs.NextItem,
        tag: str,
        state: jobs.ItemState,
        output: str,
    ) -> None:
        """Writes a result into the log, however long that takes.

        A member that cannot reach the store leaves the writing to one that can.
        """
        item_id = next_item.item.item_id
        operation = jobs.ListResult(
            next_item.job.job_id,
            jobs.ItemResult(item_id, state, output),
            self._max_record_bytes,
        )
        began_at_s = trio.current_time()
        self._ledger.submit(operation)
        while not operation.finished.is_set():
            with trio.move_on_after(LIST_PATIENCE_S):
                await operation.finished.wait()
            if operation.finished.is_set():
                break
            if state is jobs.ItemState.DONE and self._must_hand_over():
                self._ledger.withdraw(operation)
                await self._give_away(tag)
                break
        self._scheduler.waiting_output.pop(tag, None)
        self._scheduler.held_tags.discard(tag)
        _LOGGER.info(
            'item_listed' if operation.outcome else 'item_not_listed',
            extra={
                'job': next_item.job.job_id,
                'item': item_id,
                'state': state.value,
                'output_bytes': len(output),
                'outcome': str(operation.outcome),
                'took_ms': int((trio.current_time() - began_at_s) * 1000),
            },
        )
