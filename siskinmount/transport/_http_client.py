"""An HTTP client with a bounded connection pool for one server."""

from collections.abc import Collection
import weakref

import h11
import trio

from siskinmount import results
from siskinmount.transport import _address
from siskinmount.transport import _body_framing
from siskinmount.transport import _client_connection
from siskinmount.transport import _client_exchange
from siskinmount.transport import _idle_connections
from siskinmount.transport import _keep_alive
from siskinmount.transport import _limits
from siskinmount.transport import _server_process

#: Longest time in which a connection that is to show whether a server exits is
#: opened, and time between two attempts to keep one open.
MAX_IDLE_CONNECT_S = 0.1
IDLE_CONNECT_INTERVAL_S = 0.5
#: Longest time for which bytes that have come wait for it: a round trip.
MAX_OPENING_DELAY_S = 0.005
#: Shortest idle timeout of a server with which an idle connection is kept.
MIN_SERVER_TIMEOUT_S = 0.5
#: Connections that are opened to learn whether a server still accepts any. One
#: that is accepted and then closed may be due to an exit, or to a full server.
MAX_CHECK_CONNECTIONS = 2

#: Connections over which one request was sent, while they exist.
EarlierConnections = weakref.WeakSet[_client_connection.ClientConnection]


class _ConnectFault:
    """Why no connection was opened.

    Attributes:
        reason: The reason, for the log.
        is_refused: Whether the host answered that nothing listens there. Other
            faults say nothing of the server's process: its queue may be full,
            the way to it slow, or this process short of descriptors.
    """

    __slots__ = ('reason', 'is_refused')

    def __init__(self, reason: str, is_refused: bool = False) -> None:
        self.reason = reason
        self.is_refused = is_refused


