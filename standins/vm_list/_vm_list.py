"""The VM list's HTTP interface."""

import collections

import trio

from siskinmount import results
from standins import faults as faults_module


class VmListSnapshot:
    """Contents of the list from one point in time.

    Attributes:
        set_at_s: Monotonic time when the contents were set.
        vms: The VMs, as JSON objects.
    """

    __slots__ = ('set_at_s', 'vms')

    def __init__(self, set_at_s: float, vms: list[dict[str, object]]) -> None:
        self.set_at_s = set_at_s
        self.vms = vms


class VmList:
    """Answers with the contents of the list as they were before the lag."""

    __slots__ = ('_lag_s', '_snapshots')

    def __init__(self, lag_ms: int) -> None:
        self._lag_s = lag_ms / 1000
        self._snapshots: collections.deque[VmListSnapshot] = collections.deque(
            [VmListSnapshot(0.0, [])]
        )

    async def handle(
        self, exchange: faults_module.FaultInjectingExchange
    ) -> None:
        """Answers one request."""
        head = exchange.head
        if head.method == 'PUT' and head.path == '/control/vms':
            await self._set_vms(exchange)
            return
        if head.method == 'GET' and head.path == '/vms':
            await exchange.send_json(200, {'vms': self._get_visible_vms()})
            return
        await exchange.send_json(404, {'error': 'no such path'})

    async def _set_vms(
        self, exchange: faults_module.FaultInjectingExchange
    ) -> None:
        """Replaces the list with the one in the body."""
        document = await exchange.read_json()
        if isinstance(document, results.Failure):
            await exchange.refuse(400, document)
            return
        vms = document.get('vms')
        if not isinstance(vms, list):
            await exchange.send_json(400, {'error': 'vms must be a list'})
            return
        self._snapshots.append(VmListSnapshot(trio.current_time(), vms))
        await exchange.send_json(200, {'vms': len(vms)})

    def _get_visible_vms(self) -> list[dict[str, object]]:
        """Returns the newest contents that are older than the lag."""
        limit_s = trio.current_time() - self._lag_s
        while (
            len(self._snapshots) > 1 and self._snapshots[1].set_at_s <= limit_s
        ):
            self._snapshots.popleft()
        return self._snapshots[0].vms


def create_vm_list(lag_ms: int = 0) -> VmList:
    """Creates an empty list."""
    return VmList(lag_ms)
