"""The VM list's HTTP interface."""

import collections

import trio

from siskinmount import results
from standins import faults as faults_module


class VmListVersion:
    """One state of the list.

    Attributes:
        set_at_s: Monotonic time when it was set.
        vms: The VMs, as JSON objects.
    """

    __slots__ = ('set_at_s', 'vms')

    def __init__(self, set_at_s: float, vms: list[dict[str, object]]) -> None:
        self.set_at_s = set_at_s
        self.vms = vms


class VmList:
    """Shows each state of the list only after the lag."""

    __slots__ = ('_lag_s', '_versions')

    def __init__(self, lag_ms: int) -> None:
        self._lag_s = lag_ms / 1000
        self._versions: collections.deque[VmListVersion] = collections.deque(
            [VmListVersion(0.0, [])]
        )

    async def handle(self, exchange: faults_module.FaultableExchange) -> None:
        """Answers one request."""
        head = exchange.head
        if head.method == 'PUT' and head.path == '/control/vms':
            await self._set_vms(exchange)
            return
        if head.method == 'GET' and head.path == '/vms':
            await exchange.send_json(200, {'vms': self._find_visible()})
            return
        await exchange.send_json(404, {'error': 'no such path'})

    async def _set_vms(self, exchange: faults_module.FaultableExchange) -> None:
        """Takes the whole list from the body."""
        document = await exchange.read_json()
        if isinstance(document, results.Failure):
            await exchange.refuse(400, document)
            return
        vms = document.get('vms')
        if not isinstance(vms, list):
            await exchange.send_json(400, {'error': 'vms must be a list'})
            return
        self._versions.append(VmListVersion(trio.current_time(), vms))
        await exchange.send_json(200, {'vms': len(vms)})

    def _find_visible(self) -> list[dict[str, object]]:
        """Returns the newest state that is older than the lag."""
        limit_s = trio.current_time() - self._lag_s
        while len(self._versions) > 1 and self._versions[1].set_at_s <= limit_s:
            self._versions.popleft()
        return self._versions[0].vms


def create_vm_list(lag_ms: int = 0) -> VmList:
    """Creates an empty list."""
    return VmList(lag_ms)
