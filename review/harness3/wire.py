"""HTTP/1.1 as far as the stand-ins and clients of the cases need it."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import urllib.parse

MAX_HEAD_BYTES = 256 * 1024


class Request:
    """One request that a stand-in has received.

    Attributes:
        method: Method.
        target: Path and query as sent.
        path: Path without the query, not decoded.
        query: Query parameters.
        headers: Headers by lower-case name.
        body: Whole body.
    """

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.target = target
        self.path, _, query = target.partition('?')
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body


class Answer:
    """The answer to a client's request.

    Attributes:
        status: Status; 0 if none came.
        headers: Headers by lower-case name.
        body: Body as far as it came.
        is_whole: Whether the body is complete.
        error: What went wrong, empty if nothing.
    """

    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.is_whole = False
        self.error = ''


Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Returns the first line and the headers; raises at the end."""
    raw = await reader.readuntil(b'\r\n\r\n')
    lines = raw.decode('latin-1').split('\r\n')
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Returns a body with a length or in chunks."""
    if 'chunked' in headers.get('transfer-encoding', ''):
        body = bytearray()
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            if not size:
                await reader.readline()
                return bytes(body)
            body += await reader.readexactly(size)
            await reader.readline()
    return await reader.readexactly(int(headers.get('content-length', '0')))


def encode_head(status: int, headers: dict[str, str]) -> bytes:
    """Returns the head of an answer."""
    lines = [f'HTTP/1.1 {status} X']
    lines += [f'{name}: {value}' for name, value in headers.items()]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def encode_answer(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns a whole answer."""
    return (
        encode_head(status, {**headers, 'content-length': str(len(body))})
        + body
    )


async def start_server(
    handler: Handler, host: str, port: int = 0
) -> tuple[asyncio.Server, int]:
    """Serves with one task a connection; returns the server and its port."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                line, headers = await read_head(reader)
                method, target, _ = line.split(' ', 2)
                body = await read_body(reader, headers)
                request = Request(method, target, headers, body)
                if not await handler(request, writer):
                    break
                await writer.drain()
        except (
            asyncio.CancelledError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
            ConnectionError,
            ValueError,
        ):
            # The end of the connection, or of the case.
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(
        serve, host, port, limit=MAX_HEAD_BYTES, backlog=512
    )
    return server, server.sockets[0].getsockname()[1]


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 5.0,
) -> Answer:
    """Sends a request on a new connection and reads the answer.

    Header values are sent as their Latin-1 bytes.
    """
    answer = Answer()
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(
                *address, limit=MAX_HEAD_BYTES
            )
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers.items()]
            lines += [f'Content-Length: {len(body)}', 'Connection: close']
            head = '\r\n'.join(lines) + '\r\n\r\n'
            writer.write(head.encode('latin-1') + body)
            await writer.drain()
            line, answer.headers = await read_head(reader)
            answer.status = int(line.split(' ')[1])
            answer.body = await read_body(reader, answer.headers)
            answer.is_whole = True
    except TimeoutError:
        answer.error = f'no whole answer in {timeout_s:g} s'
    except (
        asyncio.IncompleteReadError,
        asyncio.LimitOverrunError,
        OSError,
        ValueError,
    ) as error:
        answer.error = repr(error)
    finally:
        if writer is not None:
            with contextlib.suppress(OSError):
                writer.close()
    return answer
