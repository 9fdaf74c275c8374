"""Runs batch items in upstream slots that callers do not use."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging

import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import placement
from siskinmount import results
from siskinmount.gateway import _batch_membership
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _item_client
from siskinmount.gateway import _item_continuation
from siskinmount.gateway import _item_preemptor
from siskinmount.gateway import _item_run
from siskinmount.gateway import _result_writer

_LOGGER = logging.getLogger(__name__)

#: Slots that batch items leave free at each upstream. None: a preemption frees
#: a slot in about 50 ms, a fraction of the latency target of a first event.
RESERVED_SLOTS = 0
#: Maximum number of items started in one step; peers learn of them before the
#: next.
MAX_STARTS_PER_STEP = 2
#: Maximum number of items of a removed route that are given up in one step.
MAX_GIVE_UPS_PER_STEP = 16
#: Minimum time between steps: peers know of the items of a step at the next.
STEP_INTERVAL_S = 0.03
#: Time between removals of the state of closed jobs' items.
CLEANUP_INTERVAL_S = 1.0
#: Longest further wait for a change of load, after a step that started no item.
IDLE_INTERVAL_S = 0.25
#: How long after its retention an item is given up. VMs may have learned of a
#: job at different times, and the platform counts from the first submission.
RETENTION_MARGIN_S = 3.0
#: How long a route may be missing from the document before its items are given
#: up.
ROUTE_REMOVAL_GRACE_S = 5.0


class ItemRunner:
    """Starts runs of items, has them preempted and has results written.

    Attributes:
        stepped_at_s: Monotonic time at which the last step began; 0 before the
            first.
    """

    __slots__ = (
        '_membership',
        '_view',
        '_table',
        '_scheduler',
        '_placer',
        '_load',
        '_health',
        '_client',
        '_metrics',
        '_runs',
        '_preemptor',
        '_result_writer',
        '_continuation',
        '_route_missing_since_s',
        'stepped_at_s',
    )

    def __init__(
        self,
        *,
        membership: _batch_membership.BatchMembership,
        view: fleet.FleetView,
        table: jobs.JobTable,
        scheduler: jobs.ItemScheduler,
        placer: placement.Placer,
        load: placement.LoadTable,
        health: placement.UpstreamHealth,
        client: _item_client.ItemClient,
        result_writer: _result_writer.ResultWriter,
        metrics: _gateway_metrics.GatewayMetrics,
    ) -> None:
        self._membership = membership
        self._view = view
        self._table = table
        self._scheduler = scheduler
        self._placer = placer
        self._load = load
        self._health = health
        self._client = client
        self._metrics = metrics
        self._runs: dict[str, _item_run.ItemRun] = {}
        self._preemptor = _item_preemptor.ItemPreemptor(
            self._runs, view, load, scheduler, metrics, membership.vm
        )
        self._result_writer = result_writer
        self._continuation = _item_continuation.create_item_continuation(
            view, scheduler
        )
        self._route_missing_since_s: dict[str, float] = {}
        self.stepped_at_s = 0.0

    @property
    def running_tags(self) -> set[str]:
        """Items that run here."""
        return set(self._runs)

    @property
    def held_count(self) -> int:
        """Number of items that run here or whose result is being written."""
        return len(self._scheduler.held_tags)

    def cancel_all(self) -> None:
        """Cancels all runs, before the process exits."""
        self._preemptor.cancel_all()

    async def run(self) -> None:
        """Runs items forever."""
        cleaned_up_at_s = trio.current_time()
        start_items = self._metrics.work_times.wrap(
            'items_started', self._start_items
        )
        async with trio.open_nursery() as nursery:
            while True:
                self.stepped_at_s = trio.current_time()
                if not self._has_work():
                    with trio.move_on_after(IDLE_INTERVAL_S):
                        await self._table.wait_changed()
                    continue
                self._preemptor.cancel_obsolete()
                self._preemptor.preempt_overloaded()
                started = 0
                await self._result_writer.hand_over_pending()
                if self._membership.may_start_items():
                    started = start_items(nursery)
                if trio.current_time() - cleaned_up_at_s > CLEANUP_INTERVAL_S:
                    cleaned_up_at_s = trio.current_time()
                    self._scheduler.forget_closed()
                await trio.sleep(
                    max(STEP_INTERVAL_S, self._membership.get_message_delay_s())
                )
                if started:
                    continue
                with trio.move_on_after(IDLE_INTERVAL_S):
                    await self._load.wait_changed()

    def _has_work(self) -> bool:
        """Returns whether a step may have anything to do."""
        return (
            bool(self._runs)
            or self._scheduler.has_state()
            or self._table.has_open_items()
        )

    def _update_load(self, upstream_id: str) -> None:
        """Updates the load table with the items that run at an upstream."""
        offsets: list[int] = []
        for run in self._runs.values():
            if run.upstream_id == upstream_id:
                offsets.append(run.next_item.job.offset)
        self._load.set_batch(
            upstream_id, len(offsets), max(offsets, default=-1)
        )

    def _start_items(self, nursery: trio.Nursery) -> int:
        """Starts the next items, and returns how many."""
        started = 0
        slots_by_service: dict[str, placement.BatchSlots] = {}
        for next_item in self._scheduler.iterate_next(self.count_free_slots):
            if started >= MAX_STARTS_PER_STEP:
                break
            tag = jobs.make_tag(next_item.job.job_id, next_item.item.item_id)
            route = self._find_route(next_item.job)
            if route is None:
                if self._is_route_removed(next_item.job.route_name):
                    self._start_giving_up(nursery, next_item, tag, 'no route')
                continue
            if self._is_past_retention(next_item.job, route):
                self._start_giving_up(nursery, next_item, tag, 'retention')
                continue
            if self._scheduler.get_progress(tag).is_complete:
                self._start_claimed(
                    nursery,
                    next_item,
                    tag,
                    self._result_writer.write_complete,
                    next_item,
                    tag,
                )
                continue
            service = self._continuation.draw_service(next_item, tag, route)
            slots = slots_by_service.get(service)
            if slots is None:
                slots = self._placer.list_batch_slots(service, RESERVED_SLOTS)
                slots_by_service[service] = slots
            upstream = slots.choose(
                next_item.rank,
                self._continuation.list_excluded(
                    next_item,
                    tag,
                    slots.upstreams,
                    self._list_excluded(tag, service),
                ),
            )
            if upstream is None:
                continue
            run = _item_run.ItemRun(next_item, tag, upstream.upstream_id)
            self._runs[tag] = run
            self._scheduler.started_at_s[tag] = trio.current_time()
            self._update_load(upstream.upstream_id)
            self._placer.record_send(upstream.upstream_id)
            self._start_claimed(
                nursery,
                next_item,
                tag,
                self._run_item,
                run,
                route,
                upstream,
            )
            self._log_started(run)
            started += 1
        return started

    def _list_excluded(self, tag: str, service: str) -> set[str]:
        """Returns the upstreams at which an item is not to start now."""
        excluded = self._preemptor.list_recently_preempted()
        progress = self._scheduler.progress.get(tag)
        if progress is None or not progress.failed_upstreams:
            return excluded
        ready = {u.upstream_id for u in self._view.list_ready(service)}
        if ready <= progress.failed_upstreams:
            progress.failed_upstreams.clear()
        return excluded | progress.failed_upstreams

    def count_free_slots(self, route_name: str) -> int:
        """Returns the free slots of all upstreams of a route.

        For a removed route it returns the number of items that one step may
        give up, as they need no slot.
        """
        document = self._view.document
        route = document.find_route_by_name(route_name) if document else None
        if route is None:
            return MAX_GIVE_UPS_PER_STEP
        free = 0
        for share in route.shares:
            free += self._placer.count_free(share.service, RESERVED_SLOTS)
        return free

    def _log_started(self, run: _item_run.ItemRun) -> None:
        next_item = run.next_item
        progress = self._scheduler.get_progress(run.tag)
        known_s = trio.current_time() - next_item.job.known_since_s
        upstream = self._view.upstreams.get(run.upstream_id)
        service = upstream.service if upstream is not None else ''
        version = upstream.software_version if upstream is not None else ''
        _LOGGER.info(
            'item_run_started',
            extra={
                'job': next_item.job.job_id,
                'customer': next_item.job.customer,
                'item': next_item.item.item_id,
                'tag': run.tag,
                'upstream': run.upstream_id,
                'software_version': version,
                'because': 'output_kept' if progress.events else 'responsible',
                'members': len(self._membership.list_eligible_members()),
                'has_current_jobs': self._membership.has_current_jobs(),
                'view_age_ms': self._membership.get_view_age_ms(),
                'resumed_from': progress.last_event_id,
                'events': len(progress.events),
                'known_ms': int(known_s * 1000),
                'leaving': self._placer.list_passed_over(service),
            },
        )

    def _find_route(self, job: jobs.Job) -> fleet.FleetRoute | None:
        """Returns a job's route in the current document, if there is one."""
        document = self._view.document
        if document is None:
            return None
        return document.find_route_by_name(job.route_name)

    def _is_route_removed(self, route_name: str) -> bool:
        """Returns whether a route has been missing for the grace time."""
        document = self._view.document
        if document is None or document.find_route_by_name(route_name):
            self._route_missing_since_s.pop(route_name, None)
            return False
        now_s = trio.current_time()
        since_s = self._route_missing_since_s.setdefault(route_name, now_s)
        return now_s - since_s > ROUTE_REMOVAL_GRACE_S

    def _start_giving_up(
        self,
        nursery: trio.Nursery,
        next_item: jobs.NextItem,
        tag: str,
        reason: str,
    ) -> None:
        self._start_claimed(
            nursery,
            next_item,
            tag,
            self._result_writer.write_given_up,
            next_item,
            tag,
            reason,
        )

    def _start_claimed(
        self,
        nursery: trio.Nursery,
        next_item: jobs.NextItem,
        tag: str,
        work: Callable[..., Awaitable[None]],
        *args: object,
    ) -> None:
        """Claims an item and starts work on it."""
        self._scheduler.held_tags.add(tag)
        nursery.start_soon(self._work_claimed, next_item, tag, work, *args)

    async def _work_claimed(
        self,
        next_item: jobs.NextItem,
        tag: str,
        work: Callable[..., Awaitable[None]],
        *args: object,
    ) -> None:
        """Works on an item, and gives up the claim however that ends.

        A fault of the program delays this item and does not restart the runner,
        which would cancel all other runs.
        """
        try:
            await work(*args)
        except Exception:
            _LOGGER.exception(
                'item_task_failed',
                extra={
                    'code': int(results.ResultCode.INVARIANT_BROKEN),
                    'job': next_item.job.job_id,
                    'customer': next_item.job.customer,
                    'item': next_item.item.item_id,
                    'tag': tag,
                },
            )
            progress = self._scheduler.get_progress(tag)
            progress.lost_runs += 1
            progress.back_off(progress.lost_runs)
        finally:
            self._scheduler.release(tag)

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
        """Runs an item once, and then writes, gives up or reschedules it."""
        next_item = run.next_item
        progress = self._scheduler.get_progress(run.tag)
        began_at_s = trio.current_time()
        resumed_from = progress.last_event_id
        outcome = _item_client.RunOutcome.CANCELLED
        reason = 'cut'
        try:
            with run.scope:
                outcome, reason = await self._client.run(
                    run.next_item, progress, upstream
                )
        finally:
            del self._runs[run.tag]
            if progress.last_event_id != resumed_from:
                progress.kept_since_s = trio.current_time()
            self._update_load(upstream.upstream_id)
        self._metrics.item_runs.increment(outcome.value)
        _LOGGER.info(
            'item_run_ended',
            extra={
                'job': next_item.job.job_id,
                'customer': next_item.job.customer,
                'item': next_item.item.item_id,
                'upstream': upstream.upstream_id,
                'outcome': outcome.value,
                'reason': reason,
                'resumed_from': resumed_from,
                'events': len(progress.events),
                'failed_attempts': progress.failed_attempts,
                'took_ms': int((trio.current_time() - began_at_s) * 1000),
            },
        )
        if outcome is _item_client.RunOutcome.DONE:
            self._health.record_success(upstream.upstream_id, began_at_s)
            progress.is_complete = True
            await self._result_writer.write_complete(next_item, run.tag)
            return
        if outcome is _item_client.RunOutcome.UNPROCESSABLE:
            await self._result_writer.write_given_up(next_item, run.tag, reason)
            return
        if outcome is _item_client.RunOutcome.FAILED:
            progress.failed_upstreams.add(upstream.upstream_id)
            progress.failed_attempts += 1
            if progress.failed_attempts >= route.max_attempts:
                await self._result_writer.write_given_up(
                    next_item, run.tag, reason
                )
                return
            progress.back_off(progress.failed_attempts)
        elif outcome is _item_client.RunOutcome.LOST:
            progress.failed_upstreams.add(upstream.upstream_id)
            progress.lost_runs += 1
            self._health.record_failure(upstream.upstream_id, reason)
            progress.back_off_interrupted()
        elif outcome is _item_client.RunOutcome.ERROR_STATUS:
            progress.failed_upstreams.add(upstream.upstream_id)
            progress.lost_runs += 1
            self._health.record_failure(upstream.upstream_id, reason)
            progress.back_off(progress.lost_runs)
        elif outcome is _item_client.RunOutcome.NOT_RUN:
            progress.back_off(1)
        else:
            progress.not_before_s = (
                trio.current_time() + _item_preemptor.PREEMPTION_BACKOFF_S
            )


def create_item_runner(
    *,
    membership: _batch_membership.BatchMembership,
    view: fleet.FleetView,
    table: jobs.JobTable,
    scheduler: jobs.ItemScheduler,
    placer: placement.Placer,
    load: placement.LoadTable,
    health: placement.UpstreamHealth,
    client: _item_client.ItemClient,
    result_writer: _result_writer.ResultWriter,
    metrics: _gateway_metrics.GatewayMetrics,
) -> ItemRunner:
    """Creates a runner without runs.

    Args:
        membership: Tracks whether this member may start items.
        view: Routes and upstreams.
        table: All jobs.
        scheduler: Determines which items are next.
        placer: Chooses upstreams.
        load: Counts requests in flight per upstream.
        health: Records failures and successes of upstreams.
        client: Sends items to upstreams.
        result_writer: Writes results to the log.
        metrics: Counters of the gateway.
    """
    return ItemRunner(
        membership=membership,
        view=view,
        table=table,
        scheduler=scheduler,
        placer=placer,
        load=load,
        health=health,
        client=client,
        result_writer=result_writer,
        metrics=metrics,
    )
