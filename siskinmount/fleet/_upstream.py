"""An upstream: an engine or service process that runs requests."""

import enum

from siskinmount import transport
from siskinmount.fleet import _software


class UpstreamState(enum.Enum):
    """Whether an upstream takes new requests."""

    READY = 'ready'

    #: The upstream finishes its requests and takes no new ones.
    LEAVING = 'leaving'


class Upstream:
    """An upstream as described by its own entry.

    Attributes:
        upstream_id: Id of the process or slot; unique among live upstreams.
        service: Name of the service that the upstream runs.
        address: Address at which the upstream takes requests.
        failure_domain: Failure domain of the VM; empty if unknown.
        state: Whether the upstream takes new requests.
        slot_count: Requests that the upstream runs at once; 0 if unknown.
        started_at_ms: Unix time of the start of the process; changes with a
            restart.
        software_version: Version of the upstream's software; empty if unknown.
            Versions have no order.
        entry_number: Number of the entry; each that the process writes has a
            larger one.
        cold_left_ms: How much longer the upstream is slow after its start, as
            it said in its entry; 0 if it is not.
    """

    __slots__ = (
        'upstream_id',
        'service',
        'address',
        'failure_domain',
        'state',
        'slot_count',
        'started_at_ms',
        'software_version',
        'entry_number',
        'cold_left_ms',
    )

    def __init__(
        self,
        *,
        upstream_id: str,
        service: str,
        address: transport.Address,
        failure_domain: str,
        state: UpstreamState,
        slot_count: int,
        started_at_ms: int,
        software_version: str = '',
        entry_number: int = 0,
        cold_left_ms: int = 0,
    ) -> None:
        self.upstream_id = upstream_id
        self.service = service
        self.address = address
        self.failure_domain = failure_domain
        self.state = state
        self.slot_count = slot_count
        self.started_at_ms = started_at_ms
        self.software_version = software_version
        self.entry_number = entry_number
        self.cold_left_ms = cold_left_ms

    @property
    def software(self) -> _software.Software:
        """What the upstream runs.

        An unknown version is taken for one that no other process has.
        """
        version = self.software_version
        if not version:
            version = f'?{self.upstream_id}/{self.started_at_ms}'
        return _software.Software(self.service, version)
