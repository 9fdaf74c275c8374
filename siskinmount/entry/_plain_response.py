"""The complete response of a plain service, and filters of its headers."""

import base64
import re

import orjson

from siskinmount import transport

#: Headers that concern a single connection and are never forwarded.
_HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'host',
        'expect',
    )
)

#: Header names and values that do not match would break the response or
#: inject further headers.
_NAME_PATTERN = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
_VALUE_PATTERN = re.compile(
    r'(?:[\x21-\x7e\x80-\xff](?:[\t -~\x80-\xff]*' r'[\x21-\x7e\x80-\xff])?)?'
)

#: Headers meant for this system, which the plain service must not see.
_INTERNAL_HEADERS = frozenset(('authorization', 'idempotency-key'))


class PlainResponse:
    """Status, headers and body as sent by the plain service.

    Attributes:
        status: HTTP status.
        headers: Pairs of name and value, without hop-by-hop headers.
        body: The complete body.
    """

    __slots__ = ('status', 'headers', 'body')

    def __init__(
        self, status: int, headers: list[tuple[str, str]], body: bytes
    ) -> None:
        self.status = status
        self.headers = headers
        self.body = body

    def encode(self) -> bytes:
        """Returns the JSON that is recorded under an idempotency key."""
        return orjson.dumps(
            {
                'status': self.status,
                'headers': self.headers,
                'body': base64.b64encode(self.body).decode('ascii'),
            }
        )

    async def send(
        self, exchange: transport.ServerExchange, request_id: str
    ) -> None:
        """Sends the response to a caller."""
        headers = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in self.headers
        ]
        headers.append((b'x-request-id', request_id.encode('ascii')))
        await exchange.send_whole(self.status, headers, self.body)


def decode_plain_response(data: bytes) -> PlainResponse:
    """Parses the output of `PlainResponse.encode`.

    Raises:
        ValueError, KeyError: The data was not written by `encode`.
    """
    document = orjson.loads(data)
    return PlainResponse(
        int(document['status']),
        [(str(name), str(value)) for name, value in document['headers']],
        base64.b64decode(document['body']),
    )


def filter_request_headers(headers: transport.Headers) -> list[tuple[str, str]]:
    """Returns the request headers to forward to the upstream."""
    kept: list[tuple[str, str]] = []
    for name_bytes, value in headers:
        name = name_bytes.decode('latin-1')
        if name in _HOP_BY_HOP_HEADERS or name in _INTERNAL_HEADERS:
            continue
        kept.append((name, value.decode('latin-1')))
    return kept


def filter_response_headers(
    headers: list[tuple[str, str]],
) -> list[tuple[str, str]]:
    """Returns the response headers to forward to the caller."""
    kept: list[tuple[str, str]] = []
    for name, value in headers:
        if name.lower() in _HOP_BY_HOP_HEADERS:
            continue
        if not _NAME_PATTERN.fullmatch(name):
            continue
        if not _VALUE_PATTERN.fullmatch(value):
            continue
        kept.append((name, value))
    return kept
