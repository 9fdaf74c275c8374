"""A batch job, its items and their results.

An item is listed once its result stands in the job's results, which are in the
log and are what callers read. An item that is not listed is open.
"""

import enum


class ItemState(enum.Enum):
    """How an item ended."""

    #: An upstream ran the item to completion.
    DONE = 'done'

    #: The item failed and will not be retried.
    GIVEN_UP = 'given_up'


class JobItem:
    """One request of a job.

    Attributes:
        item_id: Id of the item, unique in the job.
        path: Path and query of the request to the upstream.
        headers: Names and values of the request headers.
        body: Request body.
        token_count: Prompt tokens plus the maximum of output tokens.
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
    """The final result of an item.

    Attributes:
        item_id: Id of the item.
        state: How the item ended.
        output: Data of all events of the answer, separated by line feeds.
    """

    __slots__ = ('item_id', 'state', 'output')

    def __init__(self, item_id: str, state: ItemState, output: str) -> None:
        self.item_id = item_id
        self.state = state
        self.output = output


class Job:
    """One accepted batch job.

    Attributes:
        job_id: Id of the job.
        route_name: Route to which the job was submitted.
        host: Host of the route.
        accepted_at_ms: Unix time of acceptance, by the clock of the VM that
            accepted the job.
        known_since_s: Monotonic time at which this process first saw the job.
        items: All items, in the order of submission.
        results: Results of listed items, by position.
        open_items: Items that are not listed, by id, in submission order.
        is_ended: Whether the caller has ended the job.
        offset: Log offset of the acceptance; -1 while it is unknown.
        customer: Name of the customer that submitted the job; empty for none.
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
        'customer',
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
        customer: str = '',
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
        self.customer = customer

    def count_waiting_tokens(self) -> int:
        """Returns the tokens of open items; 0 once the job is ended."""
        if self.is_ended:
            return 0
        return sum(item.token_count for item in self.open_items.values())
