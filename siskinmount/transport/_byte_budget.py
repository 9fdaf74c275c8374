"""One bound on the memory that a process holds for its clients.

Whoever holds bytes for a client charges them to a holding of the client's
connection. Where the budget is used up, holdings without progress are evicted,
the most idle and largest first, and then those that began last.
"""

from collections.abc import Callable
import enum
import logging
import os
import time

import trio

_LOGGER = logging.getLogger(__name__)

#: Budget of a process whose machine is unknown: more than requests within the
#: documented limits held in any deployment so far.
DEFAULT_BUDGET_BYTES = 256 * 1024 * 1024
#: Least number of bodies of the largest size that such a budget holds.
BODIES_PER_BUDGET = 4
#: Share of the memory beyond the process itself. A body is copied once when it is
#: sent on, and the allocator does not return all that is freed.
MEMORY_SHARE = 0.5
#: Least budget: two bodies of the largest documented size.
MIN_BUDGET_BYTES = 8 * 1024 * 1024
#: Holdings up to this size may use all of the budget, larger ones `LARGE_SHARE`
#: of it, so that large bodies leave room for small requests.
SMALL_BYTES = 64 * 1024
LARGE_SHARE = 7 / 8
#: Bytes that must arrive for a holding to count as having made progress. Single
#: bytes would let a client look busy without end.
PROGRESS_BYTES = 4096
#: Time without progress after which a holding may be evicted for others. Bodies
#: of ordinary clients arrive in less.
MIN_STALL_S = 1.0
#: An eviction frees this share of the budget at least, so that a flood does not
#: lead to a search for each read of a socket.
EVICTION_SHARE = 1 / 32
#: Share of the budget up to which the bytes held for clients are so few that the
#: rest of the resident memory is what the process itself needs.
CALM_SHARE = 1 / 4
#: Time after a search that found nothing to evict in which none is made.
SEARCH_INTERVAL_S = 0.05
#: Shortest time between two log lines on a budget that is used up.
LOG_INTERVAL_S = 1.0
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


class ClientRefusal(enum.Enum):
    """Why a client was refused or its connection closed."""

    #: The head announced a body over the limit.
    ANNOUNCED = 'announced'

    #: More bytes than the limit were sent.
    TOO_LARGE = 'too_large'

    #: Chunk sizes and extensions outweighed the body.
    FRAMING = 'framing'

    #: The head or body did not arrive in time.
    STALLED = 'stalled'

    #: The budget was used up and nothing could be evicted.
    BUDGET = 'budget'

    #: The client's bytes were given up for others.
    EVICTED = 'evicted'

    #: The limit on connections was reached.
    CONNECTIONS = 'connections'


class Holding:
    """Bytes held for one connection.

    Attributes:
        size_bytes: Bytes charged.
        began_at_s: Monotonic time at which the current request began; before
            the first one, earlier than any.
        waited_s: Time spent waiting for the client since the last progress.
        is_evicted: Whether its bytes were given up for others.
    """

    __slots__ = (
        'size_bytes',
        'began_at_s',
        'waited_s',
        '_waiting_since_s',
        'is_evicted',
        '_unmarked_bytes',
        '_budget',
        '_evict',
    )

    def __init__(self, budget: 'ByteBudget') -> None:
        self.size_bytes = 0
        self.began_at_s = float('-inf')
        self.waited_s = 0.0
        self.is_evicted = False
        self._waiting_since_s = 0.0
        self._unmarked_bytes = 0
        self._budget = budget
        self._evict: Callable[[], None] | None = None

    def begin_request(self) -> None:
        """Notes that bytes from now on belong to a new request."""
        self.began_at_s = trio.current_time()
        self.waited_s = 0.0
        self.is_evicted = False
        self._unmarked_bytes = 0

    def reserve(self, size_bytes: int) -> bool:
        """Charges bytes if there is room for them, or room can be made."""
        return self._budget.reserve(self, size_bytes)

    def charge(self, size_bytes: int) -> None:
        """Charges bytes that are held already, even over the budget."""
        self.size_bytes += size_bytes
        self._budget.held_bytes += size_bytes

    def release(self, size_bytes: int) -> None:
        """Gives bytes back."""
        freed_bytes = min(size_bytes, self.size_bytes)
        self.size_bytes -= freed_bytes
        self._budget.held_bytes -= freed_bytes

    def release_all(self) -> None:
        """Gives all bytes back."""
        self.release(self.size_bytes)

    def record_received(self, size_bytes: int) -> None:
        """Notes bytes from the client, which may be progress."""
        self._unmarked_bytes += size_bytes
        if self._unmarked_bytes < PROGRESS_BYTES:
            return
        self._unmarked_bytes = 0
        self.waited_s = 0.0

    def begin_wait(self, evict: Callable[[], None]) -> None:
        """Lets the bytes be given up while the client is waited for.

        Args:
            evict: Ends the wait; must not raise.
        """
        self._evict = evict
        self._waiting_since_s = trio.current_time()
        self._budget.evictable.add(self)

    def end_wait(self) -> None:
        """Keeps the bytes, as the process works on what has arrived."""
        if self._evict is None:
            return
        self._evict = None
        self._budget.evictable.discard(self)
        self.waited_s += trio.current_time() - self._waiting_since_s

    def get_idle_s(self, now_s: float) -> float:
        """Returns the time without progress in which the client was waited for."""
        return self.waited_s + now_s - self._waiting_since_s

    def evict(self) -> None:
        """Gives the bytes up and ends the wait for the client."""
        evict = self._evict
        self.end_wait()
        self.is_evicted = True
        self.release_all()
        self._budget.count_refusal(ClientRefusal.EVICTED)
        if evict is not None:
            evict()


