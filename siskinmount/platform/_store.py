"""Client of the platform's store: its log calls over HTTP.

Topics whose names begin with `keyed.` implement `keyed_log.KeyedLog`. The
content of their records is one byte with the length of the key in bytes, the
key, and the value.
"""

import base64
import binascii
import json
import logging
import struct
import urllib.parse

import orjson
import trio

from siskinmount import keyed_log
from siskinmount import results
from siskinmount import telemetry
from siskinmount import transport

_LOGGER = logging.getLogger(__name__)

DOCUMENT_TOPIC = 'keyed.op'
UPSTREAMS_TOPIC = 'keyed.servers'

#: Timeout of a call that does not wait for a record. The store answers in
#: milliseconds, and within 500 ms where it is fifty times slower.
CALL_TIMEOUT_MS = 1500
#: Time that a read may take beyond its wait for a record.
READ_SLACK_MS = 1000
CONNECT_TIMEOUT_MS = 700
#: Longest silence in calls whose callers bound the time: longer than any bound
#: on the age of keys within which an answer is of use.
UNBOUNDED_SILENCE_TIMEOUT_MS = 20_000
#: Time after its last page within which a read of the newest records continues.
#: Much shorter than the history that the store keeps, from which the changes
#: since its first page are read.
CONTINUED_READ_S = 5.0
#: Well above a page of 1 MiB of records in base64, with their keys.
MAX_ANSWER_BYTES = 8 * 1024 * 1024
_MAX_CONNECTIONS = 64
_RANGE = struct.Struct('>QQ')
_LENGTH = struct.Struct('>I')


class StoreMetrics:
    """Metrics of store calls.

    Attributes:
        calls: Counter of calls by name and outcome.
    """

    __slots__ = ('calls',)

    def __init__(self, metrics: telemetry.Metrics) -> None:
        self.calls = metrics.create_counter(
            'store_calls_total',
            'Calls to the platform store.',
            'call',
            'outcome',
        )


