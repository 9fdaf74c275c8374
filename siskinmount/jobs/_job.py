"""A batch job, its items, and what has been listed of them."""

import enum


class ItemState(enum.Enum):
    """How an item ended."""

    #: An upstream ran it to its end.
    DONE = 'done'

    #: It will not be tried again.
    GIVEN_UP = 'given_up'


class JobItem:
    """One request of a job.

    Attributes:
        item_id: Its id, unique in the job.
        path: Path and query at the upstream.
        headers: Names and values that go with it.
        body: The body.
        token_count: Tokens of the prompt and the most tokens of output.
    """

    __slots__ = ('item_id', 'path', 'headers', 'body', 'token_count')

    def __init__(
        self,
        item_id: str,
        path: str,
        headers: list[tuple[str, str]],
        body: bytes,
        token_count: int,
    ) -> None:
        self.item_id = item_id
        self.path = path
        self.headers = headers
        self.body = body
        self.token_count = token_count


class ItemResult:
    """What is listed of an item.

    Attributes:
        item_id: The item.
        state: How it ended.
        output: The data of all its events, separated by line feeds.
    """

    __slots__ = ('item_id', 'state', 'output')

    def __init__(self, item_id: str, state: ItemState, output: str) -> None:
        self.item_id = item_id
        self.state = state
        self.output = output


class Job:
    """One accepted batch job.

    Attributes:
        job_id: Its id.
        route_name: Route under which it was submitted.
        host: Host of that route.
        accepted_at_ms: Unix time of its acceptance, by the VM that took it.
        known_since_s: Steady time since which this process has known it.
        items: All items.
        results: What is listed, by position.
        open_items: Items that are not listed, by id, in their order.
        is_ended: Whether its caller has ended it.
        offset: Place of its acceptance in the log.
    """

    __slots__ = (
        'job_id',
        'route_name',
        'host',
        'accepted_at_ms',
        'known_since_s',
        'items',
        'results',
        'open_items',
        'is_ended',
        'offset',
    )

    def __init__(
        self,
        *,
        job_id: str,
        route_name: str,
        host: str,
        accepted_at_ms: int,
        items: list[JobItem],
        known_since_s: float = 0,
        offset: int = -1,
    ) -> None:
        self.job_id = job_id
        self.route_name = route_name
        self.host = host
        self.accepted_at_ms = accepted_at_ms
        self.known_since_s = known_since_s
        self.items = items
        self.results: list[ItemResult] = []
        self.open_items: dict[str, JobItem] = {}
        for item in items:
            self.open_items[item.item_id] = item
        self.is_ended = False
        self.offset = offset

    def count_waiting_tokens(self) -> int:
        """Returns the tokens of items that are neither listed nor ended."""
        if self.is_ended:
            return 0
        return sum(item.token_count for item in self.open_items.values())
