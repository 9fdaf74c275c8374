"""Pulls batch items from the entries and runs them in idle slots."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging

import trio

from siskinmount import batch
from siskinmount import results
from siskinmount.sidecar import _batch_item
from siskinmount.sidecar import _entry_link
from siskinmount.sidecar import _gate
from siskinmount.sidecar import _item_report
from siskinmount.sidecar import _report_queue
from siskinmount.sidecar import _request_registry
from siskinmount.sidecar import _running_request
from siskinmount.sidecar import _upstream_monitor

_LOGGER = logging.getLogger(__name__)

PULL_WAIT_MS = 2000
RETRY_DELAY_S = 0.5
BACKLOG_CHECK_INTERVAL_S = 0.1
RECONCILE_INTERVAL_S = 0.5
MAX_HOLD_S = 5.0
IDLE_WINDOW_S = 10.0
RENEWALS_PER_LEASE = 3
MIN_RENEW_INTERVAL_S = 0.2
#: Renewal replies carry cancellations, so renewals must be frequent.
MAX_RENEW_INTERVAL_S = 1.0
MAX_PENDING_REPORTS = 1000
RETURN_TIMEOUT_S = 5.0
SUSPECT_RETURN_DELAY_S = 3.0

ListEntries = Callable[[], list[_entry_link.EntryPeer]]
RunRequest = Callable[[_running_request.RunningRequest], Awaitable[None]]
StartTask = Callable[..., None]
CreateLink = Callable[[_entry_link.EntryPeer], _entry_link.EntryLink]


class BatchPuller:
    """Pulls batch items from the entries, runs them and reports on them.

    The puller prefetches a few more items than run, so that a slot that
    becomes free is filled without a round trip to an entry.

    Attributes:
        reports: Reports that no entry has accepted yet.
        pulled_count: Items pulled, in total.
        done_count: Items with a complete answer, in total.
        yielded_count: Items returned to their entry, in total.
    """

    __slots__ = (
        'reports',
        'pulled_count',
        'done_count',
        'yielded_count',
        '_gate',
        '_registry',
        '_monitor',
        '_run',
        '_list_entries',
        '_create_link',
        '_start_task',
        '_has_backlog',
        '_items',
        '_entry_vms',
        '_links',
        '_outstanding_credit',
        '_last_idle_at_s',
        '_changed',
        '_leaving',
    )

    def __init__(
        self,
        *,
        gate: _gate.Gate,
        registry: _request_registry.RequestRegistry,
        monitor: _upstream_monitor.UpstreamMonitor,
        run: RunRequest,
        list_entries: ListEntries,
        create_link: CreateLink,
        start_task: StartTask,
        has_backlog: Callable[[str], bool] = lambda vm: True,
    ) -> None:
        self.reports = _report_queue.ReportQueue()
        self.pulled_count = 0
        self.done_count = 0
        self.yielded_count = 0
        self._gate = gate
        self._registry = registry
        self._monitor = monitor
        self._run = run
        self._list_entries = list_entries
        self._create_link = create_link
        self._start_task = start_task
        self._has_backlog = has_backlog
        self._items: dict[_batch_item.ItemKey, _batch_item.BatchItem] = {}
        # VM of the entry that gets each held item's renewals and report.
        self._entry_vms: dict[_batch_item.ItemKey, str] = {}
        self._links: dict[str, trio.CancelScope] = {}
        self._outstanding_credit = 0
        self._last_idle_at_s = -IDLE_WINDOW_S
        self._changed = trio.Event()
        self._leaving = False

    @property
    def held_count(self) -> int:
        """Number of items that are held here, running or not."""
        return len(self._items)

    async def run(self) -> None:
        """Serves all entries.

        Returns once the sidecar is leaving and no item or report is left.
        """
        self._links.clear()
        async with trio.open_nursery() as nursery:
            while not (self._leaving and self._is_drained()):
                self._reconcile_links(nursery)
                self._return_overdue_items()
                with trio.move_on_after(RECONCILE_INTERVAL_S):
                    await self._changed.wait()
            nursery.cancel_scope.cancel()

    def begin_leaving(self) -> None:
        """Stops pulling and returns the items that have not ended."""
        self._leaving = True
        for item in self._items.values():
            self._return_item(item, _running_request.StopReason.LEAVING)
        self._notify()

    async def wait_drained(self) -> None:
        """Returns once no item is held and every report is accepted.

        Returns after `RETURN_TIMEOUT_S` in any case, as no entry may be
        reachable.
        """
        with trio.move_on_after(RETURN_TIMEOUT_S):
            while not self._is_drained():
                await self._wait_changed()

    def _is_drained(self) -> bool:
        return not self._items and not len(self.reports)

    def _notify(self) -> None:
        """Wakes all tasks that wait for a change."""
        self._changed.set()
        self._changed = trio.Event()

    async def _wait_changed(self) -> None:
        await self._changed.wait()

    def _reconcile_links(self, nursery: trio.Nursery) -> None:
        """Starts links to new entries and stops those to removed entries."""
        peers = {peer.vm: peer for peer in self._list_entries()}
        for vm, peer in peers.items():
            if vm not in self._links:
                scope = trio.CancelScope()
                self._links[vm] = scope
                nursery.start_soon(self._run_link, peer, scope)
        for vm in list(self._links):
            if vm not in peers:
                self._links.pop(vm).cancel()
        if self._links:
            self._reassign_orphaned()

    def _reassign_orphaned(self) -> None:
        """Assigns items and reports of removed entries to a present entry."""
        successor_vm = min(self._links)
        for vm in self.reports.list_vms():
            if vm not in self._links:
                self.reports.move(vm, successor_vm)
        for key, vm in self._entry_vms.items():
            if vm not in self._links:
                self._entry_vms[key] = successor_vm

    async def _run_link(
        self, peer: _entry_link.EntryPeer, scope: trio.CancelScope
    ) -> None:
        """Pulls, renews and reports at one entry until it is removed."""
        link = self._create_link(peer)
        with scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._pull_forever, link)
                nursery.start_soon(self._renew_forever, link)
                nursery.start_soon(self._report_forever, link)
        link.close()

    async def _pull_forever(self, link: _entry_link.EntryLink) -> None:
        """Pulls items from one entry whenever slots are idle."""
        has_items = False
        while True:
            await self._monitor.became_reachable.wait()
            needed = self._count_needed()
            if needed < 1:
                with trio.move_on_after(RECONCILE_INTERVAL_S):
                    await self._gate.wait_change()
                continue
            # Heartbeat replies tell which entries have items, so an idle fleet
            # sends no pull requests.
            if not has_items and not self._has_backlog(link.vm):
                await trio.sleep(BACKLOG_CHECK_INTERVAL_S)
                continue
            # An entry that had no items last time is asked for one item only,
            # which leaves the credit to the other entries.
            credit = needed if has_items else 1
            wait_ms = 0 if has_items else PULL_WAIT_MS
            requested_at_s = trio.current_time()
            pulled = await self._pull(link, credit, wait_ms, has_items)
            if isinstance(pulled, results.Failure):
                has_items = False
                await trio.sleep(RETRY_DELAY_S)
                continue
            has_items = bool(pulled)
            for each in pulled:
                self._accept(each, link.vm, requested_at_s)

    async def _pull(
        self,
        link: _entry_link.EntryLink,
        credit: int,
        wait_ms: int,
        reserves_credit: bool,
    ) -> list[batch.PulledItem] | results.Failure:
        """Pulls items from one entry.

        Credit that is reserved meanwhile is not requested from other entries.
        """
        reserved = credit if reserves_credit else 0
        self._outstanding_credit += reserved
        try:
            return await link.pull(credit, wait_ms)
        finally:
            self._outstanding_credit -= reserved

    def _count_needed(self) -> int:
        """Returns how many more items to pull."""
        if self._leaving or len(self.reports) >= MAX_PENDING_REPORTS:
            return 0
        now_s = trio.current_time()
        idle = self._gate.count_idle_batch_slots()
        if idle:
            self._last_idle_at_s = now_s
        batch_running = self._gate.load.batch_running
        spare = 0
        if now_s - self._last_idle_at_s < IDLE_WINDOW_S or batch_running:
            spare = max(1, self._gate.load.slots // 2)
        waiting = len(self._items) - batch_running
        return idle + spare - waiting - self._outstanding_credit

    def _accept(
        self, pulled: batch.PulledItem, vm: str, requested_at_s: float
    ) -> None:
        """Holds a pulled item, or queues a failure report if it is invalid."""
        item = _batch_item.create_item(pulled)
        if isinstance(item, batch.ItemReport):
            self.reports.add(vm, item)
            return
        item.extend_lease(requested_at_s)
        self._hold(item, vm)

    def _hold(self, item: _batch_item.BatchItem, vm: str) -> None:
        """Adds an item and starts its task."""
        self.pulled_count += 1
        held = self._items.get(item.key)
        if held is not None:
            # The earlier lease has expired; its run continues under this one.
            held.lease = item.lease
            held.attempt = item.attempt
            held.leased_until_s = item.leased_until_s
            self._entry_vms[item.key] = vm
            return
        self._items[item.key] = item
        self._entry_vms[item.key] = vm
        self._start_task(self._run_item, item)
        self._notify()

    async def _run_item(self, item: _batch_item.BatchItem) -> None:
        """Runs an item, resuming it after preemption, and reports on it."""
        while True:
            running = self._registry.add(item.create_request())
            if isinstance(running, results.Failure):
                break
            item.running = running
            item.held_since_s = trio.current_time()
            await self._run(running)
            running.fully_read = True
            item.was_sent = item.was_sent or running.sent_to_upstream
            if _was_refused_as_suspect(running):
                # An item that is returned at once may be handed out to this
                # sidecar again at once.
                await trio.sleep(SUSPECT_RETURN_DELAY_S)
            if _is_of_other_version(running):
                if not item.idempotent:
                    # Returned at once, it may come back at once.
                    await trio.sleep(SUSPECT_RETURN_DELAY_S)
                    break
                item.set_resume_tokens([], '')
                continue
            if not self._may_resume(item):
                break
            item.set_resume_tokens(
                running.collect_tokens(), running.software_version
            )
        self._finish(item)

    def _may_resume(self, item: _batch_item.BatchItem) -> bool:
        """Returns whether an item that yielded its slot is resumed here."""
        running = item.running
        if running is None or running.failure is None:
            return False
        yielded = running.failure.code is results.ResultCode.BATCH_YIELDED
        if not yielded or item.cancelled:
            return False
        if item.return_requested or self._leaving:
            return False
        return item.may_continue

    def _finish(self, item: _batch_item.BatchItem) -> None:
        """Queues the report on an item and drops the item."""
        report = _item_report.create_report(item)
        if report.outcome is batch.ReportedOutcome.DONE:
            self.done_count += 1
        if report.outcome is batch.ReportedOutcome.YIELDED:
            self.yielded_count += 1
        del self._items[item.key]
        vm = self._entry_vms.pop(item.key)
        self.reports.add(vm, report)
        self._notify()

    def _return_item(
        self,
        item: _batch_item.BatchItem,
        reason: _running_request.StopReason,
    ) -> None:
        """Requests the return of an item and stops its run.

        A non-idempotent item that has reached the upstream runs to its end.
        """
        item.return_requested = True
        running = item.running
        if running is None:
            return
        if item.idempotent or not running.sent_to_upstream:
            running.stop(reason)

    def _return_overdue_items(self) -> None:
        """Returns items that have waited too long for a slot."""
        limit_s = trio.current_time() - MAX_HOLD_S
        for item in self._items.values():
            running = item.running
            if running is None or running.sent_to_upstream:
                continue
            if item.held_since_s < limit_s:
                self._return_item(item, _running_request.StopReason.PREEMPTED)

    def _cancel(self, names: list[batch.ItemName]) -> None:
        """Stops items that were cancelled."""
        for name in names:
            item = self._items.get(_batch_item.ItemKey(name.job, name.index))
            if item is None:
                continue
            item.cancelled = True
            if item.running is not None:
                item.running.stop(_running_request.StopReason.CANCELLED)

    async def _renew_forever(self, link: _entry_link.EntryLink) -> None:
        """Renews the leases of the items that belong to one entry."""
        while True:
            items = [
                item
                for key, item in self._items.items()
                if self._entry_vms[key] == link.vm
            ]
            if not items:
                await self._wait_changed()
                continue
            lease_ms = min(item.lease_ms for item in items)
            interval_s = lease_ms / 1000 / RENEWALS_PER_LEASE
            await trio.sleep(
                min(MAX_RENEW_INTERVAL_S, max(MIN_RENEW_INTERVAL_S, interval_s))
            )
            held = [item for item in items if item.key in self._items]
            if held:
                await self._renew(link, held)

    async def _renew(
        self, link: _entry_link.EntryLink, items: list[_batch_item.BatchItem]
    ) -> None:
        """Renews leases once, and stops the items that were cancelled.

        The reply says nothing of an item that was leased again meanwhile.
        """
        requested_at_s = trio.current_time()
        requested = [
            batch.LeaseName(item.key.job, item.key.index, item.lease)
            for item in items
        ]
        reply = await link.renew(requested)
        if isinstance(reply, results.Failure):
            _LOGGER.warning(
                'batch_renewal_failed',
                extra={
                    'code': int(reply.code),
                    'entry': link.vm,
                    'reason': reply.reason,
                },
            )
            return
        unchanged: dict[_batch_item.ItemKey, _batch_item.BatchItem] = {}
        for name in requested:
            item = self._items.get(_batch_item.ItemKey(name.job, name.index))
            if item is not None and item.lease == name.lease:
                unchanged[item.key] = item
        self._cancel(
            [
                name
                for name in reply.cancelled
                if _batch_item.ItemKey(name.job, name.index) in unchanged
            ]
        )
        unconfirmed = {
            _batch_item.ItemKey(name.job, name.index)
            for name in reply.unconfirmed
        }
        for key, item in unchanged.items():
            if not item.cancelled and key not in unconfirmed:
                item.extend_lease(requested_at_s)

    async def _report_forever(self, link: _entry_link.EntryLink) -> None:
        """Delivers reports to one entry, each until it is accepted."""
        while True:
            reports = await self.reports.wait_next(link.vm)
            reply = await link.report(reports)
            if isinstance(reply, results.Failure):
                await trio.sleep(RETRY_DELAY_S)
                continue
            self.reports.acknowledge(link.vm, reports, reply.accepted)
            self._cancel(reply.cancelled)
            self._notify()
            if not all(reply.accepted):
                await trio.sleep(RETRY_DELAY_S)


def _is_of_other_version(running: _running_request.RunningRequest) -> bool:
    """Returns whether the tokens to go on after are of another version."""
    failure = running.failure
    if failure is None:
        return False
    return failure.code is results.ResultCode.STREAM_VERSION_UNAVAILABLE


def _was_refused_as_suspect(running: _running_request.RunningRequest) -> bool:
    """Returns whether a run was refused because an upstream crashed on it."""
    failure = running.failure
    return (
        failure is not None
        and failure.code is results.ResultCode.REQUEST_SUSPECT
    )
