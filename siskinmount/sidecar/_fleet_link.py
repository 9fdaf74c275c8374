"""Heartbeats to the entries, and control calls to this sidecar."""

from collections.abc import Callable
import logging

import orjson

from siskinmount import backing_services
from siskinmount import configuration
from siskinmount import membership
from siskinmount import results
from siskinmount import rpc
from siskinmount import supervision

_LOGGER = logging.getLogger(__name__)


class FleetLink:
    """Reports this sidecar to the entries and receives the configuration.

    Attributes:
        members: The entries that this sidecar knows.
        document: The document in force, or None before the first.
        configuration_version: Version of that document; never decreases.
        backlogs: Number of waiting batch items by VM of the entry, from its
            last heartbeat reply.
        server: Serves control calls.
    """

    __slots__ = (
        'members',
        'document',
        'configuration_version',
        'backlogs',
        'server',
        '_describe_member',
        '_describe_details',
        '_apply_document',
        '_service',
        '_vm',
        '_set_listed_leaving',
        '_list_crashes',
        '_sender',
        '_watcher',
    )

    def __init__(
        self,
        identity: configuration.DaemonIdentity,
        service: str,
        describe_member: Callable[[], membership.Member],
        describe_details: Callable[[], dict[str, object]],
        apply_document: Callable[[configuration.ServiceDocument, int], None],
        set_listed_leaving: Callable[[bool], None],
        list_crashes: Callable[[], list[rpc.UpstreamDeath]],
    ) -> None:
        self.members = membership.create_member_table()
        self.document: configuration.ServiceDocument | None = None
        self.configuration_version = 0
        self.backlogs: dict[str, int] = {}
        self.server = rpc.create_control_server(self)
        self._describe_member = describe_member
        self._describe_details = describe_details
        self._apply_document = apply_document
        self._service = service
        self._vm = identity.vm
        self._set_listed_leaving = set_listed_leaving
        self._list_crashes = list_crashes
        self._sender = membership.create_heartbeat_sender(
            self.members, self, identity.seeds
        )
        self._watcher = membership.create_vm_list_watcher(
            backing_services.create_vm_list_client(identity.vm_list_address),
            self.members,
            self._sender,
            on_vm_list=self._check_listed_state,
        )

    def send_heartbeats_now(self) -> None:
        """Sends heartbeats at once instead of at the next interval."""
        self._sender.send_now()

    def _check_listed_state(self, vms: list[backing_services.VmEntry]) -> None:
        """Passes on whether the platform lists this VM as leaving."""
        for entry in vms:
            if entry.vm == self._vm:
                self._set_listed_leaving(
                    entry.state is backing_services.VmState.LEAVING
                )

    def list_children(self) -> list[supervision.Child]:
        """Returns the tasks to supervise."""
        return [
            supervision.Child('heartbeats', self._sender.run),
            supervision.Child('vm_list', self._watcher.run),
        ]

    def list_entries(self) -> list[membership.Member]:
        """Returns the entries from which batch items may be pulled."""
        return self.members.list_entries()

    def describe_self(self) -> membership.Member:
        """Returns the present member record of this sidecar."""
        member = self._describe_member()
        member.configuration_version = self.configuration_version
        return member

    def list_crashes(self) -> list[rpc.UpstreamDeath]:
        """Returns the recent crashes of this sidecar's upstream."""
        return self._list_crashes()

    async def receive_configuration(self, version: int, text: str) -> None:
        """Applies a document if it is newer than the one in force."""
        if version <= self.configuration_version:
            return
        document = configuration.parse_document(text)
        if isinstance(document, list):
            _LOGGER.error('configuration_invalid', extra={'version': version})
            return
        self.document = document
        self.configuration_version = version
        _LOGGER.info('configuration_in_force', extra={'version': version})
        self._apply_document(document, version)

    def receive_reply(
        self, replier: membership.Member, reply: rpc.HeartbeatReply
    ) -> None:
        """Records how many batch items wait at an entry."""
        for backlog in reply.backlogs:
            if backlog.service == self._service:
                self.backlogs[replier.vm] = backlog.waiting_items
                return
        self.backlogs.pop(replier.vm, None)

    async def heartbeat(
        self, request: rpc.HeartbeatRequest
    ) -> rpc.HeartbeatReply | results.Failure:
        """Refuses the call, as heartbeats are sent to entries only."""
        return results.Failure(
            results.ResultCode.NO_SUCH_ROUTE,
            'a sidecar does not accept heartbeats',
        )

    async def get_configuration(
        self, request: rpc.ConfigurationRequest
    ) -> rpc.ConfigurationReply | results.Failure:
        """Returns the configuration in force at this sidecar."""
        reply = rpc.ConfigurationReply(version=self.configuration_version)
        newer = request.known_version < self.configuration_version
        if self.document is not None and newer:
            reply.text = self.document.text
        return reply

    async def get_status(
        self, request: rpc.StatusRequest
    ) -> rpc.StatusReply | results.Failure:
        """Returns the sidecar's state and its members, for operators."""
        reply = rpc.StatusReply(details=orjson.dumps(self._describe_details()))
        reply.self.CopyFrom(membership.encode_member(self.describe_self()))
        for member in self.members.list_members():
            reply.members.append(membership.encode_member(member))
        return reply

    async def get_histograms(
        self, request: rpc.HistogramsRequest
    ) -> rpc.HistogramsReply | results.Failure:
        """Returns an empty reply, as latencies are recorded by entries."""
        return rpc.HistogramsReply()