class Store:
    """HTTP client of the platform's store."""

    __slots__ = (
        '_client',
        '_long_poll_client',
        '_unbounded_client',
        '_metrics',
    )

    def __init__(
        self, address: transport.Address, metrics: telemetry.Metrics
    ) -> None:
        self._client = transport.create_http_client(
            address,
            transport.ClientLimits(
                max_connections=_MAX_CONNECTIONS,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                silence_timeout_ms=CALL_TIMEOUT_MS,
                send_timeout_ms=CALL_TIMEOUT_MS,
                idle_timeout_ms=20_000,
            ),
        )
        self._long_poll_client = transport.create_http_client(
            address,
            transport.ClientLimits(
                max_connections=_MAX_CONNECTIONS,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                silence_timeout_ms=READ_SLACK_MS
                + keyed_log.LONGEST_READ_WAIT_MS,
                send_timeout_ms=CALL_TIMEOUT_MS,
                idle_timeout_ms=20_000,
            ),
        )
        self._unbounded_client = transport.create_http_client(
            address,
            transport.ClientLimits(
                max_connections=_MAX_CONNECTIONS,
                connect_timeout_ms=CONNECT_TIMEOUT_MS,
                silence_timeout_ms=UNBOUNDED_SILENCE_TIMEOUT_MS,
                send_timeout_ms=CALL_TIMEOUT_MS,
                idle_timeout_ms=20_000,
            ),
        )
        self._metrics = StoreMetrics(metrics)

    def open_log(self, topic: str, partition: int) -> 'TopicLog':
        """Returns one partition of a topic whose records have keys."""
        return TopicLog(self, topic, partition)

    async def call(
        self,
        name: str,
        request: transport.ClientRequest,
        may_wait: bool,
        receivers: '_Receivers | None' = None,
    ) -> tuple[int, bytes] | results.Failure:
        """Makes a call and returns status and body of the answer.

        Statuses 429, 503 and 507, with which the store guarantees that the call
        had no effect, give a failure with run state `NOT_RUN`.

        Args:
            name: Name of the call in metrics and errors.
            request: The request to send.
            may_wait: Whether the store may wait for a record before it answers.
            receivers: Counts the calls whose answers are being received.
        """
        receivers = receivers or _Receivers()
        client = self._long_poll_client if may_wait else self._client
        exchange = await client.send(request)
        if isinstance(exchange, results.Failure):
            self._metrics.calls.increment(name, exchange.code.name.lower())
            return _create_failure(name, exchange.reason, exchange.run_state)
        with exchange:
            self._metrics.calls.increment(name, str(exchange.status))
            receivers.count += 1
            try:
                body = await exchange.read_body(MAX_ANSWER_BYTES)
            finally:
                receivers.count -= 1
            if isinstance(body, results.Failure):
                return _create_failure(
                    name, body.reason, results.RunState.UNKNOWN
                )
            if exchange.status in (429, 503, 507):
                return _create_failure(
                    name,
                    f'the store answered {exchange.status}',
                    results.RunState.NOT_RUN,
                )
            return exchange.status, body

    async def call_until_cancelled(
        self,
        name: str,
        request: transport.ClientRequest,
        receivers: '_Receivers',
    ) -> tuple[int, bytes] | results.Failure:
        """Makes a call, whose time the caller bounds.

        The body is cut off after its header, and the connection closed, if the
        answer to another call is being received when this one begins.

        Args:
            name: Name of the call in metrics and errors.
            request: The request to send.
            receivers: Counts the calls whose answers are being received.
        """
        exchange = await self._unbounded_client.send(request)
        if isinstance(exchange, results.Failure):
            self._metrics.calls.increment(name, exchange.code.name.lower())
            return _create_failure(name, exchange.reason, exchange.run_state)
        body = bytearray()
        with exchange:
            self._metrics.calls.increment(name, str(exchange.status))
            is_first = receivers.count == 0
            receivers.count += is_first
            try:
                while is_first or len(body) <= _RANGE.size:
                    chunk = await exchange.receive_chunk()
                    if isinstance(chunk, results.Failure):
                        return _create_failure(
                            name, chunk.reason, results.RunState.UNKNOWN
                        )
                    if not chunk:
                        break
                    body += chunk
                    if len(body) > MAX_ANSWER_BYTES:
                        return _create_failure(
                            name,
                            f'the body exceeds {MAX_ANSWER_BYTES} bytes',
                            results.RunState.UNKNOWN,
                        )
            finally:
                receivers.count -= is_first
        return exchange.status, bytes(body)


class _Receivers:
    """Number of calls whose answers are being received.

    Attributes:
        count: Their number.
    """

    __slots__ = ('count',)

    def __init__(self) -> None:
        self.count = 0


class _NewestRead:
    """Pages of a read of the newest records that have arrived.

    Attributes:
        records: Their records.
        end_offset: End of the log before the first page.
        after: Key after which the next page begins.
        at_s: Monotonic time of the last page.
    """

    __slots__ = ('records', 'end_offset', 'after', 'at_s')

    def __init__(self) -> None:
        self.records: list[keyed_log.KeyedRecord] = []
        self.end_offset: int | None = None
        self.after = ''
        self.at_s = trio.current_time()


