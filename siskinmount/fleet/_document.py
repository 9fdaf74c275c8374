"""The document: routes, services and limits for callers of the fleet."""

import enum
import random

from siskinmount import customers as customers_module


class RouteKind(enum.Enum):
    """Kind of a route; decides whether its requests may be repeated."""

    #: A request may run more than once.
    IDEMPOTENT = 'idempotent'

    #: A request runs at most once.
    NON_IDEMPOTENT = 'non_idempotent'

    #: The answer is a stream of events with increasing ids.
    STREAMING = 'streaming'

    #: Requests are batch jobs.
    BATCH = 'batch'


class ServiceShare:
    """A service and its share of the requests of a route.

    Attributes:
        service: Name of the service.
        weight: Share of the requests, relative to the weights of the others.
    """

    __slots__ = ('service', 'weight')

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class FleetRoute:
    """A route from a host and path prefix to services.

    Attributes:
        name: Name of the route.
        host: Host of the requests that match.
        path_prefix: Prefix of the paths that match.
        kind: Kind of the route.
        shares: Services that run the requests.
        timeout_ms: Timeout of a request.
        target_ms: Latency objective of an answer, or of its first event.
        priority: Priority of the requests; 0 is the highest.
        max_attempts: Maximum of upstreams that one request may be sent to.
        resumable: Whether a stream may be continued at another upstream.
        max_gap_ms: Longest time between events; 0 if none is declared.
        run_target_ms: Time within which the items of a batch job are due.
        retention_s: Time after which an item of a batch job may be given up.
        max_waiting_tokens: Bound on the tokens of the open items of a customer,
            or of all callers without one together; 0 for none.
        public: Whether requests need no key.
    """

    __slots__ = (
        'name',
        'host',
        'path_prefix',
        'kind',
        'shares',
        'timeout_ms',
        'target_ms',
        'priority',
        'max_attempts',
        'resumable',
        'max_gap_ms',
        'run_target_ms',
        'retention_s',
        'max_waiting_tokens',
        'public',
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        path_prefix: str,
        kind: RouteKind,
        shares: tuple[ServiceShare, ...],
        timeout_ms: int,
        target_ms: int,
        priority: int = 0,
        max_attempts: int = 1,
        resumable: bool = False,
        max_gap_ms: int = 0,
        run_target_ms: int = 0,
        retention_s: float = 0,
        max_waiting_tokens: int = 0,
        public: bool = False,
    ) -> None:
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.kind = kind
        self.shares = shares
        self.timeout_ms = timeout_ms
        self.target_ms = target_ms
        self.priority = priority
        self.max_attempts = max_attempts
        self.resumable = resumable
        self.max_gap_ms = max_gap_ms
        self.run_target_ms = run_target_ms
        self.retention_s = retention_s
        self.max_waiting_tokens = max_waiting_tokens
        self.public = public

    def draw_service(self) -> str:
        """Returns the name of a service, chosen at random by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights=weights)[0].service

    def may_repeat(self) -> bool:
        """Returns whether a request may run more than once."""
        if self.kind is RouteKind.IDEMPOTENT:
            return True
        return self.kind is RouteKind.STREAMING and self.resumable


class FleetService:
    """A service, run by upstreams.

    Attributes:
        name: Name of the service.
        max_connections: Maximum of connections to one upstream from all
            callers.
        slot_count: Requests that one upstream runs at once; 0 if unknown.
    """

    __slots__ = ('name', 'max_connections', 'slot_count')

    def __init__(
        self, name: str, max_connections: int, slot_count: int = 0
    ) -> None:
        self.name = name
        self.max_connections = max_connections
        self.slot_count = slot_count


class CallerLimits:
    """Bounds on what callers may send.

    Attributes:
        max_header_bytes: Maximum size of request line and headers together.
        max_body_bytes: Maximum size of the body of a request.
        header_timeout_ms: Timeout for receiving the headers of a request.
        idle_timeout_ms: Timeout of an unused keep-alive connection.
    """

    __slots__ = (
        'max_header_bytes',
        'max_body_bytes',
        'header_timeout_ms',
        'idle_timeout_ms',
    )

    def __init__(
        self,
        max_header_bytes: int,
        max_body_bytes: int,
        header_timeout_ms: int,
        idle_timeout_ms: int,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_ms = header_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms


class FleetDocument:
    """A version of all routes, services and limits.

    Attributes:
        version: Version number; increases with each change.
        routes: All routes.
        services: Services by name.
        limits: Bounds on what callers may send.
        source: The document as published, to be sent to peers.
        customers: Customers by their keys; None if the document defines none,
            so that no request needs a key.
    """

    __slots__ = (
        'version',
        'routes',
        'services',
        'limits',
        'source',
        'customers',
        '_routes_by_host',
    )

    def __init__(
        self,
        version: int,
        routes: list[FleetRoute],
        services: dict[str, FleetService],
        limits: CallerLimits,
        source: bytes,
        customers: customers_module.CustomerTable | None = None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self.source = source
        self.customers = customers
        self._routes_by_host: dict[str, list[FleetRoute]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for host_routes in self._routes_by_host.values():
            host_routes.sort(key=_get_prefix_length, reverse=True)

    def find_route(self, host: str, path: str) -> FleetRoute | None:
        """Returns the route whose prefix is the longest match of a path."""
        for route in self._routes_by_host.get(host, []):
            if path.startswith(route.path_prefix):
                return route
        return None

    def has_public_batch_route(self) -> bool:
        """Returns whether callers without a key may submit jobs."""
        for route in self.routes:
            if route.kind is RouteKind.BATCH and route.public:
                return True
        return False

    def find_route_by_name(self, name: str) -> FleetRoute | None:
        """Returns the route with a name."""
        for route in self.routes:
            if route.name == name:
                return route
        return None


def _get_prefix_length(route: FleetRoute) -> int:
    return len(route.path_prefix)
