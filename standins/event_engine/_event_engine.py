"""Engine with the platform's protocol: streams events or answers at once."""

from collections.abc import Callable
import contextvars
import enum

import trio

from siskinmount import results
from standins import faults as faults_module


class AnswerFault(enum.Enum):
    """Fault that is injected into an answer."""

    #: The connection is closed in the middle of an event.
    CUT_MIDWAY = 'cut_midway'

    #: The connection is closed between two events.
    CUT_BETWEEN_EVENTS = 'cut_between_events'

    #: The connection is closed after the head, before the first event.
    CUT_BEFORE_EVENTS = 'cut_before_events'

    #: The request runs, and the connection is closed without an answer.
    RUN_AND_CLOSE = 'run_and_close'

    #: The request runs, and the connection stays open without an answer.
    RUN_AND_SILENT = 'run_and_silent'

    #: The request is refused with 503 and `x-not-run`, a promise that it did
    #: not run.
    NOT_RUN = 'not_run'

    #: The same, and once more where the next answer on the connection is due.
    NOT_RUN_TWICE = 'not_run_twice'

    #: The run fails with 500, and this is said once more in the same way.
    FAILED_TWICE = 'failed_twice'

    #: The head of such a refusal is sent, and the body does not follow.
    NOT_RUN_WITHOUT_BODY = 'not_run_without_body'

    #: The answer is 421, as if another process had taken over the address.
    OTHER_PROCESS = 'other_process'

    #: The answer carries the id of another request.
    FOREIGN = 'foreign'

    #: The run fails; the answer is 500.
    FAILED = 'failed'

    #: The answer is 422: the item can never succeed.
    IMPOSSIBLE = 'impossible'

    #: The stream stops halfway, and the connection stays open.
    STALL_MIDWAY = 'stall_midway'

    #: The process exits in the middle of the answer, between two events. Its
    #: connections are closed in order, as the kernel does.
    EXIT_MIDWAY = 'exit_midway'


#: Second copy of an answer that was sent on a connection, whose requests are
#: handled in one task and so share this variable.
_late_copy: contextvars.ContextVar[bytes] = contextvars.ContextVar(
    'late_copy', default=b''
)
_CUTS = (AnswerFault.CUT_MIDWAY, AnswerFault.CUT_BETWEEN_EVENTS)


