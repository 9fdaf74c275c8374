"""An HTTP server that passes each request to a handler."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import errno
import logging
import socket
import struct

import h11
import trio

from siskinmount import results
from siskinmount.transport import _address
from siskinmount.transport import _byte_budget
from siskinmount.transport import _headers
from siskinmount.transport import _keep_alive
from siskinmount.transport import _limits
from siskinmount.transport import _server_exchange
from siskinmount.transport import _socket_io

_LOGGER = logging.getLogger(__name__)

Handler = Callable[[_server_exchange.ServerExchange], Awaitable[None]]

ACCEPT_RETRY_S = 0.1
#: Time for a connection over the limit to send its request before it is closed.
REFUSED_HEADER_TIMEOUT_S = 1.0
#: Time for which input is read and discarded after the last response. Closing a
#: socket with unread bytes sends a reset, and the client may lose the response.
LINGER_S = 2.0
#: How long a connection that was accepted at the end of a planned stop may take
#: to send its request.
LATE_REQUEST_WAIT_S = 0.25
#: Memory of an open connection: its task, parser, buffers and socket object.
CONNECTION_BYTES = 16 * 1024
#: Memory of a header beyond its bytes: a pair, two objects and their list entry.
HEADER_BYTES = 160
#: Connections over the limit that are told so, as a share of it; the others are
#: closed at once, as each takes a descriptor until it is.
REFUSED_SHARE = 1 / 8
#: Time without a complete head after which a connection may be closed for a new
#: one. Heads arrive in a round trip.
MIN_IDLE_S = 0.25
MIN_REFUSED = 8
_RESOURCE_ERRNOS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class HttpServer:
    """Serves one listening address with a task per connection.

    Attributes:
        connection_count: Number of open connections.
    """

    __slots__ = (
        'connection_count',
        '_handler',
        '_limits',
        '_count_by_host',
        '_accept_scope',
        '_idle_scopes',
        '_draining',
        '_budget',
        '_holdings',
        '_turns',
        '_next_search_s',
    )

    def __init__(
        self,
        handler: Handler,
        limits: _limits.ServerLimits,
        budget: _byte_budget.ByteBudget,
    ) -> None:
        self.connection_count = 0
        self._handler = handler
        self._limits = limits
        self._count_by_host: collections.Counter[str] = collections.Counter()
        self._accept_scope = trio.CancelScope()
        self._idle_scopes: set[trio.CancelScope] = set()
        self._draining = False
        self._budget = budget
        # Holdings of connections that wait for a request, its head, or the
        # client's end after the last response.
        self._holdings: set[_byte_budget.Holding] = set()
        self._turns = trio.Lock()
        self._next_search_s = float('-inf')

    async def run(
        self,
        address: _address.Address,
        task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until `stop` is called and the last request has ended.

        Args:
            address: Address to listen on; port 0 selects a free port.
            task_status: Receives the address that the server listens on.
        """
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.host
        )
        listener = listeners[0]
        host, port = listener.socket.getsockname()[:2]
        async with trio.open_nursery() as nursery:
            task_status.started(_address.Address(host, port))
            async with listener:
                with self._accept_scope:
                    await self._accept_forever(listener, nursery)
                await self._accept_waiting(listener, nursery)

    def begin_draining(self) -> None:
        """Closes each connection after the response to its next request."""
        self._draining = True

    def stop(self) -> None:
        """Closes the listener and idle connections; requests go on.

        Requests that have arrived are served first, also those on connections
        that wait to be accepted.
        """
        self._draining = True
        self._accept_scope.cancel()
        for scope in self._idle_scopes:
            scope.cancel()

    async def _accept_forever(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Starts a task for each connection."""
        while True:
            try:
                stream = await listener.accept()
            except OSError as error:
                if error.errno not in _RESOURCE_ERRNOS:
                    raise
                await trio.sleep(ACCEPT_RETRY_S)
                continue
            nursery.start_soon(self._run_connection, stream)

    async def _accept_waiting(
        self, listener: trio.SocketListener, nursery: trio.Nursery
    ) -> None:
        """Accepts the connections that have come before the listener closes.

        Closing it would reset them, with the requests that they carry.
        """
        while True:
            with trio.move_on_after(0) as scope:
                nursery.start_soon(
                    self._run_connection, await listener.accept()
                )
            if scope.cancelled_caught:
                return

    async def _run_connection(self, stream: trio.SocketStream) -> None:
        """Serves the requests of one connection in sequence."""
        try:
            host = stream.socket.getpeername()[0]
            _keep_alive.enable_keep_alive(stream)
        except OSError:
            await trio.aclose_forcefully(stream)
            return
        is_full = self.connection_count >= self._get_hard_limit()
        if is_full and not self._evict_idle():
            self._budget.count_refusal(_byte_budget.ClientRefusal.CONNECTIONS)
            await trio.aclose_forcefully(stream)
            return
        self.connection_count += 1
        self._count_by_host[host] += 1
        holding = self._budget.open_holding()
        holding.begin_request()
        try:
            await self._serve_requests(stream, host, holding)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        except h11.LocalProtocolError:
            _LOGGER.exception('response_invalid')
        except Exception:
            # A fault on one connection must not end all others.
            _LOGGER.exception(
                'connection_failed',
                extra={
                    'code': int(results.ResultCode.INTERNAL),
                    'peer_host': host,
                },
            )
        finally:
            holding.end_wait()
            holding.release_all()
            self._holdings.discard(holding)
            self.connection_count -= 1
            self._count_by_host[host] -= 1
            if not self._count_by_host[host]:
                del self._count_by_host[host]
            await trio.aclose_forcefully(stream)

    async def _serve_requests(
        self,
        stream: trio.SocketStream,
        host: str,
        holding: _byte_budget.Holding,
    ) -> None:
        """Serves requests until the connection ends or must be closed."""
        connection = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=self._limits.max_header_bytes,
        )
        refusal = self._check_connection_limits(host)
        if refusal is None and not holding.reserve(CONNECTION_BYTES):
            refusal = _server_exchange.BUDGET_USED_UP
        while True:
            with trio.CancelScope() as refusal_scope:
                if refusal is not None:
                    refusal_scope.deadline = (
                        trio.current_time() + REFUSED_HEADER_TIMEOUT_S
                    )
                head = await self._receive_head(
                    connection, stream, host, holding
                )
            if refusal_scope.cancelled_caught:
                return
            if head is None:
                return
            if isinstance(head, results.Failure):
                await self._refuse(connection, stream, holding, head)
                return
            if refusal is not None:
                await self._refuse(
                    connection, stream, holding, refusal, head.method
                )
                return
            if head.method == 'CONNECT':
                await self._refuse(
                    connection,
                    stream,
                    holding,
                    _CONNECT_NOT_ALLOWED,
                    head.method,
                )
                return
            exchange = _server_exchange.ServerExchange(
                head,
                connection,
                stream,
                self._limits,
                self._is_draining,
                self._budget,
                holding,
                self._turns,
            )
            # Small responses are sent without giving other tasks their turn.
            await trio.lowlevel.checkpoint()
            try:
                await self._handle(exchange)
            finally:
                if exchange.is_unframed_body_open():
                    _reset_on_close(stream)
            if connection.our_state is not h11.ERROR:
                await exchange.discard_rest()
            if connection.their_state in (h11.SEND_BODY, h11.ERROR):
                await self._linger(stream, holding)
                return
            if connection.our_state is not h11.DONE:
                # The response has said that the connection is closed.
                return
            if connection.their_state is not h11.DONE:
                return
            connection.start_next_cycle()
            # What is left is a pipelined request that has begun to arrive.
            holding.release_all()
            holding.charge(CONNECTION_BYTES + len(connection.trailing_data[0]))

    def _is_draining(self) -> bool:
        return self._draining

    async def _handle(self, exchange: _server_exchange.ServerExchange) -> None:
        """Runs the handler and maps an exception in it to an error response."""
        try:
            await self._handler(exchange)
        except trio.BrokenResourceError:
            raise
        except Exception as error:
            if _is_connection_loss(error):
                raise trio.BrokenResourceError(
                    'the client closed the connection'
                ) from error
            _LOGGER.exception(
                'handler_failed',
                extra={
                    'code': int(results.ResultCode.INTERNAL),
                    'path': exchange.head.path,
                },
            )
            if exchange.response_started:
                raise trio.BrokenResourceError('handler failed') from None
            await _send_failure(
                exchange,
                500,
                results.Failure(
                    results.ResultCode.INTERNAL,
                    'internal error',
                    results.RunState.UNKNOWN,
                ),
            )

    def _get_hard_limit(self) -> int:
        """Returns the number of connections beyond which none is answered."""
        limit = self._limits.max_connections
        return limit + max(MIN_REFUSED, int(limit * REFUSED_SHARE))

    def _check_connection_limits(self, host: str) -> results.Failure | None:
        """Returns why a new connection is refused, or None.

        At the limit, the connection that has waited longest for a request is
        closed in favour of the new one.
        """
        too_many = self.connection_count > self._limits.max_connections
        too_many_for_host = (
            self._count_by_host[host] > self._limits.max_connections_per_host
        )
        if not too_many and not too_many_for_host:
            return None
        # A limit per host that is as large as the total is none of its own.
        is_host_limited = too_many_for_host and (
            self._limits.max_connections_per_host < self._limits.max_connections
        )
        if not is_host_limited and self._evict_idle():
            return None
        self._budget.count_refusal(_byte_budget.ClientRefusal.CONNECTIONS)
        return results.Failure(
            results.ResultCode.TOO_MANY_CONNECTIONS,
            'too many connections',
            retry_after_ms=1000,
        )

    def _evict_idle(self) -> bool:
        """Closes the connection that has waited longest; returns if there is one."""
        now_s = trio.current_time()
        if now_s < self._next_search_s:
            return False
        longest: _byte_budget.Holding | None = None
        longest_s = MIN_IDLE_S
        for holding in self._holdings:
            if holding.is_evicted:
                continue
            idle_s = holding.get_idle_s(now_s)
            if idle_s >= longest_s:
                longest = holding
                longest_s = idle_s
        if longest is None:
            self._next_search_s = now_s + _byte_budget.SEARCH_INTERVAL_S
            return False
        longest.evict()
        self._holdings.discard(longest)
        return True

    async def _receive_head(
        self,
        connection: h11.Connection,
        stream: trio.SocketStream,
        host: str,
        holding: _byte_budget.Holding,
    ) -> _server_exchange.RequestHead | results.Failure | None:
        """Returns the next request's head, or None if the connection ended."""
        holding.begin_request()
        self._holdings.add(holding)
        try:
            return await self._read_head(connection, stream, host, holding)
        finally:
            self._holdings.discard(holding)
            holding.end_wait()

    async def _read_head(
        self,
        connection: h11.Connection,
        stream: trio.SocketStream,
        host: str,
        holding: _byte_budget.Holding,
    ) -> _server_exchange.RequestHead | results.Failure | None:
        """Implements `_receive_head`."""
        if not connection.trailing_data[0]:
            data = await self._receive_first(stream, holding)
            if not data:
                return None
            if not holding.reserve(len(data)):
                self._budget.count_refusal(_byte_budget.ClientRefusal.BUDGET)
                return _server_exchange.BUDGET_USED_UP
            connection.receive_data(data)
        # Waiting for a first byte is no lack of progress of a request.
        holding.begin_request()
        with trio.move_on_after(self._limits.header_timeout_ms / 1000) as scope:
            holding.begin_wait(scope.cancel)
            while True:
                try:
                    event = connection.next_event()
                except h11.RemoteProtocolError as error:
                    return _describe_protocol_error(error)
                if isinstance(event, h11.Request):
                    # The parser limits only heads that are incomplete.
                    if _get_head_bytes(event) > self._limits.max_header_bytes:
                        return _HEADERS_TOO_LARGE
                    holding.end_wait()
                    holding.begin_request()
                    holding.charge(HEADER_BYTES * len(event.headers))
                    return _server_exchange.RequestHead(
                        event.method.decode('ascii'),
                        event.target.decode('ascii'),
                        list(event.headers),
                        host,
                    )
                if event is not h11.NEED_DATA:
                    return None
                data = await stream.receive_some(_server_exchange.READ_BYTES)
                if not holding.reserve(len(data)):
                    self._budget.count_refusal(
                        _byte_budget.ClientRefusal.BUDGET
                    )
                    return _server_exchange.BUDGET_USED_UP
                connection.receive_data(data)
        if holding.is_evicted:
            return _server_exchange.BUDGET_USED_UP
        self._budget.count_refusal(_byte_budget.ClientRefusal.STALLED)
        return results.Failure(
            results.ResultCode.REQUEST_TIMEOUT,
            'timed out waiting for the request headers',
        )

    async def _receive_first(
        self, stream: trio.SocketStream, holding: _byte_budget.Holding
    ) -> bytes:
        """Waits for a request; returns its first bytes, or none if none comes.

        A request that has arrived when the wait ends is served: the caller
        could not know of the end.
        """
        wait_s = self._limits.idle_timeout_ms / 1000
        if self._accept_scope.cancel_called:
            wait_s = LATE_REQUEST_WAIT_S
        with trio.move_on_after(wait_s) as scope:
            self._idle_scopes.add(scope)
            holding.begin_wait(scope.cancel)
            try:
                return await stream.receive_some(_server_exchange.READ_BYTES)
            finally:
                holding.end_wait()
                self._idle_scopes.discard(scope)
        return _socket_io.receive_arrived(stream, _server_exchange.READ_BYTES)

    async def _refuse(
        self,
        connection: h11.Connection,
        stream: trio.SocketStream,
        holding: _byte_budget.Holding,
        failure: results.Failure,
        method: str = 'GET',
    ) -> None:
        """Sends an error response without running the handler."""
        if connection.our_state not in (h11.IDLE, h11.SEND_RESPONSE):
            return
        head = _server_exchange.RequestHead(method, '/', [], '')
        exchange = _server_exchange.ServerExchange(
            head,
            connection,
            stream,
            self._limits,
            _return_true,
            self._budget,
            holding,
            self._turns,
        )
        status = {
            results.ResultCode.HEADERS_TOO_LARGE: 431,
            results.ResultCode.REQUEST_TIMEOUT: 408,
            results.ResultCode.TOO_MANY_CONNECTIONS: 503,
            results.ResultCode.OVERLOADED: 503,
            results.ResultCode.METHOD_NOT_ALLOWED: 405,
        }.get(failure.code, 400)
        await _send_failure(exchange, status, failure)
        if not holding.is_evicted:
            await self._linger(stream, holding)

    async def _linger(
        self, stream: trio.SocketStream, holding: _byte_budget.Holding
    ) -> None:
        """Discards input for up to `LINGER_S`, so that the response arrives.

        At the limit on connections, this gives way to new ones.
        """
        holding.release_all()
        holding.begin_request()
        with trio.move_on_after(LINGER_S) as scope:
            holding.begin_wait(scope.cancel)
            self._holdings.add(holding)
            try:
                await stream.send_eof()
                while await stream.receive_some(_server_exchange.READ_BYTES):
                    pass
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return


def _return_true() -> bool:
    return True


_HEADERS_TOO_LARGE = results.Failure(
    results.ResultCode.HEADERS_TOO_LARGE, 'the request headers are too large'
)
_CONNECT_NOT_ALLOWED = results.Failure(
    results.ResultCode.METHOD_NOT_ALLOWED, 'CONNECT is not supported'
)


def _get_head_bytes(request: h11.Request) -> int:
    """Returns the size of the request line and headers, in bytes."""
    size = len(request.method) + len(request.target)
    for name, value in request.headers:
        size += len(name) + len(value)
    return size


async def _send_failure(
    exchange: _server_exchange.ServerExchange,
    status: int,
    failure: results.Failure,
) -> None:
    """Sends a failure as a JSON error response."""
    await exchange.send_json(
        status,
        {
            'error': {
                'code': int(failure.code),
                'name': failure.code.name,
                'reason': failure.reason,
                'run_state': failure.run_state.value,
                'retry_after_ms': failure.retry_after_ms,
                'request_id': '',
            }
        },
        _headers.retry_headers(failure),
    )


def _reset_on_close(stream: trio.SocketStream) -> None:
    """Makes the close of a connection a reset."""
    try:
        stream.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    except OSError as error:
        # The client has closed the connection already.
        _LOGGER.info('reset_failed', extra={'reason': str(error)})


def _is_connection_loss(error: Exception) -> bool:
    """Returns whether a group contains only lost-connection errors."""
    if not isinstance(error, ExceptionGroup):
        return False
    _, others = error.split(trio.BrokenResourceError)
    return others is None


def _describe_protocol_error(
    error: h11.RemoteProtocolError,
) -> results.Failure:
    """Converts a parser error to a failure."""
    if error.error_status_hint == 431:
        return _HEADERS_TOO_LARGE
    return results.Failure(results.ResultCode.MALFORMED_REQUEST, str(error))


def create_http_server(
    handler: Handler,
    limits: _limits.ServerLimits | None = None,
    budget: _byte_budget.ByteBudget | None = None,
) -> HttpServer:
    """Creates a server that passes each request to the handler.

    Args:
        handler: Handles each request.
        limits: Limits of the server, if not the default ones.
        budget: Bounds the bytes held for clients, if not a budget of its own of
            the default size; servers of one process share it.
    """
    return HttpServer(
        handler,
        limits or _limits.ServerLimits(),
        budget or _byte_budget.create_byte_budget(),
    )
