"""Intervals and limits of membership."""


class HeartbeatSettings:
    """Intervals and limits of heartbeats and failure detection.

    Attributes:
        interval_ms: Time between two heartbeats to one peer.
        jitter_fraction: Fraction of the interval by which it varies at random.
        suspect_after_ms: Time without contact after which a member is suspect.
        dead_after_ms: Time without contact after which a member is dead if a
            second source confirms it.
        forget_after_ms: Time without contact after which a member is removed,
            regardless of other sources.
        vm_list_interval_ms: Time between two reads of the VM list.
        max_sidecar_peers: Maximum number of entries that a sidecar sends
            heartbeats to.
        max_entry_peers: Maximum number of entries that an entry sends
            heartbeats to.
        max_listed_entries: Maximum number of entries listed in one reply.
    """

    __slots__ = (
        'interval_ms',
        'jitter_fraction',
        'suspect_after_ms',
        'dead_after_ms',
        'forget_after_ms',
        'vm_list_interval_ms',
        'max_sidecar_peers',
        'max_entry_peers',
        'max_listed_entries',
    )

    def __init__(
        self,
        *,
        interval_ms: int = 1000,
        jitter_fraction: float = 0.2,
        suspect_after_ms: int = 3500,
        dead_after_ms: int = 5000,
        forget_after_ms: int = 300_000,
        vm_list_interval_ms: int = 2000,
        max_sidecar_peers: int = 8,
        max_entry_peers: int = 12,
        max_listed_entries: int = 12,
    ) -> None:
        self.interval_ms = interval_ms
        self.jitter_fraction = jitter_fraction
        self.suspect_after_ms = suspect_after_ms
        self.dead_after_ms = dead_after_ms
        self.forget_after_ms = forget_after_ms
        self.vm_list_interval_ms = vm_list_interval_ms
        self.max_sidecar_peers = max_sidecar_peers
        self.max_entry_peers = max_entry_peers
        self.max_listed_entries = max_listed_entries
