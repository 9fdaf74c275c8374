"""Client for a model engine over HTTP."""

from collections.abc import Callable

import orjson
import trio

from siskinmount import relay
from siskinmount import results
from siskinmount import transport
from siskinmount.sidecar import _run_request
from siskinmount.sidecar import _tcp_liveness_connection
from siskinmount.sidecar import _upstream_rate_limit
from siskinmount.sidecar import _upstreams

MAX_ERROR_BYTES = 64 * 1024
MAX_LINE_BYTES = 1024 * 1024
PROBE_TIMEOUT_MS = 2000
MAX_CONNECTIONS = 1024
SILENCE_TIMEOUT_MS = 2000

_DATA_PREFIX = b'data:'
_DONE = b'[DONE]'
_COMPLETE_REASONS = ('stop', 'length')


class EngineStream:
    """Parses the server-sent events of one answer."""

    __slots__ = ('software_version', '_exchange', '_pending', '_skipped_bytes')

    def __init__(self, exchange: transport.ClientExchange) -> None:
        self.software_version = (
            exchange.find_header(relay.RelayHeader.SOFTWARE_VERSION) or ''
        )
        self._exchange = exchange
        self._pending = b''
        self._skipped_bytes = 0

    async def receive(self) -> list[relay.Frame] | results.Failure:
        """Returns the next frames."""
        while True:
            chunk = await self._exchange.receive_chunk()
            if isinstance(chunk, results.Failure):
                return _failure_after_start(chunk.code, chunk.reason)
            if not chunk:
                return _failure_after_start(
                    results.ResultCode.UPSTREAM_LOST,
                    'the answer ended before its last event',
                )
            frames = self._parse(chunk)
            if isinstance(frames, results.Failure) or frames:
                return frames

    def close(self) -> None:
        """Closes the connection."""
        self._exchange.close()

    def _parse(self, chunk: bytes) -> list[relay.Frame] | results.Failure:
        """Returns the frames of the lines that end in a chunk."""
        lines = (self._pending + chunk).split(b'\n')
        self._pending = lines.pop()
        frames: list[relay.Frame] = []
        for line in lines:
            self._skipped_bytes += len(line) + 1
            if not line.startswith(_DATA_PREFIX):
                continue
            data = line[len(_DATA_PREFIX) :].strip()
            if data == _DONE:
                continue
            self._skipped_bytes = 0
            frame = _parse_event(data)
            if isinstance(frame, results.Failure):
                return frame
            frames.append(frame)
        if self._skipped_bytes + len(self._pending) > MAX_LINE_BYTES:
            return _failure_after_start(
                results.ResultCode.UPSTREAM_ERROR, 'no event in too many bytes'
            )
        return frames


#: Takes the headers of a response and when its request was sent.
ReadResponse = Callable[[transport.Headers, float], None]


class HttpModelUpstream:
    """A model engine at an address."""

    __slots__ = ('_client', '_address', '_read_response')

    def __init__(
        self, address: transport.Address, read_response: ReadResponse
    ) -> None:
        self._address = address
        self._read_response = read_response
        self._client = transport.create_http_client(
            address,
            transport.ClientLimits(
                max_connections=MAX_CONNECTIONS,
                silence_timeout_ms=SILENCE_TIMEOUT_MS,
            ),
        )

    async def start(
        self,
        request_id: str,
        body: _run_request.ModelBody,
        resume_tokens: list[str],
    ) -> _upstreams.ModelStream | results.Failure:
        """Starts to generate after `resume_tokens`."""
        document: dict[str, object] = {
            'request_id': request_id,
            'max_tokens': body.max_tokens,
            'resume_tokens': resume_tokens,
            'stream': True,
        }
        if body.prompt is not None:
            document['prompt'] = body.prompt
        else:
            document['messages'] = body.messages
        sent_at_s = trio.current_time()
        exchange = await self._client.send(_post('/v1/completions', document))
        if isinstance(exchange, results.Failure):
            return exchange
        self._read_response(exchange.headers, sent_at_s)
        if exchange.status == 200:
            return EngineStream(exchange)
        with exchange:
            return await read_refusal(exchange)

    async def cancel(self, request_id: str) -> results.Failure | None:
        """Cancels a request; returns None once the engine has stopped it."""
        exchange = await self._client.send(
            _post('/v1/cancel', {'request_id': request_id})
        )
        if isinstance(exchange, results.Failure):
            return exchange
        with exchange:
            if exchange.status != 200:
                return await read_refusal(exchange)
            data = await exchange.read_body(MAX_ERROR_BYTES)
        return data if isinstance(data, results.Failure) else None

    async def probe(self) -> results.Failure | None:
        """Returns None if the engine answers on a new connection."""
        client = transport.create_http_client(
            self._address,
            transport.ClientLimits(
                max_connections=1,
                connect_timeout_ms=PROBE_TIMEOUT_MS,
                silence_timeout_ms=PROBE_TIMEOUT_MS,
            ),
        )
        exchange = await client.send(
            transport.ClientRequest('GET', '/v1/state')
        )
        if isinstance(exchange, results.Failure):
            return exchange
        # The connection is closed, as each probe must open a new one.
        exchange.close()
        client.close()
        return None

    async def open_liveness_connection(
        self,
    ) -> _upstreams.LivenessConnection | results.Failure:
        """Opens a connection whose end shows that the engine has exited."""
        return await _tcp_liveness_connection.open_tcp_liveness_connection(
            self._address
        )


def create_http_model_upstream(
    address: transport.Address,
    read_response: ReadResponse = _upstream_rate_limit.ignore_response,
) -> HttpModelUpstream:
    """Creates the client of a model engine.

    Args:
        address: Address of the engine.
        read_response: Told of each response to a request to generate.
    """
    return HttpModelUpstream(address, read_response)


async def read_refusal(
    exchange: transport.ClientExchange,
) -> results.Failure:
    """Reads an error response and returns it as a failure."""
    data = await exchange.read_body(MAX_ERROR_BYTES)
    text = ''
    if isinstance(data, bytes):
        text = data[:200].decode('utf-8', 'replace')
    code = results.ResultCode.UPSTREAM_ERROR
    if exchange.status in (400, 413, 422):
        code = results.ResultCode.INVALID_FIELD
    return results.Failure(
        code,
        f'the upstream answered {exchange.status}: {text}',
        results.RunState.UNKNOWN,
    )


def _parse_event(data: bytes) -> relay.Frame | results.Failure:
    """Parses the data of one event."""
    try:
        event = orjson.loads(data)
        if 'text' in event:
            return relay.TokenFrame(int(event['index']), str(event['text']))
        if event.get('finish_reason') in _COMPLETE_REASONS:
            return relay.EndFrame(
                str(event['finish_reason']),
                int(event['prompt_tokens']),
                int(event['completion_tokens']),
            )
        return _failure_after_start(
            results.ResultCode.UPSTREAM_ERROR,
            f'unexpected event: {data[:200].decode("utf-8", "replace")}',
        )
    except (ValueError, KeyError, TypeError) as error:
        return _failure_after_start(
            results.ResultCode.UPSTREAM_ERROR, f'invalid event: {error!r}'
        )


def _post(target: str, document: dict[str, object]) -> transport.ClientRequest:
    return transport.ClientRequest(
        'POST',
        target,
        [(b'content-type', b'application/json')],
        orjson.dumps(document),
    )


def _failure_after_start(
    code: results.ResultCode, reason: str
) -> results.Failure:
    return results.Failure(code, reason, results.RunState.RAN)
