"""Collects the data of the burn report from the fleet."""

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

_MINUTES_PLOT_S = telemetry.HOUR_WINDOW_S
_HOURS_PLOT_S = telemetry.THREE_DAYS_WINDOW_S


class ArchiveState(enum.Enum):
    """Whether the report includes the archived counts of lost daemons."""

    #: The log was not read, as no address was given.
    NOT_ASKED = 'not_asked'

    #: The archived counts are in the report.
    READ = 'read'

    #: The log did not answer.
    UNAVAILABLE = 'unavailable'


class ObjectiveBurn:
    """Burn rates of one objective.

    Attributes:
        objective: The objective.
        level: Urgency of the burn.
        windows: The burn over each of `telemetry.REPORT_WINDOWS_S`.
        budget_used: Share of the error budget used in the period, 1 for all.
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
        self.level = telemetry.classify_burn(self.windows)
        self.budget_used = telemetry.compute_budget_used(
            snapshots, share, now_s, objective.period_days
        )
        self.minutes = telemetry.list_burn_points(
            snapshots, share, now_s, _MINUTES_PLOT_S
        )
        self.hours = telemetry.list_burn_points(
            snapshots, share, now_s, _HOURS_PLOT_S
        )


class BurnReport:
    """Contents of the burn report.

    Attributes:
        now_s: Time of the report in seconds since the Unix epoch.
        version: Version of the configuration in force.
        owner: Owner of the document.
        objectives: Objectives in the order of the document.
        jobs: Batch jobs, sorted by due time.
        daemon_count: Number of daemons whose histograms are included.
        unreachable: Daemons that did not answer.
        archive: Whether the archived counts of lost daemons are included.
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

    def list_jobs_at_risk(self) -> list[_job_view.JobView]:
        """Returns the jobs that missed their due time or are about to."""
        risks = (_job_view.JobRisk.AT_RISK, _job_view.JobRisk.OVERDUE)
        return [job for job in self.jobs if job.risk in risks]


async def create_burn_report(
    seeds: list[transport.Address],
    log_address: transport.Address | None,
) -> BurnReport | results.Failure:
    """Queries the fleet and computes the report.

    Args:
        seeds: Control addresses of some entries.
        log_address: The log service that holds the archived counts of lost
            daemons; None leaves them out.
    """
    reply = await _fleet_client.fetch_configuration(seeds)
    if isinstance(reply, results.Failure):
        return reply
    document = configuration.parse_document(reply.text)
    if isinstance(document, list):
        return results.Failure(
            results.ResultCode.NO_CONFIGURATION,
            'the entries hold no configuration that this release can read',
        )
    view = await _fleet_client.fetch_fleet_view(seeds)
    collection = _HistogramCollection()
    unreachable = list(view.unreachable)
    async with trio.open_nursery() as nursery:
        for member in view.list_members():
            # Only entries measure what callers see.
            if member.role is membership.MemberRole.ENTRY:
                nursery.start_soon(
                    collection.fetch_windows, member, unreachable
                )
    archive_state = await _add_archive(collection, log_address)
    now_s = time.time()
    burns: list[ObjectiveBurn] = []
    for objective in document.objectives:
        snapshots = collection.get_windows(objective)
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
    """Adds the archived counts of the daemons that did not answer."""
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
    """Histogram windows of all daemons, by service and objective.

    Attributes:
        processes: VM and incarnation of the daemons that have answered.
    """

    __slots__ = ('processes', '_snapshots')

    def __init__(self) -> None:
        self.processes: set[tuple[str, int]] = set()
        self._snapshots: dict[
            tuple[str, str], list[telemetry.WindowSnapshot]
        ] = {}

    def get_windows(
        self, objective: configuration.Objective
    ) -> list[telemetry.WindowSnapshot]:
        """Returns the windows of an objective."""
        return self._snapshots.get((objective.service, objective.name), [])

    async def fetch_windows(
        self,
        member: membership.Member,
        unreachable: list[_fleet_client.UnreachableDaemon],
    ) -> None:
        """Fetches and adds the windows of one daemon.

        A daemon that does not answer is added to `unreachable`.
        """
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
