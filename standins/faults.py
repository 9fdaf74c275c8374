"""Fault injection for stand-ins, controlled over HTTP."""

from collections.abc import Awaitable
from collections.abc import Callable
import contextvars
import enum
import os

import orjson
import trio

from siskinmount import results
from siskinmount import transport

CONTROL_PREFIX = '/control/'
KILLED_EXIT_STATUS = 137
OUTAGE_RETRY_AFTER_S = 1


class FaultMode(enum.Enum):
    """How a fault shows up to the client."""

    #: The request is answered with 503 before it has any effect.
    REFUSE = 'refuse'

    #: The connection is closed instead of answering.
    CLOSE = 'close'

    #: Nothing is answered, and the connection stays open.
    SILENT = 'silent'


#: Value of `Faults.cut_count` when a connection sent its first request. All
#: requests of a connection run in one task and so share this context variable.
_first_cut_count: contextvars.ContextVar[int] = contextvars.ContextVar(
    'first_cut_count'
)


class Faults:
    """The faults in force.

    Attributes:
        frozen_until_s: No answer is sent before this monotonic time.
        slow_until_s: Requests are delayed until this monotonic time.
        slow_delay_ms: Delay of each request while requests are delayed.
        outage_until_s: Requests fail until this monotonic time.
        outage_mode: How requests fail during an outage.
        lost_answers_left: Number of further answers to lose after the
            request took effect.
        lost_answer_mode: How a lost answer shows up to the client.
        cut_count: Number of calls of `cut_silently` so far.
    """

    __slots__ = (
        'frozen_until_s',
        'slow_until_s',
        'slow_delay_ms',
        'outage_until_s',
        'outage_mode',
        'lost_answers_left',
        'lost_answer_mode',
        'cut_count',
    )

    def __init__(self) -> None:
        self.frozen_until_s = 0.0
        self.slow_until_s = 0.0
        self.slow_delay_ms = 0
        self.outage_until_s = 0.0
        self.outage_mode = FaultMode.REFUSE
        self.lost_answers_left = 0
        self.lost_answer_mode = FaultMode.CLOSE
        self.cut_count = 0

    def freeze(self, duration_ms: int) -> None:
        """Delays all answers until the duration has passed."""
        self.frozen_until_s = trio.current_time() + duration_ms / 1000

    def slow_down(self, delay_ms: int, duration_ms: int) -> None:
        """Delays each request that arrives within the duration."""
        self.slow_delay_ms = delay_ms
        self.slow_until_s = trio.current_time() + duration_ms / 1000

    def begin_outage(self, mode: FaultMode, duration_ms: int) -> None:
        """Makes all requests fail that arrive within the duration."""
        self.outage_mode = mode
        self.outage_until_s = trio.current_time() + duration_ms / 1000

    def lose_answers(self, mode: FaultMode, count: int) -> None:
        """Loses the answers to the next `count` requests that are not GET."""
        self.lost_answer_mode = mode
        self.lost_answers_left = count

    def cut_silently(self) -> None:
        """Stops sending on all open connections without closing them."""
        self.cut_count += 1

    async def wait_unfrozen(self) -> None:
        """Waits until the stand-in is no longer frozen."""
        if trio.current_time() < self.frozen_until_s:
            await trio.sleep_until(self.frozen_until_s)

    async def apply_delay(self) -> None:
        """Waits for the delay of `slow_down` while it is in force."""
        if trio.current_time() < self.slow_until_s:
            await trio.sleep(self.slow_delay_ms / 1000)

    def get_outage_mode(self) -> FaultMode | None:
        """Returns how requests fail now, or None without an outage."""
        if trio.current_time() < self.outage_until_s:
            return self.outage_mode
        return None

    def consume_lost_answer(self, method: str) -> FaultMode | None:
        """Returns how the answer to this request is lost, or None.

        Each lost answer reduces `lost_answers_left` by one.
        """
        if method == 'GET' or not self.lost_answers_left:
            return None
        self.lost_answers_left -= 1
        return self.lost_answer_mode


