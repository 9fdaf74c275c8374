"""Affinity keys, by which related requests prefer the same upstream."""

import xxhash

PREFIX_CHARACTERS = 1024


def create_affinity_key(
    service: str, session: str | None, prompt: str | None
) -> str | None:
    """Returns the affinity key of a request's session or prompt prefix.

    Requests of one session prefer the upstream that holds their prompt prefix
    in its cache. Without a session, requests with the same prompt prefix prefer
    one upstream, and so do copies of one request.

    Args:
        service: Name of the service.
        session: The session or user named by the caller.
        prompt: The text from which generation starts.

    Returns:
        The key, or None if the request prefers no upstream.
    """
    if session:
        return f'{service}/session/{session}'
    if not prompt:
        return None
    prefix = prompt[:PREFIX_CHARACTERS].encode('utf-8', 'surrogatepass')
    return f'{service}/prefix/{xxhash.xxh3_128_hexdigest(prefix)}'
