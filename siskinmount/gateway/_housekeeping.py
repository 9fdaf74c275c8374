"""What a gateway does now and then: forgets, drops, and reports losses."""

import logging

import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import peering
from siskinmount import placement
from siskinmount import telemetry
from siskinmount.gateway import _member_duties
from siskinmount.gateway import _upstream_clients

_LOGGER = logging.getLogger(__name__)

HOUSEKEEPING_S = 0.25
#: How much longer than promised the results of a closed job are kept: clocks
#: and the times since which members know a job differ.
RETENTION_FACTOR = 1.5
#: Jobs that one member drops in one step.
DROPS_A_STEP = 4


class Housekeeping:
    """Does what is due now and then."""

    __slots__ = (
        '_duties',
        '_view',
        '_clients',
        '_evidence',
        '_health',
        '_overdue',
        '_directory',
        '_table',
        '_ledger',
        '_results_kept_s',
        '_log_handler',
        '_started_at_ms',
    )

    def __init__(
        self,
        *,
        duties: _member_duties.MemberDuties,
        view: fleet.FleetView,
        clients: _upstream_clients.UpstreamClients,
        evidence: placement.CrashEvidence,
        health: placement.UpstreamHealth,
        overdue: placement.OverdueRuns,
        directory: peering.PeerDirectory,
        table: jobs.JobTable,
        ledger: jobs.JobLedger,
        results_kept_s: float,
        log_handler: telemetry.BoundedHandler | None,
    ) -> None:
        self._duties = duties
        self._view = view
        self._clients = clients
        self._evidence = evidence
        self._health = health
        self._overdue = overdue
        self._directory = directory
        self._table = table
        self._ledger = ledger
        self._results_kept_s = results_kept_s
        self._log_handler = log_handler
        self._started_at_ms: dict[str, int] = {}
        view.add_listener(self._note_restarts)

    async def run(self) -> None:
        """Does it for ever."""
        while True:
            await trio.sleep(HOUSEKEEPING_S)
            self._view.expire_lapsed()
            self._clients.drop_gone()
            self._evidence.expire()
            self._drop_old_jobs()
            self._directory.list_live()
            self._report_lost_lines()

    def _note_restarts(self) -> None:
        """Takes an upstream that is gone or began anew for one that was down."""
        now_known: dict[str, int] = {}
        for upstream_id, upstream in self._view.upstreams.items():
            now_known[upstream_id] = upstream.started_at_ms
        for upstream_id, started_at_ms in self._started_at_ms.items():
            if now_known.get(upstream_id) != started_at_ms:
                self._evidence.note_down(upstream_id)
                self._health.forget(upstream_id)
                self._overdue.forget(upstream_id)
        self._started_at_ms = now_known

    def _drop_old_jobs(self) -> None:
        """Drops closed jobs whose results need not be kept any more."""
        if self._ledger.open_count or not self._duties.knows_jobs():
            return
        limit_s = trio.current_time() - self._results_kept_s * RETENTION_FACTOR
        members = self._duties.list_responsible()
        dropped = 0
        for job in self._table.jobs.values():
            if job.known_since_s > limit_s or dropped >= DROPS_A_STEP:
                return
            if job.open_items and not job.is_ended:
                continue
            if jobs.choose_member(job.job_id, members) != self._duties.vm:
                continue
            dropped += 1
            self._ledger.submit(jobs.DropJob(job.job_id))
            _LOGGER.info(
                'job_dropped',
                extra={'job': job.job_id, 'results': len(job.results)},
            )

    def _report_lost_lines(self) -> None:
        """Writes lines that wait, and says how many were dropped."""
        if self._log_handler is None:
            return
        self._log_handler.flush()
        dropped = self._log_handler.take_new_drops()
        if dropped:
            _LOGGER.warning('log_lines_dropped', extra={'count': dropped})


def create_housekeeping(
    *,
    duties: _member_duties.MemberDuties,
    view: fleet.FleetView,
    clients: _upstream_clients.UpstreamClients,
    evidence: placement.CrashEvidence,
    health: placement.UpstreamHealth,
    overdue: placement.OverdueRuns,
    directory: peering.PeerDirectory,
    table: jobs.JobTable,
    ledger: jobs.JobLedger,
    results_kept_s: float,
    log_handler: telemetry.BoundedHandler | None,
) -> Housekeeping:
    """Creates the housekeeping of one process.

    Args:
        duties: What this member does for batch jobs.
        view: Its entries that have lapsed are forgotten.
        clients: Those of upstreams that are gone are closed.
        evidence: Learns which upstreams began anew; expires.
        health: Forgets upstreams that are gone.
        overdue: Forgets them too.
        directory: Peers that are silent are dropped.
        table: All jobs.
        ledger: Drops jobs.
        results_kept_s: How long results are promised, from the settings.
        log_handler: Writes the log; its losses are reported.
    """
    return Housekeeping(
        duties=duties,
        view=view,
        clients=clients,
        evidence=evidence,
        health=health,
        overdue=overdue,
        directory=directory,
        table=table,
        ledger=ledger,
        results_kept_s=results_kept_s,
        log_handler=log_handler,
    )
