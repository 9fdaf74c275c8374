"""Connection pools of the upstreams."""

from siskinmount import fleet
from siskinmount import transport

#: Opening a connection takes one round trip and about a millisecond; an
#: upstream whose VM lost power never answers.
CONNECT_TIMEOUT_MS = 350
SEND_TIMEOUT_MS = 2000
#: Idle connections are closed before the upstream's keep-alive timeout, which
#: its responses state; this value applies where they do not.
IDLE_TIMEOUT_MS = 4000
#: Largest share of an upstream's connections that one daemon may open.
MAX_CONNECTION_SHARE = 0.5
_DEFAULT_CONNECTIONS = 64


class UpstreamClients:
    """The HTTP clients of the upstreams, one for each."""

    __slots__ = ('_view', '_clients')

    def __init__(self, view: fleet.FleetView) -> None:
        self._view = view
        self._clients: dict[str, transport.HttpClient] = {}

    def get_client(self, upstream: fleet.Upstream) -> transport.HttpClient:
        """Returns the client of an upstream, anew if its address changed."""
        client = self._clients.get(upstream.upstream_id)
        if client is not None and client.address == upstream.address:
            return client
        if client is not None:
            client.close()
        client = transport.create_http_client(
            upstream.address,
            transport.ClientLimits(
                max_connections=self._get_max_connections(upstream),
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                # Each request has timeouts of its own.
                silence_timeout_ms=None,
                send_timeout_ms=SEND_TIMEOUT_MS,
                idle_timeout_ms=IDLE_TIMEOUT_MS,
            ),
        )
        self._clients[upstream.upstream_id] = client
        return client

    def close_removed(self) -> None:
        """Closes the clients of upstreams that are no longer listed."""
        for upstream_id in list(self._clients):
            if upstream_id not in self._view.upstreams:
                self._clients.pop(upstream_id).close()

    def _get_max_connections(self, upstream: fleet.Upstream) -> int:
        document = self._view.document
        service = document.services.get(upstream.service) if document else None
        if service is None or not service.max_connections:
            return _DEFAULT_CONNECTIONS
        return max(1, int(service.max_connections * MAX_CONNECTION_SHARE))


def create_upstream_clients(view: fleet.FleetView) -> UpstreamClients:
    """Creates a set without clients; each is created at its first use."""
    return UpstreamClients(view)