class FaultInjectingExchange:
    """A server exchange that applies the faults in force to its answer.

    Data sent on a cut connection, or for an answer that is lost silently, is
    discarded: the send succeeds for the handler, and the client receives
    nothing.

    Attributes:
        head: Request line and headers.
    """

    __slots__ = (
        'head',
        '_exchange',
        '_faults',
        '_first_cut_count',
        '_answer_suppressed',
    )

    def __init__(
        self,
        exchange: transport.ServerExchange,
        faults: Faults,
        first_cut_count: int,
    ) -> None:
        self.head = exchange.head
        self._exchange = exchange
        self._faults = faults
        self._first_cut_count = first_cut_count
        self._answer_suppressed = False

    def is_response_suppressed(self) -> bool:
        """Returns whether data sent to the client is discarded."""
        return self._answer_suppressed or self.is_cut()

    async def hold_until_disconnected(self) -> None:
        """Keeps the connection open until the client disconnects.

        Raises:
            trio.BrokenResourceError: The client has disconnected; makes the
                server close the connection.
        """
        await self._exchange.wait_disconnected()
        raise trio.BrokenResourceError(
            'the client left a connection without an answer'
        )

    def is_cut(self) -> bool:
        """Returns whether `cut_silently` has cut this connection."""
        return self._faults.cut_count > self._first_cut_count

    async def read_body(self) -> bytes | results.Failure:
        """Reads the whole body."""
        return await self._exchange.read_body()

    async def read_json(self) -> dict | results.Failure:
        """Reads the body as a JSON object."""
        body = await self._exchange.read_body()
        if isinstance(body, results.Failure):
            return body
        return parse_json_object(body)

    async def send_whole(
        self, status: int, headers: transport.Headers, body: bytes
    ) -> None:
        """Sends a response with a known length."""
        if await self._can_start_response():
            await self._exchange.send_whole(status, headers, body)

    async def send_json(
        self, status: int, document: object, headers: transport.Headers = ()
    ) -> None:
        """Sends a JSON response."""
        if await self._can_start_response():
            await self._exchange.send_json(status, document, headers)

    async def refuse(self, status: int, failure: results.Failure) -> None:
        """Sends a failure as a JSON error."""
        await self.send_json(status, {'error': failure.reason})

    async def start_stream(
        self, status: int, headers: transport.Headers
    ) -> None:
        """Sends the head of a response of unknown length."""
        if await self._can_start_response():
            await self._exchange.start_stream(status, headers)

    def omit_framing(self) -> None:
        """Makes the body of a stream end with the connection.

        The body is then sent as to a client of HTTP/1.0, with neither a length
        nor chunks.
        """
        # The server has no such mode for clients of HTTP/1.1.
        self._exchange._connection.their_http_version = b'1.0'  # noqa: SLF001

    async def send_raw(self, data: bytes) -> None:
        """Sends bytes that belong to no response to the request."""
        # The server sends nothing that is not due.
        await self._exchange._stream.send_all(data)  # noqa: SLF001

    async def send_chunk(self, chunk: bytes) -> None:
        """Sends a part of the response body."""
        if await self._can_send():
            await self._exchange.send_chunk(chunk)

    async def finish(self) -> None:
        """Ends a response started by `start_stream`."""
        if await self._can_send():
            await self._exchange.finish()

    async def wait_disconnected(self) -> None:
        """Waits until the client disconnects; never ends on a cut connection."""
        await self._exchange.wait_disconnected()
        if self.is_cut():
            await trio.sleep_forever()

    async def _can_start_response(self) -> bool:
        """Waits while frozen; returns False if the response is discarded.

        Raises:
            trio.BrokenResourceError: The answer is lost by closing the
                connection.
        """
        if not await self._can_send():
            return False
        mode = self._faults.consume_lost_answer(self.head.method)
        if mode is None:
            return True
        if mode is not FaultMode.SILENT:
            raise trio.BrokenResourceError('injected fault: answer lost')
        self._answer_suppressed = True
        return False

    async def _can_send(self) -> bool:
        """Waits while frozen; returns False if data is discarded."""
        await self._faults.wait_unfrozen()
        return not self.is_response_suppressed()


