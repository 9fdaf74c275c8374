"""Periodic tasks: expires state, drops old jobs, reports lost log lines."""

import logging

import trio

from siskinmount import admission
from siskinmount import fleet
from siskinmount import jobs
from siskinmount import peering
from siskinmount import placement
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.gateway import _batch_membership
from siskinmount.gateway import _eligible_members_watch
from siskinmount.gateway import _gateway_metrics
from siskinmount.gateway import _origin_finder
from siskinmount.gateway import _upstream_clients

_LOGGER = logging.getLogger(__name__)

HOUSEKEEPING_INTERVAL_S = 0.25
#: Interval at which the memory for clients follows what the process itself needs,
#: which grows with the document and the jobs.
BUDGET_UPDATE_INTERVAL_S = 5.0
#: Interval at which the customers with the highest use are found.
TOP_CUSTOMERS_INTERVAL_S = 5.0
#: Factor by which results of a closed job are kept longer than promised, as
#: clocks, and the times at which members learned of the job, differ.
RETENTION_FACTOR = 1.5
#: Maximum number of jobs that a member drops in one step.
MAX_DROPS_PER_STEP = 4


class Housekeeping:
    """Runs the periodic tasks of a gateway."""

    __slots__ = (
        '_membership',
        '_view',
        '_clients',
        '_crash_tracker',
        '_health',
        '_rate_limits',
        '_paces',
        '_run_times',
        '_overdue',
        '_origins',
        '_directory',
        '_members_watch',
        '_table',
        '_ledger',
        '_results_kept_s',
        '_log_handler',
        '_known_upstreams',
        '_metrics',
        '_budget',
        '_counted_refusals',
        '_next_budget_update_s',
        '_quotas',
        '_customers_set_at_s',
    )

    def __init__(
        self,
        *,
        membership: _batch_membership.BatchMembership,
        view: fleet.FleetView,
        clients: _upstream_clients.UpstreamClients,
        crash_tracker: placement.CrashTracker,
        health: placement.UpstreamHealth,
        rate_limits: placement.RateLimits,
        paces: placement.UpstreamPaces,
        run_times: placement.RunTimes,
        overdue: placement.OverdueRuns,
        origins: _origin_finder.OriginFinder,
        directory: peering.PeerDirectory,
        members_watch: _eligible_members_watch.EligibleMembersWatch,
        table: jobs.JobTable,
        ledger: jobs.JobLedger,
        results_kept_s: float,
        log_handler: telemetry.BoundedHandler | None,
        metrics: _gateway_metrics.GatewayMetrics,
        budget: transport.ByteBudget,
        quotas: admission.CustomerQuotas | None = None,
    ) -> None:
        self._membership = membership
        self._view = view
        self._clients = clients
        self._crash_tracker = crash_tracker
        self._health = health
        self._rate_limits = rate_limits
        self._paces = paces
        self._run_times = run_times
        self._overdue = overdue
        self._origins = origins
        self._directory = directory
        self._members_watch = members_watch
        self._table = table
        self._ledger = ledger
        self._results_kept_s = results_kept_s
        self._log_handler = log_handler
        self._metrics = metrics
        self._budget = budget
        self._counted_refusals = dict.fromkeys(transport.ClientRefusal, 0)
        self._next_budget_update_s = 0.0
        self._quotas = quotas
        self._customers_set_at_s = float('-inf')
        self._known_upstreams: dict[str, fleet.Upstream] = {}
        view.add_listener(self._detect_restarts)

    async def run(self) -> None:
        """Runs all tasks every `HOUSEKEEPING_INTERVAL_S`, forever."""
        while True:
            await trio.sleep(HOUSEKEEPING_INTERVAL_S)
            self._view.expire_lapsed()
            self._clients.close_removed()
            self._crash_tracker.expire()
            self._crash_tracker.parts.expire()
            self._metrics.quarantined_parts.set(
                len(self._crash_tracker.parts.list_quarantined())
            )
            self._origins.expire()
            self._rate_limits.expire(set(self._view.upstreams))
            self._metrics.limited_upstreams.set(
                self._rate_limits.count_limited()
            )
            self._paces.expire()
            self._metrics.paced_upstreams.set(self._paces.count_windows())
            self._run_times.expire()
            self._expire_quotas()
            self._drop_expired_jobs()
            self._directory.list_live()
            self._members_watch.check()
            self._report_budget()
            self._report_dropped_lines()

    def _expire_quotas(self) -> None:
        if self._quotas is None:
            return
        self._quotas.expire()
        now_s = trio.current_time()
        if now_s - self._customers_set_at_s >= TOP_CUSTOMERS_INTERVAL_S:
            self._customers_set_at_s = now_s
            self._metrics.set_customers(self._quotas)

    def _detect_restarts(self) -> None:
        """Treats a removed or restarted upstream as one that was down.

        One that had announced that it leaves has not crashed: it interrupts
        runs that last longer than its grace time.
        """
        now_known = dict(self._view.upstreams)
        for upstream_id, earlier in self._known_upstreams.items():
            current = now_known.get(upstream_id)
            if (
                current is not None
                and current.started_at_ms == earlier.started_at_ms
            ):
                continue
            if self._view.is_leaving(earlier):
                self._crash_tracker.forget_interrupted_runs(upstream_id)
            else:
                self._crash_tracker.record_upstream_down(upstream_id)
            self._health.forget(upstream_id)
            self._rate_limits.forget(upstream_id)
            self._overdue.forget(upstream_id)
            self._run_times.forget(upstream_id)
        self._known_upstreams = now_known
        self._paces.apply_listing()

    def _drop_expired_jobs(self) -> None:
        """Drops closed jobs whose retention of results is over."""
        if self._ledger.open_count or not self._membership.has_current_jobs():
            return
        limit_s = trio.current_time() - self._results_kept_s * RETENTION_FACTOR
        members = self._membership.list_eligible_members()
        dropped = 0
        for job in self._table.jobs.values():
            if job.known_since_s > limit_s or dropped >= MAX_DROPS_PER_STEP:
                return
            if job.open_items and not job.is_ended:
                continue
            if jobs.choose_member(job.job_id, members) != self._membership.vm:
                continue
            dropped += 1
            self._ledger.submit(jobs.DropJob(job.job_id))
            _LOGGER.info(
                'job_dropped',
                extra={'job': job.job_id, 'results': len(job.results)},
            )

    def _report_budget(self) -> None:
        """Brings the limit of clients' bytes and its metrics up to date."""
        now_s = trio.current_time()
        if now_s >= self._next_budget_update_s:
            self._next_budget_update_s = now_s + BUDGET_UPDATE_INTERVAL_S
            self._budget.update_limit()
            self._metrics.work_times.update()
            _LOGGER.info(
                'work_times', extra=self._metrics.work_times.describe()
            )
        self._metrics.client_bytes.set(self._budget.held_bytes)
        self._metrics.client_bytes_limit.set(self._budget.limit_bytes)
        for reason, count in self._budget.refusals.items():
            added = count - self._counted_refusals[reason]
            if added:
                self._counted_refusals[reason] = count
                self._metrics.client_refusals.increment(
                    reason.value, amount=added
                )

    def _report_dropped_lines(self) -> None:
        """Flushes buffered log lines and logs how many were dropped."""
        if self._log_handler is None:
            return
        self._log_handler.flush()
        dropped = self._log_handler.pop_dropped_count()
        if dropped:
            _LOGGER.warning('log_lines_dropped', extra={'count': dropped})


