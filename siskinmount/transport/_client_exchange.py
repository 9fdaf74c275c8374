"""One request and its response, as seen by a client."""

from collections.abc import Callable
import select

import h11
import trio

from siskinmount import results
from siskinmount.transport import _headers
from siskinmount.transport import _limits

READ_BYTES = 64 * 1024
#: Part of the server's idle timeout after which a connection is not reused:
#: a request must not cross the server's close.
IDLE_LIMIT_SHARE = 0.75


class ClientRequest:
    """A request to send.

    Attributes:
        method: Upper-case method.
        target: Path with query, percent-encoded.
        headers: Header list; `host` and `content-length` are added.
        body: The whole body.
        host: Value of the `host` header; the server's address if empty.
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


class ClientConnection:
    """A connection that serves one request at a time.

    Attributes:
        stream: The socket.
        parser: The protocol state.
        idle_since_s: Monotonic time of the last use.
        reused: Whether a request has been served on it before.
        is_silent: Whether a response did not come in time.
        request_at_s: Monotonic time at which its last request was sent.
        idle_limit_s: How long the server keeps it unused, as far as it told.
    """

    __slots__ = (
        'stream',
        'parser',
        'idle_since_s',
        'reused',
        'is_silent',
        'request_at_s',
        'idle_limit_s',
    )

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.parser = h11.Connection(h11.CLIENT)
        self.idle_since_s = trio.current_time()
        self.reused = False
        self.is_silent = False
        self.request_at_s = self.idle_since_s
        self.idle_limit_s = float('inf')

    def is_quiet(self) -> bool:
        """Tells whether an idle connection has neither closed nor sent."""
        poller = select.poll()
        poller.register(self.stream.socket.fileno(), select.POLLIN)
        return not poller.poll(0)


class ClientExchange:
    """Reads the response to a request that has been sent.

    Attributes:
        status: HTTP status.
        headers: Header list with lower-case names.
    """

    __slots__ = ('status', 'headers', '_connection', '_limits', '_release')

    def __init__(
        self,
        status: int,
        headers: _headers.Headers,
        connection: ClientConnection,
        limits: _limits.ClientLimits,
        release: Callable[[ClientConnection, bool], None],
    ) -> None:
        self.status = status
        self.headers = headers
        self._connection = connection
        self._limits = limits
        self._release: Callable[[ClientConnection, bool], None] | None = release

    def find_header(self, name: bytes) -> str | None:
        """Returns the first value of a header, by lower-case name."""
        return _headers.find_header(self.headers, name)

    async def receive_chunk(self) -> bytes | results.Failure:
        """Returns the next bytes of the body, or empty bytes at its end.

        All data that one read of the socket brought are returned together.
        """
        parts: list[bytes] = []
        while True:
            if self._connection.parser.their_state is not h11.SEND_BODY:
                return b''.join(parts)
            try:
                event = self._connection.parser.next_event()
            except h11.RemoteProtocolError as error:
                return _lost(str(error))
            if isinstance(event, h11.Data):
                parts.append(bytes(event.data))
                continue
            if event is not h11.NEED_DATA:
                continue
            if parts:
                return b''.join(parts)
            failure = await receive_into(self._connection, self._limits)
            if failure is not None:
                return failure

    async def read_body(self, max_bytes: int) -> bytes | results.Failure:
        """Reads the rest of the body."""
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
                return results.Failure(
                    results.ResultCode.BODY_TOO_LARGE,
                    f'the response is larger than {max_bytes} bytes',
                    results.RunState.RAN,
                )
            parts.append(chunk)

    def close(self) -> None:
        """Gives the connection back, or drops it if the response is not over."""
        if self._release is None:
            return
        parser = self._connection.parser
        # Bytes behind the response belong to no request of ours.
        reusable = (
            parser.our_state is h11.DONE
            and parser.their_state is h11.DONE
            and not parser.trailing_data[0]
        )
        self._connection.idle_limit_s = _read_idle_limit_s(self.headers)
        self._release(self._connection, reusable)
        self._release = None

    def __enter__(self) -> 'ClientExchange':
        return self

    def __exit__(self, *unused: object) -> None:
        self.close()


def _read_idle_limit_s(headers: _headers.Headers) -> float:
    """Returns what `Keep-Alive: timeout=N` says, less a margin."""
    text = _headers.find_header(headers, b'keep-alive') or ''
    for part in text.split(','):
        name, _, value = part.strip().partition('=')
        if name.lower() == 'timeout' and value.isdigit():
            return int(value) * IDLE_LIMIT_SHARE
    return float('inf')


async def receive_into(
    connection: ClientConnection, limits: _limits.ClientLimits
) -> results.Failure | None:
    """Feeds the next bytes from the socket to the parser."""
    try:
        with trio.move_on_after(limits.silence_timeout_ms / 1000) as scope:
            data = await connection.stream.receive_some(READ_BYTES)
    except trio.BrokenResourceError as error:
        return _lost(str(error))
    if scope.cancelled_caught:
        connection.is_silent = True
        return results.Failure(
            results.ResultCode.UPSTREAM_SILENT,
            f'no byte for {limits.silence_timeout_ms} ms',
            results.RunState.UNKNOWN,
        )
    connection.parser.receive_data(data)
    return None


def _lost(reason: str) -> results.Failure:
    return results.Failure(
        results.ResultCode.UPSTREAM_LOST,
        f'the connection was lost: {reason}',
        results.RunState.UNKNOWN,
    )
