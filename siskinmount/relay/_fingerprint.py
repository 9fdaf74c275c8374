"""Recognises a request that is sent again, from whichever caller."""

from collections.abc import Mapping

import xxhash


def create_fingerprint(service: str, body: Mapping[str, object]) -> str:
    """Returns a digest of a request's service and content.

    Two requests with one fingerprint make an upstream do the same. Bounds on
    the answer's length and what there is of an answer already do not count.

    Args:
        service: Name of the service.
        body: A request body of `/run`.
    """
    digest = xxhash.xxh3_128(service.encode('utf-8'))
    prompt = body.get('prompt')
    if isinstance(prompt, str):
        _add(digest, 'prompt', prompt)
        return digest.hexdigest()
    messages = body.get('messages')
    if isinstance(messages, list):
        for message in messages:
            if isinstance(message, Mapping):
                _add(digest, 'role', message.get('role'))
                _add(digest, 'content', message.get('content'))
        return digest.hexdigest()
    for name in ('method', 'target', 'body'):
        _add(digest, name, body.get(name))
    return digest.hexdigest()


def _add(digest: xxhash.xxh3_128, name: str, value: object) -> None:
    """Adds one field; its length keeps neighbours apart."""
    data = str(value).encode('utf-8', 'surrogatepass')
    digest.update(f'\n{name} {len(data)}\n'.encode())
    digest.update(data)
