"""HTTP client of the platform's VM list, which may lag behind."""

import enum
from typing import Any
from typing import Protocol

from siskinmount import results
from siskinmount import transport
from siskinmount.backing_services import _http_call

MAX_RESPONSE_BYTES = 16 * 1024 * 1024

_CODE = results.ResultCode.VM_LIST_UNAVAILABLE


class VmState(enum.Enum):
    """Last known state of a VM."""

    LIVE = 'live'
    LEAVING = 'leaving'


class VmEntry:
    """One VM in the list.

    Attributes:
        vm: Name of the VM.
        role: `entry` or `sidecar`.
        peers_address: HTTP address of its daemon for peers, as host:port.
        control_address: Address of its daemon for control calls, as host:port.
        failure_domain: Name of its failure domain.
        region: Name of its region.
        state: Live or leaving.
    """

    __slots__ = (
        'vm',
        'role',
        'peers_address',
        'control_address',
        'failure_domain',
        'region',
        'state',
    )

    def __init__(
        self,
        *,
        vm: str,
        role: str,
        peers_address: str,
        control_address: str,
        failure_domain: str = '',
        region: str = '',
        state: VmState = VmState.LIVE,
    ) -> None:
        self.vm = vm
        self.role = role
        self.peers_address = peers_address
        self.control_address = control_address
        self.failure_domain = failure_domain
        self.region = region
        self.state = state


class VmList(Protocol):
    """Lists the VMs that the platform knows."""

    async def fetch(self) -> list[VmEntry] | results.Failure:
        """Returns all VMs that are live or leaving."""
        ...


class HttpVmList:
    """Implements `VmList` over HTTP."""

    __slots__ = ('_client',)

    def __init__(self, address: transport.Address) -> None:
        self._client = transport.create_http_client(address)

    async def fetch(self) -> list[VmEntry] | results.Failure:
        """Returns all VMs that are live or leaving."""
        response = await _http_call.call(
            self._client,
            transport.ClientRequest('GET', '/vms'),
            _CODE,
            MAX_RESPONSE_BYTES,
        )
        if isinstance(response, results.Failure):
            return response
        if response.status != 200:
            return _http_call.unavailable(
                _CODE, f'the VM list answered {response.status}'
            )
        try:
            return [_decode(entry) for entry in response.document['vms']]
        except (KeyError, TypeError, ValueError) as error:
            return _http_call.unavailable(
                _CODE, f'malformed response of the VM list: {error!r}'
            )


def _decode(document: dict[str, Any]) -> VmEntry:
    return VmEntry(
        vm=str(document['vm']),
        role=str(document['role']),
        peers_address=str(document['peers_address']),
        control_address=str(document['control_address']),
        failure_domain=str(document.get('failure_domain', '')),
        region=str(document.get('region', '')),
        state=VmState(document.get('state', VmState.LIVE.value)),
    )


def create_vm_list_client(address: transport.Address) -> HttpVmList:
    """Creates a client for the VM list at an address."""
    return HttpVmList(address)
