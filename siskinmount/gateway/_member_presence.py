"""What other members learn of this one."""

import orjson
import trio

from siskinmount import fleet
from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import placement
from siskinmount import results
from siskinmount.gateway import _member_duties

#: Pause after a member record could not be written.
MEMBER_RETRY_S = 0.5


class MemberPresence:
    """Writes this member's record and its messages."""

    __slots__ = (
        '_duties',
        '_address',
        '_incarnation',
        '_members_log',
        '_view',
        '_load',
        '_health',
        '_evidence',
        '_scheduler',
    )

    def __init__(
        self,
        *,
        duties: _member_duties.MemberDuties,
        address: str,
        incarnation: int,
        members_log: keyed_log.KeyedLog,
        view: fleet.FleetView,
        load: placement.LoadTable,
        health: placement.UpstreamHealth,
        evidence: placement.CrashEvidence,
        scheduler: jobs.ItemScheduler,
    ) -> None:
        self._duties = duties
        self._address = address
        self._incarnation = incarnation
        self._members_log = members_log
        self._view = view
        self._load = load
        self._health = health
        self._evidence = evidence
        self._scheduler = scheduler

    def create_message(self, sequence: int) -> peering.PeerMessage:
        """Creates the message to all peers with a sequence number."""
        document = self._view.document
        return peering.PeerMessage(
            member=self._duties.vm,
            incarnation=self._incarnation,
            sequence=sequence,
            address=self._address,
            is_leaving=self._duties.is_leaving,
            knows_jobs=self._duties.knows_jobs(),
            document_version=document.version if document else 0,
            counts=self._load.own,
            held_tags=self._scheduler.held_tags,
            kept_tags=self._scheduler.list_kept_tags(),
            crashes=self._evidence.counts,
            troubled=self._health.list_troubled(),
        )

    async def write_record(self) -> None:
        """Makes this process known to members that do not know it yet."""
        record = keyed_log.KeyedRecord(
            self._duties.vm,
            orjson.dumps(
                {'address': self._address, 'incarnation': self._incarnation}
            ),
        )
        while True:
            outcome = await self._members_log.append([record], None)
            if not isinstance(outcome, results.Failure):
                return
            await trio.sleep(MEMBER_RETRY_S)


def create_member_presence(
    *,
    duties: _member_duties.MemberDuties,
    address: str,
    incarnation: int,
    members_log: keyed_log.KeyedLog,
    view: fleet.FleetView,
    load: placement.LoadTable,
    health: placement.UpstreamHealth,
    evidence: placement.CrashEvidence,
    scheduler: jobs.ItemScheduler,
) -> MemberPresence:
    """Creates what peers learn of this member.

    Args:
        duties: What this member does now.
        address: Host at which peers reach it.
        incarnation: Number of this process, higher with each start.
        members_log: Where the members' records are kept.
        view: The document in force.
        load: Requests in flight from here.
        health: What its calls say of upstreams.
        evidence: Crashes that it has counted.
        scheduler: Items that it runs or keeps output of.
    """
    return MemberPresence(
        duties=duties,
        address=address,
        incarnation=incarnation,
        members_log=members_log,
        view=view,
        load=load,
        health=health,
        evidence=evidence,
        scheduler=scheduler,
    )
