"""Rendezvous (highest random weight) hashing."""

from collections.abc import Iterable

import xxhash


def rank_by_rendezvous(key: str, names: Iterable[str]) -> list[str]:
    """Returns the names ordered by rendezvous hash with a key.

    Removing a name does not change the order of the others.

    Args:
        key: Key to place.
        names: Candidates for the key.
    """
    seed = xxhash.xxh64_intdigest(key.encode())

    def score(name: str) -> tuple[int, str]:
        return xxhash.xxh64_intdigest(name.encode(), seed=seed), name

    return sorted(names, key=score, reverse=True)
