"""In-memory implementation of the log calls of the platform's store."""

import base64
import json
import struct

import trio

from siskinmount import results
from standins import faults as faults_module

_RANGE_HEADER = struct.Struct('>QQ')
_LENGTH_PREFIX = struct.Struct('>I')
_MAX_ITEMS_PER_PAGE = 500
_MAX_WAIT_MS = 30_000


class _Partition:
    """Records of one partition.

    Attributes:
        first_offset: Offset of the oldest kept record.
        records: Contents of the kept records.
        latest_offset_by_key: Offset of the newest record of each key.
        latest_value_by_key: Value of the newest record of each key.
        appended: Set by the next append, which then replaces the event.
    """

    __slots__ = (
        'first_offset',
        'records',
        'latest_offset_by_key',
        'latest_value_by_key',
        'appended',
    )

    def __init__(self) -> None:
        self.first_offset = 0
        self.records: list[bytes] = []
        self.latest_offset_by_key: dict[str, int] = {}
        self.latest_value_by_key: dict[str, bytes] = {}
        self.appended = trio.Event()

    @property
    def end_offset(self) -> int:
        """Offset of the next append."""
        return self.first_offset + len(self.records)

    def append(self, contents: list[bytes]) -> None:
        """Appends records and updates the newest value of their keys.

        An empty value removes its key.
        """
        for content in contents:
            offset = self.end_offset
            self.records.append(content)
            size = content[0] if content else 0
            key = content[1 : 1 + size].decode('utf-8', 'surrogateescape')
            value = content[1 + size :]
            if value:
                self.latest_offset_by_key[key] = offset
                self.latest_value_by_key[key] = value
            else:
                self.latest_offset_by_key.pop(key, None)
                self.latest_value_by_key.pop(key, None)
        self.appended.set()
        self.appended = trio.Event()


