"""What an answer run needs to reach upstreams."""

import orjson

from siskinmount import membership
from siskinmount import relay
from siskinmount import results
from siskinmount import routing
from siskinmount import state
from siskinmount import transport
from siskinmount.entry import _pause_guard


class UpstreamAccess:
    """Connections to sidecars, and what is known about upstreams.

    Attributes:
        router: Chooses upstreams.
        retries: Bounds the retries of each service.
        pauses: Holds new runs after a pause of this process.
    """

    __slots__ = (
        'router',
        'retries',
        'pause_guard',
        '_limits',
        '_clients',
        '_convictions',
    )

    def __init__(
        self,
        router: routing.Router,
        retries: routing.RetryBudgets,
        convictions: state.ConvictionStream,
        limits: transport.ClientLimits,
    ) -> None:
        self.router = router
        self.retries = retries
        self.pause_guard = _pause_guard.PauseGuard(convictions.wait_read)
        self._limits = limits
        self._clients: dict[transport.Address, transport.HttpClient] = {}
        self._convictions = convictions

    def find_client(self, member: membership.Member) -> transport.HttpClient:
        """Returns the connection pool for a sidecar."""
        address = member.peers_address
        client = self._clients.get(address)
        if client is None:
            client = transport.create_http_client(address, self._limits)
            self._clients[address] = client
        return client

    def drop_clients(self, kept: set[transport.Address]) -> None:
        """Closes the pools of sidecars that are no longer members."""
        for address in list(self._clients):
            if address in kept:
                continue
            if self._clients[address].in_use_count:
                continue
            self._clients.pop(address).close()

    def record_load(
        self, member: membership.Member, exchange: transport.ClientExchange
    ) -> None:
        """Passes the load that rides on an answer to the router."""
        in_flight = exchange.find_header(relay.RelayHeader.IN_FLIGHT)
        slots = exchange.find_header(relay.RelayHeader.SLOTS)
        if in_flight is None or slots is None:
            return
        if not in_flight.isdigit() or not slots.isdigit():
            return
        self.router.note_answer(member.vm, int(in_flight), int(slots))

    def is_suspect(self, fingerprint: str) -> bool:
        """Tells whether a request must run alone."""
        return self._convictions.is_suspect(fingerprint)

    def is_convicted(self, fingerprint: str) -> bool:
        """Tells whether a request must not run again."""
        return self._convictions.is_convicted(fingerprint)

    def record_survival(self, fingerprint: str) -> None:
        """Records that a suspect has run alone to its end."""
        self._convictions.record_survival(fingerprint)

    async def wait_convicted(self, fingerprint: str) -> None:
        """Returns once a request must not run again."""
        await self._convictions.wait_convicted(fingerprint)

    def record_death(
        self,
        fingerprint: str,
        member: membership.Member,
        frame: relay.FailureFrame,
    ) -> None:
        """Records that an upstream died while it ran a request.

        Args:
            fingerprint: Hash of service and content.
            member: The sidecar beside the upstream.
            frame: What the sidecar says of the death.
        """
        if not frame.upstream_generation:
            return
        self._convictions.record_death(
            fingerprint,
            member.vm,
            member.incarnation + frame.upstream_generation,
            alone=frame.was_alone,
        )


def parse_error_body(body: bytes) -> relay.FailureFrame:
    """Parses the failure that a daemon answered with."""
    try:
        return relay.decode_failure(orjson.loads(body)['error'])
    except (ValueError, KeyError, TypeError):
        return relay.FailureFrame(
            results.Failure(
                results.ResultCode.UPSTREAM_ERROR,
                'the answer of a daemon could not be read',
                results.RunState.UNKNOWN,
            )
        )
