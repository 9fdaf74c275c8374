"""What makes two requests prefer the same upstream."""

import xxhash

PREFIX_CHARACTERS = 1024


def create_affinity_key(
    service: str, session: str | None, prompt: str | None
) -> str | None:
    """Returns the key of a request's session or prompt prefix.

    Requests of one session share the upstream that holds their prompt prefix
    in its cache. Without a session, requests with the same beginning do; so
    copies of one request also meet on one upstream.

    Args:
        service: Name of the service.
        session: The session or user that the caller names.
        prompt: The text that generation starts from.

    Returns:
        The key, or None if any upstream is as good as another.
    """
    if session:
        return f'{service}/session/{session}'
    if not prompt:
        return None
    prefix = prompt[:PREFIX_CHARACTERS].encode('utf-8', 'surrogatepass')
    return f'{service}/prefix/{xxhash.xxh3_128_hexdigest(prefix)}'
