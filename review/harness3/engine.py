"""Stand-in of a model engine that answers requests as streams of events."""

import asyncio
import time

from review.harness3 import wire

EVENT_COUNT = 10
EVENT_INTERVAL_S = 0.02


class Run:
    """A request that an engine began to run.

    Attributes:
        request_id: Id of the request.
        body: Body of the request.
        began_at_s: Monotonic time.
        is_finished: Whether the whole answer was sent.
    """

    def __init__(self, request_id: str, body: bytes) -> None:
        self.request_id = request_id
        self.body = body
        self.began_at_s = time.monotonic()
        self.is_finished = False


class Engine:
    """Runs requests and records them.

    Attributes:
        engine_id: Id of the engine.
        event_count: Events of an answer.
        event_interval_s: Time between two events.
        padding: Text at the end of the data of each event.
        runs: All runs, in order.
        address: Address, once it serves.
    """

    def __init__(self, engine_id: str) -> None:
        self.engine_id = engine_id
        self.event_count = EVENT_COUNT
        self.event_interval_s = EVENT_INTERVAL_S
        self.padding = ''
        self.runs: list[Run] = []
        self.address = ('', 0)

    async def start(self) -> None:
        """Serves on a free port."""
        _, port = await wire.start_server(self.handle, '127.0.0.1')
        self.address = ('127.0.0.1', port)

    async def handle(
        self, request: wire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers one request."""
        headers = {
            'x-request-id': request.headers.get('x-request-id', ''),
            'keep-alive': 'timeout=5',
        }
        expected = request.headers.get('x-expect-instance', self.engine_id)
        if expected != self.engine_id:
            writer.write(wire.encode_answer(421, headers, b''))
            return True
        run = Run(headers['x-request-id'], request.body)
        self.runs.append(run)
        headers['x-server-seal'] = f'seal.{self.engine_id}'
        headers['x-weight-versions'] = '1'
        headers['content-type'] = 'text/event-stream'
        headers['transfer-encoding'] = 'chunked'
        writer.write(wire.encode_head(200, headers))
        first = int(request.headers.get('last-event-id', '0')) + 1
        for number in range(first, self.event_count + 1):
            if writer.is_closing():
                return False
            data = f'{run.request_id}.{number}{self.padding}'
            event = f'id: {number}\ndata: {data}\n\n'
            raw = event.encode('latin-1')
            writer.write(b'%x\r\n%b\r\n' % (len(raw), raw))
            await writer.drain()
            await asyncio.sleep(self.event_interval_s)
        writer.write(b'0\r\n\r\n')
        run.is_finished = True
        return True
