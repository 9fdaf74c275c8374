"""Cache events that are published with a delay and with losses."""

import collections
import random

import trio

MAX_EVENTS_KEPT = 10_000
MAX_EVENTS_PER_RESPONSE = 1000


class CacheEvent:
    """A change of the prefix cache.

    Attributes:
        sequence: Number of the event from 1; lost events count too.
        kind: `stored` or `evicted`.
        block_hash: Hash of the block.
        happened_at_s: Monotonic time of the change.
    """

    __slots__ = ('sequence', 'kind', 'block_hash', 'happened_at_s')

    def __init__(
        self, sequence: int, kind: str, block_hash: int, happened_at_s: float
    ) -> None:
        self.sequence = sequence
        self.kind = kind
        self.block_hash = block_hash
        self.happened_at_s = happened_at_s


class CacheEventLog:
    """Keeps the newest events that were not lost."""

    __slots__ = (
        '_events',
        '_next_sequence',
        '_lag_s',
        '_loss_share',
        '_random',
    )

    def __init__(self, lag_ms: float, loss: float, seed: int) -> None:
        self._events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_EVENTS_KEPT
        )
        self._next_sequence = 1
        self._lag_s = lag_ms / 1000
        self._loss_share = loss
        self._random = random.Random(seed)

    def add(self, kind: str, block_hash: int) -> None:
        """Adds an event; a lost event leaves a gap in the sequence."""
        sequence = self._next_sequence
        self._next_sequence += 1
        if self._random.random() < self._loss_share:
            return
        self._events.append(
            CacheEvent(sequence, kind, block_hash, trio.current_time())
        )

    def read(self, after_sequence: int) -> list[CacheEvent]:
        """Returns the events after a sequence number that the lag allows."""
        limit_s = trio.current_time() - self._lag_s
        found: list[CacheEvent] = []
        for event in self._events:
            if event.sequence <= after_sequence:
                continue
            if event.happened_at_s > limit_s:
                break
            found.append(event)
            if len(found) == MAX_EVENTS_PER_RESPONSE:
                break
        return found
