"""A customer, as the document in force describes it."""


class Customer:
    """A customer of the fleet.

    Attributes:
        name: Name of the customer; upstreams are told it.
        priority: Priority of its requests, 0 being the highest; None if that
            of the route applies.
        rate_per_s: Requests per second that all gateways together run for it;
            0 for no limit.
        burst: Requests that may exceed the rate at a time.
    """

    __slots__ = ('name', 'priority', 'rate_per_s', 'burst')

    def __init__(
        self,
        name: str,
        priority: int | None = None,
        rate_per_s: float = 0.0,
        burst: float = 0.0,
    ) -> None:
        self.name = name
        self.priority = priority
        self.rate_per_s = rate_per_s
        self.burst = burst
