"""Rates and bounds of membership."""


class HeartbeatSettings:
    """How often daemons tell that they live, and what silence means.

    Attributes:
        interval_ms: Time between two heartbeats to one peer.
        jitter_share: Part of the interval by which each one varies.
        suspect_after_ms: Silence after which a member is suspect.
        dead_after_ms: Silence after which a second source makes it dead.
        forget_after_ms: Silence after which a member is removed, whatever
            other sources say.
        vm_list_interval_ms: Time between two reads of the VM list.
        max_sidecar_peers: Entries that a sidecar heartbeats to.
        max_entry_peers: Entries that an entry heartbeats to.
        max_listed_entries: Entries named in one reply.
    """

    __slots__ = (
        'interval_ms',
        'jitter_share',
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
        jitter_share: float = 0.2,
        suspect_after_ms: int = 3500,
        dead_after_ms: int = 5000,
        forget_after_ms: int = 300_000,
        vm_list_interval_ms: int = 2000,
        max_sidecar_peers: int = 8,
        max_entry_peers: int = 12,
        max_listed_entries: int = 12,
    ) -> None:
        self.interval_ms = interval_ms
        self.jitter_share = jitter_share
        self.suspect_after_ms = suspect_after_ms
        self.dead_after_ms = dead_after_ms
        self.forget_after_ms = forget_after_ms
        self.vm_list_interval_ms = vm_list_interval_ms
        self.max_sidecar_peers = max_sidecar_peers
        self.max_entry_peers = max_entry_peers
        self.max_listed_entries = max_listed_entries
