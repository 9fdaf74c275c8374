"""Which items of one job may be handed out next."""

import heapq

from siskinmount.batch import _job
from siskinmount.batch import _lease_table


class JobDispatch:
    """Yields the items of one job that are neither ended nor leased.

    Items are taken once by rising index; those that come back are taken
    before the rest as soon as their pause is over, and never hold the others.

    Attributes:
        job: The job.
        marked_below: Index from which on no item has been handed out.
    """

    __slots__ = ('job', 'marked_below', '_cursor', '_returned', '_queued')

    def __init__(self, job: _job.Job, *, is_inherited: bool = False) -> None:
        """Starts with all open items.

        Args:
            job: The job.
            is_inherited: Whether sidecars may hold items of it from the
                stream's last owner; those are left out until
                `include_inherited`.
        """
        self.job = job
        self.marked_below = job.handed_out_below
        self._cursor = job.handed_out_below
        # Items that came back: when each may be taken, and its index.
        self._returned: list[tuple[int, int]] = []
        self._queued: set[int] = set()
        if not is_inherited:
            self.include_inherited()

    def include_inherited(self) -> None:
        """Takes open items also among those that were handed out before."""
        self._cursor = 0
        for index, attempt in self.job.attempts.items():
            self.put_back(index, attempt.retry_at_ms)

    def put_back(self, index: int, not_before_ms: int) -> None:
        """Makes an item that was taken available again at a time."""
        if index in self._queued:
            return
        self._queued.add(index)
        heapq.heappush(self._returned, (not_before_ms, index))

    def take(self, leases: _lease_table.LeaseTable, now_ms: int) -> int | None:
        """Returns an item to hand out now, or None."""
        if not self.job.is_active:
            return None
        while self._returned and self._returned[0][0] <= now_ms:
            _, index = heapq.heappop(self._returned)
            self._queued.discard(index)
            if self._is_free(index, leases):
                return index
        while True:
            found = self.job.next_open(self._cursor)
            if found is None:
                self._cursor = self.job.item_count
                return None
            self._cursor = found + 1
            if found not in self._queued and self._is_free(found, leases):
                return found

    def has_ready(self, now_ms: int) -> bool:
        """Whether `take` would probably return an item."""
        if not self.job.is_active:
            return False
        if self._returned and self._returned[0][0] <= now_ms:
            return True
        return self.job.next_open(self._cursor) is not None

    def next_retry_ms(self) -> int | None:
        """Returns when the next item that came back may be taken."""
        return self._returned[0][0] if self._returned else None

    def _is_free(self, index: int, leases: _lease_table.LeaseTable) -> bool:
        return (
            self.job.is_open(index)
            and index not in self.job.started
            and leases.find(self.job.job_id, index) is None
        )