StandinHandler = Callable[[FaultInjectingExchange], Awaitable[None]]


def create_fault_injecting_handler(
    handler: StandinHandler, faults: Faults
) -> Callable[[transport.ServerExchange], Awaitable[None]]:
    """Wraps a handler so that faults affect its requests.

    Requests below `/control/` set faults or reach the handler without faults.
    """

    async def handle(exchange: transport.ServerExchange) -> None:
        if exchange.head.path.startswith(CONTROL_PREFIX):
            control = FaultInjectingExchange(exchange, Faults(), 0)
            if not await _handle_fault_control(control, faults):
                await handler(control)
            return
        await _handle_with_faults(exchange, handler, faults)

    return handle


def parse_json_object(body: bytes) -> dict | results.Failure:
    """Parses a JSON object; an empty body counts as an empty object."""
    try:
        document = orjson.loads(body or b'{}')
    except orjson.JSONDecodeError as error:
        return _malformed_request(str(error))
    if not isinstance(document, dict):
        return _malformed_request('the body is not an object')
    return document


def _malformed_request(reason: str) -> results.Failure:
    return results.Failure(results.ResultCode.MALFORMED_REQUEST, reason)


async def _handle_with_faults(
    exchange: transport.ServerExchange, handler: StandinHandler, faults: Faults
) -> None:
    """Runs the handler under the faults in force."""
    first_cut_count = _first_cut_count.get(None)
    if first_cut_count is None:
        first_cut_count = faults.cut_count
        _first_cut_count.set(first_cut_count)
    wrapped = FaultInjectingExchange(exchange, faults, first_cut_count)
    if wrapped.is_cut():
        await wrapped.hold_until_disconnected()
    await faults.wait_unfrozen()
    await faults.apply_delay()
    outage = faults.get_outage_mode()
    if outage is None:
        await handler(wrapped)
        if wrapped.is_response_suppressed():
            await wrapped.hold_until_disconnected()
        return
    if outage is FaultMode.SILENT:
        await wrapped.hold_until_disconnected()
    if outage is FaultMode.CLOSE:
        raise trio.BrokenResourceError('injected fault: connection closed')
    retry_after = str(OUTAGE_RETRY_AFTER_S).encode('ascii')
    await exchange.send_json(
        503, {'error': 'outage'}, [(b'retry-after', retry_after)]
    )


async def _handle_fault_control(
    exchange: FaultInjectingExchange, faults: Faults
) -> bool:
    """Sets a fault; returns False if the path names no fault."""
    name = exchange.head.path.removeprefix(CONTROL_PREFIX)
    if name not in ('kill', 'freeze', 'cut', 'slow', 'lose_answer', 'outage'):
        return False
    document = await exchange.read_json()
    if isinstance(document, results.Failure):
        await exchange.refuse(400, document)
        return True
    if name == 'kill':
        os._exit(KILLED_EXIT_STATUS)
    duration_ms = int(document.get('duration_ms', 1000))
    if name == 'freeze':
        faults.freeze(duration_ms)
    elif name == 'cut':
        faults.cut_silently()
    elif name == 'slow':
        faults.slow_down(int(document.get('delay_ms', 100)), duration_ms)
    elif name == 'lose_answer':
        mode = FaultMode(document.get('mode', FaultMode.CLOSE.value))
        faults.lose_answers(mode, int(document.get('count', 1)))
    else:
        mode = FaultMode(document.get('mode', FaultMode.REFUSE.value))
        faults.begin_outage(mode, duration_ms)
    await exchange.send_json(200, {'fault': name})
    return True
