"""Queue of the items of one job that can be dispatched."""

import heapq

from siskinmount.batch import _job
from siskinmount.batch import _lease_table


class JobItemQueue:
    """Queue of the items of one job that are neither ended nor leased.

    Items are taken in index order. A requeued item is taken before the
    remaining ones once its retry delay has ended, and does not block them
    until then.

    Attributes:
        job: The job.
        checkpointed_below: Index from which on no item has been dispatched,
            according to the last checkpoint.
    """

    __slots__ = (
        'job',
        'checkpointed_below',
        '_cursor',
        '_requeued',
        '_requeued_indexes',
    )

    def __init__(self, job: _job.Job, *, is_inherited: bool = False) -> None:
        """Creates a queue of the open items.

        Args:
            job: The job.
            is_inherited: Whether sidecars may hold items leased from the
                stream's previous owner; items that may have been dispatched
                are left out until `include_inherited` is called.
        """
        self.job = job
        self.checkpointed_below = job.handed_out_below
        self._cursor = job.handed_out_below
        # Heap of requeued items: the earliest time to take each, and its index.
        self._requeued: list[tuple[int, int]] = []
        self._requeued_indexes: set[int] = set()
        if not is_inherited:
            self.include_inherited()

    def include_inherited(self) -> None:
        """Includes open items that the previous owner may have dispatched."""
        self._cursor = 0
        for index, attempt in self.job.attempts.items():
            self.requeue(index, attempt.retry_at_ms)

    def requeue(self, index: int, not_before_ms: int) -> None:
        """Makes a taken item available again from a given time on."""
        if index in self._requeued_indexes:
            return
        self._requeued_indexes.add(index)
        heapq.heappush(self._requeued, (not_before_ms, index))

    def take(self, leases: _lease_table.LeaseTable, now_ms: int) -> int | None:
        """Returns the index of an item to dispatch now, or None."""
        if not self.job.is_active:
            return None
        while self._requeued and self._requeued[0][0] <= now_ms:
            _, index = heapq.heappop(self._requeued)
            self._requeued_indexes.discard(index)
            if self._is_free(index, leases):
                return index
        while True:
            found = self.job.next_open(self._cursor)
            if found is None:
                self._cursor = self.job.item_count
                return None
            self._cursor = found + 1
            if found not in self._requeued_indexes and self._is_free(
                found, leases
            ):
                return found

    def has_ready(self, now_ms: int) -> bool:
        """Whether `take` may return an item; it may still return None."""
        if not self.job.is_active:
            return False
        if self._requeued and self._requeued[0][0] <= now_ms:
            return True
        return self.job.next_open(self._cursor) is not None

    def next_retry_ms(self) -> int | None:
        """Returns the earliest time at which a requeued item may be taken."""
        return self._requeued[0][0] if self._requeued else None

    def _is_free(self, index: int, leases: _lease_table.LeaseTable) -> bool:
        return (
            self.job.is_open(index)
            and index not in self.job.started
            and leases.find(self.job.job_id, index) is None
        )
