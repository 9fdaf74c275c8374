"""A small HTTP/1.1 server and client on the standard library."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import time
import urllib.parse

MAX_HEAD_BYTES = 64 * 1024


class Request:
    """A request that a stand-in has received.

    Attributes:
        method: Its method.
        target: Path and query as sent.
        path: Path without the query.
        query: First value of each parameter.
        headers: Values by lower-case name.
        body: The whole body.
    """

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.path, _, text = target.partition('?')
        self.query: dict[str, str] = {}
        for name, value in urllib.parse.parse_qsl(text):
            self.query.setdefault(name, value)
        self.headers = headers
        self.body = body


class Answerer:
    """Writes the answer to one request."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    async def send(
        self, status: int, headers: dict[str, str], body: bytes
    ) -> None:
        """Sends a whole answer."""
        head = _encode_head(
            f'HTTP/1.1 {status} X',
            {**headers, 'Content-Length': str(len(body))},
        )
        self.writer.write(head + body)
        await self.writer.drain()

    async def send_json(self, status: int, document: object) -> None:
        """Sends a JSON answer."""
        await self.send(
            status,
            {'Content-Type': 'application/json'},
            json.dumps(document).encode(),
        )

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Sends the head of a chunked answer."""
        self.writer.write(
            _encode_head(
                f'HTTP/1.1 {status} X',
                {**headers, 'Transfer-Encoding': 'chunked'},
            )
        )
        await self.writer.drain()

    async def send_chunk(self, data: bytes) -> None:
        """Sends a chunk; an empty one ends the answer."""
        self.writer.write(b'%x\r\n%b\r\n' % (len(data), data))
        await self.writer.drain()

    def is_closed(self) -> bool:
        """Returns whether the caller has closed the channel."""
        return self.reader.at_eof() or self.writer.is_closing()


class DroppedError(Exception):
    """Raised by a handler to close the channel without an answer."""


Handler = Callable[[Request, Answerer], Awaitable[None]]


class Server:
    """Serves one loopback address."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = ''

    async def start(self, host: str = '127.0.0.1', port: int = 0) -> str:
        """Listens, and returns the address."""
        self._server = await asyncio.start_server(
            self._serve, host, port, limit=8 * 1024 * 1024
        )
        name = self._server.sockets[0].getsockname()
        self.address = f'{name[0]}:{name[1]}'
        return self.address

    def stop(self) -> None:
        """Closes the listener and all channels, as the exit of a process."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await _read_request(reader)
                if request is None:
                    return
                await self._handler(request, Answerer(reader, writer))
        except (DroppedError, OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()


class Answer:
    """An answer that a client has received.

    Attributes:
        status: Its status.
        headers: Values by lower-case name.
        body: The body as far as it has come.
        is_whole: Whether the body is complete.
        head_at_s: Monotonic time at which the head was received.
    """

    def __init__(self, status: int, headers: dict[str, str]) -> None:
        self.status = status
        self.headers = headers
        self.body = b''
        self.is_whole = False
        self.head_at_s = time.monotonic()

    def json(self) -> dict:
        """Returns the body as JSON."""
        return json.loads(self.body)


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Answer | None:
    """Sends a request on a new channel; returns None without an answer."""
    answer: Answer | None = None
    writer: asyncio.StreamWriter | None = None
    host, _, port = address.rpartition(':')
    with contextlib.suppress(
        TimeoutError, OSError, asyncio.IncompleteReadError, ValueError
    ):
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            fields = {
                'Host': address,
                **(headers or {}),
                'Content-Length': str(len(body)),
            }
            writer.write(_encode_head(f'{method} {target} HTTP/1.1', fields))
            writer.write(body)
            await writer.drain()
            first, answer_headers = await _read_head(reader)
            answer = Answer(int(first.split()[1]), answer_headers)
            async for chunk in _read_body(reader, answer_headers):
                answer.body += chunk
            answer.is_whole = True
    if writer is not None:
        writer.close()
    return answer


def _encode_head(first: str, headers: dict[str, str]) -> bytes:
    lines = [first] + [f'{name}: {text}' for name, text in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


async def _read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    data = await reader.readuntil(b'\r\n\r\n')
    lines = data.decode('latin-1').split('\r\n')
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, _, value = line.partition(':')
        if name:
            headers.setdefault(name.strip().lower(), value.strip())
    return lines[0], headers


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> AsyncIterator[bytes]:
    if 'chunked' in headers.get('transfer-encoding', ''):
        while True:
            size = int((await reader.readuntil(b'\r\n')).split(b';')[0], 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return
            yield data[:-2]
    else:
        left = int(headers.get('content-length', '0'))
        if left:
            yield await reader.readexactly(left)


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        first, headers = await _read_head(reader)
    except asyncio.IncompleteReadError:
        return None
    method, target, _ = first.split(' ', 2)
    body = b''
    async for chunk in _read_body(reader, headers):
        body += chunk
    return Request(method, target, headers, body)
