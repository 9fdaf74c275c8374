"""How the end of a response's body is marked."""

import enum

from siskinmount.transport import _headers

#: Statuses whose responses have no body.
_BODYLESS_STATUSES = (204, 304)


class BodyFraming(enum.Enum):
    """What marks the end of a response's body (RFC 9112, section 6.3)."""

    #: The `content-length` header, or a method or status without a body.
    LENGTH = 'length'

    #: The last chunk of a chunked body.
    CHUNKED = 'chunked'

    #: The end of the connection. A body that the server broke off looks like a
    #: complete one, unless the connection was reset.
    CONNECTION_END = 'connection_end'


def find_body_framing(
    method: str, status: int, headers: _headers.Headers
) -> BodyFraming:
    """Returns the framing of a response to a request with this method."""
    if method == 'HEAD' or status in _BODYLESS_STATUSES:
        return BodyFraming.LENGTH
    if _headers.find_header(headers, b'transfer-encoding') is not None:
        return BodyFraming.CHUNKED
    if _headers.find_header(headers, b'content-length') is not None:
        return BodyFraming.LENGTH
    return BodyFraming.CONNECTION_END
