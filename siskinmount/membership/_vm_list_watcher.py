"""Polling of the platform's VM list, a second source of membership."""

from collections.abc import Callable
import logging

import trio

from siskinmount import backing_services
from siskinmount import results
from siskinmount import transport
from siskinmount.membership import _heartbeat_sender
from siskinmount.membership import _heartbeat_settings
from siskinmount.membership import _member
from siskinmount.membership import _member_table

_LOGGER = logging.getLogger(__name__)

VmListCallback = Callable[[list[backing_services.VmEntry]], None]


class VmListWatcher:
    """Updates the member table and the heartbeat sender from the VM list."""

    __slots__ = ('_source', '_table', '_sender', '_settings', '_on_vm_list')

    def __init__(
        self,
        source: backing_services.VmList,
        table: _member_table.MemberTable,
        sender: _heartbeat_sender.HeartbeatSender,
        settings: _heartbeat_settings.HeartbeatSettings,
        on_vm_list: VmListCallback,
    ) -> None:
        self._source = source
        self._table = table
        self._sender = sender
        self._settings = settings
        self._on_vm_list = on_vm_list

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Reads the list periodically until cancelled."""
        task_status.started()
        while True:
            await self._read_once()
            await trio.sleep(self._settings.vm_list_interval_ms / 1000)

    async def _read_once(self) -> None:
        """Reads the list once; has no effect if it is unavailable."""
        vms = await self._source.fetch()
        if isinstance(vms, results.Failure):
            _LOGGER.warning(
                'vm_list_unavailable',
                extra={'code': int(vms.code), 'reason': vms.reason},
            )
            return
        self._table.apply_vm_list(vms)
        self._on_vm_list(vms)
        listed: list[transport.Address] = []
        for vm in vms:
            if vm.role != _member.MemberRole.ENTRY.value:
                continue
            address = transport.parse_address(vm.control_address)
            if not isinstance(address, results.Failure):
                listed.append(address)
        self._sender.set_vm_list_addresses(listed)


def create_vm_list_watcher(
    source: backing_services.VmList,
    table: _member_table.MemberTable,
    sender: _heartbeat_sender.HeartbeatSender,
    settings: _heartbeat_settings.HeartbeatSettings | None = None,
    on_vm_list: VmListCallback | None = None,
) -> VmListWatcher:
    """Creates a watcher of the VM list.

    Args:
        source: The platform's VM list.
        table: Member table to update.
        sender: Heartbeat sender that gets the addresses of listed entries.
        settings: Intervals and limits.
        on_vm_list: Called with each list that was read.
    """
    return VmListWatcher(
        source,
        table,
        sender,
        settings or _heartbeat_settings.HeartbeatSettings(),
        on_vm_list or (lambda vms: None),
    )
