"""Client for a plain service over HTTP."""

from collections.abc import Callable

import trio

from siskinmount import relay
from siskinmount import results
from siskinmount import transport
from siskinmount.sidecar import _run_request
from siskinmount.sidecar import _tcp_liveness_connection
from siskinmount.sidecar import _upstream_rate_limit
from siskinmount.sidecar import _upstreams

CONNECT_TIMEOUT_MS = 1000
SILENCE_TIMEOUT_MS = 600_000
MAX_CONNECTIONS = 1024
#: Longest time between the closings of the connections of a process that exits.
SETTLE_S = 0.002
_EVENT_STREAM = 'text/event-stream'

_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'host',
        'keep-alive',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


class PlainStream:
    """Turns one response into frames."""

    __slots__ = ('_exchange', '_head_returned', '_splitter')

    def __init__(self, exchange: transport.ClientExchange) -> None:
        self._exchange = exchange
        self._head_returned = False
        self._splitter: transport.EventSplitter | None = None
        media_type = exchange.find_header(b'content-type') or ''
        if media_type.partition(';')[0].strip().lower() == _EVENT_STREAM:
            self._splitter = transport.create_event_splitter()

    async def receive(self) -> list[relay.Frame] | results.Failure:
        """Returns the head first, then parts of the body, then the end."""
        if not self._head_returned:
            self._head_returned = True
            return [
                relay.HeadFrame(self._exchange.status, self._list_headers())
            ]
        chunk = await self._exchange.receive_chunk()
        if isinstance(chunk, results.Failure):
            return results.Failure(
                chunk.code, chunk.reason, results.RunState.RAN
            )
        if not chunk:
            if await self._is_broken_off():
                return results.Failure(
                    results.ResultCode.UPSTREAM_LOST,
                    'the response was broken off',
                    results.RunState.RAN,
                )
            return [relay.EndFrame()]
        if self._has_foreign_bytes(chunk):
            return results.Failure(
                results.ResultCode.UPSTREAM_ERROR,
                'bytes that are no event',
                results.RunState.RAN,
            )
        return [relay.BodyFrame(chunk)]

    def close(self) -> None:
        """Closes the connection."""
        self._exchange.close()

    def _has_foreign_bytes(self, chunk: bytes) -> bool:
        """Returns whether the next bytes of an event stream are no events."""
        if self._splitter is None:
            return False
        for event in self._splitter.split(chunk):
            if event.is_foreign:
                return True
        return self._splitter.is_overlong

    async def _is_broken_off(self) -> bool:
        """Returns whether the body ended before it was complete.

        One that ends with its connection is broken off if the process of the
        service has ended, too.
        """
        framing = self._exchange.body_framing
        if self._splitter is not None and not transport.is_stream_complete(
            self._splitter.find_end(), framing
        ):
            return True
        if framing is not transport.BodyFraming.CONNECTION_END:
            return False
        return await self._exchange.check_process(SETTLE_S) not in (
            transport.ServerProcess.SERVING,
            transport.ServerProcess.UNKNOWN,
        )

    def _list_headers(self) -> list[tuple[str, str]]:
        """Returns the end-to-end headers of the response."""
        headers: list[tuple[str, str]] = []
        for raw_name, raw_value in self._exchange.headers:
            name = raw_name.decode('latin-1')
            if name in _HOP_BY_HOP_HEADERS:
                continue
            headers.append((name, raw_value.decode('latin-1')))
        return headers


#: Takes the headers of a response and when its request was sent.
ReadResponse = Callable[[transport.Headers, float], None]


class HttpPlainUpstream:
    """A plain service at an address."""

    __slots__ = ('_client', '_address', '_read_response')

    def __init__(
        self, address: transport.Address, read_response: ReadResponse
    ) -> None:
        self._address = address
        self._read_response = read_response
        # Only each request's deadline bounds how long a plain service may take
        # to answer, so the silence timeout is long.
        self._client = transport.create_http_client(
            address,
            transport.ClientLimits(
                max_connections=MAX_CONNECTIONS,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                silence_timeout_ms=SILENCE_TIMEOUT_MS,
            ),
        )

    async def start(
        self, request_id: str, body: _run_request.PlainBody
    ) -> _upstreams.UpstreamStream | results.Failure:
        """Sends the request once."""
        headers: transport.Headers = []
        for name, value in body.headers:
            lower_name = name.lower()
            if (
                lower_name in _HOP_BY_HOP_HEADERS
                or lower_name == 'x-request-id'
            ):
                continue
            headers.append(
                (lower_name.encode('latin-1'), value.encode('latin-1'))
            )
        headers.append((relay.RelayHeader.REQUEST_ID, request_id.encode()))
        sent_at_s = trio.current_time()
        exchange = await self._client.send(
            transport.ClientRequest(
                body.method, body.target, headers, body.body
            )
        )
        if isinstance(exchange, results.Failure):
            return exchange
        self._read_response(exchange.headers, sent_at_s)
        return PlainStream(exchange)

    async def probe(self) -> results.Failure | None:
        """Returns None if a new connection can be opened."""
        connection = (
            await _tcp_liveness_connection.open_tcp_liveness_connection(
                self._address
            )
        )
        if isinstance(connection, results.Failure):
            return connection
        connection.close()
        return None

    async def open_liveness_connection(
        self,
    ) -> _upstreams.LivenessConnection | results.Failure:
        """Opens a connection whose end shows that the service has exited."""
        return await _tcp_liveness_connection.open_tcp_liveness_connection(
            self._address
        )


def create_http_plain_upstream(
    address: transport.Address,
    read_response: ReadResponse = _upstream_rate_limit.ignore_response,
) -> HttpPlainUpstream:
    """Creates the client of a plain service.

    Args:
        address: Address of the service.
        read_response: Told of each response to a request.
    """
    return HttpPlainUpstream(address, read_response)
