"""Calls to the platform's HTTP services with JSON responses."""

from typing import Any

import orjson

from siskinmount import results
from siskinmount import transport

DEFAULT_RETRY_AFTER_MS = 1000


class Response:
    """A complete HTTP response.

    Attributes:
        status: HTTP status.
        document: The decoded JSON object.
        retry_after_ms: Delay of the `retry-after` header, or None.
    """

    __slots__ = ('status', 'document', 'retry_after_ms')

    def __init__(
        self, status: int, document: dict[str, Any], retry_after_ms: int | None
    ) -> None:
        self.status = status
        self.document = document
        self.retry_after_ms = retry_after_ms


async def call(
    client: transport.HttpClient,
    request: transport.ClientRequest,
    code: results.ResultCode,
    max_bytes: int,
) -> Response | results.Failure:
    """Sends a request and reads the JSON response.

    Args:
        client: Client of the service.
        request: The request.
        code: Result code of failures, which identifies the service.
        max_bytes: Maximum size of the response body.

    Returns:
        The response, whatever its status, or a failure whose run state is
        `NOT_RUN` only if no byte of the request was sent.
    """
    sent = await client.send(request)
    if isinstance(sent, results.Failure):
        return unavailable(code, sent.reason, sent.run_state)
    with sent as exchange:
        body = await exchange.read_body(max_bytes)
        if isinstance(body, results.Failure):
            return unavailable(code, body.reason, results.RunState.UNKNOWN)
        retry_after_ms = parse_retry_after(exchange.find_header(b'retry-after'))
        status = exchange.status
    try:
        document = orjson.loads(body) if body else {}
    except orjson.JSONDecodeError as error:
        return unavailable(code, str(error), results.RunState.UNKNOWN)
    if not isinstance(document, dict):
        return unavailable(
            code, 'the response is not a JSON object', results.RunState.UNKNOWN
        )
    return Response(status, document, retry_after_ms)


def unavailable(
    code: results.ResultCode,
    reason: str,
    run_state: results.RunState = results.RunState.NOT_RUN,
    retry_after_ms: int | None = DEFAULT_RETRY_AFTER_MS,
) -> results.Failure:
    """Returns the failure of a call to an unavailable platform service."""
    return results.Failure(code, reason, run_state, retry_after_ms)


def parse_retry_after(text: str | None) -> int | None:
    """Parses a `retry-after` header in seconds to milliseconds, or None."""
    if text is None:
        return None
    try:
        return max(0, int(float(text) * 1000))
    except ValueError:
        return None
