"""Client side of one HTTP request and its response."""

from typing import Protocol

import h11
import trio

from siskinmount import results
from siskinmount.transport import _body_framing
from siskinmount.transport import _client_connection
from siskinmount.transport import _headers
from siskinmount.transport import _limits
from siskinmount.transport import _server_process
from siskinmount.transport import _socket_io

READ_BYTES = 64 * 1024
#: Longest time to read the rest of a response whose head was enough.
DISCARD_TIMEOUT_S = 0.5
MAX_DISCARDED_BYTES = 1024 * 1024
#: Longest keep-alive timeout that is believed, in digits of seconds.
MAX_TIMEOUT_DIGITS = 6
#: Share of the server's keep-alive timeout after which a connection is not
#: reused, lest a request is sent while the server closes the connection.
MAX_IDLE_SHARE = 0.75


class ClientRequest:
    """A request to send.

    Attributes:
        method: Upper-case method.
        target: Path with query, percent-encoded.
        headers: Header list; `host` and `content-length` are added.
        body: The whole body.
        host: Value of the `host` header; if empty, the server's address.
    """

    __slots__ = ('method', 'target', 'headers', 'body', 'host')

    def __init__(
        self,
        method: str,
        target: str,
        headers: _headers.Headers | None = None,
        body: bytes = b'',
        host: bytes = b'',
    ) -> None:
        self.method = method
        self.target = target
        self.headers = headers or []
        self.body = body
        self.host = host


def encode_request(
    parser: h11.Connection, request: ClientRequest, host: bytes
) -> bytes:
    """Encodes a request.

    Args:
        parser: State of the connection.
        request: The request; its host is ignored.
        host: Value of the `host` header.

    Raises:
        h11.LocalProtocolError: The request is not valid HTTP.
        UnicodeEncodeError: The method or the target is not ASCII.
    """
    headers = [
        (b'host', host),
        *request.headers,
        (b'content-length', b'%d' % len(request.body)),
    ]
    data = parser.send(
        h11.Request(
            method=request.method, target=request.target, headers=headers
        )
    )
    data += parser.send(h11.Data(data=request.body))
    data += parser.send(h11.EndOfMessage())
    return data


def find_request_fault(request: ClientRequest) -> str | None:
    """Returns why a request cannot be sent; None if it can."""
    try:
        encode_request(h11.Connection(h11.CLIENT), request, request.host)
    except (h11.LocalProtocolError, UnicodeEncodeError) as error:
        return str(error)
    return None


class ConnectionPool(Protocol):
    """The connections of a client, as a response needs them."""

    def release(
        self,
        connection: _client_connection.ClientConnection,
        reusable: bool,
        max_idle_s: float | None,
    ) -> None:
        """Takes a connection back after a request.

        Args:
            connection: The connection.
            reusable: Whether it may carry another request.
            max_idle_s: Longest idle time before a reuse, as far as the server
                has announced a timeout; else None.
        """
        ...

    async def receive_unframed(
        self, connection: _client_connection.ClientConnection
    ) -> results.Failure | None:
        """Reads bytes of a body that ends with its connection.

        Another connection is kept open besides those in use.
        """
        ...

    async def check_process(
        self, served_after_s: float, settle_s: float
    ) -> _server_process.ServerProcess:
        """Returns whether the process that served after a time still does.

        Args:
            served_after_s: Monotonic time after which the process sent bytes of
                a response.
            settle_s: Longest time between the closings of the connections of a
                process that exits.
        """
        ...


