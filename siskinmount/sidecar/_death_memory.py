"""Remembers which requests were at the upstream when its process ended."""

import collections
from collections.abc import Callable

import trio

REMEMBER_S = 60.0
MAX_REMEMBERED = 4096


class Death:
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


class DeathMemory:
    """Keeps the newest death for each request's fingerprint.

    A copy of a request that has waited here meanwhile learns from it at once,
    sooner than evidence can arrive through the log.
    """

    __slots__ = ('_deaths', '_tell')

    def __init__(self, tell: Callable[[], None] = lambda: None) -> None:
        self._tell = tell
        self._deaths: collections.OrderedDict[str, Death] = (
            collections.OrderedDict()
        )

    def note(self, fingerprint: str, generation: int, was_alone: bool) -> None:
        """Notes that a process ended while it ran a request."""
        if not fingerprint:
            return
        self._deaths.pop(fingerprint, None)
        self._deaths[fingerprint] = Death(generation, was_alone)
        if len(self._deaths) > MAX_REMEMBERED:
            self._deaths.popitem(last=False)
        self._tell()

    def list_recent(self, limit: int) -> list[tuple[str, Death]]:
        """Returns the newest deaths with their fingerprints."""
        limit_s = trio.current_time() - REMEMBER_S
        recent: list[tuple[str, Death]] = []
        for fingerprint in reversed(self._deaths):
            death = self._deaths[fingerprint]
            if death.at_s < limit_s or len(recent) == limit:
                break
            recent.append((fingerprint, death))
        return recent

    def find(self, fingerprint: str) -> Death | None:
        """Returns the newest death with a request, if it is recent."""
        death = self._deaths.get(fingerprint)
        if death is None:
            return None
        if trio.current_time() - death.at_s > REMEMBER_S:
            del self._deaths[fingerprint]
            return None
        return death
