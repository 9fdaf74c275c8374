"""Fingerprints that identify equal requests, whichever caller sends them."""

from collections.abc import Mapping

import xxhash


def create_fingerprint(service: str, body: Mapping[str, object]) -> str:
    """Returns a digest of a request's service and content.

    Requests with the same fingerprint cause the same work at an upstream. The
    limit on the answer's length and already generated tokens are excluded.

    Args:
        service: Name of the service.
        body: Request body of `/run`.
    """
    digest = xxhash.xxh3_128(service.encode('utf-8'))
    prompt = body.get('prompt')
    if isinstance(prompt, str):
        _add_field(digest, 'prompt', prompt)
        return digest.hexdigest()
    messages = body.get('messages')
    if isinstance(messages, list):
        for message in messages:
            if isinstance(message, Mapping):
                _add_field(digest, 'role', message.get('role'))
                _add_field(digest, 'content', message.get('content'))
        return digest.hexdigest()
    for name in ('method', 'target', 'body'):
        _add_field(digest, name, body.get(name))
    return digest.hexdigest()


def _add_field(digest: xxhash.xxh3_128, name: str, value: object) -> None:
    """Adds a field with its length, so that adjacent fields stay distinct."""
    data = str(value).encode('utf-8', 'surrogatepass')
    digest.update(f'\n{name} {len(data)}\n'.encode())
    digest.update(data)
