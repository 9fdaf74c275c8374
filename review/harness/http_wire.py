"""The little of HTTP/1.1 that the stand-ins and clients of the review need."""

import asyncio
import time

MAX_HEAD_BYTES = 64 * 1024


class Message:
    """A request or a response.

    Attributes:
        first: Words of the first line.
        headers: Headers by lower-case name.
        body: The body, as far as it was read.
        is_complete: Whether the body was read to its end.
    """

    def __init__(self, first: list[str], headers: dict[str, str]) -> None:
        self.first = first
        self.headers = headers
        self.body = b''
        self.is_complete = False


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Reads a first line and headers; returns None at the end of input."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode('latin-1').split('\r\n')
    headers: dict[str, str] = {}
    for line in lines[1:]:
        name, separator, value = line.partition(':')
        if separator:
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0].split(' ', 2), headers)


async def read_body(reader: asyncio.StreamReader, message: Message) -> None:
    """Reads a body of known length or in chunks, as far as it comes."""
    try:
        if message.headers.get('transfer-encoding', '').lower() == 'chunked':
            await _read_chunks(reader, message)
        else:
            size = int(message.headers.get('content-length', '0'))
            message.body = await reader.readexactly(size)
        message.is_complete = True
    except asyncio.IncompleteReadError as error:
        message.body += error.partial
    except (ConnectionError, OSError, ValueError):
        return


async def _read_chunks(reader: asyncio.StreamReader, message: Message) -> None:
    while True:
        line = await reader.readline()
        if not line.endswith(b'\r\n'):
            raise ConnectionError('the body was broken off')
        size = int(line.split(b';')[0], 16)
        if size == 0:
            await reader.readline()
            return
        try:
            message.body += await reader.readexactly(size)
        except asyncio.IncompleteReadError as error:
            message.body += error.partial
            raise ConnectionError('the body was broken off') from error
        await reader.readexactly(2)


def encode_head(first: str, headers: list[tuple[str, str]]) -> bytes:
    """Encodes a first line and headers."""
    lines = [first, *(f'{name}: {value}' for name, value in headers)]
    return ('\r\n'.join(lines) + '\r\n\r\n').encode('latin-1')


def encode_response(
    status: int, headers: list[tuple[str, str]], body: bytes
) -> bytes:
    """Encodes a response with a length."""
    length = ('Content-Length', str(len(body)))
    return encode_head(f'HTTP/1.1 {status} X', [*headers, length]) + body


def encode_chunk(data: bytes) -> bytes:
    """Encodes one chunk; the last one if there are no data."""
    return b'%x\r\n%b\r\n' % (len(data), data)


class Answer:
    """What a client got.

    Attributes:
        status: Status; 0 if there was no head.
        headers: Headers by lower-case name.
        body: The body, as far as it came.
        is_complete: Whether all of it came.
        head_at_s: Monotonic time at which the head came; 0 if none did.
        note: Why there is no complete answer; empty if there is.
    """

    def __init__(self, note: str = '') -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b''
        self.is_complete = False
        self.head_at_s = 0.0
        self.note = note


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b'',
    timeout_s: float = 6.0,
) -> Answer:
    """Sends one request on a new channel, and returns what comes back."""
    answer = Answer()
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(*address), 1.0
        )
    except (TimeoutError, OSError):
        return Answer('no channel')
    try:
        writer.write(
            encode_head(
                f'{method} {target} HTTP/1.1',
                [*headers, ('Content-Length', str(len(body)))],
            )
            + body
        )
        await asyncio.wait_for(_receive(reader, answer), timeout_s)
    except TimeoutError:
        answer.note = 'timed out'
    except (ConnectionError, OSError) as error:
        answer.note = f'channel lost: {error}'
    finally:
        writer.close()
    return answer


async def _receive(reader: asyncio.StreamReader, answer: Answer) -> None:
    message = await read_head(reader)
    if message is None:
        answer.note = 'no answer'
        return
    answer.head_at_s = time.monotonic()
    answer.status = int(message.first[1])
    answer.headers = message.headers
    try:
        await read_body(reader, message)
    finally:
        answer.body = message.body
        answer.is_complete = message.is_complete
    if not message.is_complete:
        answer.note = 'broken off'
