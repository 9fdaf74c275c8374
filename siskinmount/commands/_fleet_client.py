"""Queries the fleet's daemons over their control interface."""

import orjson
import trio

from siskinmount import membership
from siskinmount import results
from siskinmount import rpc
from siskinmount import transport


class UnreachableDaemon:
    """A daemon that did not answer.

    Attributes:
        address: Control address of the daemon.
        failure: Reason for the missing answer.
    """

    __slots__ = ('address', 'failure')

    def __init__(
        self, address: transport.Address, failure: results.Failure
    ) -> None:
        self.address = address
        self.failure = failure


class DaemonStatus:
    """Status that a daemon reports about itself.

    Attributes:
        member: Membership record of the daemon.
        details: Further details, a JSON object.
    """

    __slots__ = ('member', 'details')

    def __init__(
        self, member: membership.Member, details: dict[str, object]
    ) -> None:
        self.member = member
        self.details = details


class FleetView:
    """Combined view of all entries that answered.

    Attributes:
        members: All known daemons, by VM name.
        entries: Status of the entries that answered, by VM name.
        unreachable: The entries that did not answer.
    """

    __slots__ = ('members', 'entries', 'unreachable')

    def __init__(self) -> None:
        self.members: dict[str, membership.Member] = {}
        self.entries: dict[str, DaemonStatus] = {}
        self.unreachable: list[UnreachableDaemon] = []

    def list_members(self) -> list[membership.Member]:
        """Returns the daemons sorted by role, entries first, then VM name."""
        return sorted(
            self.members.values(),
            key=lambda member: (member.role.value, member.vm),
        )


async def fetch_fleet_view(seeds: list[transport.Address]) -> FleetView:
    """Queries the given entries and the further entries that they report.

    Args:
        seeds: Control addresses of some entries.
    """
    view = FleetView()
    queried = set(seeds)
    await _query_entries(view, seeds)
    others: list[transport.Address] = []
    for member in view.list_members():
        if member.role is not membership.MemberRole.ENTRY:
            continue
        if member.vm in view.entries or member.control_address in queried:
            continue
        others.append(member.control_address)
    await _query_entries(view, others)
    return view


async def fetch_configuration(
    seeds: list[transport.Address],
) -> rpc.ConfigurationReply | results.Failure:
    """Returns the newest configuration that the given entries hold."""
    replies: list[rpc.ConfigurationReply] = []
    failures: list[results.Failure] = []

    async def query(address: transport.Address) -> None:
        client = rpc.create_control_client(address)
        reply = await client.get_configuration(rpc.ConfigurationRequest())
        client.close()
        if isinstance(reply, results.Failure):
            failures.append(reply)
        else:
            replies.append(reply)

    async with trio.open_nursery() as nursery:
        for address in seeds:
            nursery.start_soon(query, address)
    if not replies:
        return failures[0]
    return max(replies, key=lambda reply: reply.version)


async def _query_entries(
    view: FleetView, addresses: list[transport.Address]
) -> None:
    """Queries entries concurrently and adds their answers to the view."""
    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(_query_entry, view, address)


async def _query_entry(view: FleetView, address: transport.Address) -> None:
    client = rpc.create_control_client(address)
    reply = await client.get_status()
    client.close()
    if isinstance(reply, results.Failure):
        view.unreachable.append(UnreachableDaemon(address, reply))
        return
    reporter = membership.decode_member(reply.self)
    if isinstance(reporter, results.Failure):
        view.unreachable.append(UnreachableDaemon(address, reporter))
        return
    view.entries[reporter.vm] = DaemonStatus(
        reporter, _decode_details(reply.details)
    )
    # The report of a daemon about itself is newer than the reports of others.
    view.members[reporter.vm] = reporter
    for message in reply.members:
        member = membership.decode_member(message)
        if isinstance(member, results.Failure) or member.vm in view.entries:
            continue
        known = view.members.get(member.vm)
        if known is None or member.incarnation > known.incarnation:
            view.members[member.vm] = member


def _decode_details(data: bytes) -> dict[str, object]:
    """Parses the details; returns an empty object if they are malformed."""
    try:
        details = orjson.loads(data)
    except orjson.JSONDecodeError:
        return {}
    return details if isinstance(details, dict) else {}
