"""Kept connections to the upstreams."""

from siskinmount import fleet
from siskinmount import transport

#: Bound on opening a connection. It takes a round trip and a millisecond; an
#: upstream without power never answers.
CONNECT_TIMEOUT_MS = 350
#: Silence is bounded by the request's own bounds; this one only ends a
#: connection that all of them have forgotten.
SILENCE_TIMEOUT_MS = 60_000
SEND_TIMEOUT_MS = 2000
#: Unused connections are closed before the upstream's own timeout, which its
#: answers tell; this holds where they do not.
IDLE_TIMEOUT_MS = 4000
#: Part of an upstream's connections that one daemon takes at the most.
CONNECTION_SHARE = 0.5
_DEFAULT_CONNECTIONS = 64


class UpstreamClients:
    """One client for each upstream."""

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
                max_connections=self._count_connections(upstream),
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                silence_timeout_ms=SILENCE_TIMEOUT_MS,
                send_timeout_ms=SEND_TIMEOUT_MS,
                idle_timeout_ms=IDLE_TIMEOUT_MS,
            ),
        )
        self._clients[upstream.upstream_id] = client
        return client

    def drop_gone(self) -> None:
        """Closes idle connections to upstreams that are gone."""
        for upstream_id in list(self._clients):
            if upstream_id not in self._view.upstreams:
                self._clients.pop(upstream_id).close()

    def _count_connections(self, upstream: fleet.Upstream) -> int:
        document = self._view.document
        service = document.services.get(upstream.service) if document else None
        if service is None or not service.max_connections:
            return _DEFAULT_CONNECTIONS
        return max(1, int(service.max_connections * CONNECTION_SHARE))


def create_upstream_clients(view: fleet.FleetView) -> UpstreamClients:
    """Creates clients as they are needed."""
    return UpstreamClients(view)
