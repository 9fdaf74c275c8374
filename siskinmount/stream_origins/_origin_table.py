"""Streams whose origin is known here, by their first attempt and request."""

from collections.abc import Iterable

import trio
import xxhash

from siskinmount import fleet

#: How long after its start a stream may be resumed. Callers try within the
#: timeout of their route, 5 s at the deployments.
STREAM_LIFE_S = 30.0
#: Largest number of streams that began here and are remembered.
MAX_OWN_STREAMS = 20_000


class StreamKey:
    """Identifies a stream over the attempts of its caller.

    Attributes:
        first_attempt: Hash of the id of the attempt that brought the first
            event; empty if it is not known.
        fingerprint: Hash of host, target and body, which all attempts share.
    """

    __slots__ = ('first_attempt', 'fingerprint')

    def __init__(self, first_attempt: str, fingerprint: str) -> None:
        self.first_attempt = first_attempt
        self.fingerprint = fingerprint


def make_stream_key(request_id: str, fingerprint: str) -> StreamKey:
    """Returns the key of the stream that an attempt began.

    Args:
        request_id: Id of that attempt; empty if it is not known.
        fingerprint: Hash of host, target and body of the request.
    """
    first_attempt = ''
    if request_id:
        first_attempt = xxhash.xxh64_hexdigest(request_id.encode('utf-8'))
    return StreamKey(
        first_attempt, xxhash.xxh64_hexdigest(fingerprint.encode('utf-8'))
    )


class StreamOrigin:
    """A stream and the software that began it.

    Attributes:
        key: The stream.
        software: The software that began it.
        ordinal: Number of the run among those of the attempt that were recorded.
            No event of an earlier one has reached the caller.
    """

    __slots__ = ('key', 'software', 'ordinal')

    def __init__(
        self, key: StreamKey, software: fleet.Software, ordinal: int = 0
    ) -> None:
        self.key = key
        self.software = software
        self.ordinal = ordinal


class _Index:
    """Origins by the hash of the first attempt and by fingerprint."""

    __slots__ = ('_by_attempt', '_by_fingerprint')

    def __init__(self) -> None:
        self._by_attempt: dict[str, list[StreamOrigin]] = {}
        self._by_fingerprint: dict[str, list[StreamOrigin]] = {}

    def add(self, origin: StreamOrigin) -> None:
        """Adds an origin."""
        key = origin.key
        self._by_attempt.setdefault(key.first_attempt, []).append(origin)
        self._by_fingerprint.setdefault(key.fingerprint, []).append(origin)

    def remove(self, origin: StreamOrigin) -> None:
        """Removes an origin that was added."""
        _remove_from(self._by_attempt, origin.key.first_attempt, origin)
        _remove_from(self._by_fingerprint, origin.key.fingerprint, origin)

    def list_by_attempt(self, key: StreamKey) -> list[StreamOrigin]:
        """Returns the origins with the same first attempt."""
        if not key.first_attempt:
            return []
        return self._by_attempt.get(key.first_attempt, [])

    def list_by_fingerprint(self, key: StreamKey) -> list[StreamOrigin]:
        """Returns the origins of the same request, of any attempt."""
        return self._by_fingerprint.get(key.fingerprint, [])


def _remove_from(
    origins: dict[str, list[StreamOrigin]], name: str, origin: StreamOrigin
) -> None:
    kept = [each for each in origins.get(name, []) if each is not origin]
    if kept:
        origins[name] = kept
    else:
        origins.pop(name, None)


class OriginTable:
    """Origins of streams that began here, and of recorded ones."""

    __slots__ = ('_own', '_own_index', '_recorded', '_recorded_index')

    def __init__(self) -> None:
        # In the order of their start.
        self._own: list[tuple[float, StreamOrigin]] = []
        self._own_index = _Index()
        self._recorded: dict[str, list[StreamOrigin]] = {}
        self._recorded_index = _Index()

    def add_own(self, origin: StreamOrigin) -> None:
        """Remembers a stream that starts here."""
        self._own.append((trio.current_time(), origin))
        self._own_index.add(origin)
        if len(self._own) > MAX_OWN_STREAMS:
            self._own_index.remove(self._own.pop(0)[1])

    def apply_record(self, name: str, origins: Iterable[StreamOrigin]) -> None:
        """Replaces the origins of one record of the log."""
        for origin in self._recorded.pop(name, []):
            self._recorded_index.remove(origin)
        added = list(origins)
        if not added:
            return
        self._recorded[name] = added
        for origin in added:
            self._recorded_index.add(origin)

    def find_own(self, key: StreamKey) -> fleet.Software | None:
        """Returns what started a stream here; None if it did not start here."""
        return _get_last(self._own_index.list_by_attempt(key), key)

    def find(self, key: StreamKey) -> fleet.Software | None:
        """Returns what began a stream, if that is known or was recorded."""
        return self.find_own(key) or _get_last(
            self._recorded_index.list_by_attempt(key), key
        )

    def has_foreign(self, key: StreamKey) -> bool:
        """Returns whether the attempt belongs to another caller's request."""
        for index in (self._own_index, self._recorded_index):
            for origin in index.list_by_attempt(key):
                if origin.key.fingerprint != key.fingerprint:
                    return True
        return False

    def list_of_request(self, key: StreamKey) -> set[fleet.Software]:
        """Returns what began any stream of the same request."""
        found: set[fleet.Software] = set()
        for index in (self._own_index, self._recorded_index):
            for origin in index.list_by_fingerprint(key):
                found.add(origin.software)
        return found

    def expire(self) -> None:
        """Forgets streams that began here and cannot be resumed any more."""
        limit_s = trio.current_time() - STREAM_LIFE_S
        expired = 0
        for began_at_s, origin in self._own:
            if began_at_s > limit_s:
                break
            self._own_index.remove(origin)
            expired += 1
        del self._own[:expired]


def _get_last(
    origins: list[StreamOrigin], key: StreamKey
) -> fleet.Software | None:
    """Returns the software of the last run of a request that was recorded."""
    last: StreamOrigin | None = None
    for origin in origins:
        if origin.key.fingerprint != key.fingerprint:
            continue
        if last is None or origin.ordinal > last.ordinal:
            last = origin
    return last.software if last is not None else None


def create_origin_table() -> OriginTable:
    """Creates an empty table."""
    return OriginTable()
