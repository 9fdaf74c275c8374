"""An engine as a process of its own, whose answers end with their channel.

Arguments: id and version. Prints the port, then a line for each run.
"""

import asyncio
import sys

from harness import engine as engine_module
from harness import http_wire
from harness import store as store_module

#: A case is over by then, whatever becomes of the process that began it.
MAX_LIFE_S = 115.0


class UnframedEngine(engine_module.Engine):
    """An engine whose streams have neither a length nor chunks."""

    async def _stream(
        self,
        run: engine_module.Run,
        headers: list[tuple[str, str]],
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        print(f'run {run.request_id} {run.first_event}', flush=True)
        writer.write(
            http_wire.encode_head(
                'HTTP/1.1 200 OK',
                [
                    *headers,
                    ('Content-Type', 'text/event-stream'),
                    ('Connection', 'close'),
                ],
            )
        )
        for number in range(run.first_event, engine_module.EVENT_COUNT + 1):
            await asyncio.sleep(engine_module.EVENT_INTERVAL_S)
            if reader.at_eof() or writer.is_closing():
                raise ConnectionError('the caller has left')
            event = f'id: {number}\ndata: {number}@{run.version}\n\n'
            writer.write(event.encode())
            await writer.drain()
        raise ConnectionError('the answer ends with its channel')


async def main() -> None:
    """Serves until the process is ended."""
    engine = UnframedEngine(
        store_module.Store(), sys.argv[1], 'model', sys.argv[2]
    )
    await engine.start()
    address = str(engine.describe('ready')['address'])
    print(f'port {address.rpartition(":")[2]}', flush=True)
    await asyncio.sleep(MAX_LIFE_S)


if __name__ == '__main__':
    asyncio.run(main())
