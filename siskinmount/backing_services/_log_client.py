"""HTTP client of the platform's log service."""

import base64
import urllib.parse

from siskinmount import results
from siskinmount import transport
from siskinmount.backing_services import _http_call
from siskinmount.backing_services import _log_service

MAX_RESPONSE_BYTES = 64 * 1024 * 1024
CONNECT_TIMEOUT_MS = 1000
APPEND_TIMEOUT_MS = 3000
READ_TIMEOUT_MS = 2000
MAX_WAIT_MS = 2000

_CODE = results.ResultCode.LOG_UNAVAILABLE

# HTTP statuses that guarantee that a rejected append had no effect.
_RATE_LIMITED_STATUS = 429
_INVALID_STATUSES = frozenset({400, 404, 413})


class HttpLogService:
    """Implements `LogService` over HTTP.

    Appends, reads and waiting reads use separate connections, each with its own
    time-out.
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
            'POST', f'{_stream_path(stream)}/records', [], data
        )
        response = await _call(self._append_client, request)
        if isinstance(response, results.Failure):
            if response.run_state is results.RunState.UNKNOWN:
                response.code = results.ResultCode.LOG_APPEND_UNKNOWN
            return response
        offset = response.document.get('offset')
        if response.status == 200 and isinstance(offset, int) and offset > 0:
            return _log_service.Appended(offset)
        if response.status == _RATE_LIMITED_STATUS:
            return _rejected(response)
        if response.status in _INVALID_STATUSES:
            return results.Failure(
                results.ResultCode.LOG_RECORD_INVALID,
                f'the log service answered {response.status}',
            )
        return _http_call.unavailable(
            results.ResultCode.LOG_APPEND_UNKNOWN,
            f'the log service answered {response.status}',
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
        """Reads records from an offset onwards."""
        query = urllib.parse.urlencode(
            {
                'from': from_offset,
                'limit': limit,
                'max_bytes': max_bytes,
                'wait_ms': min(wait_ms, MAX_WAIT_MS),
            }
        )
        request = transport.ClientRequest(
            'GET', f'{_stream_path(stream)}/records?{query}'
        )
        client = self._wait_client if wait_ms else self._read_client
        response = await _call(client, request)
        if isinstance(response, results.Failure):
            return response
        if response.status == 410:
            return _decode_expired(response)
        if response.status != 200:
            return _rejected(response)
        return _decode_page(response, from_offset)

    async def stream_range(
        self, stream: str
    ) -> _log_service.StreamRange | results.Failure:
        """Returns the range of offsets that a stream holds."""
        response = await _call(
            self._read_client,
            transport.ClientRequest('GET', _stream_path(stream)),
        )
        if isinstance(response, results.Failure):
            return response
        if response.status != 200:
            return _rejected(response)
        try:
            return _log_service.StreamRange(
                int(response.document['first_offset']),
                int(response.document['next_offset']),
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
) -> _http_call.Response | results.Failure:
    """Calls the log service and closes idle connections after a failure.

    If one connection has become unresponsive, the others often have too, and
    each would cost another time-out.
    """
    response = await _http_call.call(client, request, _CODE, MAX_RESPONSE_BYTES)
    if isinstance(response, results.Failure):
        client.close()
    return response


def _stream_path(stream: str) -> str:
    return f'/streams/{urllib.parse.quote(stream, safe="")}'


def _rejected(response: _http_call.Response) -> results.Failure:
    return _http_call.unavailable(
        _CODE,
        f'the log service answered {response.status}',
        results.RunState.NOT_RUN,
        response.retry_after_ms or _http_call.DEFAULT_RETRY_AFTER_MS,
    )


def _malformed(error: Exception) -> results.Failure:
    return _http_call.unavailable(
        _CODE, f'malformed response of the log service: {error!r}'
    )


def _decode_expired(
    response: _http_call.Response,
) -> _log_service.LogExpired | results.Failure:
    try:
        return _log_service.LogExpired(int(response.document['first_offset']))
    except (KeyError, TypeError, ValueError) as error:
        return _malformed(error)


def _decode_page(
    response: _http_call.Response, from_offset: int
) -> _log_service.LogPage | results.Failure:
    """Decodes a response; the offsets of its records must be consecutive."""
    try:
        document = response.document
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
    """Creates a client for the log service at an address."""
    return HttpLogService(address)
