"""Faults that a stand-in can be told to show, and how they affect requests."""

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
    """How a request is spoilt."""

    #: Answered with 503 before it has any effect.
    REFUSE = 'refuse'

    #: The connection is closed instead of answering.
    CLOSE = 'close'

    #: Nothing is answered, and the connection stays open.
    SILENT = 'silent'


#: Number of silent cuts when a connection sent its first request. A
#: connection's requests all run in one task, so they share its context.
_first_cut_count: contextvars.ContextVar[int] = contextvars.ContextVar(
    'first_cut_count'
)


class Faults:
    """The faults in force now.

    Attributes:
        frozen_until_s: No answer is sent before this monotonic time.
        slow_until_s: Requests are delayed until this monotonic time.
        slow_delay_ms: The delay of each request.
        outage_until_s: Requests are spoilt until this monotonic time.
        outage_mode: How an outage shows.
        lost_answers_left: Answers still to lose after the request's effect.
        lost_answer_mode: How a lost answer shows.
        cut_count: Silent cuts so far.
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
        """Answers nothing for a while; requests wait."""
        self.frozen_until_s = trio.current_time() + duration_ms / 1000

    def slow_down(self, delay_ms: int, duration_ms: int) -> None:
        """Delays each request that arrives within the duration."""
        self.slow_delay_ms = delay_ms
        self.slow_until_s = trio.current_time() + duration_ms / 1000

    def begin_outage(self, mode: FaultMode, duration_ms: int) -> None:
        """Spoils all requests that arrive within the duration."""
        self.outage_mode = mode
        self.outage_until_s = trio.current_time() + duration_ms / 1000

    def lose_answers(self, mode: FaultMode, count: int) -> None:
        """Loses the answers to the next requests that are not GET."""
        self.lost_answer_mode = mode
        self.lost_answers_left = count

    def cut_silently(self) -> None:
        """Answers nothing more on the connections that are open now."""
        self.cut_count += 1

    async def wait_unfrozen(self) -> None:
        """Returns once the stand-in is not frozen."""
        if trio.current_time() < self.frozen_until_s:
            await trio.sleep_until(self.frozen_until_s)

    async def wait_slowness(self) -> None:
        """Delays a request while the stand-in is slow."""
        if trio.current_time() < self.slow_until_s:
            await trio.sleep(self.slow_delay_ms / 1000)

    def find_outage(self) -> FaultMode | None:
        """Returns how requests are spoilt now, or None."""
        if trio.current_time() < self.outage_until_s:
            return self.outage_mode
        return None

    def take_lost_answer(self, method: str) -> FaultMode | None:
        """Returns how the answer to a request is lost, or None."""
        if method == 'GET' or not self.lost_answers_left:
            return None
        self.lost_answers_left -= 1
        return self.lost_answer_mode


class FaultableExchange:
    """A server exchange whose answer may be spoilt by the faults in force.

    What is sent on a silent connection is discarded: to the handler it looks
    sent, and the client sees nothing.

    Attributes:
        head: The request's line and headers.
    """

    __slots__ = (
        'head',
        '_exchange',
        '_faults',
        '_first_cut_count',
        '_answer_lost',
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
        self._answer_lost = False

    def is_silent(self) -> bool:
        """Tells whether nothing reaches the client any more."""
        return self._answer_lost or self.is_cut()

    async def wait_out_silence(self) -> None:
        """Keeps a silent connection open until the client gives it up.

        Raises:
            trio.BrokenResourceError: Then, to make the server close it.
        """
        await self._exchange.wait_disconnected()
        raise trio.BrokenResourceError('the connection was silent')

    def is_cut(self) -> bool:
        """Tells whether the connection has gone silent for good."""
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
        if await self._may_begin():
            await self._exchange.send_whole(status, headers, body)

    async def send_json(
        self, status: int, document: object, headers: transport.Headers = ()
    ) -> None:
        """Sends a JSON response."""
        if await self._may_begin():
            await self._exchange.send_json(status, document, headers)

    async def refuse(self, status: int, failure: results.Failure) -> None:
        """Answers that a request cannot be served."""
        await self.send_json(status, {'error': failure.reason})

    async def start_stream(
        self, status: int, headers: transport.Headers
    ) -> None:
        """Sends the head of a response whose length is not known."""
        if await self._may_begin():
            await self._exchange.start_stream(status, headers)

    async def send_chunk(self, chunk: bytes) -> None:
        """Sends a part of the response's body."""
        if await self._may_send():
            await self._exchange.send_chunk(chunk)

    async def finish(self) -> None:
        """Ends a response that `start_stream` began."""
        if await self._may_send():
            await self._exchange.finish()

    async def wait_disconnected(self) -> None:
        """Returns when the client has gone; never on a cut connection."""
        await self._exchange.wait_disconnected()
        if self.is_cut():
            await trio.sleep_forever()

    async def _may_begin(self) -> bool:
        """Waits until the response may start; tells whether it is sent.

        Raises:
            trio.BrokenResourceError: The connection is to be closed instead.
        """
        if not await self._may_send():
            return False
        mode = self._faults.take_lost_answer(self.head.method)
        if mode is None:
            return True
        if mode is not FaultMode.SILENT:
            raise trio.BrokenResourceError('the answer is lost on purpose')
        self._answer_lost = True
        return False

    async def _may_send(self) -> bool:
        """Waits until the stand-in is not frozen; tells whether to send."""
        await self._faults.wait_unfrozen()
        return not self.is_silent()


