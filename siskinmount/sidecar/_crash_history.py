"""Remembers which requests were at the upstream when its process ended."""

import collections
from collections.abc import Callable

import trio

RETENTION_S = 60.0
MAX_CRASHES = 4096


class UpstreamCrash:
    """The end of a process of the upstream.

    Attributes:
        generation: Number of the process.
        was_alone: Whether the request was the only one there.
        at_s: Monotonic time.
    """

    __slots__ = ('generation', 'was_alone', 'at_s')

    def __init__(self, generation: int, was_alone: bool) -> None:
        self.generation = generation
        self.was_alone = was_alone
        self.at_s = trio.current_time()


class CrashHistory:
    """Keeps the newest death for each request's fingerprint.

    A copy of a request that has waited here meanwhile learns from it at once,
    sooner than evidence can arrive through the log.
    """

    __slots__ = ('_crashes', '_on_crash')

    def __init__(self, on_crash: Callable[[], None] = lambda: None) -> None:
        self._on_crash = on_crash
        self._crashes: collections.OrderedDict[str, UpstreamCrash] = (
            collections.OrderedDict()
        )

    def record(
        self, fingerprint: str, generation: int, was_alone: bool
    ) -> None:
        """Notes that a process ended while it ran a request."""
        if not fingerprint:
            return
        self._crashes.pop(fingerprint, None)
        self._crashes[fingerprint] = UpstreamCrash(generation, was_alone)
        if len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        self._on_crash()

    def list_recent(self, limit: int) -> list[tuple[str, UpstreamCrash]]:
        """Returns the newest deaths with their fingerprints."""
        limit_s = trio.current_time() - RETENTION_S
        recent: list[tuple[str, UpstreamCrash]] = []
        for fingerprint in reversed(self._crashes):
            crash = self._crashes[fingerprint]
            if crash.at_s < limit_s or len(recent) == limit:
                break
            recent.append((fingerprint, crash))
        return recent

    def find(self, fingerprint: str) -> UpstreamCrash | None:
        """Returns the newest death with a request, if it is recent."""
        crash = self._crashes.get(fingerprint)
        if crash is None:
            return None
        if trio.current_time() - crash.at_s > RETENTION_S:
            del self._crashes[fingerprint]
            return None
        return crash
