"""Gathers what the burn report shows."""

import enum
import time

import trio

from siskinmount import backing_services
from siskinmount import configuration
from siskinmount import membership
from siskinmount import objectives
from siskinmount import results
from siskinmount import rpc
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.commands import _fleet_client
from siskinmount.commands import _job_view

_HOUR_PLOT_S = telemetry.HOUR_WINDOW_S
_DAYS_PLOT_S = telemetry.THREE_DAYS_WINDOW_S


class ArchiveState(enum.Enum):
    """What became of the counts that lost daemons left in the log."""

    #: The log was not to be asked.
    NOT_ASKED = 'not_asked'

    #: They are in the report.
    READ = 'read'

    #: The log did not answer.
    UNAVAILABLE = 'unavailable'


class ObjectiveBurn:
    """The burn of one objective.

    Attributes:
        objective: The objective.
        level: How urgent it is.
        windows: The burn over each of `telemetry.REPORT_WINDOWS_S`.
        budget_used: Share of the period's budget that is used.
        minutes: Burn of each minute of the last hour.
        hours: Burn of each hour of the last three days.
    """

    __slots__ = (
        'objective',
        'level',
        'windows',
        'budget_used',
        'minutes',
        'hours',
    )

    def __init__(
        self,
        objective: configuration.Objective,
        snapshots: list[telemetry.WindowSnapshot],
        now_s: float,
    ) -> None:
        share = objective.share
        self.objective = objective
        self.windows: list[telemetry.WindowBurn] = []
        for window_s in telemetry.REPORT_WINDOWS_S:
            self.windows.append(
                telemetry.compute_window_burn(snapshots, share, now_s, window_s)
            )
        self.level = telemetry.judge_burn(self.windows)
        self.budget_used = telemetry.compute_budget_used(
            snapshots, share, now_s, objective.period_days
        )
        self.minutes = telemetry.list_burn_points(
            snapshots, share, now_s, _HOUR_PLOT_S
        )
        self.hours = telemetry.list_burn_points(
            snapshots, share, now_s, _DAYS_PLOT_S
        )


class BurnReport:
    """All that the report shows.

    Attributes:
        now_s: When it was made, in seconds since the Unix epoch.
        version: Version of the configuration in force.
        owner: Owner of the document.
        objectives: Objectives in the order of the document.
        jobs: Batch jobs, first due first.
        daemon_count: Daemons whose histograms are in the report.
        unreachable: Daemons that did not answer.
        archive: Whether the log was asked for what lost daemons measured.
    """

    __slots__ = (
        'now_s',
        'version',
        'owner',
        'objectives',
        'jobs',
        'daemon_count',
        'unreachable',
        'archive',
    )

    def __init__(
        self,
        *,
        now_s: float,
        version: int,
        owner: str,
        objectives: list[ObjectiveBurn],
        jobs: list[_job_view.JobView],
        daemon_count: int,
        unreachable: list[_fleet_client.UnreachableDaemon],
        archive: ArchiveState,
    ) -> None:
        self.now_s = now_s
        self.version = version
        self.owner = owner
        self.objectives = objectives
        self.jobs = jobs
        self.daemon_count = daemon_count
        self.unreachable = unreachable
        self.archive = archive

    def list_risky_jobs(self) -> list[_job_view.JobView]:
        """Returns the jobs that miss their due time or will."""
        risks = (_job_view.JobRisk.AT_RISK, _job_view.JobRisk.OVERDUE)
        return [job for job in self.jobs if job.risk in risks]


async def gather_burn_report(
    seeds: list[transport.Address],
    log_address: transport.Address | None,
) -> BurnReport | results.Failure:
    """Asks the fleet and computes the report.

    Args:
        seeds: Control addresses of some entries.
        log_address: The log service, to count what lost daemons measured.
    """
    reply = await _fleet_client.pull_configuration(seeds)
    if isinstance(reply, results.Failure):
        return reply
    document = configuration.parse_document(reply.text)
    if isinstance(document, list):
        return results.Failure(
            results.ResultCode.NO_CONFIGURATION,
            'the entries hold no configuration that this release can read',
        )
    view = await _fleet_client.view_fleet(seeds)
    collection = _HistogramCollection()
    unreachable = list(view.unreachable)
    async with trio.open_nursery() as nursery:
        for member in view.list_members():
            # Entries measure what callers see.
            if member.role is membership.MemberRole.ENTRY:
                nursery.start_soon(collection.visit, member, unreachable)
    archive_state = await _add_archive(collection, log_address)
    now_s = time.time()
    burns: list[ObjectiveBurn] = []
    for objective in document.objectives:
        snapshots = collection.find(objective)
        burns.append(ObjectiveBurn(objective, snapshots, now_s))
    return BurnReport(
        now_s=now_s,
        version=reply.version,
        owner=document.owner,
        objectives=burns,
        jobs=_job_view.list_jobs(view, now_s),
        daemon_count=len(collection.processes),
        unreachable=unreachable,
        archive=archive_state,
    )


async def _add_archive(
    collection: '_HistogramCollection', log_address: transport.Address | None
) -> ArchiveState:
    """Adds the counts of daemons that did not answer themselves."""
    if log_address is None:
        return ArchiveState.NOT_ASKED
    archive = await objectives.read_archive(
        backing_services.create_log_client(log_address)
    )
    if isinstance(archive, results.Failure):
        return ArchiveState.UNAVAILABLE
    for window in archive.list_windows(collection.processes):
        collection.add(window)
    return ArchiveState.READ


class _HistogramCollection:
    """Windows of all daemons, by service and objective.

    Attributes:
        processes: VM and incarnation of the daemons that have answered.
    """

    __slots__ = ('processes', '_snapshots')

    def __init__(self) -> None:
        self.processes: set[tuple[str, int]] = set()
        self._snapshots: dict[
            tuple[str, str], list[telemetry.WindowSnapshot]
        ] = {}

    def find(
        self, objective: configuration.Objective
    ) -> list[telemetry.WindowSnapshot]:
        """Returns the windows of an objective."""
        return self._snapshots.get((objective.service, objective.name), [])

    async def visit(
        self,
        member: membership.Member,
        unreachable: list[_fleet_client.UnreachableDaemon],
    ) -> None:
        """Adds the windows of one daemon."""
        address = member.control_address
        client = rpc.create_control_client(address)
        reply = await client.get_histograms()
        client.close()
        if isinstance(reply, results.Failure):
            if all(daemon.address != address for daemon in unreachable):
                unreachable.append(
                    _fleet_client.UnreachableDaemon(address, reply)
                )
            return
        self.processes.add((reply.vm, reply.incarnation))
        for message in reply.histograms:
            snapshot = telemetry.WindowSnapshot(
                service=message.service,
                objective=message.objective,
                window_start_s=message.window_start_s,
                window_s=message.window_s,
                good=message.good,
                bad=message.bad,
                histogram=message.histogram,
            )
            self.add(snapshot)

    def add(self, snapshot: telemetry.WindowSnapshot) -> None:
        """Adds one window."""
        key = (snapshot.service, snapshot.objective)
        self._snapshots.setdefault(key, []).append(snapshot)
