"""Typed settings of the entry and sidecar daemons."""

import enum

from siskinmount import transport


class LogLevel(enum.Enum):
    """Minimum severity of logged events."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class GatePolicy(enum.Enum):
    """How a sidecar shares its upstream between online and batch requests."""

    #: Online requests start at once and take precedence over batch requests.
    ONLINE_FIRST = 'online_first'

    #: All requests are forwarded to the upstream on arrival.
    PASS_THROUGH = 'pass_through'

    #: Each request class has a fixed number of slots.
    STATIC_SPLIT = 'static_split'


class DaemonIdentity:
    """Settings common to entries and sidecars: identity and addresses.

    Attributes:
        vm: Name of the VM.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        log_level: Minimum severity of logged events.
        peers_address: HTTP address on which other daemons reach this one.
        control_address: gRPC address on which other daemons reach this one.
        log_address: Address of the platform's log service.
        vm_list_address: Address of the platform's VM list.
        seeds: Control addresses of entries to contact at start.
    """

    __slots__ = (
        'vm',
        'region',
        'failure_domain',
        'log_level',
        'peers_address',
        'control_address',
        'log_address',
        'vm_list_address',
        'seeds',
    )

    def __init__(
        self,
        *,
        vm: str,
        region: str,
        failure_domain: str,
        peers_address: transport.Address,
        control_address: transport.Address,
        log_address: transport.Address,
        vm_list_address: transport.Address,
        seeds: list[transport.Address],
        log_level: LogLevel = LogLevel.INFO,
    ) -> None:
        self.vm = vm
        self.region = region
        self.failure_domain = failure_domain
        self.log_level = log_level
        self.peers_address = peers_address
        self.control_address = control_address
        self.log_address = log_address
        self.vm_list_address = vm_list_address
        self.seeds = seeds


class EntrySettings:
    """Settings of an entry.

    Attributes:
        identity: Settings common to entries and sidecars.
        callers_address: Address that callers and the load balancer connect to.
        stream_count: Number of state streams; must be equal at all entries.
        log_retention_s: Retention time of the platform's log.
        log_retention_records: Number of records that the log retains per
            stream; 0 if retention is by age only.
        limits: Limits on callers' connections.
    """

    __slots__ = (
        'identity',
        'callers_address',
        'stream_count',
        'log_retention_s',
        'log_retention_records',
        'limits',
    )

    def __init__(
        self,
        *,
        identity: DaemonIdentity,
        callers_address: transport.Address,
        stream_count: int,
        limits: transport.ServerLimits,
        log_retention_s: int = 86_400,
        log_retention_records: int = 0,
    ) -> None:
        self.identity = identity
        self.callers_address = callers_address
        self.stream_count = stream_count
        self.log_retention_s = log_retention_s
        self.log_retention_records = log_retention_records
        self.limits = limits


class SidecarSettings:
    """Settings of a sidecar.

    Attributes:
        identity: Settings common to entries and sidecars.
        service: Name of the service that the upstream belongs to.
        upstream_address: Address on which the upstream listens.
        orders_fenced: Whether the upstream rejects orders with an outdated
            fencing token.
        gate_policy: How online and batch requests share the upstream.
        slots: Maximum number of concurrent requests at the upstream; None
            takes the value of the service document.
        online_slots: Slots that `GatePolicy.STATIC_SPLIT` reserves for online
            requests.
    """

    __slots__ = (
        'identity',
        'service',
        'upstream_address',
        'orders_fenced',
        'gate_policy',
        'slots',
        'online_slots',
    )

    def __init__(
        self,
        *,
        identity: DaemonIdentity,
        service: str,
        upstream_address: transport.Address,
        orders_fenced: bool = False,
        gate_policy: GatePolicy = GatePolicy.ONLINE_FIRST,
        slots: int | None = None,
        online_slots: int | None = None,
    ) -> None:
        self.identity = identity
        self.service = service
        self.upstream_address = upstream_address
        self.orders_fenced = orders_fenced
        self.gate_policy = gate_policy
        self.slots = slots
        self.online_slots = online_slots
