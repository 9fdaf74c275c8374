"""Bounds and intervals of batch jobs."""


class BatchLimits:
    """Bounds and intervals of batch jobs.

    Attributes:
        lease_ms: How long a lease lasts without renewal.
        adoption_ms: How long a new owner waits for renewals of leases that
            the last owner gave, before it hands out the same items again.
        cancel_wait_ms: How long the answer to a cancellation waits until all
            sidecars that hold items of the job have been told.
        first_retry_ms: Pause before an item's second attempt; it doubles.
        max_retry_ms: Longest pause between two attempts.
        max_losses: Attempts at one item that may be lost with their upstream.
        max_items: Most items in one job.
        max_open_items: Most open items of one owner.
        max_item_bytes: Most bytes of one item.
        chunk_bytes: Bytes of items that are written together.
        max_page_bytes: Most bytes of results in one page.
        max_resume_tokens: Most tokens of interrupted items kept in memory.
    """

    __slots__ = (
        'lease_ms',
        'adoption_ms',
        'cancel_wait_ms',
        'first_retry_ms',
        'max_retry_ms',
        'max_losses',
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
        max_losses: int = 10,
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
        self.max_losses = max_losses
        self.max_items = max_items
        self.max_open_items = max_open_items
        self.max_item_bytes = max_item_bytes
        self.chunk_bytes = chunk_bytes
        self.max_page_bytes = max_page_bytes
        self.max_resume_tokens = max_resume_tokens
