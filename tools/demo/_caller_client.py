"""Client for callers, based on the standard library's HTTP client."""

import http.client
import json

from siskinmount import transport
from tools import fleet

TIMEOUT_S = 60


class StreamedAnswer:
    """A streamed answer as received by the caller.

    Attributes:
        text: Generated text.
        event_count: Number of events with a token.
        whole: Whether the end marker was received.
        request_id: Id of the request.
    """

    __slots__ = ('text', 'event_count', 'whole', 'request_id')

    def __init__(
        self, text: str, event_count: int, whole: bool, request_id: str
    ) -> None:
        self.text = text
        self.event_count = event_count
        self.whole = whole
        self.request_id = request_id


class PlainAnswer:
    """An answer with a known length.

    Attributes:
        status: HTTP status.
        body: Body of the answer.
        request_id: Id of the request.
    """

    __slots__ = ('status', 'body', 'request_id')

    def __init__(self, status: int, body: bytes, request_id: str) -> None:
        self.status = status
        self.body = body
        self.request_id = request_id


def send_request(
    address: transport.Address,
    caller: fleet.Caller,
    method: str,
    path: str,
    body: bytes,
    headers: dict[str, str] | None = None,
) -> PlainAnswer:
    """Sends one request and reads the complete answer."""
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=TIMEOUT_S
    )
    try:
        connection.request(
            method, path, body, _merge_headers(caller, headers or {})
        )
        response = connection.getresponse()
        return PlainAnswer(
            response.status,
            response.read(),
            response.getheader('x-request-id', ''),
        )
    finally:
        connection.close()


def stream_completion(
    address: transport.Address,
    caller: fleet.Caller,
    path: str,
    fields: dict[str, object],
    headers: dict[str, str] | None = None,
) -> StreamedAnswer:
    """Requests a streamed completion and reads its events."""
    connection = http.client.HTTPConnection(
        address.host, address.port, timeout=TIMEOUT_S
    )
    texts: list[str] = []
    whole = False
    try:
        body = json.dumps({**fields, 'stream': True}).encode('utf-8')
        connection.request(
            'POST', path, body, _merge_headers(caller, headers or {})
        )
        response = connection.getresponse()
        request_id = response.getheader('x-request-id', '')
        for line in response:
            if not line.startswith(b'data: '):
                continue
            data = line[len(b'data: ') :].strip()
            if data == b'[DONE]':
                whole = True
                break
            choices = json.loads(data).get('choices', ())
            for choice in choices:
                text = choice.get('text') or choice.get('delta', {}).get(
                    'content', ''
                )
                if text:
                    texts.append(text)
        return StreamedAnswer(''.join(texts), len(texts), whole, request_id)
    finally:
        connection.close()


def _merge_headers(
    caller: fleet.Caller, headers: dict[str, str]
) -> dict[str, str]:
    return {
        'Authorization': f'Bearer {caller.key}',
        'Content-Type': 'application/json',
        **headers,
    }
