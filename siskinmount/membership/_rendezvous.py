"""Rendezvous hashing: a stable order of names for each key."""

from collections.abc import Iterable

import xxhash


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names in the key's order of preference.

    Removing a name leaves the order of the others as it was.

    Args:
        key: What is placed.
        names: Where it may be placed.
    """
    seed = xxhash.xxh64_intdigest(key.encode())

    def weigh(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(name.encode(), seed=seed), name

    return sorted(names, key=weigh, reverse=True)
