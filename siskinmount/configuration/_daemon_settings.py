"""Settings of one daemon as typed values."""

import enum

from siskinmount import transport


class LogLevel(enum.Enum):
    """Least severity of the events that are logged."""

    DEBUG = 'debug'
    INFO = 'info'
    WARNING = 'warning'
    ERROR = 'error'


class GatePolicy(enum.Enum):
    """How a sidecar shares its upstream between online and batch requests."""

    #: Online requests start at once; batch requests yield to them.
    ONLINE_FIRST = 'online_first'

    #: All requests go to the upstream as they come.
    PASS_THROUGH = 'pass_through'

    #: Each class has a fixed part of the slots.
    STATIC_SPLIT = 'static_split'


class DaemonIdentity:
    """What both daemons are told about themselves and their surroundings.

    Attributes:
        vm: Name of the VM.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        log_level: Least severity of the events that are logged.
        peers_address: Where other daemons reach this one over HTTP.
        control_address: Where other daemons reach this one over gRPC.
        log_address: The platform's log service.
        vm_list_address: The platform's VM list.
        seeds: Control addresses of entries to ask first.
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
        identity: What both daemons are told.
        callers_address: Where callers and the balancer reach this entry.
        stream_count: Number of state streams; the same at every entry.
        log_retention_s: How long the platform's log keeps a record.
        log_retention_records: How many records of a stream the log keeps; 0
            if only their age counts.
        limits: Bounds on callers' connections.
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
        identity: What both daemons are told.
        service: Service of the upstream.
        upstream_address: Where the upstream listens.
        orders_fenced: Whether the upstream refuses orders with an old fencing
            number.
        gate_policy: How the upstream is shared.
        slots: Requests that the upstream runs at once, or None for what the
            service document says.
        online_slots: Slots that `GatePolicy.STATIC_SPLIT` keeps for online
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
