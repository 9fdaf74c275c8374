"""Typed values of the service document.

A team publishes one document that defines its services, which requests are
online or batch, the limits of its callers and the service level objectives.
"""

import enum


class ServiceKind(enum.Enum):
    """Type of the upstreams of a service."""

    #: Model engines that generate tokens.
    MODEL = 'model'

    #: A plain HTTP service.
    PLAIN = 'plain'


class RequestClass(enum.Enum):
    """Scheduling class of a request."""

    #: A caller waits for the answer.
    ONLINE = 'online'

    #: Due later; uses idle capacity and yields to online requests.
    BATCH = 'batch'


class ObjectiveMeasure(enum.Enum):
    """What an objective measures."""

    #: From a request's arrival to its first token.
    FIRST_TOKEN = 'first_token'

    #: Between two tokens of one answer.
    BETWEEN_TOKENS = 'between_tokens'

    #: From a request's arrival to its whole answer.
    WHOLE_ANSWER = 'whole_answer'

    #: Share of requests answered without a failure of the system.
    AVAILABILITY = 'availability'


class Service:
    """One service and how its upstreams may be used.

    Attributes:
        name: Name of the service.
        kind: Type of the upstreams.
        model: Name of the model; empty for plain services.
        model_version: Version that the engines should run.
        slots_per_upstream: Maximum number of concurrent requests per upstream.
        online_reserve_slots: Slots per upstream reserved for online requests.
        batch_prefill_tokens: Longest batch prompt admitted while online
            requests run, in tokens.
        max_batch_slowdown: Maximum time between an online request's tokens
            while batch requests run, as a multiple of that without batch.
        max_changing: Upstreams that may change their version concurrently.
        orders_fenced: Whether the upstreams reject orders with an outdated
            fencing token.
        deadline_ms: Maximum duration of an online request.
        max_attempts: Maximum attempts for an idempotent request.
        batch_max_attempts: Maximum attempts for an idempotent batch item.
        result_retention_s: Retention time of results.
        batch_idempotent: Whether a batch item may be retried after an attempt
            with unknown outcome.
    """

    __slots__ = (
        'name',
        'kind',
        'model',
        'model_version',
        'slots_per_upstream',
        'online_reserve_slots',
        'batch_prefill_tokens',
        'max_batch_slowdown',
        'max_changing',
        'orders_fenced',
        'deadline_ms',
        'max_attempts',
        'batch_max_attempts',
        'result_retention_s',
        'batch_idempotent',
    )

    def __init__(
        self,
        *,
        name: str,
        kind: ServiceKind,
        model: str = '',
        model_version: str = '',
        slots_per_upstream: int = 8,
        online_reserve_slots: int = 1,
        batch_prefill_tokens: int = 2048,
        max_batch_slowdown: float = 1.3,
        max_changing: int = 1,
        orders_fenced: bool = False,
        deadline_ms: int = 120_000,
        max_attempts: int = 4,
        batch_max_attempts: int = 3,
        result_retention_s: int = 172_800,
        batch_idempotent: bool = True,
    ) -> None:
        self.name = name
        self.kind = kind
        self.model = model
        self.model_version = model_version
        self.slots_per_upstream = slots_per_upstream
        self.online_reserve_slots = online_reserve_slots
        self.batch_prefill_tokens = batch_prefill_tokens
        self.max_batch_slowdown = max_batch_slowdown
        self.max_changing = max_changing
        self.orders_fenced = orders_fenced
        self.deadline_ms = deadline_ms
        self.max_attempts = max_attempts
        self.batch_max_attempts = batch_max_attempts
        self.result_retention_s = result_retention_s
        self.batch_idempotent = batch_idempotent


class Route:
    """Maps a path prefix to a plain service.

    Attributes:
        path_prefix: Path prefix, with a leading and a trailing slash.
        service: Name of the service.
        methods: Allowed HTTP methods, upper case.
        idempotent: Whether a request with unknown outcome may be retried.
        request_class: Scheduling class of the requests.
    """

    __slots__ = (
        'path_prefix',
        'service',
        'methods',
        'idempotent',
        'request_class',
    )

    def __init__(
        self,
        *,
        path_prefix: str,
        service: str,
        methods: tuple[str, ...] = ('GET', 'POST'),
        idempotent: bool = False,
        request_class: RequestClass = RequestClass.ONLINE,
    ) -> None:
        self.path_prefix = path_prefix
        self.service = service
        self.methods = methods
        self.idempotent = idempotent
        self.request_class = request_class


class CallerPolicy:
    """Identity and limits of one caller.

    Attributes:
        name: Name of the caller.
        key_sha256: Hex SHA-256 of the caller's bearer key.
        requests_per_s: Sustained rate of online requests.
        burst_requests: Maximum burst above the sustained rate.
        max_in_flight: Maximum number of concurrent online requests.
        weight: Share of batch capacity relative to other callers.
    """

    __slots__ = (
        'name',
        'key_sha256',
        'requests_per_s',
        'burst_requests',
        'max_in_flight',
        'weight',
    )

    def __init__(
        self,
        *,
        name: str,
        key_sha256: str,
        requests_per_s: float = 100.0,
        burst_requests: int = 200,
        max_in_flight: int = 1000,
        weight: int = 1,
    ) -> None:
        self.name = name
        self.key_sha256 = key_sha256
        self.requests_per_s = requests_per_s
        self.burst_requests = burst_requests
        self.max_in_flight = max_in_flight
        self.weight = weight


class Objective:
    """A service level objective: the share of requests within a bound.

    Attributes:
        name: Name of the objective.
        service: Name of the service.
        measure: Measured quantity.
        within_ms: Bound in milliseconds; 0 for availability.
        share: Required share of good requests, between 0 and 1.
        period_days: Period of the error budget.
    """

    __slots__ = (
        'name',
        'service',
        'measure',
        'within_ms',
        'share',
        'period_days',
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        measure: ObjectiveMeasure,
        within_ms: int,
        share: float,
        period_days: int = 28,
    ) -> None:
        self.name = name
        self.service = service
        self.measure = measure
        self.within_ms = within_ms
        self.share = share
        self.period_days = period_days


class ServiceDocument:
    """The service document of a team.

    Attributes:
        owner: Name of the team.
        format: Version of the document format.
        services: Services by name.
        routes: Routes, longest path prefix first.
        callers: Callers by name.
        objectives: Objectives in document order.
        text: The INI text that the document was parsed from.
    """

    __slots__ = (
        'owner',
        'format',
        'services',
        'routes',
        'callers',
        'objectives',
        'text',
    )

    def __init__(
        self,
        *,
        owner: str,
        services: dict[str, Service],
        routes: list[Route],
        callers: dict[str, CallerPolicy],
        objectives: list[Objective],
        text: str = '',
        format: int = 1,
    ) -> None:
        self.owner = owner
        self.format = format
        self.services = services
        self.routes = sorted(
            routes, key=lambda route: len(route.path_prefix), reverse=True
        )
        self.callers = callers
        self.objectives = objectives
        self.text = text
