"""Callers of a fleet with their keys."""

import hashlib


class Caller:
    """One caller.

    Attributes:
        name: Name in the document.
        key: Its bearer key.
    """

    __slots__ = ('name', 'key')

    def __init__(self, name: str, key: str) -> None:
        self.name = name
        self.key = key

    def key_sha256(self) -> str:
        """Returns the digest that the document holds."""
        return hashlib.sha256(self.key.encode('utf-8')).hexdigest()


def create_callers(names: list[str]) -> list[Caller]:
    """Returns callers with keys that follow from their names."""
    return [Caller(name, f'key-of-{name}') for name in names]
