"""Stand-in of the platform's store: topics with keys, as PROTOCOL.md says."""

import asyncio
import base64
import json
import struct

from review.harness3 import wire

MAX_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000
DEFAULT_READ_KB = 1024
MAX_WAIT_S = 30.0
#: Sum of all records that are kept, from which on appends get 507.
MAX_STORED_BYTES = 400_000_000
_RANGE = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


class _Partition:
    """Records of a partition, and the newest one of each key."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.newest: dict[bytes, int] = {}
        self.changed = asyncio.Event()


class Store:
    """Answers the calls of the log.

    Attributes:
        stored_bytes: Bytes of all records.
        refused_count: Appends that got 507.
    """

    def __init__(self) -> None:
        self.stored_bytes = 0
        self.refused_count = 0
        self._partitions: dict[tuple[str, str], _Partition] = {}

    def get_partition(self, topic: str, part: str = '0') -> _Partition:
        """Returns a partition, created at first use."""
        return self._partitions.setdefault((topic, part), _Partition())

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Writes a record as the operator or an engine does."""
        raw = key.encode()
        self._append(
            self.get_partition(topic), [bytes((len(raw),)) + raw + value]
        )

    def list_keys(self, topic: str) -> list[str]:
        """Returns the keys that a topic has."""
        partition = self.get_partition(topic)
        return [key.decode('utf-8', 'replace') for key in partition.newest]

    async def handle(
        self, request: wire.Request, writer: asyncio.StreamWriter
    ) -> bool:
        """Answers one call."""
        query = request.query
        partition = self.get_partition(
            query.get('topic', ''), query.get('part', '0')
        )
        name = request.path.rpartition('/')[2]
        if name == 'log-append':
            await asyncio.sleep(0.002)
            writer.write(self._answer_append(request, partition))
        elif name == 'log-read':
            writer.write(await self._answer_read(request, partition))
        elif name == 'log-newest':
            writer.write(self._answer_newest(request, partition))
        else:
            writer.write(wire.encode_answer(404, {}, b'{}'))
        return True

    def _append(self, partition: _Partition, records: list[bytes]) -> int:
        first = len(partition.records)
        for record in records:
            offset = len(partition.records)
            partition.records.append(record)
            self.stored_bytes += len(record)
            size = record[0] if record else 0
            key = record[1 : 1 + size]
            partition.newest.pop(key, None)
            if record[1 + size :]:
                partition.newest[key] = offset
        partition.changed.set()
        partition.changed = asyncio.Event()
        return first

    def _answer_append(
        self, request: wire.Request, partition: _Partition
    ) -> bytes:
        at = request.query.get('at')
        end = len(partition.records)
        if at is not None and int(at) != end:
            return _json(412, {'end_offset': end})
        if self.stored_bytes >= MAX_STORED_BYTES:
            self.refused_count += 1
            return _json(507, {})
        records: list[bytes] = []
        position = 0
        while position < len(request.body):
            (size,) = _LENGTH.unpack_from(request.body, position)
            position += _LENGTH.size
            records.append(request.body[position : position + size])
            position += size
        offset = self._append(partition, records)
        return _json(
            200, {'offset': offset, 'end_offset': len(partition.records)}
        )

    async def _answer_read(
        self, request: wire.Request, partition: _Partition
    ) -> bytes:
        query = request.query
        start = int(query.get('from', '0'))
        wait_s = min(MAX_WAIT_S, int(query.get('wait_ms', '0')) / 1000)
        try:
            async with asyncio.timeout(wait_s):
                while start >= len(partition.records):
                    await partition.changed.wait()
        except TimeoutError:
            pass
        left = int(query.get('max_kb', DEFAULT_READ_KB)) * 1024
        parts = [_RANGE.pack(len(partition.records), 0)]
        for record in partition.records[start:]:
            left -= len(record)
            if left < 0 and len(parts) > 1:
                break
            parts.append(_LENGTH.pack(len(record)) + record)
        return wire.encode_answer(200, {}, b''.join(parts))

    def _answer_newest(
        self, request: wire.Request, partition: _Partition
    ) -> bytes:
        after = request.query.get('after', '').encode()
        items: list[dict[str, object]] = []
        size = 0
        has_more = False
        for key in sorted(key for key in partition.newest if key > after):
            offset = partition.newest[key]
            record = partition.records[offset]
            size += len(record)
            if items and (len(items) >= MAX_ITEMS or size > MAX_PAGE_BYTES):
                has_more = True
                break
            value = record[1 + len(key) :]
            items.append(
                {
                    'key': key.decode('utf-8', 'replace'),
                    'value': base64.b64encode(value).decode(),
                    'offset': offset,
                }
            )
        return _json(
            200,
            {
                'items': items,
                'has_more': has_more,
                'end_offset': len(partition.records),
            },
        )


def _json(status: int, document: dict[str, object]) -> bytes:
    body = json.dumps(document).encode()
    return wire.encode_answer(
        status, {'content-type': 'application/json'}, body
    )
