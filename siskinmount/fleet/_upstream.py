"""One engine or plain service process that runs requests."""

import enum

from siskinmount import transport


class UpstreamState(enum.Enum):
    """Whether an upstream takes new requests."""

    READY = 'ready'

    #: It serves what it has for a while, and takes nothing new.
    LEAVING = 'leaving'


class Upstream:
    """What an upstream says of itself.

    Attributes:
        upstream_id: Name of this process or slot; unique among those that live.
        service: Service that it belongs to.
        address: Where it takes requests.
        failure_domain: Where its VM is.
        state: Whether it takes new requests.
        slot_count: Requests that it runs at once; 0 if not told.
        started_at_ms: Unix time of its start; a change means another process.
    """

    __slots__ = (
        'upstream_id',
        'service',
        'address',
        'failure_domain',
        'state',
        'slot_count',
        'started_at_ms',
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
    ) -> None:
        self.upstream_id = upstream_id
        self.service = service
        self.address = address
        self.failure_domain = failure_domain
        self.state = state
        self.slot_count = slot_count
        self.started_at_ms = started_at_ms