class HttpClient:
    """Sends requests to one server over kept-alive connections.

    Attributes:
        address: The server.
        in_use_count: Number of connections with a request in progress.
    """

    __slots__ = (
        'address',
        'in_use_count',
        '_limits',
        '_idle',
        '_slots',
        '_omits_framing',
        '_not_opened_before_s',
        '_closed_at_s',
    )

    def __init__(
        self, address: _address.Address, limits: _limits.ClientLimits
    ) -> None:
        self.address = address
        self.in_use_count = 0
        self._limits = limits
        self._idle = _idle_connections.create_idle_connections(
            limits.idle_timeout_ms / 1000
        )
        self._slots = trio.Semaphore(limits.max_connections)
        # Whether the body of the last response ended with its connection.
        self._omits_framing = False
        self._not_opened_before_s = float('-inf')
        self._closed_at_s = float('-inf')

    async def send(
        self,
        request: _client_exchange.ClientRequest,
        opened_before_s: float | None = None,
        earlier: EarlierConnections | None = None,
    ) -> _client_exchange.ClientExchange | results.Failure:
        """Sends a request and waits for the head of the response.

        The returned exchange must be closed. The run state of a failure is
        `NOT_RUN` only if no byte of the request was written.

        Args:
            request: The request.
            opened_before_s: Monotonic time before which the connection must
                have been opened, so that the request reaches the process of
                then; without one fails with `STALE_INCARNATION`. None if any
                connection will do.
            earlier: Connections over which the same request was sent. Another
                is used, and added, as a late copy of an earlier response to the
                request would look like the one that is due.
        """
        await self._slots.acquire()
        connection: _client_connection.ClientConnection | None = None
        exchange: _client_exchange.ClientExchange | None = None
        try:
            connected = await self._connect(opened_before_s, earlier or ())
            if isinstance(connected, results.Failure):
                return connected
            connection = connected
            connection.begin_request()
            if earlier is not None:
                earlier.add(connection)
            response = await self._exchange(connection, request)
            if isinstance(response, results.Failure):
                return response
            exchange = _client_exchange.ClientExchange(
                request.method,
                response.status_code,
                list(response.headers),
                connection,
                self._limits,
                self,
            )
            self.in_use_count += 1
            self._omits_framing = (
                exchange.body_framing
                is _body_framing.BodyFraming.CONNECTION_END
            )
            return exchange
        finally:
            if exchange is None:
                self._slots.release()
                if connection is not None:
                    self._discard(connection)

    def find_last_closing_s(self) -> float:
        """Returns the time of the last sign that the server's process ended.

        That is a connection that it has refused, closed outside of a response,
        or broken off while it kept no other. The time is monotonic; -inf if
        there was none.
        """
        self._idle.close_unusable()
        return max(self._closed_at_s, self._idle.found_closed_at_s)

    def close(self) -> None:
        """Closes all idle connections."""
        self._idle.close_all()

    async def receive_unframed(
        self, connection: _client_connection.ClientConnection
    ) -> results.Failure | None:
        """Implements `ConnectionPool.receive_unframed`.

        The other connection shows whether the server exits, and carries the
        next request.
        """
        self._idle.close_unusable()
        now_s = trio.current_time()
        is_kept = self._idle.server_timeout_s >= MIN_SERVER_TIMEOUT_S
        if self._idle or not is_kept or now_s < self._not_opened_before_s:
            connection.begin_wait(self._idle.mark_open())
            return await _client_exchange.receive_into(connection, self._limits)
        self._not_opened_before_s = now_s + IDLE_CONNECT_INTERVAL_S
        failure: results.Failure | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._open_idle, connection)
            failure = await _client_exchange.receive_into(
                connection, self._limits
            )
            nursery.cancel_scope.deadline = (
                trio.current_time() + MAX_OPENING_DELAY_S
            )
        return failure

    async def _open_idle(
        self, waiting: _client_connection.ClientConnection
    ) -> None:
        """Opens a connection while another waits for bytes."""
        with trio.move_on_after(MAX_IDLE_CONNECT_S):
            opened = await self._open()
            if not isinstance(opened, _ConnectFault):
                self._idle.add(opened)
                self._not_opened_before_s = float('-inf')
                waiting.begin_wait(self._idle.mark_open())

    async def check_process(
        self, served_after_s: float, settle_s: float
    ) -> _server_process.ServerProcess:
        """Implements `ConnectionPool.check_process`.

        The connection that is opened for this carries the next request.
        """
        for _ in range(MAX_CHECK_CONNECTIONS):
            opened: _client_connection.ClientConnection | _ConnectFault
            opened = _ConnectFault('connect takes long')
            with trio.move_on_after(MAX_IDLE_CONNECT_S):
                opened = await self._open()
            if isinstance(opened, _ConnectFault):
                if opened.is_refused:
                    return _server_process.ServerProcess.GONE
                break
            if await self._add_if_open(opened, settle_s):
                break
        return self._idle.judge_process(served_after_s)

    async def _add_if_open(
        self,
        connection: _client_connection.ClientConnection,
        settle_s: float,
    ) -> bool:
        """Returns whether a new connection is still open after a time."""
        is_open = False
        try:
            await trio.sleep(settle_s)
            is_open = connection.is_usable()
        finally:
            if is_open:
                self._idle.add(connection)
            else:
                connection.close()
        return is_open

    async def _connect(
        self,
        opened_before_s: float | None,
        excluded: Collection[_client_connection.ClientConnection],
    ) -> _client_connection.ClientConnection | results.Failure:
        """Returns a usable idle connection, or opens a new one."""
        if opened_before_s is None:
            kept = self._idle.take(float('inf'), excluded)
            if kept is not None:
                return kept
            opened = await self._open()
            if isinstance(opened, _ConnectFault):
                return self._unreachable(opened.reason)
            return opened
        kept = self._idle.take(opened_before_s, excluded)
        if kept is not None:
            return kept
        return results.Failure(
            results.ResultCode.STALE_INCARNATION,
            f'{self.address} may be another process by now',
        )

    async def _open(
        self,
    ) -> _client_connection.ClientConnection | _ConnectFault:
        """Opens a connection."""
        try:
            with trio.move_on_after(
                self._limits.connect_timeout_ms / 1000
            ) as scope:
                stream = await trio.open_tcp_stream(
                    self.address.host, self.address.port
                )
        except OSError as error:
            is_refused = _is_refusal(error)
            if is_refused:
                self._closed_at_s = trio.current_time()
            return _ConnectFault(str(error), is_refused)
        if scope.cancelled_caught:
            return _ConnectFault('connect timed out')
        connection = _client_connection.ClientConnection(stream)
        try:
            _keep_alive.enable_keep_alive(stream)
        except OSError as error:
            connection.close()
            return _ConnectFault(str(error))
        return connection

    def _unreachable(self, reason: str) -> results.Failure:
        return results.Failure(
            results.ResultCode.UPSTREAM_UNREACHABLE,
            f'{self.address} is unreachable: {reason}',
        )

    async def _exchange(
        self,
        connection: _client_connection.ClientConnection,
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
            if self._omits_framing:
                failure = await self.receive_unframed(connection)
            else:
                failure = await _client_exchange.receive_into(
                    connection, self._limits
                )
            if failure is not None:
                return failure

    def _discard(self, connection: _client_connection.ClientConnection) -> None:
        """Closes a connection and, after a time-out, older idle connections.

        The cause of a time-out often affects all connections to the server, and
        each would cost another time-out. Connections that have completed a
        request since the timed-out one was sent are kept.
        """
        if connection.has_broken_off() and not self._is_serving_others(
            connection
        ):
            self._closed_at_s = trio.current_time()
        connection.close()
        if connection.timed_out:
            self._idle.close_unused_since(connection.request_sent_at_s)

    def _is_serving_others(
        self, connection: _client_connection.ClientConnection
    ) -> bool:
        """Returns whether the server has broken off one connection alone."""
        process = self._idle.judge_process(connection.served_after_s)
        return process is _server_process.ServerProcess.SERVING

    def release(
        self,
        connection: _client_connection.ClientConnection,
        reusable: bool,
        max_idle_s: float | None,
    ) -> None:
        """Implements `ConnectionPool.release`."""
        if max_idle_s is not None:
            self._idle.server_timeout_s = max_idle_s
        self.in_use_count -= 1
        self._slots.release()
        if not reusable:
            self._discard(connection)
            return
        connection.parser.start_next_cycle()
        connection.reused = True
        self._idle.add(connection)


def _is_refusal(error: OSError) -> bool:
    """Returns whether the host has answered that it accepts no connection.

    Trio names the faults of all addresses as the cause of its own.
    """
    causes: list[BaseException | None] = [error, error.__cause__]
    if isinstance(error.__cause__, BaseExceptionGroup):
        causes.extend(error.__cause__.exceptions)
    for cause in causes:
        if isinstance(cause, (ConnectionRefusedError, ConnectionResetError)):
            return True
    return False


def _outcome_unknown(code: results.ResultCode, reason: str) -> results.Failure:
    return results.Failure(code, reason, results.RunState.UNKNOWN)


def create_http_client(
    address: _address.Address, limits: _limits.ClientLimits | None = None
) -> HttpClient:
    """Creates a client for one server."""
    return HttpClient(address, limits or _limits.ClientLimits())