class TopicLog:
    """Implements `keyed_log.KeyedLog` for one partition of a topic."""

    __slots__ = ('_store', '_query', '_unfinished', '_receivers')

    def __init__(self, store: Store, topic: str, partition: int) -> None:
        self._store = store
        self._query = urllib.parse.urlencode(
            {'topic': topic, 'part': partition}
        )
        self._unfinished: _NewestRead | None = None
        self._receivers = _Receivers()

    async def append(
        self, records: list[keyed_log.KeyedRecord], at_offset: int | None
    ) -> int | keyed_log.AppendRefusal | results.Failure:
        """Implements `KeyedLog.append`."""
        condition = '' if at_offset is None else f'&at={at_offset}'
        request = transport.ClientRequest(
            'POST',
            f'/siskinmount/log-append?{self._query}{condition}',
            [(b'content-type', b'application/octet-stream')],
            b''.join(_encode_record(record) for record in records),
        )
        answer = await self._store.call('append', request, False)
        if isinstance(answer, results.Failure):
            return answer
        status, body = answer
        if status == 412:
            return keyed_log.AppendRefusal.END_MOVED
        document = _parse_json(body)
        offset = document.get('offset') if document else None
        is_expected = at_offset is None or offset == at_offset
        if status != 200 or not isinstance(offset, int) or not is_expected:
            # An answer with another offset belongs to another append.
            return _create_failure(
                'append',
                f'invalid answer with status {status}',
                results.RunState.UNKNOWN,
            )
        return offset

    async def read(
        self, from_offset: int, wait_ms: int
    ) -> keyed_log.LogPage | keyed_log.OffsetExpired | results.Failure:
        """Implements `KeyedLog.read`."""
        request = transport.ClientRequest(
            'GET',
            f'/siskinmount/log-read?{self._query}&from={from_offset}'
            f'&wait_ms={wait_ms}',
        )
        answer = await self._store.call(
            'read', request, wait_ms > 0, self._receivers
        )
        if isinstance(answer, results.Failure):
            return answer
        status, body = answer
        if status == 410:
            document = _parse_json(body)
            first = document.get('first_offset') if document else None
            return keyed_log.OffsetExpired(
                first if isinstance(first, int) else 0
            )
        if status != 200:
            return _create_failure(
                'read',
                f'invalid answer with status {status}',
                results.RunState.NOT_RUN,
            )
        return _decode_page(body, from_offset)

    async def read_end(
        self, from_offset: int
    ) -> keyed_log.LogPage | keyed_log.OffsetExpired | results.Failure:
        """Implements `EndReadableLog.read_end`."""
        request = transport.ClientRequest(
            'GET',
            f'/siskinmount/log-read?{self._query}&from={from_offset}&wait_ms=0',
        )
        answer = await self._store.call_until_cancelled(
            'read_end', request, self._receivers
        )
        if isinstance(answer, results.Failure):
            return answer
        status, body = answer
        if status == 410:
            return keyed_log.OffsetExpired(0)
        if status != 200:
            return _create_failure(
                'read_end',
                f'the store answered {status}',
                results.RunState.NOT_RUN,
            )
        return _decode_page(body, from_offset)

    async def read_newest(self) -> keyed_log.LogPage | results.Failure:
        """Implements `KeyedLog.read_newest`; reads page by page.

        A read that failed is continued soon after with the page that it lacks:
        while many members load a log at once, whole reads rarely succeed.
        """
        read = self._unfinished
        self._unfinished = None
        if read is None or trio.current_time() - read.at_s > CONTINUED_READ_S:
            read = _NewestRead()
        while True:
            page: dict[str, object] | results.Failure | None = None
            try:
                page = await self._read_newest_page(read.after)
            finally:
                if not isinstance(page, dict) and read.after:
                    self._unfinished = read
            if isinstance(page, results.Failure):
                return page
            items = page.get('items')
            page_end = page.get('end_offset')
            if not isinstance(items, list) or not isinstance(page_end, int):
                return _create_failure(
                    'newest',
                    'answer without items or end_offset',
                    results.RunState.NOT_RUN,
                )
            if read.end_offset is None:
                read.end_offset = page_end
            read.at_s = trio.current_time()
            previous = read.after
            for item in items:
                record = _decode_newest(item)
                if record is None:
                    continue
                read.after = record.key
                read.records.append(
                    keyed_log.KeyedRecord(
                        _replace_surrogates(record.key),
                        record.value,
                        record.offset,
                    )
                )
            if not page.get('has_more'):
                return keyed_log.LogPage(read.records, read.end_offset)
            if read.after == previous:
                return _create_failure(
                    'newest',
                    'more records are announced after a page without any',
                    results.RunState.NOT_RUN,
                )

    async def _read_newest_page(
        self, after: str
    ) -> dict[str, object] | results.Failure:
        """Reads a page of the newest records whose keys follow `after`."""
        # Keys of other writers may be no text.
        after_query = urllib.parse.urlencode(
            {'after': after}, errors='surrogatepass'
        )
        condition = f'&{after_query}'
        request = transport.ClientRequest(
            'GET',
            f'/siskinmount/log-newest?{self._query}'
            + (condition if after else ''),
        )
        answer = await self._store.call('newest', request, False)
        if isinstance(answer, results.Failure):
            return answer
        status, body = answer
        document = _parse_json(body)
        if status != 200 or document is None:
            return _create_failure(
                'newest',
                f'invalid answer with status {status}',
                results.RunState.NOT_RUN,
            )
        return document


