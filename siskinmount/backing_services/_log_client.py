"""The platform's log service over HTTP."""

import base64
import urllib.parse

from siskinmount import results
from siskinmount import transport
from siskinmount.backing_services import _http_call
from siskinmount.backing_services import _log_service

MAX_ANSWER_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_MS = 1000
APPEND_TIMEOUT_MS = 3000
READ_TIMEOUT_MS = 2000
MAX_WAIT_MS = 2000

_CODE = results.ResultCode.LOG_UNAVAILABLE

# Statuses which say that an append was refused before it took effect.
_RATE_LIMITED_STATUS = 429
_INVALID_STATUSES = frozenset({400, 404, 413})


class HttpLogService:
    """Implements `LogService` over HTTP.

    Appends, reads, and reads that wait have connections of their own, each
    with its own bound on silence.
    """

    __slots__ = ('_append_client', '_read_client', '_wait_client')

    def __init__(self, address: transport.Address) -> None:
        self._append_client = _create_client(address, APPEND_TIMEOUT_MS)
        self._read_client = _create_client(address, READ_TIMEOUT_MS)
        self._wait_client = _create_client(
            address, MAX_WAIT_MS + READ_TIMEOUT_MS
        )

    async def append(
        self, stream: str, data: bytes
    ) -> _log_service.Appended | results.Failure:
        """Appends one record."""
        request = transport.ClientRequest(
            'POST', f'{_path(stream)}/records', [], data
        )
        answer = await _call(self._append_client, request)
        if isinstance(answer, results.Failure):
            if answer.run_state is results.RunState.UNKNOWN:
                answer.code = results.ResultCode.LOG_APPEND_UNKNOWN
            return answer
        offset = answer.document.get('offset')
        if answer.status == 200 and isinstance(offset, int) and offset > 0:
            return _log_service.Appended(offset)
        if answer.status == _RATE_LIMITED_STATUS:
            return _refused(answer)
        if answer.status in _INVALID_STATUSES:
            return results.Failure(
                results.ResultCode.LOG_RECORD_INVALID,
                f'the log service answered {answer.status}',
            )
        return _http_call.unavailable(
            results.ResultCode.LOG_APPEND_UNKNOWN,
            f'the log service answered {answer.status}',
            results.RunState.UNKNOWN,
        )

    async def read(
        self,
        stream: str,
        from_offset: int,
        *,
        limit: int = 1000,
        max_bytes: int = 1 << 20,
        wait_ms: int = 0,
    ) -> _log_service.LogPage | _log_service.LogExpired | results.Failure:
        """Reads records from an offset on."""
        query = urllib.parse.urlencode(
            {
                'from': from_offset,
                'limit': limit,
                'max_bytes': max_bytes,
                'wait_ms': min(wait_ms, MAX_WAIT_MS),
            }
        )
        request = transport.ClientRequest(
            'GET', f'{_path(stream)}/records?{query}'
        )
        client = self._wait_client if wait_ms else self._read_client
        answer = await _call(client, request)
        if isinstance(answer, results.Failure):
            return answer
        if answer.status == 410:
            return _decode_expired(answer)
        if answer.status != 200:
            return _refused(answer)
        return _decode_page(answer, from_offset)

    async def stream_range(
        self, stream: str
    ) -> _log_service.StreamRange | results.Failure:
        """Returns which offsets of a stream are held."""
        answer = await _call(
            self._read_client, transport.ClientRequest('GET', _path(stream))
        )
        if isinstance(answer, results.Failure):
            return answer
        if answer.status != 200:
            return _refused(answer)
        try:
            return _log_service.StreamRange(
                int(answer.document['first_offset']),
                int(answer.document['next_offset']),
            )
        except (KeyError, TypeError, ValueError) as error:
            return _malformed(error)


def _create_client(
    address: transport.Address, silence_timeout_ms: int
) -> transport.HttpClient:
    return transport.create_http_client(
        address,
        transport.ClientLimits(
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
            silence_timeout_ms=silence_timeout_ms,
        ),
    )


async def _call(
    client: transport.HttpClient, request: transport.ClientRequest
) -> _http_call.Answer | results.Failure:
    """Calls the log service; after a failure, new connections are used.

    A connection that went silent is seldom alone, and the others would each
    cost a time-out too.
    """
    answer = await _http_call.call(client, request, _CODE, MAX_ANSWER_BYTES)
    if isinstance(answer, results.Failure):
        client.close()
    return answer


def _path(stream: str) -> str:
    return f'/streams/{urllib.parse.quote(stream, safe="")}'


def _refused(answer: _http_call.Answer) -> results.Failure:
    return _http_call.unavailable(
        _CODE,
        f'the log service answered {answer.status}',
        results.RunState.NOT_RUN,
        answer.retry_after_ms or _http_call.DEFAULT_RETRY_AFTER_MS,
    )


def _malformed(error: Exception) -> results.Failure:
    return _http_call.unavailable(
        _CODE, f'the log service sent a malformed answer: {error!r}'
    )


def _decode_expired(
    answer: _http_call.Answer,
) -> _log_service.LogExpired | results.Failure:
    try:
        return _log_service.LogExpired(int(answer.document['first_offset']))
    except (KeyError, TypeError, ValueError) as error:
        return _malformed(error)


def _decode_page(
    answer: _http_call.Answer, from_offset: int
) -> _log_service.LogPage | results.Failure:
    """Decodes an answer; records that do not follow each other are refused."""
    try:
        document = answer.document
        records = [
            _log_service.LogRecord(
                int(record['offset']), base64.b64decode(record['data'])
            )
            for record in document['records']
        ]
        page = _log_service.LogPage(
            int(document['first_offset']), int(document['next_offset']), records
        )
    except (KeyError, TypeError, ValueError) as error:
        return _malformed(error)
    for position, record in enumerate(page.records):
        if record.offset != from_offset + position:
            return _malformed(ValueError('offsets are not consecutive'))
    return page


def create_log_client(address: transport.Address) -> HttpLogService:
    """Creates a client of the log service at an address."""
    return HttpLogService(address)
