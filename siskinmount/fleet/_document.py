"""Routes, services and limits that are in force for callers of the fleet."""

import enum
import random


class RouteKind(enum.Enum):
    """What may be repeated of the requests of a route."""

    #: A request may run more than once.
    IDEMPOTENT = 'idempotent'

    #: A request runs at most once.
    NON_IDEMPOTENT = 'non_idempotent'

    #: The answer is a stream of events with rising ids.
    STREAMING = 'streaming'

    #: Requests are batch jobs.
    BATCH = 'batch'


class ServiceShare:
    """A service and its part of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Part of the requests, against the weights of the others.
    """

    __slots__ = ('service', 'weight')

    def __init__(self, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class FleetRoute:
    """One route.

    Attributes:
        name: Name of the route.
        host: Host whose requests it takes.
        path_prefix: Beginning of the paths that it takes.
        kind: What may be repeated.
        shares: Services that run its requests.
        timeout_ms: Longest time that a request is kept.
        target_ms: Latency objective of an answer, or of its first event.
        priority: Rank; 0 is the most urgent.
        max_attempts: Most upstreams that one request may be sent to.
        resumable: Whether a stream may go on at another upstream.
        max_gap_ms: Longest pause between events; 0 where none is declared.
        run_target_ms: In which time the items of a batch job are due.
        retention_s: After which time an item of a batch job may be given up.
        max_waiting_tokens: Bound on the tokens of unfinished items; 0 for none.
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

    def draw_service(self) -> str:
        """Returns one of its services, drawn by weight."""
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
    """One service.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one upstream takes from all callers.
        slot_count: Requests that one upstream runs at once; 0 if not told.
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
        max_header_bytes: Request line and headers together.
        max_body_bytes: Body of a request.
        header_timeout_ms: Time for the headers of a request.
        idle_timeout_ms: How long a kept connection may stay unused.
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
    """One version of all routes, services and limits.

    Attributes:
        version: Rises with each change.
        routes: All routes.
        services: Services by name.
        limits: Bounds on what callers may send.
        source: The document as it was published, for peers.
    """

    __slots__ = (
        'version',
        'routes',
        'services',
        'limits',
        'source',
        '_routes_by_host',
    )

    def __init__(
        self,
        version: int,
        routes: list[FleetRoute],
        services: dict[str, FleetService],
        limits: CallerLimits,
        source: bytes,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.limits = limits
        self.source = source
        self._routes_by_host: dict[str, list[FleetRoute]] = {}
        for route in routes:
            self._routes_by_host.setdefault(route.host, []).append(route)
        for of_host in self._routes_by_host.values():
            of_host.sort(key=_get_prefix_length, reverse=True)

    def find_route(self, host: str, path: str) -> FleetRoute | None:
        """Returns the route with the longest prefix of a path."""
        for route in self._routes_by_host.get(host, []):
            if path.startswith(route.path_prefix):
                return route
        return None

    def find_route_by_name(self, name: str) -> FleetRoute | None:
        """Returns the route of a name."""
        for route in self.routes:
            if route.name == name:
                return route
        return None


def _get_prefix_length(route: FleetRoute) -> int:
    return len(route.path_prefix)
