"""Callers of a fleet and their keys."""

import hashlib


class Caller:
    """One caller of a fleet.

    Attributes:
        name: Name of the caller in the service document.
        key: Bearer key of the caller.
    """

    __slots__ = ('name', 'key')

    def __init__(self, name: str, key: str) -> None:
        self.name = name
        self.key = key

    def key_sha256(self) -> str:
        """Returns the SHA-256 of the key in hexadecimal, as in the document."""
        return hashlib.sha256(self.key.encode('utf-8')).hexdigest()


def create_callers(names: list[str]) -> list[Caller]:
    """Returns callers with keys derived from their names."""
    return [Caller(name, f'key-of-{name}') for name in names]
