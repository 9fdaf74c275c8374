"""Asks the fleet's daemons for what they know."""

import orjson
import trio

from siskinmount import membership
from siskinmount import results
from siskinmount import rpc
from siskinmount import transport


class UnreachableDaemon:
    """A daemon that did not answer.

    Attributes:
        address: Its control address.
        failure: Why there is no answer.
    """

    __slots__ = ('address', 'failure')

    def __init__(
        self, address: transport.Address, failure: results.Failure
    ) -> None:
        self.address = address
        self.failure = failure


class DaemonStatus:
    """What one daemon says of itself.

    Attributes:
        member: The daemon as a member.
        details: Its own details, a JSON object.
    """

    __slots__ = ('member', 'details')

    def __init__(
        self, member: membership.Member, details: dict[str, object]
    ) -> None:
        self.member = member
        self.details = details


class FleetView:
    """What the entries that answered know together.

    Attributes:
        members: All daemons by name of the VM.
        entries: The entries that answered, by name of the VM.
        unreachable: The entries that did not.
    """

    __slots__ = ('members', 'entries', 'unreachable')

    def __init__(self) -> None:
        self.members: dict[str, membership.Member] = {}
        self.entries: dict[str, DaemonStatus] = {}
        self.unreachable: list[UnreachableDaemon] = []

    def list_members(self) -> list[membership.Member]:
        """Returns the daemons, entries first, by name of the VM."""
        return sorted(
            self.members.values(),
            key=lambda member: (member.role.value, member.vm),
        )


async def view_fleet(seeds: list[transport.Address]) -> FleetView:
    """Asks the given entries, and then those that they know.

    Args:
        seeds: Control addresses of some entries.
    """
    view = FleetView()
    asked = set(seeds)
    await _ask_entries(view, seeds)
    others: list[transport.Address] = []
    for member in view.list_members():
        if member.role is not membership.MemberRole.ENTRY:
            continue
        if member.vm in view.entries or member.control_address in asked:
            continue
        others.append(member.control_address)
    await _ask_entries(view, others)
    return view


async def pull_configuration(
    seeds: list[transport.Address],
) -> rpc.ConfigurationReply | results.Failure:
    """Returns the newest configuration that the entries hold."""
    replies: list[rpc.ConfigurationReply] = []
    failures: list[results.Failure] = []

    async def ask(address: transport.Address) -> None:
        client = rpc.create_control_client(address)
        reply = await client.get_configuration(rpc.ConfigurationRequest())
        client.close()
        if isinstance(reply, results.Failure):
            failures.append(reply)
        else:
            replies.append(reply)

    async with trio.open_nursery() as nursery:
        for address in seeds:
            nursery.start_soon(ask, address)
    if not replies:
        return failures[0]
    return max(replies, key=lambda reply: reply.version)


async def _ask_entries(
    view: FleetView, addresses: list[transport.Address]
) -> None:
    """Adds what some entries know to the view."""
    async with trio.open_nursery() as nursery:
        for address in addresses:
            nursery.start_soon(_ask_entry, view, address)


async def _ask_entry(view: FleetView, address: transport.Address) -> None:
    client = rpc.create_control_client(address)
    reply = await client.get_status()
    client.close()
    if isinstance(reply, results.Failure):
        view.unreachable.append(UnreachableDaemon(address, reply))
        return
    own = membership.decode_member(reply.self)
    if isinstance(own, results.Failure):
        view.unreachable.append(UnreachableDaemon(address, own))
        return
    view.entries[own.vm] = DaemonStatus(own, _decode_details(reply.details))
    # What a daemon says of itself is newer than what others say of it.
    view.members[own.vm] = own
    for message in reply.members:
        member = membership.decode_member(message)
        if isinstance(member, results.Failure) or member.vm in view.entries:
            continue
        known = view.members.get(member.vm)
        if known is None or member.incarnation > known.incarnation:
            view.members[member.vm] = member


def _decode_details(data: bytes) -> dict[str, object]:
    """Returns the details; empty if they are malformed."""
    try:
        details = orjson.loads(data)
    except orjson.JSONDecodeError:
        return {}
    return details if isinstance(details, dict) else {}
