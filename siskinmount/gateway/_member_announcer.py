"""Announces this member's state to the other members."""

import random

import orjson
import trio

from siskinmount import admission
from siskinmount import fleet
from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import placement
from siskinmount import results
from siskinmount import stream_origins
from siskinmount.gateway import _batch_membership

#: Delay before a failed write of the member record is retried.
MEMBER_RETRY_S = 0.5
#: Interval at which a member that misses others writes its record again. They
#: count it as gone after 15 s without a record.
RENEWAL_MIN_S = 4.0
RENEWAL_MAX_S = 5.0


class MemberAnnouncer:
    """Writes this member's record and creates its messages to peers."""

    __slots__ = (
        '_membership',
        '_address',
        '_failure_domain',
        '_link_mbps',
        '_incarnation',
        '_members_log',
        '_view',
        '_load',
        '_health',
        '_rate_limits',
        '_paces',
        '_crash_tracker',
        '_scheduler',
        '_directory',
        '_stream_versions',
        '_quotas',
        '_quota_members',
    )

    def __init__(
        self,
        *,
        membership: _batch_membership.BatchMembership,
        address: str,
        failure_domain: str,
        incarnation: int,
        members_log: keyed_log.KeyedLog,
        view: fleet.FleetView,
        load: placement.LoadTable,
        health: placement.UpstreamHealth,
        rate_limits: placement.RateLimits,
        paces: placement.UpstreamPaces,
        crash_tracker: placement.CrashTracker,
        scheduler: jobs.ItemScheduler,
        directory: peering.PeerDirectory,
        stream_versions: stream_origins.VersionTable,
        quotas: admission.CustomerQuotas | None = None,
        quota_members: peering.QuotaMembers | None = None,
        link_mbps: int = 0,
    ) -> None:
        self._membership = membership
        self._address = address
        self._failure_domain = failure_domain
        self._link_mbps = link_mbps
        self._incarnation = incarnation
        self._members_log = members_log
        self._view = view
        self._load = load
        self._health = health
        self._rate_limits = rate_limits
        self._paces = paces
        self._crash_tracker = crash_tracker
        self._scheduler = scheduler
        self._directory = directory
        self._stream_versions = stream_versions
        self._quotas = quotas
        self._quota_members = quota_members

    def create_message(self, sequence: int) -> peering.PeerMessage:
        """Creates the message that all peers get.

        Args:
            sequence: Sequence number of the message.
        """
        document = self._view.document
        return peering.PeerMessage(
            member=self._membership.vm,
            incarnation=self._incarnation,
            sequence=sequence,
            address=self._address,
            failure_domain=self._failure_domain,
            link_mbps=self._link_mbps,
            is_leaving=self._membership.is_leaving,
            knows_jobs=self._membership.has_current_jobs(),
            document_version=document.version if document else 0,
            counts=self._load.own,
            held_tags=self._scheduler.held_tags,
            kept_tags=self._scheduler.list_kept_tags(),
            crashes=self._crash_tracker.list_reports(),
            suspect_parts=self._crash_tracker.parts.list_reports(
                len(self._directory.list_live()) + 1
            ),
            rate_limits=self._rate_limits.list_reports(),
            demand=self._rate_limits.list_demand(),
            stream_versions=dict(self._stream_versions.rows),
            paces=self._paces.list_reports(),
            failure_tallies=self._health.list_failure_tallies(),
            departures=self._view.departures.list_first_hand(),
            quota_use=self._quotas.list_use() if self._quotas else None,
        )

    async def keep_record(self) -> None:
        """Writes this member's record, and again while it misses others.

        Members that do not hear this one know by that that it is there.
        """
        await self.write_record()
        while self._quota_members is not None:
            await trio.sleep(random.uniform(RENEWAL_MIN_S, RENEWAL_MAX_S))
            if self._quota_members.misses_peers():
                await self.write_record()

    async def write_record(self) -> None:
        """Writes this member's record, for members that start later."""
        record = keyed_log.KeyedRecord(
            self._membership.vm,
            orjson.dumps(
                {
                    'address': self._address,
                    'failure_domain': self._failure_domain,
                    'link_mbps': self._link_mbps,
                    'incarnation': self._incarnation,
                }
            ),
        )
        while True:
            outcome = await self._members_log.append([record], None)
            if not isinstance(outcome, results.Failure):
                return
            await trio.sleep(MEMBER_RETRY_S)


def create_member_announcer(
    *,
    membership: _batch_membership.BatchMembership,
    address: str,
    failure_domain: str,
    incarnation: int,
    members_log: keyed_log.KeyedLog,
    view: fleet.FleetView,
    load: placement.LoadTable,
    health: placement.UpstreamHealth,
    rate_limits: placement.RateLimits,
    paces: placement.UpstreamPaces,
    crash_tracker: placement.CrashTracker,
    scheduler: jobs.ItemScheduler,
    directory: peering.PeerDirectory,
    stream_versions: stream_origins.VersionTable,
    quotas: admission.CustomerQuotas | None = None,
    quota_members: peering.QuotaMembers | None = None,
    link_mbps: int = 0,
) -> MemberAnnouncer:
    """Creates the announcer of this member.

    Args:
        membership: This member's part in running batch jobs.
        address: Host at which peers reach this member.
        failure_domain: Failure domain of this member.
        incarnation: Number of this process, higher at each start.
        members_log: Log of the members' records.
        view: Provides the version of the document in force.
        load: This member's requests in flight.
        health: Upstreams that this member finds faulty.
        rate_limits: Request rates that upstreams accept.
        paces: Windows of starting and recovered upstreams.
        crash_tracker: Upstream crashes that this member knows.
        scheduler: Items that this member runs or keeps output of.
        directory: Live members, which share repeated reports among them.
        stream_versions: At what streams without a record began.
        quotas: Requests of customers that peers must be told of.
        quota_members: Says whether this member misses others.
        link_mbps: Speed of this member's link; 0 if it is not known.
    """
    return MemberAnnouncer(
        membership=membership,
        address=address,
        failure_domain=failure_domain,
        incarnation=incarnation,
        members_log=members_log,
        view=view,
        load=load,
        health=health,
        rate_limits=rate_limits,
        paces=paces,
        crash_tracker=crash_tracker,
        scheduler=scheduler,
        directory=directory,
        stream_versions=stream_versions,
        quotas=quotas,
        quota_members=quota_members,
        link_mbps=link_mbps,
    )
