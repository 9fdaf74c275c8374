"""State of a caller's online request."""

import trio

from siskinmount import customers
from siskinmount import fleet
from siskinmount import placement
from siskinmount import results
from siskinmount import stream_origins
from siskinmount import transport
from siskinmount.gateway import _wire


class OnlineRequest:
    """A caller's online request and its progress.

    Attributes:
        exchange: The caller's connection.
        route: The route, fixed for the life of the request.
        caller_request: Values read from the headers.
        body: The complete request body.
        document_version: Version of the document that the route is from.
        began_at_s: When the last byte was received, on the monotonic clock.
        deadline_s: When the caller must have a final response, on that clock.
        fingerprint: Hash of host, target and body; the same for each retry by
            the caller.
        attempts: Attempts that an upstream has, or may have, run.
        not_run_count: Attempts that the upstream did not run.
        tried_upstreams: Upstreams that failed to answer the request.
        last_event_id: Id of the last event that the caller has, or None.
        empty_end_id: Id of the event after which an upstream sent none, without
            showing that there is none; None if that has not been so.
        connections: Connections over which it was sent to upstreams.
        may_have_run: Whether an upstream may have started to run it.
        buffered_bytes: Bytes of upstreams' responses that are held for it.
        software: What began the stream of which the caller has events; nothing
            else may go on with it. None before the first event.
        record_count: Runs that were recorded as the start of the stream.
        customer: The customer; None on routes that need none.
        must_start_unrecorded: Whether a run could not be recorded in time, so
            that the next one is to need no record.
    """

    __slots__ = (
        'exchange',
        'route',
        'caller_request',
        'body',
        'document_version',
        'began_at_s',
        'deadline_s',
        'fingerprint',
        'attempts',
        'not_run_count',
        'tried_upstreams',
        'last_event_id',
        'empty_end_id',
        'connections',
        'may_have_run',
        'buffered_bytes',
        'software',
        'record_count',
        'must_start_unrecorded',
        'customer',
    )

    def __init__(
        self,
        exchange: transport.ServerExchange,
        route: fleet.FleetRoute,
        caller_request: _wire.CallerRequest,
        body: bytes,
        document_version: int,
        began_at_s: float,
        customer: customers.Customer | None = None,
    ) -> None:
        self.exchange = exchange
        self.route = route
        self.caller_request = caller_request
        self.body = body
        self.document_version = document_version
        self.began_at_s = began_at_s
        time_ms = route.timeout_ms
        if caller_request.deadline_ms is not None:
            time_ms = min(time_ms, caller_request.deadline_ms)
        self.deadline_s = began_at_s + time_ms / 1000
        self.fingerprint = placement.make_fingerprint(
            route.host, exchange.head.target, body
        )
        self.attempts = 0
        self.not_run_count = 0
        self.tried_upstreams: set[str] = set()
        self.last_event_id = caller_request.last_event_id
        self.empty_end_id: int | None = None
        self.connections: transport.EarlierConnections = (
            transport.EarlierConnections()
        )
        self.may_have_run = False
        self.buffered_bytes = 0
        self.software: fleet.Software | None = None
        self.record_count = 0
        self.must_start_unrecorded = False
        self.customer = customer

    @property
    def request_id(self) -> str:
        """Id that the caller gave this request; empty if none."""
        return self.caller_request.request_id

    @property
    def response_started(self) -> bool:
        """Whether a part of the response has been sent to the caller."""
        return self.exchange.response_started

    @property
    def is_resumable_stream(self) -> bool:
        """Whether the response is a stream that may be resumed."""
        is_stream = self.route.kind is fleet.RouteKind.STREAMING
        return is_stream and self.route.may_repeat()

    @property
    def resumes_stream(self) -> bool:
        """Whether the caller resumes a stream of which it has events."""
        return self.is_resumable_stream and bool(
            self.caller_request.last_event_id
        )

    def make_stream_key(self, request_id: str) -> stream_origins.StreamKey:
        """Returns the key of the stream that an attempt of the caller began.

        Args:
            request_id: Id of that attempt.
        """
        return stream_origins.make_stream_key(
            request_id, f'{self.fingerprint} {self.caller_request.prompt_key}'
        )

    def name_prompt_parts(self, service: str) -> tuple[str, ...]:
        """Returns names of the shared parts of the prompt at a service.

        A part that crashes the upstreams of one service may be sound at others.
        """
        return tuple(
            f'{part}@{service}' for part in self.caller_request.prompt_parts
        )

    def get_run_state(self) -> results.RunState:
        """Returns the run state that may be reported to the caller."""
        if self.may_have_run:
            return results.RunState.UNKNOWN
        return results.RunState.NOT_RUN

    def may_retry(self) -> bool:
        """Returns whether a retry is allowed after a failed attempt."""
        if not self.route.may_repeat():
            return False
        return self.attempts < self.route.max_attempts

    def may_retry_after_current(self) -> bool:
        """Returns whether a retry is allowed if the current attempt fails."""
        if not self.route.may_repeat():
            return False
        return self.attempts + 1 < self.route.max_attempts

    def get_elapsed_ms(self) -> int:
        """Returns the time since `began_at_s`."""
        return int((trio.current_time() - self.began_at_s) * 1000)

    def get_remaining_ms(self) -> int:
        """Returns the time until the deadline; negative once it has passed."""
        return int((self.deadline_s - trio.current_time()) * 1000)
