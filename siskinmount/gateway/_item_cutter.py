"""Ends runs of batch items that give way or are of no more use."""

import logging

import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import placement
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _item_run

_LOGGER = logging.getLogger(__name__)

#: Time between two cuts at one upstream: peers must have seen the first.
CUT_INTERVAL_S = 0.06
#: After a cut nothing is begun at an upstream for this long, and the item that
#: was cut waits as long: a burst goes on, and each new run would be cut again.
CROWDED_S = 0.25


class ItemCutter:
    """Chooses runs to cut; who began them goes on from there."""

    __slots__ = (
        '_runs',
        '_view',
        '_load',
        '_scheduler',
        '_metrics',
        '_member',
        '_cut_at_s',
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
        self._cut_at_s: dict[str, float] = {}

    def cut_all(self) -> None:
        """Ends all runs: the process is about to end."""
        for run in list(self._runs.values()):
            run.scope.cancel()

    def cut_useless(self) -> None:
        """Cuts runs that are of no more use.

        Their job has ended, their item is listed, or another member has given
        more of its output.
        """
        for run in list(self._runs.values()):
            job = run.next_item.job
            is_open = run.next_item.item.item_id in job.open_items
            is_overtaken = run.tag in self._scheduler.handovers
            if job.is_ended or not is_open or is_overtaken:
                run.scope.cancel()

    def cut_crowded(self) -> None:
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

    def list_crowded(self) -> set[str]:
        """Returns the upstreams where a run was cut a moment ago."""
        limit_s = trio.current_time() - CROWDED_S
        crowded: set[str] = set()
        for upstream_id, cut_at_s in list(self._cut_at_s.items()):
            if cut_at_s > limit_s:
                crowded.add(upstream_id)
            else:
                del self._cut_at_s[upstream_id]
        return crowded

    def _choose_cut(self, upstream_id: str) -> _item_run.ItemRun | None:
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
