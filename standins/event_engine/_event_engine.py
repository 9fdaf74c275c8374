"""An engine in the platform's protocol: streams events, or answers at once."""

import enum

import trio

from siskinmount import results
from standins import faults as faults_module


class AnswerFault(enum.Enum):
    """How the next answer is spoilt."""

    #: The stream breaks off in the middle of an event.
    CUT_MIDWAY = 'cut_midway'

    #: The request runs and its connection is closed without an answer.
    RUN_AND_CLOSE = 'run_and_close'

    #: The request runs and nothing is ever answered.
    RUN_AND_SILENT = 'run_and_silent'

    #: A promise that it was not run.
    NOT_RUN = 'not_run'

    #: Another process has the address.
    OTHER_PROCESS = 'other_process'

    #: The answer names another request.
    FOREIGN = 'foreign'

    #: The run fails.
    FAILED = 'failed'

    #: The item can never be done.
    IMPOSSIBLE = 'impossible'

    #: The stream stops, and the connection stays open.
    STALL_MIDWAY = 'stall_midway'


class EngineRun:
    """A request that the engine began to run.

    Attributes:
        request_id: Its id.
        target: Its path and query.
        body: Its body.
        headers: Its headers by lower-case name.
        first_event: The event that it began with.
        began_at_s: Steady time at which it began.
        is_finished: Whether the run came to its end.
    """

    __slots__ = (
        'request_id',
        'target',
        'body',
        'headers',
        'first_event',
        'began_at_s',
        'is_finished',
    )

    def __init__(
        self,
        request_id: str,
        target: str,
        body: bytes,
        headers: dict[str, str],
        first_event: int,
    ) -> None:
        self.request_id = request_id
        self.target = target
        self.body = body
        self.headers = headers
        self.first_event = first_event
        self.began_at_s = trio.current_time()
        self.is_finished = False


class EventEngine:
    """The engine.

    Attributes:
        engine_id: Its id in the list of engines.
        runs: All requests that it began to run.
        answer_faults: Faults of the next answers, in order.
        event_count: Events of a stream.
        event_interval_ms: Time between them.
        is_streaming: Whether answers are streams.
    """

    __slots__ = (
        'engine_id',
        'runs',
        'answer_faults',
        'event_count',
        'event_interval_ms',
        'is_streaming',
    )

    def __init__(
        self,
        engine_id: str,
        event_count: int,
        event_interval_ms: float,
        is_streaming: bool,
    ) -> None:
        self.engine_id = engine_id
        self.runs: list[EngineRun] = []
        self.answer_faults: list[AnswerFault] = []
        self.event_count = event_count
        self.event_interval_ms = event_interval_ms
        self.is_streaming = is_streaming

    async def handle(self, exchange: faults_module.FaultableExchange) -> None:
        """Answers one request."""
        body = await exchange.read_body()
        if isinstance(body, results.Failure):
            await exchange.send_json(400, {})
            return
        headers = {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in exchange.head.headers
        }
        fault = self.answer_faults.pop(0) if self.answer_faults else None
        request_id = headers.get('x-request-id', '')
        echo = [(b'x-request-id', request_id.encode('latin-1'))]
        expected = headers.get('x-expect-instance', self.engine_id)
        if fault is AnswerFault.OTHER_PROCESS or expected != self.engine_id:
            await exchange.send_whole(421, echo, b'')
            return
        if fault is AnswerFault.NOT_RUN:
            await exchange.send_whole(503, [*echo, (b'x-not-run', b'1')], b'')
            return
        first_event = int(headers.get('last-event-id', '0')) + 1
        run = EngineRun(
            request_id, exchange.head.target, body, headers, first_event
        )
        self.runs.append(run)
        if fault is AnswerFault.RUN_AND_CLOSE:
            raise trio.BrokenResourceError('closed on purpose')
        if fault is AnswerFault.RUN_AND_SILENT:
            await exchange.wait_disconnected()
            raise trio.BrokenResourceError('silent on purpose')
        if fault is AnswerFault.FAILED:
            await exchange.send_whole(500, echo, b'failed')
            return
        if fault is AnswerFault.IMPOSSIBLE:
            await exchange.send_whole(422, echo, b'impossible')
            return
        if fault is AnswerFault.FOREIGN:
            echo = [(b'x-request-id', b'another')]
        echo.append((b'x-server-seal', f'seal-{self.engine_id}'.encode()))
        if not self.is_streaming:
            run.is_finished = True
            await exchange.send_whole(200, echo, b'answer to ' + body)
            return
        await self._stream(exchange, run, echo, fault)

    async def _stream(
        self,
        exchange: faults_module.FaultableExchange,
        run: EngineRun,
        headers: list[tuple[bytes, bytes]],
        fault: AnswerFault | None,
    ) -> None:
        """Streams events until the end, a fault, or the caller's leaving."""
        await exchange.start_stream(
            200, [*headers, (b'content-type', b'text/event-stream')]
        )
        async with trio.open_nursery() as nursery:

            async def watch() -> None:
                await exchange.wait_disconnected()
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            middle = (run.first_event + self.event_count) // 2
            for number in range(run.first_event, self.event_count + 1):
                event = make_event(run.request_id, number)
                if number == middle and fault is AnswerFault.CUT_MIDWAY:
                    await exchange.send_chunk(event[: len(event) // 2])
                    raise trio.BrokenResourceError('cut on purpose')
                if number == middle and fault is AnswerFault.STALL_MIDWAY:
                    await trio.sleep_forever()
                await exchange.send_chunk(event)
                await trio.sleep(self.event_interval_ms / 1000)
            run.is_finished = True
            await exchange.finish()
            nursery.cancel_scope.cancel()


def make_event(request_id: str, number: int) -> bytes:
    """Returns the bytes of an event."""
    return f'id: {number}\ndata: {request_id}-{number}\n\n'.encode()


def create_event_engine(
    engine_id: str,
    event_count: int = 6,
    event_interval_ms: float = 2,
    is_streaming: bool = True,
) -> EventEngine:
    """Creates an engine that has run nothing."""
    return EventEngine(engine_id, event_count, event_interval_ms, is_streaming)
