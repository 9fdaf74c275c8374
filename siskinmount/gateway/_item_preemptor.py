"""Preempts batch runs at full upstreams and cancels obsolete runs."""

import logging

import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import placement
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _item_run

_LOGGER = logging.getLogger(__name__)

#: Minimum time between two preemptions at one upstream, so that peers see the
#: first before the second.
PREEMPTION_INTERVAL_S = 0.06
#: Time after a preemption in which no item starts at that upstream and the
#: preempted item does not run: a burst of callers lasts a while, and each new
#: run would be preempted again.
PREEMPTION_BACKOFF_S = 0.25


class ItemPreemptor:
    """Cancels runs of batch items; the item runner decides what follows."""

    __slots__ = (
        '_runs',
        '_view',
        '_load',
        '_scheduler',
        '_metrics',
        '_member',
        '_preempted_at_s',
    )

    def __init__(
        self,
        runs: dict[str, _item_run.ItemRun],
        view: fleet.FleetView,
        load: placement.LoadTable,
        scheduler: jobs.ItemScheduler,
        metrics: _gateway_metrics.GatewayMetrics,
        member: str,
    ) -> None:
        self._runs = runs
        self._view = view
        self._load = load
        self._scheduler = scheduler
        self._metrics = metrics
        self._member = member
        self._preempted_at_s: dict[str, float] = {}

    def cancel_all(self) -> None:
        """Cancels all runs, before the process exits."""
        for run in list(self._runs.values()):
            run.scope.cancel()

    def cancel_obsolete(self) -> None:
        """Cancels runs whose output is not needed any more.

        That is so when the job has ended, when the result of the item has been
        written, or when another member has handed over more of its output.
        """
        for run in list(self._runs.values()):
            job = run.next_item.job
            is_open = run.next_item.item.item_id in job.open_items
            is_superseded = run.tag in self._scheduler.handovers
            if job.is_ended or not is_open or is_superseded:
                run.scope.cancel()

    def preempt_overloaded(self) -> None:
        """Cancels a batch run where upstreams have more requests than slots."""
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
            excess = total.online + total.batch - slots
            if excess <= 0:
                continue
            since_s = now_s - self._preempted_at_s.get(
                upstream_id, float('-inf')
            )
            if since_s < PREEMPTION_INTERVAL_S:
                continue
            # All members see the same counts and preempt at the same time: as
            # many items as there are too many requests, the newest first.
            newer = self._load.count_newer_batch(
                upstream_id, own.newest_job, self._member
            )
            if newer >= excess:
                continue
            run = self._choose_victim(upstream_id)
            if run is None:
                continue
            self._preempted_at_s[upstream_id] = now_s
            self._metrics.preemptions.increment()
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

    def list_recently_preempted(self) -> set[str]:
        """Returns upstreams whose last preemption was a moment ago.

        See `PREEMPTION_BACKOFF_S`.
        """
        limit_s = trio.current_time() - PREEMPTION_BACKOFF_S
        preempted: set[str] = set()
        for upstream_id, preempted_at_s in list(self._preempted_at_s.items()):
            if preempted_at_s > limit_s:
                preempted.add(upstream_id)
            else:
                del self._preempted_at_s[upstream_id]
        return preempted

    def _choose_victim(self, upstream_id: str) -> _item_run.ItemRun | None:
        """Returns the run of the newest job with the least progress."""
        best: _item_run.ItemRun | None = None
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
