"""Exponential backoff between calls to a log that fails."""

import random

import trio


class Backoff:
    """Pauses that double up to a maximum, with jitter."""

    __slots__ = ('_first_ms', '_max_ms', '_next_ms')

    def __init__(self, first_ms: int, max_ms: int) -> None:
        self._first_ms = first_ms
        self._max_ms = max_ms
        self._next_ms = first_ms

    def reset(self) -> None:
        """Resets the next pause to the first one."""
        self._next_ms = self._first_ms

    async def pause(self, min_pause_ms: int | None = None) -> None:
        """Sleeps for the next pause.

        Args:
            min_pause_ms: Shortest pause, limited to the maximum; None for no
                lower bound.
        """
        pause_ms = random.uniform(self._next_ms / 2, self._next_ms)
        self._next_ms = min(self._max_ms, self._next_ms * 2)
        await trio.sleep(
            max(pause_ms, min(min_pause_ms or 0, self._max_ms)) / 1000
        )