class EngineRun:
    """A request that the engine started to run.

    Attributes:
        request_id: Id of the request.
        target: Path and query.
        body: Request body.
        headers: Request headers by lower-case name.
        first_event: Number of the first event of the answer.
        began_at_s: Monotonic start time.
        is_finished: Whether the run completed.
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

    def list_shared_parts(self) -> list[str]:
        """Returns the ids of all parts of the prompt but the last."""
        parts = self.headers.get('x-prompt-prefix', '').split(',')
        return [part.partition(':')[0] for part in parts[:-1]]


class EventEngine:
    """Answers requests and records the runs.

    Attributes:
        engine_id: Id of the engine in the list of engines.
        runs: All requests that the engine started to run.
        answer_faults: Faults to inject into the next answers, in order.
        event_count: Number of events of a complete stream.
        event_interval_ms: Time between two events.
        is_streaming: Whether answers are streams.
        omits_framing: Whether answers have neither length nor chunks and end
            with their connection.
        is_leaving: Whether all answers say that the engine leaves.
        version: Version of the software, which each event names; empty for none.
        limit_text: Requests a second that all answers name; None for none.
        crashing_body: Body of the request that crashes the engine; None for no
            such request.
        crashing_part: Id of the part of a prompt that crashes the engine unless
            it is the last part; None for no such part.
        events_before_crash: Events that such a request gets before the crash.
        crash: Ends the engine's process, with all its connections.
    """

    __slots__ = (
        'engine_id',
        'runs',
        'answer_faults',
        'event_count',
        'event_interval_ms',
        'is_streaming',
        'omits_framing',
        'is_leaving',
        'version',
        'limit_text',
        'crashing_body',
        'crashing_part',
        'events_before_crash',
        'crash',
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
        self.omits_framing = False
        self.is_leaving = False
        self.version = ''
        self.limit_text: str | None = None
        self.crashing_body: bytes | None = None
        self.crashing_part: str | None = None
        self.events_before_crash = 0
        self.crash: Callable[[], None] = lambda: None

    async def handle(
        self, exchange: faults_module.FaultInjectingExchange
    ) -> None:
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
        if _late_copy.get():
            await exchange.send_raw(_late_copy.get())
            _late_copy.set(b'')
        request_id = headers.get('x-request-id', '')
        echo = [(b'x-request-id', request_id.encode('latin-1'))]
        if self.is_leaving:
            echo.append((b'server-leaving', b'1'))
        if self.limit_text is not None:
            echo.append((b'server-limit', self.limit_text.encode()))
        expected = headers.get('x-expect-instance', self.engine_id)
        if fault is AnswerFault.OTHER_PROCESS or expected != self.engine_id:
            await exchange.send_whole(421, echo, b'')
            return
        if fault is AnswerFault.NOT_RUN:
            await exchange.send_whole(503, [*echo, (b'x-not-run', b'1')], b'')
            return
        if fault is AnswerFault.NOT_RUN_TWICE:
            _late_copy.set(_encode_head(503, [*echo, (b'x-not-run', b'1')]))
            await exchange.send_whole(503, [*echo, (b'x-not-run', b'1')], b'')
            return
        if fault is AnswerFault.NOT_RUN_WITHOUT_BODY:
            await exchange.start_stream(503, [*echo, (b'x-not-run', b'1')])
            await exchange.wait_disconnected()
            raise trio.BrokenResourceError('injected fault: body withheld')
        first_event = int(headers.get('last-event-id', '0')) + 1
        run = EngineRun(
            request_id, exchange.head.target, body, headers, first_event
        )
        self.runs.append(run)
        if self._is_crash_due(run, 0):
            self.crash()
            await trio.sleep_forever()
        if fault is AnswerFault.RUN_AND_CLOSE:
            raise trio.BrokenResourceError('injected fault: connection closed')
        if fault is AnswerFault.RUN_AND_SILENT:
            await exchange.wait_disconnected()
            raise trio.BrokenResourceError('injected fault: no answer')
        if fault is AnswerFault.FAILED_TWICE:
            _late_copy.set(_encode_head(500, echo))
            await exchange.send_whole(500, echo, b'')
            return
        if fault is AnswerFault.FAILED:
            await exchange.send_whole(500, echo, b'failed')
            return
        if fault is AnswerFault.IMPOSSIBLE:
            await exchange.send_whole(422, echo, b'impossible')
            return
        if fault is AnswerFault.FOREIGN:
            echo = [(b'x-request-id', b'another')]
        echo.append((b'x-server-seal', f'seal-{self.engine_id}'.encode()))
        if self.omits_framing:
            exchange.omit_framing()
        if not self.is_streaming:
            if self.omits_framing:
                await exchange.start_stream(200, echo)
                await exchange.send_chunk(b'answer to ')
                if fault is AnswerFault.EXIT_MIDWAY:
                    await self._exit(exchange)
                run.is_finished = True
                await exchange.send_chunk(body)
                await exchange.finish()
                return
            run.is_finished = True
            await exchange.send_whole(200, echo, b'answer to ' + body)
            return
        await self._stream(exchange, run, echo, fault)

    async def _stream(
        self,
        exchange: faults_module.FaultInjectingExchange,
        run: EngineRun,
        headers: list[tuple[bytes, bytes]],
        fault: AnswerFault | None,
    ) -> None:
        """Streams events until the end, a fault or a disconnect."""
        await exchange.start_stream(
            200, [*headers, (b'content-type', b'text/event-stream')]
        )
        if fault is AnswerFault.CUT_BEFORE_EVENTS:
            await self._break_off(exchange)
            return
        async with trio.open_nursery() as nursery:

            async def cancel_on_disconnect() -> None:
                await exchange.wait_disconnected()
                nursery.cancel_scope.cancel()

            nursery.start_soon(cancel_on_disconnect)
            fault_event = (run.first_event + self.event_count) // 2
            for number in range(run.first_event, self.event_count + 1):
                event = make_event(run.request_id, number, self.version)
                if number == fault_event and fault in _CUTS:
                    if fault is AnswerFault.CUT_MIDWAY:
                        await exchange.send_chunk(event[: len(event) // 2])
                    await self._break_off(exchange)
                    nursery.cancel_scope.cancel()
                    return
                if number == fault_event and fault is AnswerFault.EXIT_MIDWAY:
                    await self._exit(exchange)
                if number == fault_event and fault is AnswerFault.STALL_MIDWAY:
                    await trio.sleep_forever()
                await exchange.send_chunk(event)
                await trio.sleep(self.event_interval_ms / 1000)
                if self._is_crash_due(run, number):
                    self.crash()
                    await trio.sleep_forever()
            run.is_finished = True
            await exchange.finish()
            nursery.cancel_scope.cancel()

    def _is_crash_due(self, run: EngineRun, event_count: int) -> bool:
        """Returns whether the engine crashes after so many events of a run."""
        if event_count != self.events_before_crash:
            return False
        if self.crashing_part is not None:
            return self.crashing_part in run.list_shared_parts()
        return self.crashing_body is not None and run.body == self.crashing_body

    async def _break_off(
        self, exchange: faults_module.FaultInjectingExchange
    ) -> None:
        """Closes the connection within a response, without a reset."""
        if not self.omits_framing:
            raise trio.BrokenResourceError('injected fault: stream cut')
        # The end of an unframed body is the same whether it is complete or not.
        await exchange.finish()

    async def _exit(
        self, exchange: faults_module.FaultInjectingExchange
    ) -> None:
        """Ends the process; an unframed answer is not reset."""
        if self.omits_framing:
            await exchange.finish()
        self.crash()
        await trio.sleep_forever()


def _encode_head(status: int, headers: list[tuple[bytes, bytes]]) -> bytes:
    """Returns an answer without a body."""
    lines = [b'HTTP/1.1 %d' % status, b'content-length: 0']
    lines += [b'%b: %b' % header for header in headers]
    return b'\r\n'.join(lines) + b'\r\n\r\n'


def make_event(request_id: str, number: int, version: str = '') -> bytes:
    """Returns an event as a server-sent event."""
    mark = f'@{version}' if version else ''
    return f'id: {number}\ndata: {request_id}-{number}{mark}\n\n'.encode()


def create_event_engine(
    engine_id: str,
    event_count: int = 6,
    event_interval_ms: float = 2,
    is_streaming: bool = True,
) -> EventEngine:
    """Creates an engine without runs and faults."""
    return EventEngine(engine_id, event_count, event_interval_ms, is_streaming)
