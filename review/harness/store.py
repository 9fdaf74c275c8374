"""Stand-in of the platform's store: the log calls of PROTOCOL.md."""

import asyncio
import base64
import json
import struct
import urllib.parse

from harness import http_wire

_RANGE = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')
_READ_ONLY_TOPICS = ('keyed.op', 'keyed.servers')
#: Time of an answer, as the sheets of the small sites give it.
ANSWER_S = 0.004


class _Partition:
    """Records of a topic's only partition."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.appended = asyncio.Event()

    def append(self, contents: list[bytes]) -> int:
        """Appends records, and returns the offset of the first."""
        first = len(self.records)
        for content in contents:
            size = content[0]
            key = content[1 : 1 + size].decode(errors='replace')
            value = content[1 + size :]
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.records.append(content)
        self.appended.set()
        self.appended = asyncio.Event()
        return first


class Store:
    """The store. Its methods are what the operator and engines do.

    Attributes:
        is_silent: Whether calls are neither done nor answered.
        address: Where it listens.
    """

    def __init__(self) -> None:
        self.is_silent = False
        self.address = ('127.0.0.1', 0)
        self._partitions: dict[str, _Partition] = {}

    async def start(self) -> None:
        """Begins to listen at a free port."""
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self.address = server.sockets[0].getsockname()[:2]

    def put(self, topic: str, key: str, fields: object | None) -> bool:
        """Writes a record of the operator or an engine.

        Returns:
            Whether the store has taken it. None for the fields drops the key.
        """
        value = b'' if fields is None else json.dumps(fields).encode()
        return self.put_bytes(topic, key.encode(), value)

    def put_bytes(self, topic: str, key: bytes, value: bytes) -> bool:
        """Writes a record of any bytes, as `put` does."""
        if self.is_silent:
            return False
        self._open(topic).append([bytes((len(key),)) + key + value])
        return True

    def _open(self, topic: str) -> _Partition:
        return self._partitions.setdefault(topic, _Partition())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await http_wire.read_head(reader)
                if request is None:
                    return
                await http_wire.read_body(reader, request)
                if self.is_silent:
                    # A channel on which an answer is lost brings nothing more.
                    await reader.read()
                    return
                await asyncio.sleep(ANSWER_S)
                answer = await self._answer(request)
                if self.is_silent:
                    await reader.read()
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, OSError):
            return
        finally:
            writer.close()

    async def _answer(self, request: http_wire.Message) -> bytes:
        path, _, query_text = request.first[1].partition('?')
        query = dict(urllib.parse.parse_qsl(query_text))
        topic = query.get('topic', '')
        partition = self._open(topic)
        if path.endswith('/log-append'):
            return self._append(partition, topic, query, request.body)
        if path.endswith('/log-read'):
            return await self._read(partition, query)
        if path.endswith('/log-newest'):
            return self._read_newest(partition, query)
        return _json(404, {})

    def _append(
        self,
        partition: _Partition,
        topic: str,
        query: dict[str, str],
        body: bytes,
    ) -> bytes:
        if topic in _READ_ONLY_TOPICS:
            return _json(403, {})
        end = len(partition.records)
        if 'at' in query and int(query['at']) != end:
            return _json(412, {'end_offset': end})
        contents: list[bytes] = []
        position = 0
        while position < len(body):
            (size,) = _LENGTH.unpack_from(body, position)
            position += _LENGTH.size
            contents.append(body[position : position + size])
            position += size
        first = partition.append(contents)
        return _json(
            200, {'offset': first, 'end_offset': len(partition.records)}
        )

    async def _read(
        self, partition: _Partition, query: dict[str, str]
    ) -> bytes:
        begin = int(query.get('from', '0'))
        wait_s = min(30.0, int(query.get('wait_ms', '0')) / 1000)
        if begin >= len(partition.records) and wait_s:
            try:
                await asyncio.wait_for(partition.appended.wait(), wait_s)
            except TimeoutError:
                pass
        rows = [_RANGE.pack(len(partition.records), 0)]
        for content in partition.records[begin:]:
            rows.append(_LENGTH.pack(len(content)) + content)
        return http_wire.encode_response(200, [], b''.join(rows))

    def _read_newest(
        self, partition: _Partition, query: dict[str, str]
    ) -> bytes:
        after = query.get('after', '')
        keys = sorted(key for key in partition.newest if key > after)
        items: list[dict[str, object]] = []
        for key in keys[:500]:
            offset, value = partition.newest[key]
            items.append(
                {
                    'key': key,
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
            )
        return _json(
            200,
            {
                'items': items,
                'has_more': len(keys) > 500,
                'end_offset': len(partition.records),
            },
        )


def _json(status: int, fields: object) -> bytes:
    return http_wire.encode_response(
        status,
        [('Content-Type', 'application/json')],
        json.dumps(fields).encode(),
    )
