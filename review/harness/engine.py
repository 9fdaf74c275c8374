"""Stand-in of an engine, as PROTOCOL.md and the additions describe it."""

import asyncio
from collections.abc import Callable
import random
import time

from harness import http_wire
from harness import store as store_module

HEARTBEAT_S = 1.2
#: The platform drops an entry after three heartbeats of silence.
ENTRY_LIFE_S = 3 * HEARTBEAT_S
EVENT_COUNT = 25
EVENT_INTERVAL_S = 0.028


class Run:
    """A request that an engine began to work on.

    Attributes:
        request_id: `X-Request-Id`.
        engine_id: Id of the engine.
        version: Version of its software.
        at_s: Monotonic time.
        target: Path and query.
        body: The body.
        first_event: Number of the first event of a stream.
    """

    def __init__(
        self, engine: 'Engine', request: http_wire.Message, first_event: int
    ) -> None:
        self.request_id = request.headers.get('x-request-id', '')
        self.engine_id = engine.engine_id
        self.version = engine.version
        self.at_s = time.monotonic()
        self.target = request.first[1]
        self.body = request.body
        self.first_event = first_event


class Engine:
    """An engine of one service, at one address for its whole life.

    Attributes:
        engine_id: Its id, kept over its starts.
        service: Service of the engine.
        version: Version of its software.
        is_streaming: Whether answers are streams of events.
        is_leaving: Whether all answers say that it leaves.
        runs: Requests that it began to work on.
        answers: Number of answers that it has given.
        on_run: Called for each request that it begins; returns whether the
            engine crashes of it.
        others_share: Load that other callers put on it, as a share of its
            slots; they call the engine itself.
        extra_share: Share of answers of which a second copy comes, at the
            point where the next answer on the channel is expected.
        extras: Number of such copies, at most that share of all answers.
        work_s: Mean time of a run without a stream.
    """

    def __init__(
        self,
        store: store_module.Store,
        engine_id: str,
        service: str,
        version: str = '1.0',
        is_streaming: bool = True,
        slots: int = 8,
        queue: int = 24,
    ) -> None:
        self.engine_id = engine_id
        self.service = service
        self.version = version
        self.is_streaming = is_streaming
        self.is_leaving = False
        self.runs: list[Run] = []
        self.answers = 0
        self.extras = 0
        self.on_run: Callable[[Run], bool] = lambda run: False
        self.others_share = 0.0
        self.extra_share = 0.0
        self.work_s = 0.045
        self.state = 'ready'
        self.is_up = False
        self._store = store
        self._slots = slots
        self._queue = queue
        self._taken = 0
        self._free = asyncio.Semaphore(slots)
        self._address = ('127.0.0.1', 0)
        self._born = 0
        self._seq_no = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Starts, or starts again: it registers, and then takes requests."""
        self._born = int(time.time() * 1000)
        self._seq_no = 0
        self._taken = 0
        self._free = asyncio.Semaphore(self._slots)
        self.is_up = True
        server = await asyncio.start_server(
            self._serve, *self._address, start_serving=False
        )
        self._address = server.sockets[0].getsockname()[:2]
        self._server = server
        self.register()
        await asyncio.sleep(0.05)
        await server.start_serving()
        self._spawn(self._beat())
        if self.others_share:
            self._spawn(self._serve_others())

    def register(self) -> bool:
        """Writes the entry; returns whether the store has taken it."""
        self._seq_no += 1
        return self._store.put(
            'keyed.servers', self.engine_id, self.describe(self.state)
        )

    def describe(self, state: str) -> dict[str, object]:
        """Returns the entry as the engine writes it now."""
        host, port = self._address
        return {
            'service': self.service,
            'address': f'{host}:{port}',
            'zone': 'hall-a',
            'version': self.version,
            'slot_count': self._slots,
            'state': state,
            'cold_left_ms': 0,
            'seq_no': self._seq_no,
            'born': self._born,
        }

    def crash(self) -> None:
        """Ends at once: its channels are reset, its port refuses."""
        self.is_up = False
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for task in list(self._tasks):
            task.cancel()

    async def crash_for(self, down_s: float) -> None:
        """Crashes, and starts again under the same id and address."""
        if not self.is_up:
            return
        self.crash()
        await asyncio.sleep(down_s)
        await self.start()

    def _spawn(self, work: object) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        is_written = True
        while True:
            await asyncio.sleep(HEARTBEAT_S if is_written else 0.1)
            is_written = self.register()

    async def _serve_others(self) -> None:
        """Takes work of other callers, as much as it can hold."""
        rate_per_s = self.others_share * self._slots / self.work_s
        while True:
            await asyncio.sleep(random.expovariate(rate_per_s))
            if self._taken < self._slots + self._queue:
                self._taken += 1
                self._spawn(self._work())

    async def _work(self) -> None:
        try:
            async with self._free:
                await asyncio.sleep(random.expovariate(1 / self.work_s))
        finally:
            self._taken -= 1

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if not self.is_up:
            # Accepted as the process ended.
            writer.transport.abort()
            return
        self._writers.add(writer)
        pending_extra = b''
        try:
            while True:
                request = await http_wire.read_head(reader)
                if request is None:
                    return
                await http_wire.read_body(reader, request)
                if not request.is_complete:
                    return
                if pending_extra:
                    writer.write(pending_extra)
                    await writer.drain()
                whole = await self._answer(request, reader, writer)
                self.answers += 1
                pending_extra = b''
                if whole and self._takes_extra():
                    pending_extra = whole
        except (ConnectionError, OSError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def _takes_extra(self) -> bool:
        """Returns whether a second copy of this answer is to come."""
        if random.random() >= self.extra_share:
            return False
        if self.extras + 1 > self.extra_share * self.answers:
            return False
        self.extras += 1
        return True

    def _base_headers(
        self, request: http_wire.Message
    ) -> list[tuple[str, str]]:
        headers = [('X-Request-Id', request.headers.get('x-request-id', ''))]
        if self.is_leaving:
            headers.append(('Server-Leaving', '1'))
        return headers

    async def _answer(
        self,
        request: http_wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bytes:
        """Answers one request; returns the answer if it was sent whole."""
        headers = self._base_headers(request)
        expected = request.headers.get('x-expect-instance', self.engine_id)
        refusal: tuple[int, list[tuple[str, str]]] | None = None
        if expected != self.engine_id:
            refusal = (421, headers)
        elif self._taken >= self._slots + self._queue:
            refusal = (503, [*headers, ('X-Not-Run', '1')])
        if refusal is not None:
            data = http_wire.encode_response(*refusal, b'')
            writer.write(data)
            await writer.drain()
            return data
        first_event = int(request.headers.get('last-event-id', '0')) + 1
        run = Run(self, request, first_event)
        headers.append(('X-Server-Seal', f'seal.{self.engine_id}'))
        self._taken += 1
        if self.is_streaming:
            self.runs.append(run)
            try:
                if self.on_run(run):
                    await asyncio.sleep(3600)
                await self._stream(run, headers, reader, writer)
            finally:
                self._taken -= 1
            return b''
        try:
            async with self._free:
                self.runs.append(run)
                if self.on_run(run):
                    await asyncio.sleep(3600)
                await asyncio.sleep(random.expovariate(1 / self.work_s))
        finally:
            self._taken -= 1
        data = http_wire.encode_response(200, headers, b'done ' + run.body)
        writer.write(data)
        await writer.drain()
        return data

    async def _stream(
        self,
        run: Run,
        headers: list[tuple[str, str]],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Streams events; stops when the channel closes."""
        writer.write(
            http_wire.encode_head(
                'HTTP/1.1 200 OK',
                [
                    *headers,
                    ('Content-Type', 'text/event-stream'),
                    ('Transfer-Encoding', 'chunked'),
                ],
            )
        )
        for number in range(run.first_event, EVENT_COUNT + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            if reader.at_eof() or writer.is_closing():
                raise ConnectionError('the caller has left')
            event = f'id: {number}\ndata: {number}@{run.version}\n\n'
            writer.write(http_wire.encode_chunk(event.encode()))
            await writer.drain()
        writer.write(http_wire.encode_chunk(b''))
        await writer.drain()