class KeyedStore:
    """Partitions of all topics, with faults.

    Attributes:
        faults: The faults in force.
        late_appends_left: Number of further appends that are applied late
            and not answered.
        late_delay_ms: Delay of such an append.
        append_count: Number of appends that took effect.
    """

    __slots__ = (
        'faults',
        'late_appends_left',
        'late_delay_ms',
        'append_count',
        '_partitions',
        '_nursery',
    )

    def __init__(self, faults: faults_module.Faults) -> None:
        self.faults = faults
        self.late_appends_left = 0
        self.late_delay_ms = 0
        self.append_count = 0
        self._partitions: dict[tuple[str, int], _Partition] = {}
        self._nursery: trio.Nursery | None = None

    async def run_late_appends(self) -> None:
        """Runs the delayed appends until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            await trio.sleep_forever()

    async def handle(
        self, exchange: faults_module.FaultInjectingExchange
    ) -> None:
        """Answers one call."""
        head = exchange.head
        call = head.path.rpartition('/')[2]
        key = (head.query.get('topic', ''), int(head.query.get('part', '0')))
        partition = self._partitions.setdefault(key, _Partition())
        if call == 'log-append':
            await self._append(exchange, partition)
        elif call == 'log-read':
            await self._read(exchange, partition)
        elif call == 'log-newest':
            await self._read_newest(exchange, partition)
        else:
            await exchange.send_json(404, {})

    def put(self, topic: str, key: str, value: bytes) -> None:
        """Appends a record as the operator or an engine does.

        An empty value removes the key.
        """
        partition = self._partitions.setdefault((topic, 0), _Partition())
        partition.append([_encode_record(key, value)])

    def read_newest_values(self, topic: str) -> dict[str, bytes]:
        """Returns the newest value of each key in partition 0."""
        partition = self._partitions.get((topic, 0))
        return dict(partition.latest_value_by_key) if partition else {}

    def drop_history(self) -> None:
        """Drops all records but the newest values by key."""
        for partition in self._partitions.values():
            partition.first_offset = partition.end_offset
            partition.records.clear()

    async def _append(
        self,
        exchange: faults_module.FaultInjectingExchange,
        partition: _Partition,
    ) -> None:
        body = await exchange.read_body()
        if isinstance(body, results.Failure):
            await exchange.send_json(400, {})
            return
        contents = _decode_records(body)
        at_text = exchange.head.query.get('at')
        if self.late_appends_left and self._nursery is not None:
            self.late_appends_left -= 1
            self._nursery.start_soon(
                self._append_late, partition, contents, at_text
            )
            await exchange.wait_disconnected()
            raise trio.BrokenResourceError(
                'injected fault: append delayed and not answered'
            )
        offset = self._try_append(partition, contents, at_text)
        if offset is None:
            await exchange.send_json(412, {'end_offset': partition.end_offset})
            return
        await exchange.send_json(
            200, {'offset': offset, 'end_offset': partition.end_offset}
        )

    async def _append_late(
        self, partition: _Partition, contents: list[bytes], at_text: str | None
    ) -> None:
        await trio.sleep(self.late_delay_ms / 1000)
        self._try_append(partition, contents, at_text)

    def _try_append(
        self, partition: _Partition, contents: list[bytes], at_text: str | None
    ) -> int | None:
        """Appends if the expected offset matches.

        Returns:
            Offset of the first record, or None if the condition failed.
        """
        offset = partition.end_offset
        if at_text is not None and int(at_text) != offset:
            return None
        self.append_count += 1
        partition.append(contents)
        return offset

    async def _read(
        self,
        exchange: faults_module.FaultInjectingExchange,
        partition: _Partition,
    ) -> None:
        query = exchange.head.query
        from_offset = int(query.get('from', '0'))
        wait_ms = min(_MAX_WAIT_MS, int(query.get('wait_ms', '0')))
        with trio.move_on_after(wait_ms / 1000):
            while from_offset >= partition.end_offset:
                await partition.appended.wait()
        if from_offset < partition.first_offset:
            await exchange.send_json(
                410, {'first_offset': partition.first_offset}
            )
            return
        start = from_offset - partition.first_offset
        parts = [
            _RANGE_HEADER.pack(partition.end_offset, partition.first_offset)
        ]
        for content in partition.records[start:]:
            parts.append(_LENGTH_PREFIX.pack(len(content)) + content)
        await exchange.send_whole(200, [], b''.join(parts))

    async def _read_newest(
        self,
        exchange: faults_module.FaultInjectingExchange,
        partition: _Partition,
    ) -> None:
        after = exchange.head.query.get('after', '')
        keys = sorted(
            key for key in partition.latest_value_by_key if key > after
        )
        items: list[dict[str, object]] = []
        for key in keys[:_MAX_ITEMS_PER_PAGE]:
            value = partition.latest_value_by_key[key]
            items.append(
                {
                    'key': key,
                    'value': base64.b64encode(value).decode('ascii'),
                    'offset': partition.latest_offset_by_key[key],
                }
            )
        await exchange.send_whole(
            200,
            [(b'content-type', b'application/json')],
            json.dumps(
                {
                    'items': items,
                    'has_more': len(keys) > _MAX_ITEMS_PER_PAGE,
                    'end_offset': partition.end_offset,
                }
            ).encode('ascii'),
        )


def _decode_records(body: bytes) -> list[bytes]:
    """Splits a request body into length-prefixed records."""
    contents: list[bytes] = []
    position = 0
    while position < len(body):
        (size,) = _LENGTH_PREFIX.unpack_from(body, position)
        position += _LENGTH_PREFIX.size
        contents.append(body[position : position + size])
        position += size
    return contents


def _encode_record(key: str, value: bytes) -> bytes:
    # Bytes of a key that are no text are given as lone surrogates.
    encoded = key.encode('utf-8', 'surrogateescape')
    return bytes((len(encoded),)) + encoded + value


def create_keyed_store(faults: faults_module.Faults) -> KeyedStore:
    """Creates an empty store."""
    return KeyedStore(faults)
