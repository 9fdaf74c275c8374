"""Header lists in the form that h11 uses."""

from siskinmount import results

Headers = list[tuple[bytes, bytes]]


def find_header(headers: Headers, name: bytes) -> str | None:
    """Returns the first value of a header.

    Args:
        headers: Header list with lower-case names.
        name: Lower-case header name.
    """
    for header_name, value in headers:
        if header_name == name:
            return value.decode('latin-1')
    return None


def retry_headers(failure: results.Failure) -> Headers:
    """Returns the `retry-after` header of a failure, if it has a delay."""
    if failure.retry_after_ms is None:
        return []
    seconds = max(1, -(-failure.retry_after_ms // 1000))
    return [(b'retry-after', b'%d' % seconds)]
