"""Runs batch items in the slots that callers leave free."""

import logging

import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import placement
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _item_cutter
from siskinmount.gateway import _item_exchange
from siskinmount.gateway import _item_lister
from siskinmount.gateway import _item_run
from siskinmount.gateway import _member_duties

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
#: How long after its retention an item is given up. VMs may have known a job
#: for different times, and the platform counts from the first submission.
RETENTION_MARGIN_S = 3.0
#: How long a route may be missing from the document before its items end.
ROUTE_GONE_S = 5.0


class ItemRunner:
    """Begins, cuts and lists runs of items."""

    __slots__ = (
        '_duties',
        '_view',
        '_scheduler',
        '_placer',
        '_load',
        '_health',
        '_evidence',
        '_exchange',
        '_metrics',
        '_runs',
        '_cutter',
        '_lister',
        '_route_missing_since_s',
    )

    def __init__(
        self,
        *,
        duties: _member_duties.MemberDuties,
        view: fleet.FleetView,
        scheduler: jobs.ItemScheduler,
        placer: placement.Placer,
        load: placement.LoadTable,
        health: placement.UpstreamHealth,
        evidence: placement.CrashEvidence,
        exchange: _item_exchange.ItemExchange,
        lister: _item_lister.ItemLister,
        metrics: _gateway_metrics.GatewayMetrics,
    ) -> None:
        self._duties = duties
        self._view = view
        self._scheduler = scheduler
        self._placer = placer
        self._load = load
        self._health = health
        self._evidence = evidence
        self._exchange = exchange
        self._metrics = metrics
        self._runs: dict[str, _item_run.ItemRun] = {}
        self._cutter = _item_cutter.ItemCutter(
            self._runs, view, load, scheduler, metrics, duties.vm
        )
        self._lister = lister
        self._route_missing_since_s: dict[str, float] = {}

    @property
    def held_count(self) -> int:
        """Items that run here or are about to be listed."""
        return len(self._scheduler.held_tags)

    def cut_all(self) -> None:
        """Ends all runs: the process is about to end."""
        self._cutter.cut_all()

    async def run(self) -> None:
        """Runs items for ever."""
        forgot_at_s = trio.current_time()
        async with trio.open_nursery() as nursery:
            while True:
                self._cutter.cut_useless()
                self._cutter.cut_crowded()
                begun = 0
                await self._lister.hand_over_kept()
                if self._duties.may_begin_items():
                    begun = self._begin(nursery)
                if trio.current_time() - forgot_at_s > FORGET_INTERVAL_S:
                    forgot_at_s = trio.current_time()
                    self._scheduler.forget_closed()
                await trio.sleep(STEP_S)
                if begun:
                    continue
                with trio.move_on_after(IDLE_STEP_S):
                    await self._load.wait_changed()

    def _count_runs(self, upstream_id: str) -> None:
        """Tells the load table what runs at an upstream."""
        offsets: list[int] = []
        for run in self._runs.values():
            if run.upstream_id == upstream_id:
                offsets.append(run.next_item.job.offset)
        self._load.set_batch(
            upstream_id, len(offsets), max(offsets, default=-1)
        )

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
                nursery.start_soon(self._lister.list_complete, next_item, tag)
                continue
            service = route.draw_service()
            if service in full_services:
                continue
            upstream = self._placer.place_batch(
                service, RESERVED_SLOTS, self._cutter.list_crowded()
            )
            if isinstance(upstream, placement.RefusalReason):
                full_services.add(service)
                continue
            run = _item_run.ItemRun(next_item, tag, upstream.upstream_id)
            self._runs[tag] = run
            self._scheduler.held_tags.add(tag)
            self._count_runs(upstream.upstream_id)
            nursery.start_soon(self._run_item, run, route, upstream)
            begun += 1
        return begun

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
        nursery.start_soon(self._lister.give_up, next_item, tag, reason)

    def _is_past_retention(
        self, job: jobs.Job, route: fleet.FleetRoute
    ) -> bool:
        if not route.retention_s:
            return False
        known_s = trio.current_time() - job.known_since_s
        return known_s > route.retention_s + RETENTION_MARGIN_S

    async def _run_item(
        self,
        run: _item_run.ItemRun,
        route: fleet.FleetRoute,
        upstream: fleet.Upstream,
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
            await self._lister.list_complete(next_item, run.tag)
            return
        if end is _item_exchange.RunEnd.IMPOSSIBLE:
            await self._lister.give_up(next_item, run.tag, reason)
            return
        if end is _item_exchange.RunEnd.FAILED:
            progress.failed_attempts += 1
            if progress.failed_attempts >= route.max_attempts:
                await self._lister.give_up(next_item, run.tag, reason)
                return
            progress.back_off(progress.failed_attempts)
        elif end is _item_exchange.RunEnd.LOST:
            progress.lost_runs += 1
            self._evidence.note_broken_run(run.tag, upstream.upstream_id)
            self._health.note_failure(upstream.upstream_id, reason)
            progress.back_off(progress.lost_runs)
        elif end is _item_exchange.RunEnd.NOT_RUN:
            progress.back_off(1)
        else:
            progress.not_before_s = trio.current_time() + _item_cutter.CROWDED_S
        self._scheduler.apply_handover(run.tag)
        self._scheduler.held_tags.discard(run.tag)


def create_item_runner(
    *,
    duties: _member_duties.MemberDuties,
    view: fleet.FleetView,
    scheduler: jobs.ItemScheduler,
    placer: placement.Placer,
    load: placement.LoadTable,
    health: placement.UpstreamHealth,
    evidence: placement.CrashEvidence,
    exchange: _item_exchange.ItemExchange,
    lister: _item_lister.ItemLister,
    metrics: _gateway_metrics.GatewayMetrics,
) -> ItemRunner:
    """Creates a runner without items.

    Args:
        duties: Whether this member may begin items.
        view: Routes and upstreams.
        scheduler: Says which items are next.
        placer: Chooses upstreams.
        load: Counts what runs.
        health: Remembers failures of upstreams.
        evidence: Knows items that take upstreams down.
        exchange: Speaks to upstreams.
        lister: Puts results into the log.
        metrics: Counts what happens.
    """
    return ItemRunner(
        duties=duties,
        view=view,
        scheduler=scheduler,
        placer=placer,
        load=load,
        health=health,
        evidence=evidence,
        exchange=exchange,
        lister=lister,
        metrics=metrics,
    )
