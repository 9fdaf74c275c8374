"""The platform's store: logs with keys, after PROTOCOL.md."""

import asyncio
import base64
import struct

import wire

PAGE_ITEMS = 500
PAGE_BYTES = 1_000_000
READ_BYTES = 1_024 * 1_024
MAX_STORED_BYTES = 400_000_000
MAX_RECORD_BYTES = 262_144
MAX_CALL_BYTES = 2_097_152
ANSWER_S = 0.004


class _Part:
    """One partition."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[bytes, tuple[int, bytes]] = {}
        self.appended = asyncio.Event()

    def append(self, contents: list[bytes]) -> int:
        """Appends records, and returns the offset of the first."""
        first = len(self.records)
        for content in contents:
            size = content[0]
            key, value = content[1 : 1 + size], content[1 + size :]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        self.appended.set()
        self.appended = asyncio.Event()
        return first


class Store:
    """All topics, each with one partition.

    Attributes:
        calls: Number of calls by name.
        stored_bytes: Bytes of all records.
    """

    def __init__(self) -> None:
        self.calls: dict[str, int] = {}
        self.stored_bytes = 0
        self._parts: dict[str, _Part] = {}
        self._server = wire.Server(self._handle)

    async def start(self) -> str:
        """Listens, and returns the address."""
        return await self._server.start()

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record as the operator or an engine does."""
        name = key.encode()
        self._find(topic).append([bytes((len(name),)) + name + value])

    async def put_late(
        self, topic: str, key: str, value: bytes, delay_s: float
    ) -> None:
        """Writes a record whose call is not answered and is executed late."""
        await asyncio.sleep(delay_s)
        self.put(topic, key, value)

    def list_newest(self, topic: str) -> dict[str, bytes]:
        """Returns the newest value of each key."""
        return {
            key.decode('utf-8', 'replace'): value
            for key, (_, value) in self._find(topic).newest.items()
        }

    def _find(self, topic: str) -> _Part:
        return self._parts.setdefault(topic, _Part())

    async def _handle(
        self, request: wire.Request, answerer: wire.Answerer
    ) -> None:
        name = request.path.rpartition('/')[2]
        self.calls[name] = self.calls.get(name, 0) + 1
        part = self._find(request.query.get('topic', ''))
        await asyncio.sleep(ANSWER_S)
        if name == 'log-append':
            await self._append(request, answerer, part)
        elif name == 'log-read':
            await self._read(request, answerer, part)
        elif name == 'log-newest':
            await self._read_newest(request, answerer, part)
        else:
            await answerer.send_json(404, {})

    async def _append(
        self, request: wire.Request, answerer: wire.Answerer, part: _Part
    ) -> None:
        contents: list[bytes] = []
        at = 0
        while at < len(request.body):
            (size,) = struct.unpack_from('>I', request.body, at)
            contents.append(request.body[at + 4 : at + 4 + size])
            at += 4 + size
        size = sum(map(len, contents))
        if size > MAX_CALL_BYTES or any(
            len(content) > MAX_RECORD_BYTES for content in contents
        ):
            await answerer.send_json(413, {})
            return
        if self.stored_bytes + size > MAX_STORED_BYTES:
            await answerer.send_json(507, {})
            return
        at_text = request.query.get('at')
        if at_text is not None and int(at_text) != len(part.records):
            await answerer.send_json(412, {'end_offset': len(part.records)})
            return
        self.stored_bytes += size
        first = part.append(contents)
        await answerer.send_json(
            200, {'offset': first, 'end_offset': len(part.records)}
        )

    async def _read(
        self, request: wire.Request, answerer: wire.Answerer, part: _Part
    ) -> None:
        start = int(request.query.get('from', '0'))
        wait_ms = min(30_000, int(request.query.get('wait_ms', '0')))
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while start >= len(part.records):
                    await part.appended.wait()
        except TimeoutError:
            pass
        rows: list[bytes] = []
        size = 0
        for content in part.records[start:]:
            size += len(content) + 4
            if rows and size > READ_BYTES:
                break
            rows.append(struct.pack('>I', len(content)) + content)
        head = struct.pack('>QQ', len(part.records), 0)
        await answerer.send(200, {}, head + b''.join(rows))

    async def _read_newest(
        self, request: wire.Request, answerer: wire.Answerer, part: _Part
    ) -> None:
        after = request.query.get('after', '').encode()
        keys = sorted(key for key in part.newest if key > after)
        items: list[dict] = []
        size = 0
        for key in keys:
            offset, value = part.newest[key]
            size += len(value) * 4 // 3 + len(key)
            if items and (size > PAGE_BYTES or len(items) >= PAGE_ITEMS):
                break
            items.append(
                {
                    'key': key.decode(),
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
            )
        await answerer.send_json(
            200,
            {
                'items': items,
                'has_more': len(items) < len(keys),
                'end_offset': len(part.records),
            },
        )