class ByteBudget:
    """Counts the bytes held for all clients of a process.

    Attributes:
        limit_bytes: Bytes that may be held.
        held_bytes: Bytes held now.
        evictable: Holdings of clients that are waited for.
        refusals: Clients refused so far, by reason.
    """

    __slots__ = (
        'limit_bytes',
        'held_bytes',
        'evictable',
        'refusals',
        '_memory_bytes',
        '_next_search_s',
        '_next_log_s',
    )

    def __init__(self, limit_bytes: int, memory_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.evictable: set[Holding] = set()
        self.refusals = dict.fromkeys(ClientRefusal, 0)
        self._memory_bytes = memory_bytes
        self._next_search_s = float('-inf')
        self._next_log_s = float('-inf')

    @property
    def pressure(self) -> float:
        """Share of the budget that is held, from 0 to 1."""
        return min(1.0, max(0.0, self.held_bytes / self.limit_bytes))

    def open_holding(self) -> Holding:
        """Returns a holding without bytes."""
        return Holding(self)

    def count_refusal(self, reason: ClientRefusal) -> None:
        """Counts a refused client."""
        self.refusals[reason] += 1

    def reserve(self, holding: Holding, size_bytes: int) -> bool:
        """Charges bytes to a holding if there is room, or room can be made."""
        share = LARGE_SHARE
        if holding.size_bytes + size_bytes <= SMALL_BYTES:
            share = 1.0
        excess_bytes = int(
            self.held_bytes + size_bytes - self.limit_bytes * share
        )
        if excess_bytes > 0 and not self._make_room(holding, excess_bytes):
            self._log_used_up()
            return False
        holding.charge(size_bytes)
        return True

    def update_limit(self) -> None:
        """Derives the limit from the memory that the process itself needs.

        Does nothing if the machine is unknown, or while clients' bytes, which
        are part of the resident memory, would distort the result.
        """
        if not self._memory_bytes:
            return
        if self.held_bytes > self.limit_bytes * CALM_SHARE:
            return
        self.limit_bytes = _choose_limit(self._memory_bytes, self.held_bytes)

    def _make_room(self, asking: Holding, needed_bytes: int) -> bool:
        """Evicts holdings for one that asks; returns whether that is enough.

        Nothing is evicted if it is not: the asking request is refused then.
        """
        now_s = trio.current_time()
        if now_s < self._next_search_s:
            return False
        victims: list[Holding] = []
        found_bytes = 0
        wanted_bytes = max(needed_bytes, int(self.limit_bytes * EVICTION_SHARE))
        for holding in self._list_candidates(asking, now_s):
            if found_bytes >= wanted_bytes:
                break
            victims.append(holding)
            found_bytes += holding.size_bytes
        if found_bytes < needed_bytes:
            self._next_search_s = now_s + SEARCH_INTERVAL_S
            return False
        for holding in victims:
            holding.evict()
        self._log_used_up()
        return True

    def _list_candidates(self, asking: Holding, now_s: float) -> list[Holding]:
        """Returns what may be evicted, in order.

        First those without progress, by idle time and size; then large ones
        that began after the asking one, the latest first: a request in progress
        goes before a new one.
        """
        stalled: list[Holding] = []
        later: list[Holding] = []
        for holding in self.evictable:
            if holding is asking or not holding.size_bytes:
                continue
            if holding.get_idle_s(now_s) >= MIN_STALL_S:
                stalled.append(holding)
            elif (
                holding.size_bytes > SMALL_BYTES
                and holding.began_at_s > asking.began_at_s
            ):
                later.append(holding)
        # Size counts twice: connections between requests have been idle longest,
        # but give little, and their clients may be about to use them.
        stalled.sort(
            key=lambda held: held.get_idle_s(now_s) * held.size_bytes**2,
            reverse=True,
        )
        later.sort(key=lambda held: held.began_at_s, reverse=True)
        return stalled + later

    def _log_used_up(self) -> None:
        """Logs that the budget is used up, at most once in an interval."""
        now_s = time.monotonic()
        if now_s < self._next_log_s:
            return
        self._next_log_s = now_s + LOG_INTERVAL_S
        _LOGGER.warning(
            'byte_budget_used_up',
            extra={
                'held_bytes': self.held_bytes,
                'limit_bytes': self.limit_bytes,
                'refusals': {
                    reason.value: count
                    for reason, count in self.refusals.items()
                    if count
                },
            },
        )


def read_resident_bytes() -> int:
    """Returns the resident memory of this process; 0 if it cannot be read."""
    try:
        with open('/proc/self/statm', encoding='ascii') as statm:
            return int(statm.read().split()[1]) * _PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0


def _choose_limit(memory_bytes: int, held_bytes: int = 0) -> int:
    """Returns the budget of a process on a machine of a size."""
    own_bytes = max(0, read_resident_bytes() - held_bytes)
    left_bytes = memory_bytes - own_bytes
    return max(MIN_BUDGET_BYTES, int(left_bytes * MEMORY_SHARE))


def create_byte_budget(
    memory_bytes: int = 0, max_body_bytes: int = 0
) -> ByteBudget:
    """Creates the budget of a process.

    Args:
        memory_bytes: Memory that the machine has for the process; 0 if it is
            not known.
        max_body_bytes: Largest body that must pass where it is not known.
    """
    if not memory_bytes:
        return ByteBudget(
            max(DEFAULT_BUDGET_BYTES, max_body_bytes * BODIES_PER_BUDGET)
        )
    return ByteBudget(_choose_limit(memory_bytes), memory_bytes)
