"""Requests in flight at each upstream, from this process and its peers."""

from collections.abc import Callable

import trio

from siskinmount.placement import _arrival_rates

#: Slots of an upstream that does not report how many it has.
DEFAULT_SLOTS = 8
#: Counts of a peer that has been silent for this long are ignored. A peer sends
#: at least a few times a second, and some datagrams are lost.
PEER_COUNTS_TIMEOUT_S = 1.0
#: Interval at which peers are checked for that silence.
EXPIRY_INTERVAL_S = 0.1


class UpstreamCounts:
    """Requests in flight at one upstream.

    Attributes:
        online: Requests of callers.
        batch: Items of batch jobs.
        newest_job: Log offset of the newest job among the batch items; -1 for
            none.
    """

    __slots__ = ('online', 'batch', 'newest_job')

    def __init__(
        self, online: int = 0, batch: int = 0, newest_job: int = -1
    ) -> None:
        self.online = online
        self.batch = batch
        self.newest_job = newest_job


class _PeerCounts:
    """What a peer last told.

    Attributes:
        told_at_s: Monotonic time of the last message.
        counts: Its counts by upstream.
    """

    __slots__ = ('told_at_s', 'counts')

    def __init__(self, counts: dict[str, UpstreamCounts]) -> None:
        self.told_at_s = trio.current_time()
        self.counts = counts


class LoadTable:
    """Requests in flight by upstream.

    The sums over all processes are kept up to date with each change, so that a
    decision costs the same however many peers there are.

    Attributes:
        own: Counts of this process.
        version: Incremented at each change of `own`.
    """

    __slots__ = (
        'own',
        'version',
        '_by_peer',
        '_totals',
        '_arrivals',
        '_expired_at_s',
        '_changed',
        '_own_listeners',
    )

    def __init__(self) -> None:
        self.own: dict[str, UpstreamCounts] = {}
        self.version = 0
        self._by_peer: dict[str, _PeerCounts] = {}
        self._totals: dict[str, UpstreamCounts] = {}
        self._arrivals = _arrival_rates.create_arrival_rates()
        self._expired_at_s = float('-inf')
        self._changed = trio.Event()
        self._own_listeners: list[Callable[[], None]] = []

    def add_own_listener(self, listener: Callable[[], None]) -> None:
        """Registers a function to be called after each change of `own`."""
        self._own_listeners.append(listener)

    def add_online(self, upstream_id: str, amount: int) -> None:
        """Adds an amount to the online requests; -1 when a request ends."""
        self._get_own(upstream_id).online += amount
        self._add_total(upstream_id, amount, 0)
        self._apply_change(upstream_id)

    def set_batch(self, upstream_id: str, count: int, newest_job: int) -> None:
        """Sets the number of batch items and the newest of their jobs."""
        counts = self._get_own(upstream_id)
        self._add_total(upstream_id, 0, count - counts.batch)
        counts.batch = count
        counts.newest_job = newest_job
        self._apply_change(upstream_id)

    def set_peer_counts(
        self, peer: str, counts: dict[str, UpstreamCounts]
    ) -> None:
        """Replaces the counts of a peer."""
        known = self._by_peer.get(peer)
        earlier = known.counts if known is not None else {}
        self._by_peer[peer] = _PeerCounts(counts)
        for upstream_id, entry in earlier.items():
            self._add_total(upstream_id, -entry.online, -entry.batch)
        for upstream_id, entry in counts.items():
            self._add_total(upstream_id, entry.online, entry.batch)
            before = earlier.get(upstream_id)
            added = entry.online - (before.online if before is not None else 0)
            if known is not None and added > 0:
                self._arrivals.record(upstream_id, added)
        self._notify()

    def refresh_peer(
        self, peer: str, counts: dict[str, UpstreamCounts]
    ) -> None:
        """Records that a peer's counts are as they were at the last message."""
        known = self._by_peer.get(peer)
        if known is None:
            self.set_peer_counts(peer, counts)
            return
        known.told_at_s = trio.current_time()

    def forget_peer(self, peer: str) -> None:
        """Drops the counts of a peer that is gone."""
        known = self._by_peer.pop(peer, None)
        if known is None:
            return
        for upstream_id, entry in known.counts.items():
            self._add_total(upstream_id, -entry.online, -entry.batch)

    def count_peers(self) -> int:
        """Returns how many peers have counts."""
        return len(self._by_peer)

    def announce(self) -> None:
        """Has the next message to peers sent at once, without a new count."""
        self.version += 1
        self._notify_own()

    def sum_counts(self) -> dict[str, UpstreamCounts]:
        """Returns the counts of all processes together.

        The mapping changes with the table; `newest_job` is not set in it.
        """
        self._expire_peers()
        return self._totals

    def estimate_peer_arrivals_per_s(self, upstream_ids: list[str]) -> float:
        """Returns the rate at which peers send online requests to upstreams."""
        return self._arrivals.estimate_per_s(upstream_ids)

    def count_newer_batch(
        self, upstream_id: str, newest_job: int, member: str
    ) -> int:
        """Returns how many batch items of peers at an upstream are newer.

        Args:
            upstream_id: The upstream.
            newest_job: Offset of this member's newest job there.
            member: Name of this member, which decides between equal offsets.
        """
        count = 0
        for peer, known in self._by_peer.items():
            entry = known.counts.get(upstream_id)
            if entry is None:
                continue
            if (entry.newest_job, peer) > (newest_job, member):
                count += entry.batch
        return count

    async def wait_changed(self) -> None:
        """Returns after the next change of any count."""
        await self._changed.wait()

    def _expire_peers(self) -> None:
        """Drops the counts of peers that have been silent."""
        now_s = trio.current_time()
        if now_s - self._expired_at_s < EXPIRY_INTERVAL_S:
            return
        self._expired_at_s = now_s
        limit_s = now_s - PEER_COUNTS_TIMEOUT_S
        for peer, known in list(self._by_peer.items()):
            if known.told_at_s < limit_s:
                self.forget_peer(peer)

    def _add_total(self, upstream_id: str, online: int, batch: int) -> None:
        total = self._totals.get(upstream_id)
        if total is None:
            total = UpstreamCounts()
            self._totals[upstream_id] = total
        total.online += online
        total.batch += batch
        if not total.online and not total.batch:
            del self._totals[upstream_id]

    def _get_own(self, upstream_id: str) -> UpstreamCounts:
        counts = self.own.get(upstream_id)
        if counts is None:
            counts = UpstreamCounts()
            self.own[upstream_id] = counts
        return counts

    def _apply_change(self, upstream_id: str) -> None:
        counts = self.own[upstream_id]
        if counts.online < 0 or counts.batch < 0:
            raise AssertionError(f'negative count at {upstream_id}')
        if not counts.online and not counts.batch:
            del self.own[upstream_id]
        self.version += 1
        self._notify_own()

    def _notify_own(self) -> None:
        for listener in self._own_listeners:
            listener()
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def create_load_table() -> LoadTable:
    """Creates an empty table."""
    return LoadTable()