StandinHandler = Callable[[FaultableExchange], Awaitable[None]]


def create_faultable_handler(
    handler: StandinHandler, faults: Faults
) -> Callable[[transport.ServerExchange], Awaitable[None]]:
    """Wraps a handler so that faults affect its requests.

    Requests under `/control/` set faults or reach the handler unspoilt.
    """

    async def handle(exchange: transport.ServerExchange) -> None:
        if exchange.head.path.startswith(CONTROL_PREFIX):
            control = FaultableExchange(exchange, Faults(), 0)
            if not await _handle_fault_control(control, faults):
                await handler(control)
            return
        await _handle_spoilt(exchange, handler, faults)

    return handle


def parse_json_object(body: bytes) -> dict | results.Failure:
    """Parses a JSON object; an empty body is an empty object."""
    try:
        document = orjson.loads(body or b'{}')
    except orjson.JSONDecodeError as error:
        return _malformed(str(error))
    if not isinstance(document, dict):
        return _malformed('the body is not an object')
    return document


def _malformed(reason: str) -> results.Failure:
    return results.Failure(results.ResultCode.MALFORMED_REQUEST, reason)


async def _handle_spoilt(
    exchange: transport.ServerExchange, handler: StandinHandler, faults: Faults
) -> None:
    """Runs the handler under the faults in force."""
    first_cut_count = _first_cut_count.get(None)
    if first_cut_count is None:
        first_cut_count = faults.cut_count
        _first_cut_count.set(first_cut_count)
    faultable = FaultableExchange(exchange, faults, first_cut_count)
    if faultable.is_cut():
        await faultable.wait_out_silence()
    await faults.wait_unfrozen()
    await faults.wait_slowness()
    outage = faults.find_outage()
    if outage is None:
        await handler(faultable)
        if faultable.is_silent():
            await faultable.wait_out_silence()
        return
    if outage is FaultMode.SILENT:
        await faultable.wait_out_silence()
    if outage is FaultMode.CLOSE:
        raise trio.BrokenResourceError('closed on purpose')
    retry_after = str(OUTAGE_RETRY_AFTER_S).encode('ascii')
    await exchange.send_json(
        503, {'error': 'outage'}, [(b'retry-after', retry_after)]
    )


async def _handle_fault_control(
    exchange: FaultableExchange, faults: Faults
) -> bool:
    """Sets a fault; returns False if the path names none."""
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
