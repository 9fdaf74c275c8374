"""Size limits and intervals of a state stream."""


class StreamLimits:
    """Size limits and intervals of a state stream.

    Attributes:
        retention_ms: How long the log keeps a record.
        retention_records: How many records of a stream the log keeps; 0 if
            their number is not limited.
        max_group_bytes: Most bytes of records committed together.
        max_queued_bytes: Most bytes of records that are queued or in flight.
        min_append_interval_ms: Shortest time between two appends to a stream.
            Its inverse times the number of streams bounds the system's use of
            the log's append rate.
        commit_timeout_ms: How long `commit` waits for a record to be read
            back.
        read_back_timeout_ms: How long an appended record may stay unread
            before the read in progress is cancelled and repeated. The timeout
            doubles with each repetition.
        tail_wait_ms: How long one read waits for new records at the tail.
        first_backoff_ms: First pause after a failed call to the log.
        max_backoff_ms: Longest pause after a failed call to the log.
        claim_wait_ms: How long to wait before claiming a stream whose owner
            may be alive.
        release_timeout_ms: How long a release may take.
        snapshot_after_records: Log records after which a snapshot is written.
        snapshot_after_bytes: Bytes of log records after which a snapshot is
            written.
        snapshot_chunk_bytes: Most bytes in one chunk of a snapshot.
    """

    __slots__ = (
        'retention_ms',
        'retention_records',
        'max_group_bytes',
        'max_queued_bytes',
        'min_append_interval_ms',
        'commit_timeout_ms',
        'read_back_timeout_ms',
        'tail_wait_ms',
        'first_backoff_ms',
        'max_backoff_ms',
        'claim_wait_ms',
        'release_timeout_ms',
        'snapshot_after_records',
        'snapshot_after_bytes',
        'snapshot_chunk_bytes',
    )

    def __init__(
        self,
        *,
        retention_ms: int = 24 * 3600 * 1000,
        retention_records: int = 0,
        max_group_bytes: int = 256 * 1024,
        max_queued_bytes: int = 16 * 1024 * 1024,
        min_append_interval_ms: int = 40,
        commit_timeout_ms: int = 5000,
        read_back_timeout_ms: int = 500,
        tail_wait_ms: int = 2000,
        first_backoff_ms: int = 50,
        max_backoff_ms: int = 2000,
        claim_wait_ms: int = 5000,
        release_timeout_ms: int = 5000,
        snapshot_after_records: int = 20_000,
        snapshot_after_bytes: int = 64 * 1024 * 1024,
        snapshot_chunk_bytes: int = 256 * 1024,
    ) -> None:
        self.retention_ms = retention_ms
        self.retention_records = retention_records
        self.max_group_bytes = max_group_bytes
        self.max_queued_bytes = max_queued_bytes
        self.min_append_interval_ms = min_append_interval_ms
        self.commit_timeout_ms = commit_timeout_ms
        self.read_back_timeout_ms = read_back_timeout_ms
        self.tail_wait_ms = tail_wait_ms
        self.first_backoff_ms = first_backoff_ms
        self.max_backoff_ms = max_backoff_ms
        self.claim_wait_ms = claim_wait_ms
        self.release_timeout_ms = release_timeout_ms
        self.snapshot_after_records = snapshot_after_records
        self.snapshot_after_bytes = snapshot_after_bytes
        self.snapshot_chunk_bytes = snapshot_chunk_bytes

    @property
    def snapshot_after_ms(self) -> int:
        """Age of the newest snapshot at which the next one is written."""
        return self.retention_ms // 6

    @property
    def carry_after_ms(self) -> int:
        """Age at which a record that is still needed is appended again."""
        return self.retention_ms // 2