class ClientExchange:
    """The response to a request that has been sent.

    Attributes:
        status: HTTP status.
        headers: Header list with lower-case names.
        body_framing: What marks the end of the body.
        received_body_bytes: Bytes of the body received so far.
    """

    __slots__ = (
        'status',
        'headers',
        'body_framing',
        'received_body_bytes',
        '_connection',
        '_limits',
        '_pool',
        '_is_released',
    )

    def __init__(
        self,
        method: str,
        status: int,
        headers: _headers.Headers,
        connection: _client_connection.ClientConnection,
        limits: _limits.ClientLimits,
        pool: ConnectionPool,
    ) -> None:
        self.status = status
        self.headers = headers
        self.body_framing = _body_framing.find_body_framing(
            method, status, headers
        )
        self.received_body_bytes = 0
        self._connection = connection
        self._limits = limits
        self._pool = pool
        self._is_released = False

    def find_header(self, name: bytes) -> str | None:
        """Returns the first value of a header, by lower-case name."""
        return _headers.find_header(self.headers, name)

    async def receive_chunk(self) -> bytes | results.Failure:
        """Returns the next bytes of the body, or empty bytes at its end.

        All data from one read of the socket is returned at once.
        """
        parts: list[bytes] = []
        while True:
            state = self._connection.parser.their_state
            if state is h11.ERROR:
                return _connection_lost('the body was broken off')
            if state is not h11.SEND_BODY:
                return b''.join(parts)
            try:
                event = self._connection.parser.next_event()
            except h11.RemoteProtocolError as error:
                return _connection_lost(str(error))
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                self.received_body_bytes += len(event.data)
                continue
            if event is not h11.NEED_DATA:
                continue
            if parts:
                return b''.join(parts)
            if self._has_excess_framing():
                return _connection_lost('the body is framed in too many bytes')
            if self.body_framing is _body_framing.BodyFraming.CONNECTION_END:
                failure = await self._pool.receive_unframed(self._connection)
            else:
                failure = await receive_into(self._connection, self._limits)
            if failure is not None:
                return failure

    async def check_process(
        self, settle_s: float
    ) -> _server_process.ServerProcess:
        """Returns whether the process that sent the response still serves.

        Args:
            settle_s: Longest time between the closings of the connections of a
                process that exits.
        """
        return await self._pool.check_process(
            self._connection.served_after_s, settle_s
        )

    def _has_excess_framing(self) -> bool:
        """Returns whether the body is lost in what frames it."""
        framing_bytes = (
            self._connection.received_bytes - self.received_body_bytes
        )
        allowed_bytes = (
            self._limits.max_framing_bytes + self.received_body_bytes // 2
        )
        return framing_bytes > allowed_bytes

    def announces_more_than(self, max_bytes: int) -> bool:
        """Returns whether the head announces a longer body."""
        length = self.find_header(b'content-length') or ''
        return length.isdecimal() and int(length) > max_bytes

    async def read_body(self, max_bytes: int) -> bytes | results.Failure:
        """Reads the rest of the body."""
        if self.announces_more_than(max_bytes):
            return _too_large(max_bytes)
        parts: list[bytes] = []
        size = 0
        while True:
            chunk = await self.receive_chunk()
            if isinstance(chunk, results.Failure):
                return chunk
            if not chunk:
                return b''.join(parts)
            size += len(chunk)
            if size > max_bytes:
                return _too_large(max_bytes)
            parts.append(chunk)

    def find_framing_fault(self) -> results.Failure | None:
        """Returns a failure if a loss of the body's rest would not show.

        For bodies that must be complete and whose content does not show it.
        """
        framing = self.body_framing
        if framing is not _body_framing.BodyFraming.CONNECTION_END:
            return None
        return _connection_lost('the body has neither a length nor chunks')

    async def discard_body(self) -> None:
        """Reads the rest of the body, so that the connection can be reused.

        That takes `DISCARD_TIMEOUT_S` at most; then the connection is closed.
        """
        if self.announces_more_than(MAX_DISCARDED_BYTES):
            return
        size = 0
        with trio.move_on_after(DISCARD_TIMEOUT_S):
            while size <= MAX_DISCARDED_BYTES:
                chunk = await self.receive_chunk()
                if isinstance(chunk, results.Failure) or not chunk:
                    return
                size += len(chunk)

    def close(self) -> None:
        """Returns the connection to the pool, or closes it if not reusable."""
        if self._is_released:
            return
        self._is_released = True
        parser = self._connection.parser
        # Bytes after the response were not requested: do not reuse.
        reusable = (
            parser.our_state is h11.DONE
            and parser.their_state is h11.DONE
            and not parser.trailing_data[0]
        )
        self._pool.release(
            self._connection, reusable, _parse_max_idle_s(self.headers)
        )

    def __enter__(self) -> 'ClientExchange':
        return self

    def __exit__(self, *unused: object) -> None:
        self.close()


def _parse_max_idle_s(headers: _headers.Headers) -> float | None:
    """Returns the timeout of the `Keep-Alive` header, reduced by a margin."""
    text = _headers.find_header(headers, b'keep-alive') or ''
    for part in text.split(','):
        name, _, value = part.strip().partition('=')
        is_number = value.isascii() and value.isdigit()
        if name.lower() != 'timeout' or not is_number:
            continue
        if len(value) <= MAX_TIMEOUT_DIGITS:
            return int(value) * MAX_IDLE_SHARE
    return None


async def receive_into(
    connection: _client_connection.ClientConnection,
    limits: _limits.ClientLimits,
) -> results.Failure | None:
    """Reads bytes from the socket into the parser."""
    data: bytes | None = None
    try:
        if limits.silence_timeout_ms is None:
            data = await _socket_io.receive(connection.stream, READ_BYTES)
        else:
            with trio.move_on_after(limits.silence_timeout_ms / 1000):
                data = await _socket_io.receive(connection.stream, READ_BYTES)
    except trio.BrokenResourceError as error:
        connection.has_ended = True
        return _connection_lost(str(error))
    if data is None:
        connection.timed_out = True
        return results.Failure(
            results.ResultCode.UPSTREAM_SILENT,
            f'no data received for {limits.silence_timeout_ms} ms',
            results.RunState.UNKNOWN,
        )
    connection.add_received(data)
    return None


def _too_large(max_bytes: int) -> results.Failure:
    return results.Failure(
        results.ResultCode.BODY_TOO_LARGE,
        f'the response is larger than {max_bytes} bytes',
        results.RunState.RAN,
    )


def _connection_lost(reason: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.UPSTREAM_LOST,
        f'connection lost: {reason}',
        results.RunState.UNKNOWN,
    )
