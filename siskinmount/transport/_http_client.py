"""An HTTP client with a bounded connection pool for one server."""

import h11
import trio

from siskinmount import results
from siskinmount.transport import _address
from siskinmount.transport import _client_exchange
from siskinmount.transport import _keep_alive
from siskinmount.transport import _limits


class HttpClient:
    """Sends requests to one server over kept-alive connections.

    Attributes:
        address: The server.
        in_use_count: Number of connections with a request in progress.
    """

    __slots__ = ('address', 'in_use_count', '_limits', '_idle', '_slots')

    def __init__(
        self, address: _address.Address, limits: _limits.ClientLimits
    ) -> None:
        self.address = address
        self.in_use_count = 0
        self._limits = limits
        self._idle: list[_client_exchange.ClientConnection] = []
        self._slots = trio.Semaphore(limits.max_connections)

    async def send(
        self, request: _client_exchange.ClientRequest
    ) -> _client_exchange.ClientExchange | results.Failure:
        """Sends a request and waits for the head of the response.

        The returned exchange must be closed. The run state of a failure is
        `NOT_RUN` only if no byte of the request was written.
        """
        await self._slots.acquire()
        connection: _client_exchange.ClientConnection | None = None
        exchange: _client_exchange.ClientExchange | None = None
        try:
            connected = await self._connect()
            if isinstance(connected, results.Failure):
                return connected
            connection = connected
            connection.request_sent_at_s = trio.current_time()
            connection.received_bytes = 0
            response = await self._exchange(connection, request)
            if isinstance(response, results.Failure):
                return response
            exchange = _client_exchange.ClientExchange(
                request.method,
                response.status_code,
                list(response.headers),
                connection,
                self._limits,
                self._release,
            )
            self.in_use_count += 1
            return exchange
        finally:
            if exchange is None:
                self._slots.release()
                if connection is not None:
                    self._discard(connection)

    def close(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            _close_socket(self._idle.pop())

    async def _connect(
        self,
    ) -> _client_exchange.ClientConnection | results.Failure:
        """Returns a usable idle connection, or opens a new one."""
        while self._idle:
            connection = self._idle.pop()
            idle_s = trio.current_time() - connection.idle_since_s
            fresh = idle_s < min(
                self._limits.idle_timeout_ms / 1000, connection.max_idle_s
            )
            if fresh and connection.is_usable():
                return connection
            _close_socket(connection)
        try:
            with trio.move_on_after(
                self._limits.connect_timeout_ms / 1000
            ) as scope:
                stream = await trio.open_tcp_stream(
                    self.address.host, self.address.port
                )
        except OSError as error:
            return self._unreachable(str(error))
        if scope.cancelled_caught:
            return self._unreachable('connect timed out')
        connection = _client_exchange.ClientConnection(stream)
        try:
            _keep_alive.enable_keep_alive(stream)
        except OSError as error:
            _close_socket(connection)
            return self._unreachable(str(error))
        return connection

    def _unreachable(self, reason: str) -> results.Failure:
        return results.Failure(
            results.ResultCode.UPSTREAM_UNREACHABLE,
            f'{self.address} is unreachable: {reason}',
        )

    async def _exchange(
        self,
        connection: _client_exchange.ClientConnection,
        request: _client_exchange.ClientRequest,
    ) -> h11.Response | results.Failure:
        """Writes the request and reads the head of the response."""
        try:
            data = _client_exchange.encode_request(
                connection.parser,
                request,
                request.host or str(self.address).encode('ascii'),
            )
        except (h11.LocalProtocolError, UnicodeEncodeError) as error:
            return results.Failure(
                results.ResultCode.MALFORMED_REQUEST,
                f'invalid request: {error}',
            )
        try:
            with trio.move_on_after(
                self._limits.send_timeout_ms / 1000
            ) as scope:
                await connection.stream.send_all(data)
        except trio.BrokenResourceError as error:
            return _outcome_unknown(
                results.ResultCode.UPSTREAM_LOST, str(error)
            )
        if scope.cancelled_caught:
            return _outcome_unknown(
                results.ResultCode.UPSTREAM_SILENT,
                'timed out while sending the request',
            )
        while True:
            try:
                event = connection.parser.next_event()
            except h11.RemoteProtocolError as error:
                return _outcome_unknown(
                    results.ResultCode.UPSTREAM_LOST, str(error)
                )
            if isinstance(event, h11.Response):
                return event
            if isinstance(event, h11.ConnectionClosed):
                return _outcome_unknown(
                    results.ResultCode.UPSTREAM_LOST,
                    'connection closed before the response',
                )
            if event is not h11.NEED_DATA:
                continue
            if connection.received_bytes > self._limits.max_head_bytes:
                return _outcome_unknown(
                    results.ResultCode.UPSTREAM_LOST,
                    'the head of the response is too large',
                )
            failure = await _client_exchange.receive_into(
                connection, self._limits
            )
            if failure is not None:
                return failure

    def _discard(self, connection: _client_exchange.ClientConnection) -> None:
        """Closes a connection and, after a time-out, older idle connections.

        The cause of a time-out often affects all connections to the server, and
        each would cost another time-out. Connections that have completed a
        request since the timed-out one was sent are kept.
        """
        _close_socket(connection)
        if not connection.timed_out:
            return
        kept: list[_client_exchange.ClientConnection] = []
        for idle in self._idle:
            if idle.idle_since_s >= connection.request_sent_at_s:
                kept.append(idle)
                continue
            _close_socket(idle)
        self._idle = kept

    def _release(
        self, connection: _client_exchange.ClientConnection, reusable: bool
    ) -> None:
        """Returns a connection to the pool after a request."""
        self.in_use_count -= 1
        self._slots.release()
        if not reusable:
            self._discard(connection)
            return
        connection.parser.start_next_cycle()
        connection.idle_since_s = trio.current_time()
        connection.reused = True
        self._idle.append(connection)


def _close_socket(connection: _client_exchange.ClientConnection) -> None:
    """Closes a connection's socket immediately."""
    connection.stream.socket.close()


def _outcome_unknown(code: results.ResultCode, reason: str) -> results.Failure:
    return results.Failure(code, reason, results.RunState.UNKNOWN)


def create_http_client(
    address: _address.Address, limits: _limits.ClientLimits | None = None
) -> HttpClient:
    """Creates a client for one server."""
    return HttpClient(address, limits or _limits.ClientLimits())
