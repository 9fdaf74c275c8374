"""Header lists as h11 takes and gives them."""

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
