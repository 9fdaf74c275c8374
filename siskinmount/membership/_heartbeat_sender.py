"""Sends the heartbeats of this daemon to entries, one task per peer."""

import logging
import random

import trio

from siskinmount import results
from siskinmount import rpc
from siskinmount import transport
from siskinmount.membership import _entry_subset
from siskinmount.membership import _heartbeat_observer
from siskinmount.membership import _heartbeat_settings
from siskinmount.membership import _member
from siskinmount.membership import _member_message
from siskinmount.membership import _member_table

_LOGGER = logging.getLogger(__name__)

PEER_UPDATE_INTERVAL_S = 0.5
#: One out of this many peers of an entry may be in another region.
REMOTE_PEER_DIVISOR = 3


class HeartbeatSender:
    """Sends periodic heartbeats to a selection of entries.

    Entries are discovered from seeds, from replies and from the VM list.

    Attributes:
        sent_count: Number of heartbeats sent since the start.
    """

    __slots__ = (
        'sent_count',
        '_table',
        '_observer',
        '_settings',
        '_seeds',
        '_vm_list_addresses',
        '_peer_scopes',
        '_is_fetching_configuration',
        '_wake_event',
    )

    def __init__(
        self,
        table: _member_table.MemberTable,
        observer: _heartbeat_observer.HeartbeatObserver,
        seeds: list[transport.Address],
        settings: _heartbeat_settings.HeartbeatSettings,
    ) -> None:
        self.sent_count = 0
        self._table = table
        self._observer = observer
        self._settings = settings
        self._seeds = set(seeds)
        self._vm_list_addresses: set[transport.Address] = set()
        self._peer_scopes: dict[transport.Address, trio.CancelScope] = {}
        self._is_fetching_configuration = False
        self._wake_event = trio.Event()

    def set_vm_list_addresses(self, addresses: list[transport.Address]) -> None:
        """Replaces the control addresses of the entries on the VM list."""
        self._vm_list_addresses = set(addresses)

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Sends heartbeats until cancelled."""
        self._peer_scopes.clear()
        async with trio.open_nursery() as nursery:
            task_status.started()
            while True:
                self._table.refresh()
                self._update_peers(nursery)
                await trio.sleep(PEER_UPDATE_INTERVAL_S)

    def send_now(self) -> None:
        """Sends the next heartbeat to each peer at once."""
        wake_event, self._wake_event = self._wake_event, trio.Event()
        wake_event.set()

    def list_peers(self) -> list[transport.Address]:
        """Returns the control addresses of the current peers."""
        return list(self._peer_scopes)

    def _update_peers(self, nursery: trio.Nursery) -> None:
        """Starts tasks for new peers and cancels those of removed peers."""
        wanted = self.choose_peers()
        for address, scope in list(self._peer_scopes.items()):
            if address in wanted:
                continue
            scope.cancel()
            del self._peer_scopes[address]
        for address in wanted:
            if address in self._peer_scopes:
                continue
            scope = trio.CancelScope()
            self._peer_scopes[address] = scope
            nursery.start_soon(self._run_peer, address, scope)

    def choose_peers(self) -> set[transport.Address]:
        """Returns the control addresses that should receive heartbeats."""
        own = self._observer.describe_self()
        is_entry = own.role is _member.MemberRole.ENTRY
        limit = (
            self._settings.max_entry_peers
            if is_entry
            else self._settings.max_sidecar_peers
        )
        others: list[_member.Member] = []
        for entry in self._table.list_entries():
            if entry.vm != own.vm:
                others.append(entry)
        # Entries of all regions share the ownership of streams, so they must
        # know of each other; a sidecar serves only its region.
        remote_limit = limit // REMOTE_PEER_DIVISOR if is_entry else 0
        chosen = _entry_subset.choose_entries(
            own.vm, own.region, others, limit, remote_limit
        )
        wanted = {entry.control_address for entry in chosen}
        known = {entry.control_address for entry in others}
        # An address of no known entry may belong to an entry that has just
        # started, or that is reachable again after a network partition.
        unknown = self._seeds | self._vm_list_addresses | self._dead_addresses()
        for address in sorted(unknown - known, key=str):
            if len(wanted) >= limit:
                break
            wanted.add(address)
        wanted.discard(own.control_address)
        return wanted

    def _dead_addresses(self) -> set[transport.Address]:
        """Returns the addresses of dead entries that are still in the table."""
        addresses: set[transport.Address] = set()
        for member in self._table.list_members():
            if member.role is not _member.MemberRole.ENTRY:
                continue
            if member.state is _member.MemberState.DEAD:
                addresses.add(member.control_address)
        return addresses

    async def _run_peer(
        self, address: transport.Address, scope: trio.CancelScope
    ) -> None:
        """Sends heartbeats to one peer until its scope is cancelled."""
        client = rpc.create_control_client(
            address,
            rpc.ControlDeadlines(
                heartbeat_timeout_ms=max(1000, self._settings.interval_ms)
            ),
        )
        try:
            with scope:
                while True:
                    await self._send_heartbeat(client)
                    with trio.move_on_after(self._draw_interval_s()):
                        await self._wake_event.wait()
        finally:
            client.close()

    def _draw_interval_s(self) -> float:
        """Returns the time to the next heartbeat, with random jitter."""
        jitter = self._settings.jitter_fraction
        factor = random.uniform(1 - jitter, 1 + jitter)
        return self._settings.interval_ms * factor / 1000

    async def _send_heartbeat(self, client: rpc.ControlClient) -> None:
        """Sends one heartbeat and applies the reply."""
        own = self._observer.describe_self()
        self.sent_count += 1
        reply = await client.heartbeat(
            rpc.HeartbeatRequest(
                sender=_member_message.encode_member(own),
                deaths=self._observer.list_crashes(),
            )
        )
        if isinstance(reply, results.Failure):
            self._handle_failure(client.address, reply)
            return
        replier = _member_message.decode_member(reply.replier)
        if isinstance(replier, results.Failure):
            _LOGGER.warning(
                'heartbeat_reply_invalid',
                extra={'code': int(replier.code), 'reason': replier.reason},
            )
            return
        stale = self._table.apply_heartbeat(replier)
        if stale is not None:
            return
        self._apply_listed_entries(own, replier, reply)
        self._observer.receive_reply(replier, reply)
        await self._fetch_configuration(client, own, replier)

    def _apply_listed_entries(
        self,
        own: _member.Member,
        replier: _member.Member,
        reply: rpc.HeartbeatReply,
    ) -> None:
        """Applies the descriptions of other entries in a reply."""
        for message in reply.entries:
            if message.vm in (own.vm, replier.vm):
                continue
            entry = _member_message.decode_member(message)
            if isinstance(entry, results.Failure):
                continue
            self._table.apply_peer_report(entry, message.heard_ms_ago)

    def _handle_failure(
        self, address: transport.Address, failure: results.Failure
    ) -> None:
        """Marks the entry at an address as unreachable in the table."""
        for entry in self._table.list_entries():
            if entry.control_address != address:
                continue
            _LOGGER.info(
                'heartbeat_failed',
                extra={
                    'member': entry.vm,
                    'code': int(failure.code),
                    'reason': failure.reason,
                },
            )
            self._table.mark_unreachable(entry.vm, entry.incarnation)

    async def _fetch_configuration(
        self,
        client: rpc.ControlClient,
        own: _member.Member,
        replier: _member.Member,
    ) -> None:
        """Fetches the configuration from a replier that has a newer version."""
        if replier.configuration_version <= own.configuration_version:
            return
        if self._is_fetching_configuration:
            return
        self._is_fetching_configuration = True
        try:
            fetched = await client.get_configuration(
                rpc.ConfigurationRequest(
                    known_version=own.configuration_version
                )
            )
            if isinstance(fetched, results.Failure) or not fetched.text:
                return
            await self._observer.receive_configuration(
                fetched.version, fetched.text
            )
        finally:
            self._is_fetching_configuration = False


def create_heartbeat_sender(
    table: _member_table.MemberTable,
    observer: _heartbeat_observer.HeartbeatObserver,
    seeds: list[transport.Address],
    settings: _heartbeat_settings.HeartbeatSettings | None = None,
) -> HeartbeatSender:
    """Creates a sender for this daemon.

    Args:
        table: Member table to update from replies.
        observer: Describes this daemon and receives data from replies.
        seeds: Initial control addresses of entries.
        settings: Intervals and limits.
    """
    return HeartbeatSender(
        table,
        observer,
        seeds,
        settings or _heartbeat_settings.HeartbeatSettings(),
    )