def create_housekeeping(
    *,
    membership: _batch_membership.BatchMembership,
    view: fleet.FleetView,
    clients: _upstream_clients.UpstreamClients,
    crash_tracker: placement.CrashTracker,
    health: placement.UpstreamHealth,
    rate_limits: placement.RateLimits,
    paces: placement.UpstreamPaces,
    run_times: placement.RunTimes,
    overdue: placement.OverdueRuns,
    origins: _origin_finder.OriginFinder,
    directory: peering.PeerDirectory,
    members_watch: _eligible_members_watch.EligibleMembersWatch,
    table: jobs.JobTable,
    ledger: jobs.JobLedger,
    results_kept_s: float,
    log_handler: telemetry.BoundedHandler | None,
    metrics: _gateway_metrics.GatewayMetrics,
    budget: transport.ByteBudget,
    quotas: admission.CustomerQuotas | None = None,
) -> Housekeeping:
    """Creates the periodic tasks of one process.

    Args:
        membership: Lists the jobs that this member is responsible for.
        view: Its lapsed upstream entries are removed.
        clients: Clients of removed upstreams are closed.
        crash_tracker: Told of upstreams that restarted; its old entries expire.
        health: Forgets upstreams that were removed or restarted.
        rate_limits: Forgets limits that are over.
        paces: Told of starts of upstreams; ends windows that are over.
        run_times: Forgets upstreams that were removed or restarted.
        overdue: Forgets upstreams that were removed or restarted.
        origins: Forgets streams that cannot be resumed any more.
        directory: Silent peers are dropped.
        members_watch: Logs changes of the members that share batch items.
        table: All jobs.
        ledger: Writes the removal of jobs to the log.
        results_kept_s: Promised retention of results, from the settings.
        log_handler: Writes the log; its dropped lines are reported.
        metrics: Its gauge of parts in quarantine is kept up to date.
        budget: Bounds the bytes held for clients.
        quotas: Customers without requests are forgotten.
    """
    return Housekeeping(
        membership=membership,
        view=view,
        clients=clients,
        crash_tracker=crash_tracker,
        health=health,
        rate_limits=rate_limits,
        paces=paces,
        run_times=run_times,
        overdue=overdue,
        origins=origins,
        directory=directory,
        members_watch=members_watch,
        table=table,
        ledger=ledger,
        results_kept_s=results_kept_s,
        log_handler=log_handler,
        metrics=metrics,
        budget=budget,
        quotas=quotas,
    )
