"""Names of the system's streams, and how keys map to them."""

import xxhash

CONFIGURATION_STREAM = 'config'
CRASH_REPORTS_STREAM = 'convictions'


def state_stream_name(number: int) -> str:
    """Returns the name of the state stream with a number, from 0."""
    return f'state-{number}'


def state_stream_names(stream_count: int) -> list[str]:
    """Returns the names of all state streams."""
    return [state_stream_name(number) for number in range(stream_count)]


def stream_of(key: str, stream_count: int) -> str:
    """Returns the name of the state stream that a key belongs to."""
    return state_stream_name(
        xxhash.xxh3_64_intdigest(key.encode('utf-8')) % stream_count
    )


def owner_of(stream: str, live_entries: list[str]) -> str | None:
    """Returns the VM that should own a stream, by rendezvous hashing.

    Args:
        stream: Name of the stream.
        live_entries: VM names of the live entries, in any order.

    Returns:
        The VM with the highest weight, or None if there are no live entries.
    """
    return max(
        live_entries,
        key=lambda vm: (_rendezvous_weight(stream, vm), vm),
        default=None,
    )


def _rendezvous_weight(stream: str, vm: str) -> int:
    """Returns the rendezvous weight of an entry for a stream."""
    return xxhash.xxh3_64_intdigest(f'{stream}\n{vm}'.encode())
