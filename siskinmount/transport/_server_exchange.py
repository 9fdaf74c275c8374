"""Server side of one HTTP request and its response."""

from collections.abc import Callable
import urllib.parse

import h11
import orjson
import trio

from siskinmount import results
from siskinmount.transport import _byte_budget
from siskinmount.transport import _headers
from siskinmount.transport import _limits
from siskinmount.transport import _socket_io

READ_BYTES = 64 * 1024
#: Size of reads while a response is written, which may bring a next request.
PIPELINED_READ_BYTES = 16 * 1024
#: Events of a body after which other tasks get their turn: some two milliseconds.
EVENTS_PER_TURN = 256
#: Time in which the small rest of an unread body must arrive.
DISCARD_TIMEOUT_S = 1.0
#: Delay after which a client refused for lack of memory may try again.
BUDGET_RETRY_MS = 1000
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
        '_holding',
        '_turns',
        '_budget',
        '_received_bytes',
        '_body_bytes',
        '_event_count',
        '_is_body_given_up',
        '_expected_continue',
    )

    def __init__(
        self,
        head: RequestHead,
        connection: h11.Connection,
        stream: trio.SocketStream,
        limits: _limits.ServerLimits,
        should_close: Callable[[], bool],
        budget: _byte_budget.ByteBudget,
        holding: _byte_budget.Holding,
        turns: trio.Lock,
    ) -> None:
        """Initializes the exchange.

        Args:
            head: Request line and headers.
            connection: Parser of the connection.
            stream: Socket of the connection.
            limits: Limits of the server.
            should_close: Returns whether the connection is to be closed.
            budget: Counts refused clients.
            holding: Holding of the connection, to which bytes are charged.
            turns: Held for a turn by each task that parses many events.
        """
        self.head = head
        self.response_started = False
        self._connection = connection
        self._stream = stream
        self._limits = limits
        self._should_close = should_close
        self._bodyless = head.method == 'HEAD'
        self._is_unframed = False
        self._holding = holding
        self._turns = turns
        self._budget = budget
        # Bytes of the body on the wire; the first of them came with the head.
        self._received_bytes = len(connection.trailing_data[0])
        self._body_bytes = 0
        self._event_count = 0
        self._is_body_given_up = False
        self._expected_continue = False

    async def receive_body_chunk(self) -> bytes | results.Failure:
        """Returns the next bytes of the body, or empty bytes at its end.

        Their memory is the caller's to bound.
        """
        chunk = await self._receive_data()
        if isinstance(chunk, results.Failure):
            return chunk
        # Passed on; what the parser still holds stays charged.
        self._holding.release(len(chunk))
        return bytes(chunk)

    async def read_body(
        self, max_bytes: int | None = None
    ) -> bytes | results.Failure:
        """Reads the whole body.

        A body that is announced as too large is not read at all.

        Args:
            max_bytes: Maximum size of the body; the server's limit if None.
        """
        bound = self._limits.max_body_bytes if max_bytes is None else max_bytes
        if self._get_announced_bytes() > bound:
            self._budget.count_refusal(_byte_budget.ClientRefusal.ANNOUNCED)
            return self._give_up(_too_large(bound))
        # Chunks of one byte in a list would take 40 times their size.
        body = bytearray()
        while True:
            data = await self._receive_data()
            if isinstance(data, results.Failure):
                return data
            if not data:
                return bytes(body)
            if len(body) + len(data) > bound:
                self._budget.count_refusal(_byte_budget.ClientRefusal.TOO_LARGE)
                return self._give_up(_too_large(bound))
            body += data

    async def discard_rest(self) -> None:
        """Reads and discards the small rest of a body that was not needed.

        The connection can then serve another request, unless the body is larger
        or does not arrive in time.
        """
        if self._is_body_given_up or self._expected_continue:
            return
        bound = self._limits.max_discarded_bytes
        size = 0
        with trio.move_on_after(DISCARD_TIMEOUT_S):
            while self._connection.their_state is h11.SEND_BODY:
                if self._get_announced_bytes() - self._body_bytes > bound:
                    return
                data = await self._receive_data()
                if isinstance(data, results.Failure) or not data:
                    return
                self._holding.release(len(data))
                size += len(data)
                if size > bound:
                    return

    def _get_announced_bytes(self) -> int:
        """Returns the announced size of the body; 0 without one."""
        if self._connection.their_state is not h11.SEND_BODY:
            return 0
        length = self.head.find_header(b'content-length') or ''
        if self.head.find_header(b'transfer-encoding') is not None:
            return 0
        return int(length) if length.isdecimal() else 0

    def _give_up(self, failure: results.Failure) -> results.Failure:
        """Gives back what is held of a body, whose connection is closed."""
        self._is_body_given_up = True
        self._holding.release_all()
        return failure

    async def _receive_data(self) -> bytes | bytearray | results.Failure:
        """Returns the next bytes of the body, or empty bytes at its end."""
        while True:
            if self._connection.their_state is not h11.SEND_BODY:
                return b''
            self._event_count += 1
            if self._event_count % EVENTS_PER_TURN == 0:
                await self._take_turn()
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                return self._give_up(
                    results.Failure(
                        results.ResultCode.MALFORMED_REQUEST, str(error)
                    )
                )
            if event is h11.NEED_DATA:
                failure = self._check_framing()
                if failure is not None:
                    return failure
                failure = await self._receive()
                if failure is not None:
                    return self._give_up(failure)
                continue
            if not isinstance(event, h11.Data):
                self._received_bytes -= len(self._connection.trailing_data[0])
                return self._check_framing() or b''
            self._body_bytes += len(event.data)
            return event.data

    async def _take_turn(self) -> None:
        """Lets other tasks run.

        Of all tasks that parse bodies of many events, one at a time goes on, so
        that their number does not delay ordinary requests.
        """
        async with self._turns:
            await trio.lowlevel.checkpoint()

    def _check_framing(self) -> results.Failure | None:
        """Returns a failure if chunk sizes and extensions outweigh the body.

        For when all that has been received of the body is parsed.
        """
        framing_bytes = self._received_bytes - self._body_bytes
        allowed_bytes = self._limits.max_framing_bytes + self._body_bytes // 2
        if framing_bytes <= allowed_bytes:
            return None
        self._budget.count_refusal(_byte_budget.ClientRefusal.FRAMING)
        return self._give_up(_FRAMING_TOO_LARGE)

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
        `max_header_bytes`, or until the byte budget is used up. Beyond that
        nothing more is read, and a disconnect is noticed only by a write.
        """
        while True:
            if len(self._connection.trailing_data[0]) > (
                self._limits.max_header_bytes
            ):
                await trio.sleep_forever()
            try:
                data = await self._stream.receive_some(PIPELINED_READ_BYTES)
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return
            if not data:
                return
            self._connection.receive_data(data)
            if not self._holding.reserve(len(data)):
                self._holding.charge(len(data))
                await trio.sleep_forever()

    def _start(self, status: int, headers: _headers.Headers) -> bytes:
        """Encodes the head of a response."""
        self.response_started = True
        if status in _BODYLESS_STATUSES:
            self._bodyless = True
        # A client that waits for permission may never send the body.
        self._expected_continue = (
            self._connection.they_are_waiting_for_100_continue
        )
        if self._should_close() or self._must_close():
            headers = [*headers, (b'connection', b'close')]
        return self._connection.send(
            h11.Response(status_code=status, headers=headers)
        )

    def _must_close(self) -> bool:
        """Returns whether too much of the body is left to be discarded."""
        left_bytes = self._get_announced_bytes() - self._body_bytes
        return (
            self._is_body_given_up
            or self._expected_continue
            or left_bytes > self._limits.max_discarded_bytes
        )

    async def _receive(self) -> results.Failure | None:
        """Reads bytes from the socket into the parser."""
        if self._connection.they_are_waiting_for_100_continue:
            await self._send(
                self._connection.send(
                    h11.InformationalResponse(status_code=100, headers=[])
                )
            )
        data = b''
        # Counted from the last progress, and not from the last byte.
        left_s = self._limits.body_timeout_ms / 1000 - self._holding.waited_s
        with trio.move_on_after(max(0.0, left_s)) as scope:
            self._holding.begin_wait(scope.cancel)
            try:
                data = await self._stream.receive_some(READ_BYTES)
            finally:
                self._holding.end_wait()
        if self._holding.is_evicted:
            return BUDGET_USED_UP
        if scope.cancelled_caught:
            self._budget.count_refusal(_byte_budget.ClientRefusal.STALLED)
            return results.Failure(
                results.ResultCode.REQUEST_TIMEOUT,
                'timed out waiting for the request body',
            )
        self._received_bytes += len(data)
        self._holding.record_received(len(data))
        if not self._holding.reserve(len(data)):
            self._budget.count_refusal(_byte_budget.ClientRefusal.BUDGET)
            return BUDGET_USED_UP
        self._connection.receive_data(data)
        return None

    async def _send(self, data: bytes | None) -> None:
        """Writes bytes within `send_timeout_ms`.

        Bytes that the client does not take are charged, and given up like a
        stalled body.
        """
        if not data:
            return
        sent = _socket_io.send_at_once(self._stream, data)
        if sent == len(data):
            return
        data = data[sent:]
        self._holding.charge(len(data))
        self._holding.waited_s = 0.0
        with trio.move_on_after(self._limits.send_timeout_ms / 1000) as scope:
            self._holding.begin_wait(scope.cancel)
            try:
                await self._stream.send_all(data)
            finally:
                self._holding.end_wait()
                self._holding.release(len(data))
        if scope.cancelled_caught:
            raise trio.BrokenResourceError(
                'the client did not take the response in time'
            )


BUDGET_USED_UP = results.Failure(
    results.ResultCode.OVERLOADED,
    'this process holds as many bytes for clients as it may',
    retry_after_ms=BUDGET_RETRY_MS,
)

_FRAMING_TOO_LARGE = results.Failure(
    results.ResultCode.BODY_TOO_LARGE,
    'the chunks of the body are too small',
)


def _too_large(bound: int) -> results.Failure:
    return results.Failure(
        results.ResultCode.BODY_TOO_LARGE,
        f'the body is larger than {bound} bytes',
    )
