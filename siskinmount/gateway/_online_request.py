"""One request of a caller, and what has become of it so far."""

import trio

from siskinmount import fleet
from siskinmount import placement
from siskinmount import results
from siskinmount import transport
from siskinmount.gateway import _wire


class OnlineRequest:
    """One request of a caller, and what has become of it so far.

    Attributes:
        exchange: The caller's connection.
        route: The route by which it is served to its end.
        caller_request: What its headers say.
        body: Its whole body.
        document_version: Version of the document that named the route.
        began_at_s: When its last byte had come, on the steady clock.
        deadline_s: When its caller gets a final answer at the latest.
        fingerprint: Name that all attempts of the caller have in common.
        attempts: Sends that an upstream has, or may have, run.
        not_run_count: Sends that no upstream began.
        tried: Upstreams that got it and did not answer it.
        last_event_id: Id of the last event that the caller has.
        may_have_run: Whether an upstream may have begun it.
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
        'tried',
        'last_event_id',
        'may_have_run',
    )

    def __init__(
        self,
        exchange: transport.ServerExchange,
        route: fleet.FleetRoute,
        caller_request: _wire.CallerRequest,
        body: bytes,
        document_version: int,
        began_at_s: float,
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
        self.tried: set[str] = set()
        self.last_event_id = caller_request.last_event_id
        self.may_have_run = False

    @property
    def request_id(self) -> str:
        """Id of this attempt of the caller."""
        return self.caller_request.request_id

    @property
    def has_begun(self) -> bool:
        """Whether the caller has got a part of the answer."""
        return self.exchange.response_started

    def get_run_state(self) -> results.RunState:
        """Returns what the caller may be told about runs."""
        if self.may_have_run:
            return results.RunState.UNKNOWN
        return results.RunState.NOT_RUN

    def may_try_again(self) -> bool:
        """Returns whether another upstream may run it after a lost run."""
        if not self.route.may_repeat():
            return False
        return self.attempts < self.route.max_attempts

    def may_repeat_after_this(self) -> bool:
        """Returns whether another may follow the attempt that is running."""
        if not self.route.may_repeat():
            return False
        return self.attempts + 1 < self.route.max_attempts

    def get_elapsed_ms(self) -> int:
        """Returns how long ago it began."""
        return int((trio.current_time() - self.began_at_s) * 1000)

    def get_remaining_ms(self) -> int:
        """Returns the time until its deadline."""
        return int((self.deadline_s - trio.current_time()) * 1000)

    def take_event_id(self, event_id: int | None) -> bool:
        """Returns whether an event follows the last one that was passed on."""
        if event_id is None:
            return True
        last = self.last_event_id
        if last is not None and event_id != last + 1:
            return False
        self.last_event_id = event_id
        return True
