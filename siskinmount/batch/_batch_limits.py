"""Limits and intervals of batch jobs."""


class BatchLimits:
    """Limits and intervals of batch jobs.

    Attributes:
        lease_ms: How long a lease lasts without renewal.
        adoption_ms: How long a new owner waits for renewals of leases that
            the previous owner granted, before it dispatches these items again.
        cancel_wait_ms: Longest time for which the answer to a cancellation
            waits for the sidecars that hold items of the job to stop them.
        first_retry_ms: Delay before an item's second attempt; it doubles with
            each further attempt.
        max_retry_ms: Longest delay between two attempts.
        max_items: Maximum number of items in one job.
        max_open_items: Maximum number of open items of one owner.
        max_item_bytes: Maximum size of one item.
        chunk_bytes: Total size of items at which they are written as one
            record.
        max_page_bytes: Size of results after which a page ends.
        max_resume_tokens: Maximum number of tokens of interrupted items kept
            in memory.
    """

    __slots__ = (
        'lease_ms',
        'adoption_ms',
        'cancel_wait_ms',
        'first_retry_ms',
        'max_retry_ms',
        'max_items',
        'max_open_items',
        'max_item_bytes',
        'chunk_bytes',
        'max_page_bytes',
        'max_resume_tokens',
    )

    def __init__(
        self,
        *,
        lease_ms: int = 30_000,
        adoption_ms: int = 15_000,
        cancel_wait_ms: int = 3000,
        first_retry_ms: int = 1000,
        max_retry_ms: int = 60_000,
        max_items: int = 1_000_000,
        max_open_items: int = 20_000_000,
        max_item_bytes: int = 128 * 1024,
        chunk_bytes: int = 128 * 1024,
        max_page_bytes: int = 1024 * 1024,
        max_resume_tokens: int = 200_000,
    ) -> None:
        self.lease_ms = lease_ms
        self.adoption_ms = adoption_ms
        self.cancel_wait_ms = cancel_wait_ms
        self.first_retry_ms = first_retry_ms
        self.max_retry_ms = max_retry_ms
        self.max_items = max_items
        self.max_open_items = max_open_items
        self.max_item_bytes = max_item_bytes
        self.chunk_bytes = chunk_bytes
        self.max_page_bytes = max_page_bytes
        self.max_resume_tokens = max_resume_tokens
