"""History of the requests that were at the upstream when it crashed."""

import collections
from collections.abc import Callable

import trio

RETENTION_S = 60.0
MAX_CRASHES = 4096


class UpstreamCrash:
    """A crash of the upstream while it ran a request.

    Attributes:
        generation: Number of the process that crashed.
        was_alone: Whether no other request ran in that process.
        at_s: Monotonic time of the crash.
    """

    __slots__ = ('generation', 'was_alone', 'at_s')

    def __init__(self, generation: int, was_alone: bool) -> None:
        self.generation = generation
        self.was_alone = was_alone
        self.at_s = trio.current_time()


class CrashHistory:
    """Keeps the newest crash for each request's fingerprint.

    A copy of the request that is waiting here can thus be refused at once,
    before the crash report arrives through the log.
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
        """Records a crash of the upstream while it ran a request."""
        if not fingerprint:
            return
        self._crashes.pop(fingerprint, None)
        self._crashes[fingerprint] = UpstreamCrash(generation, was_alone)
        if len(self._crashes) > MAX_CRASHES:
            self._crashes.popitem(last=False)
        self._on_crash()

    def list_recent(self, limit: int) -> list[tuple[str, UpstreamCrash]]:
        """Returns the newest crashes with their fingerprints, newest first."""
        limit_s = trio.current_time() - RETENTION_S
        recent: list[tuple[str, UpstreamCrash]] = []
        for fingerprint in reversed(self._crashes):
            crash = self._crashes[fingerprint]
            if crash.at_s < limit_s or len(recent) == limit:
                break
            recent.append((fingerprint, crash))
        return recent

    def find(self, fingerprint: str) -> UpstreamCrash | None:
        """Returns the newest crash with a request, if it is recent."""
        crash = self._crashes.get(fingerprint)
        if crash is None:
            return None
        if trio.current_time() - crash.at_s > RETENTION_S:
            del self._crashes[fingerprint]
            return None
        return crash
