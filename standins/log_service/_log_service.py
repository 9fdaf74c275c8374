"""The log service's HTTP interface."""

import base64

from siskinmount import results
from siskinmount import transport
from standins import faults as faults_module
from standins.log_service import _append_rate_limiter
from standins.log_service import _stream

MAX_RECORD_BYTES = 1024 * 1024
MAX_STREAMS = 1000
DEFAULT_READ_LIMIT = 1000
DEFAULT_READ_BYTES = 1024 * 1024
MAX_WAIT_MS = 30_000
RETRY_AFTER_S = 1


class LogService:
    """Append-only streams in memory.

    Attributes:
        append_count: Number of appends over all streams.
        refused_count: Number of appends refused by the rate limit.
    """

    __slots__ = (
        'append_count',
        'refused_count',
        '_retention',
        '_rate_limiter',
        '_streams',
    )

    def __init__(
        self,
        retention: _stream.Retention,
        rate_limiter: _append_rate_limiter.AppendRateLimiter,
    ) -> None:
        self.append_count = 0
        self.refused_count = 0
        self._retention = retention
        self._rate_limiter = rate_limiter
        self._streams: dict[str, _stream.LogStream] = {}

    async def handle(
        self, exchange: faults_module.FaultInjectingExchange
    ) -> None:
        """Answers one request."""
        head = exchange.head
        if head.path == '/control/counts':
            counts = {
                'appends': self.append_count,
                'refused': self.refused_count,
            }
            await exchange.send_json(200, counts)
            return
        parts = head.path.strip('/').split('/')
        if parts[0] != 'streams' or len(parts) not in (2, 3):
            await exchange.send_json(404, {'error': 'no such path'})
            return
        stream = self._get_or_create_stream(parts[1])
        if stream is None:
            await exchange.send_json(507, {'error': 'too many streams'})
            return
        if len(parts) == 2 and head.method == 'GET':
            await exchange.send_json(200, _describe_range(stream))
            return
        if len(parts) == 3 and parts[2] == 'records':
            if head.method == 'POST':
                await self._append(exchange, stream)
                return
            if head.method == 'GET':
                await self._read(exchange, stream)
                return
        await exchange.send_json(404, {'error': 'no such path'})

    def _get_or_create_stream(self, name: str) -> _stream.LogStream | None:
        """Returns a stream, created on first use; None over the limit."""
        stream = self._streams.get(name)
        if stream is None and len(self._streams) < MAX_STREAMS:
            stream = _stream.LogStream(self._retention)
            self._streams[name] = stream
        return stream

    async def _append(
        self,
        exchange: faults_module.FaultInjectingExchange,
        stream: _stream.LogStream,
    ) -> None:
        """Appends the body as one record."""
        data = await exchange.read_body()
        if isinstance(data, results.Failure):
            await exchange.refuse(400, data)
            return
        if len(data) > MAX_RECORD_BYTES:
            await exchange.send_json(413, {'error': 'the record is too large'})
            return
        if not self._rate_limiter.try_acquire():
            self.refused_count += 1
            retry_after = str(RETRY_AFTER_S).encode('ascii')
            await exchange.send_json(
                429,
                {'error': 'append rate exceeded'},
                [(b'retry-after', retry_after)],
            )
            return
        self.append_count += 1
        offset = stream.append(data)
        await exchange.send_json(200, {'offset': offset})

    async def _read(
        self,
        exchange: faults_module.FaultInjectingExchange,
        stream: _stream.LogStream,
    ) -> None:
        """Sends records from an offset on, after a long poll if requested."""
        query = _parse_query(exchange.head)
        if isinstance(query, results.Failure):
            await exchange.refuse(400, query)
            return
        await stream.wait_for(query.from_offset, query.wait_ms)
        if query.from_offset < stream.first_offset:
            await exchange.send_json(410, _describe_range(stream))
            return
        records = [
            {
                'offset': record.offset,
                'data': base64.b64encode(record.data).decode('ascii'),
            }
            for record in stream.read(
                query.from_offset, query.limit, query.max_bytes
            )
        ]
        await exchange.send_json(
            200, {**_describe_range(stream), 'records': records}
        )


class ReadQuery:
    """Query parameters of a read.

    Attributes:
        from_offset: First offset.
        limit: Maximum number of records.
        max_bytes: Maximum bytes of data; a larger first record is still sent.
        wait_ms: Maximum wait for the first record.
    """

    __slots__ = ('from_offset', 'limit', 'max_bytes', 'wait_ms')

    def __init__(
        self, from_offset: int, limit: int, max_bytes: int, wait_ms: int
    ) -> None:
        self.from_offset = from_offset
        self.limit = limit
        self.max_bytes = max_bytes
        self.wait_ms = wait_ms


def _parse_query(head: transport.RequestHead) -> ReadQuery | results.Failure:
    """Parses the query parameters of a read."""
    query = head.query
    try:
        parsed = ReadQuery(
            int(query.get('from', 1)),
            int(query.get('limit', DEFAULT_READ_LIMIT)),
            int(query.get('max_bytes', DEFAULT_READ_BYTES)),
            min(MAX_WAIT_MS, int(query.get('wait_ms', 0))),
        )
    except ValueError as error:
        return results.Failure(results.ResultCode.INVALID_FIELD, str(error))
    if parsed.from_offset < 1 or parsed.limit < 1:
        return results.Failure(
            results.ResultCode.INVALID_FIELD,
            'from and limit must be at least 1',
        )
    return parsed


def _describe_range(stream: _stream.LogStream) -> dict[str, object]:
    return {
        'first_offset': stream.first_offset,
        'next_offset': stream.next_offset,
    }


def create_log_service(
    *,
    retention_ms: int = 0,
    retention_records: int = 0,
    appends_per_s: float = 400.0,
    append_burst: int = 100,
) -> LogService:
    """Creates an empty log service.

    Args:
        retention_ms: Age at which records expire; 0 for no bound.
        retention_records: Records kept in each stream; 0 for no bound.
        appends_per_s: Sustained rate over all streams.
        append_burst: Maximum burst of appends above the rate.
    """
    return LogService(
        _stream.Retention(retention_ms, retention_records),
        _append_rate_limiter.AppendRateLimiter(appends_per_s, append_burst),
    )
