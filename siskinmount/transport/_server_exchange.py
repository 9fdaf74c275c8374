"""Server side of one HTTP request and its response."""

from collections.abc import Callable
import urllib.parse

import h11
import orjson
import trio

from siskinmount import results
from siskinmount.transport import _headers
from siskinmount.transport import _limits
from siskinmount.transport import _socket_io

READ_BYTES = 64 * 1024
_BODYLESS_STATUSES = (204, 304)


class RequestHead:
    """The request line and headers.

    Attributes:
        method: Upper-case method.
        target: Path and query as sent.
        path: Percent-decoded path without the query.
        query: Query parameters; the first value of repeated ones.
        headers: Header list with lower-case names.
        peer_host: IP address of the client.
    """

    __slots__ = ('method', 'target', 'path', 'query', 'headers', 'peer_host')

    def __init__(
        self,
        method: str,
        target: str,
        headers: _headers.Headers,
        peer_host: str,
    ) -> None:
        self.method = method
        self.target = target
        path, _, query_text = target.partition('?')
        self.path = urllib.parse.unquote(path)
        self.query: dict[str, str] = {}
        for name, value in urllib.parse.parse_qsl(query_text):
            self.query.setdefault(name, value)
        self.headers = headers
        self.peer_host = peer_host

    def find_header(self, name: bytes) -> str | None:
        """Returns the first value of a header, by lower-case name."""
        return _headers.find_header(self.headers, name)


class ServerExchange:
    """Reads one request and writes its response.

    A handler reads the body if needed and then calls either `send_whole` or
    `start_stream`, `send_chunk` and `finish`. If the client has disconnected,
    the send methods raise `trio.BrokenResourceError`, which the connection's
    task handles.

    Attributes:
        head: Request line and headers.
        response_started: Whether sending of the response has begun.
    """

    __slots__ = (
        'head',
        'response_started',
        '_connection',
        '_stream',
        '_limits',
        '_should_close',
        '_bodyless',
        '_is_unframed',
    )

    def __init__(
        self,
        head: RequestHead,
        connection: h11.Connection,
        stream: trio.SocketStream,
        limits: _limits.ServerLimits,
        should_close: Callable[[], bool],
    ) -> None:
        self.head = head
        self.response_started = False
        self._connection = connection
        self._stream = stream
        self._limits = limits
        self._should_close = should_close
        self._bodyless = head.method == 'HEAD'
        self._is_unframed = False

    async def receive_body_chunk(self) -> bytes | results.Failure:
        """Returns the next bytes of the body, or empty bytes at its end."""
        while True:
            if self._connection.their_state is not h11.SEND_BODY:
                return b''
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                return results.Failure(
                    results.ResultCode.MALFORMED_REQUEST, str(error)
                )
            if event is h11.NEED_DATA:
                failure = await self._receive()
                if failure is not None:
                    return failure
                continue
            if isinstance(event, h11.Data):
                return bytes(event.data)
            return b''

    async def read_body(
        self, max_bytes: int | None = None
    ) -> bytes | results.Failure:
        """Reads the whole body.

        Args:
            max_bytes: Maximum size of the body; the server's limit if None.
        """
        bound = self._limits.max_body_bytes if max_bytes is None else max_bytes
        parts: list[bytes] = []
        size = 0
        while True:
            chunk = await self.receive_body_chunk()
            if isinstance(chunk, results.Failure):
                return chunk
            if not chunk:
                return b''.join(parts)
            size += len(chunk)
            if size > bound:
                return results.Failure(
                    results.ResultCode.BODY_TOO_LARGE,
                    f'the body is larger than {bound} bytes',
                )
            parts.append(chunk)

    def discard_received_body(self) -> None:
        """Discards the unread part of a request body that has been received.

        The connection can then serve another request, unless the body is still
        incomplete.
        """
        while self._connection.their_state is h11.SEND_BODY:
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError:
                return
            if event is h11.NEED_DATA:
                return

    async def send_whole(
        self, status: int, headers: _headers.Headers, body: bytes
    ) -> None:
        """Sends a complete response with a `content-length`."""
        all_headers = [*headers, (b'content-length', b'%d' % len(body))]
        data = self._start(status, all_headers)
        if not self._bodyless:
            data += self._connection.send(h11.Data(data=body)) or b''
        data += self._connection.send(h11.EndOfMessage()) or b''
        await self._send(data)

    async def send_json(
        self, status: int, document: object, headers: _headers.Headers = ()
    ) -> None:
        """Sends a JSON response."""
        await self.send_whole(
            status,
            [*headers, (b'content-type', b'application/json')],
            orjson.dumps(document),
        )

    async def start_stream(
        self, status: int, headers: _headers.Headers
    ) -> None:
        """Sends the head of a response of unknown length.

        Its body is chunked; that of an HTTP/1.0 client, which knows no chunks,
        ends with the connection.
        """
        self._is_unframed = self._connection.their_http_version == b'1.0'
        await self._send(
            self._start(status, [*headers, (b'transfer-encoding', b'chunked')])
        )

    async def send_chunk(self, chunk: bytes) -> None:
        """Sends a chunk of the response body."""
        if not self._bodyless:
            await self._send(self._connection.send(h11.Data(data=chunk)))

    async def finish(self) -> None:
        """Ends a response started by `start_stream`."""
        await self._send(self._connection.send(h11.EndOfMessage()))

    def is_unframed_body_open(self) -> bool:
        """Returns whether a body that ends with the connection is unfinished.

        Closing the connection would make such a body look complete.
        """
        return self._is_unframed and (
            self._connection.our_state is h11.SEND_BODY
        )

    async def wait_disconnected(self) -> None:
        """Returns when the client has closed or reset the connection.

        Must run only after the body was read, concurrently with the task that
        writes the response. Bytes of a pipelined request are buffered up to
        `max_header_bytes`. Beyond that nothing more is read, and a disconnect
        is noticed only by a write.
        """
        while True:
            if len(self._connection.trailing_data[0]) > (
                self._limits.max_header_bytes
            ):
                await trio.sleep_forever()
            try:
                data = await self._stream.receive_some(READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            self._connection.receive_data(data)

    def _start(self, status: int, headers: _headers.Headers) -> bytes:
        """Encodes the head of a response."""
        self.response_started = True
        if status in _BODYLESS_STATUSES:
            self._bodyless = True
        if self._should_close():
            headers = [*headers, (b'connection', b'close')]
        return self._connection.send(
            h11.Response(status_code=status, headers=headers)
        )

    async def _receive(self) -> results.Failure | None:
        """Reads bytes from the socket into the parser."""
        if self._connection.they_are_waiting_for_100_continue:
            await self._send(
                self._connection.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        with trio.move_on_after(self._limits.body_timeout_ms / 1000) as scope:
            data = await self._stream.receive_some(READ_BYTES)
        if scope.cancelled_caught:
            return results.Failure(
                results.ResultCode.REQUEST_TIMEOUT,
                'timed out waiting for the request body',
            )
        self._connection.receive_data(data)
        return None

    async def _send(self, data: bytes | None) -> None:
        """Writes bytes within `send_timeout_ms`."""
        if not data:
            return
        sent = _socket_io.send_at_once(self._stream, data)
        if sent == len(data):
            return
        data = data[sent:]
        with trio.move_on_after(self._limits.send_timeout_ms / 1000) as scope:
            await self._stream.send_all(data)
        if scope.cancelled_caught:
            raise trio.BrokenResourceError(
                'timed out while sending the response'
            )