def _encode_record(record: keyed_log.KeyedRecord) -> bytes:
    """Encodes a record as length, length of the key, key and value."""
    key = record.key.encode('utf-8')
    content = bytes((len(key),)) + key + (record.value or b'')
    return _LENGTH.pack(len(content)) + content


def _decode_page(
    body: bytes, from_offset: int
) -> keyed_log.LogPage | results.Failure:
    """Decodes an answer of end offset, first offset and records.

    An incomplete record at the end of the body is left out.
    """
    if len(body) < _RANGE.size:
        return _create_failure(
            'read',
            'the answer is shorter than its header of 16 bytes',
            results.RunState.NOT_RUN,
        )
    end_offset, first_offset = _RANGE.unpack_from(body)
    records: list[keyed_log.KeyedRecord] = []
    position = _RANGE.size
    offset = max(from_offset, first_offset)
    while position + _LENGTH.size <= len(body):
        (size,) = _LENGTH.unpack_from(body, position)
        position += _LENGTH.size
        content = body[position : position + size]
        if len(content) < size:
            break
        position += size
        records.append(_decode_content(content, offset))
        offset += 1
    return keyed_log.LogPage(records, end_offset)


def _decode_content(content: bytes, offset: int) -> keyed_log.KeyedRecord:
    """Decodes a record; the key is empty if there is none."""
    key_size = content[0] if content else 0
    key = content[1 : 1 + key_size].decode('utf-8', errors='replace')
    value = content[1 + key_size :]
    return keyed_log.KeyedRecord(key, value or None, offset)


def _decode_newest(item: object) -> keyed_log.KeyedRecord | None:
    """Decodes an item of the newest records; returns None if invalid."""
    if not isinstance(item, dict):
        return None
    key = item.get('key')
    offset = item.get('offset')
    if not isinstance(key, str) or type(offset) is not int:
        _LOGGER.warning(
            'store_record_invalid',
            extra={'code': int(results.ResultCode.LOG_RECORD_INVALID)},
        )
        return None
    try:
        value = base64.b64decode(str(item.get('value') or ''))
    except (binascii.Error, ValueError):
        value = b''
    return keyed_log.KeyedRecord(key, value or None, offset)


def _replace_surrogates(key: str) -> str:
    """Returns a key of which each part that is no text is marked as such."""
    return key.encode('utf-16', 'surrogatepass').decode('utf-16', 'replace')


def _parse_json(body: bytes) -> dict[str, object] | None:
    """Returns the object that an answer holds; None if it holds none.

    A key of another writer may be no text. Other records must be read all the
    same, which only the slower parser of the standard library does.
    """
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        try:
            document = json.loads(body)
        except (ValueError, RecursionError):
            return None
    return document if isinstance(document, dict) else None


def _create_failure(
    call: str, reason: str, run_state: results.RunState
) -> results.Failure:
    code = results.ResultCode.LOG_UNAVAILABLE
    if call == 'append' and run_state is results.RunState.UNKNOWN:
        code = results.ResultCode.LOG_APPEND_UNKNOWN
    return results.Failure(code, f'{call}: {reason}', run_state)


def create_store(
    address: transport.Address, metrics: telemetry.Metrics
) -> Store:
    """Creates a client of the platform's store."""
    return Store(address, metrics)
