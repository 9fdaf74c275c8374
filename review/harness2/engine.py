"""A model engine that streams events, after PROTOCOL.md."""

import asyncio
import json
import time

import store as store_module
import wire

SLOTS = 8
QUEUE = 24
HEARTBEAT_S = 1.2
#: Time from the begin of a run to its first event.
PREFILL_S = 0.02
SERVERS_TOPIC = 'keyed.servers'


class Run:
    """A request that the engine has begun to run.

    Attributes:
        request_id: Its id.
        began_at_s: Monotonic time of the begin.
        is_complete: Whether all events were sent.
        ended_at_s: Monotonic time of the end; infinity before that.
    """

    def __init__(self, request_id: str) -> None:
        self.request_id = request_id
        self.began_at_s = time.monotonic()
        self.is_complete = False
        self.ended_at_s = float('inf')


class Engine:
    """An engine with a process's life: it starts, beats, leaves and exits.

    Attributes:
        engine_id: Its id.
        store: The store that it writes its entry to.
        runs: All requests that it has begun to run.
        is_leaving: Whether it has begun to leave, and says so in its answers.
        beat_number: Number of the next entry.
    """

    def __init__(
        self,
        engine_id: str,
        service: str,
        store: store_module.Store,
        event_count: int = 25,
        gap_s: float = 0.02,
    ) -> None:
        self.engine_id = engine_id
        self.runs: list[Run] = []
        self.is_leaving = False
        self.beat_number = 1
        self._service = service
        self.store = store
        self._event_count = event_count
        self._gap_s = gap_s
        self._born = int(time.time() * 1000) - 60_000
        self._server = wire.Server(self._handle)
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0

    async def start(self) -> None:
        """Listens, and writes the first entry."""
        await self._server.start()
        self.write(self.make_entry('ready'))

    def stop(self) -> None:
        """Exits."""
        self._server.stop()

    async def restart(self) -> None:
        """Starts again at the same address, and knows nothing of before."""
        host, _, port = self._server.address.rpartition(':')
        self._server = wire.Server(self._handle)
        self._slots = asyncio.Semaphore(SLOTS)
        self._waiting = 0
        self._born = int(time.time() * 1000)
        self.beat_number = 1
        await self._server.start(host, int(port))
        self.write(self.make_entry('ready'))

    def make_entry(self, state: str) -> bytes:
        """Returns the next entry."""
        entry = {
            'service': self._service,
            'address': self._server.address,
            'zone': 'a',
            'version': 'v1',
            'slot_count': SLOTS,
            'state': state,
            'cold_left_ms': 0,
            'born': self._born,
            'seq_no': self.beat_number,
        }
        self.beat_number += 1
        return json.dumps(entry).encode()

    def write(self, entry: bytes) -> None:
        """Has the store take an entry; an empty one removes it."""
        self.store.put(SERVERS_TOPIC, self.engine_id, entry)

    async def _handle(
        self, request: wire.Request, answerer: wire.Answerer
    ) -> None:
        request_id = request.headers.get('x-request-id', '')
        echo = {'X-Request-Id': request_id}
        if self.is_leaving:
            echo['Server-Leaving'] = '1'
        expected = request.headers.get('x-expect-instance', self.engine_id)
        if expected != self.engine_id:
            echo['X-Instance-Id'] = self.engine_id
            await answerer.send(421, echo, b'')
            return
        if self._waiting >= SLOTS + QUEUE:
            await answerer.send(503, {**echo, 'X-Not-Run': '1'}, b'')
            return
        self._waiting += 1
        born = self._born
        try:
            async with self._slots:
                run = Run(request_id)
                self.runs.append(run)
                try:
                    await self.stream(request, answerer, run, echo)
                finally:
                    run.ended_at_s = time.monotonic()
        finally:
            if born == self._born:
                self._waiting -= 1

    async def stream(
        self,
        request: wire.Request,
        answerer: wire.Answerer,
        run: Run,
        echo: dict[str, str],
    ) -> None:
        """Answers a request with events."""
        first = int(request.headers.get('last-event-id', '0')) + 1
        await asyncio.sleep(PREFILL_S)
        await answerer.start(
            200,
            {
                **echo,
                'X-Server-Seal': f'seal.{self.engine_id}',
                'Content-Type': 'text/event-stream',
            },
        )
        for number in range(first, self._event_count + 1):
            if answerer.is_closed():
                raise wire.DroppedError
            await answerer.send_chunk(make_event(run.request_id, number))
            await asyncio.sleep(self._gap_s)
        await answerer.send_chunk(b'')
        run.is_complete = True


def make_event(request_id: str, number: int) -> bytes:
    """Returns one event of a stream."""
    return f'id: {number}\ndata: {request_id}-{number}\n\n'.encode()


async def beat(engine: Engine) -> None:
    """Writes the entry of a serving engine every heartbeat, until cancelled."""
    while True:
        await asyncio.sleep(HEARTBEAT_S)
        engine.write(engine.make_entry('ready'))
