"""Requests in flight at each upstream, from this process and its peers."""

import trio

#: Counts of a peer that has been silent for this long are ignored. A peer sends
#: at least four times a second, and some datagrams are lost.
PEER_COUNTS_TIMEOUT_S = 1.0


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


class LoadTable:
    """Requests in flight by upstream.

    Attributes:
        own: Counts of this process.
        version: Incremented at each change of `own`.
    """

    __slots__ = ('own', 'version', '_by_peer', '_changed')

    def __init__(self) -> None:
        self.own: dict[str, UpstreamCounts] = {}
        self.version = 0
        self._by_peer: dict[str, tuple[float, dict[str, UpstreamCounts]]] = {}
        self._changed = trio.Event()

    def add_online(self, upstream_id: str, amount: int) -> None:
        """Adds an amount to the online requests; -1 when a request ends."""
        self._get_own(upstream_id).online += amount
        self._apply_change(upstream_id)

    def set_batch(self, upstream_id: str, count: int, newest_job: int) -> None:
        """Sets the number of batch items and the newest of their jobs."""
        counts = self._get_own(upstream_id)
        counts.batch = count
        counts.newest_job = newest_job
        self._apply_change(upstream_id)

    def set_peer_counts(
        self, peer: str, counts: dict[str, UpstreamCounts]
    ) -> None:
        """Replaces the counts of a peer."""
        self._by_peer[peer] = (trio.current_time(), counts)
        self._notify()

    def forget_peer(self, peer: str) -> None:
        """Drops the counts of a peer that is gone."""
        self._by_peer.pop(peer, None)

    def announce(self) -> None:
        """Has the next message to peers sent at once, without a new count."""
        self.version += 1
        self._notify()

    def sum_counts(self) -> dict[str, UpstreamCounts]:
        """Returns the counts of all processes together."""
        totals: dict[str, UpstreamCounts] = {}
        _add_counts(totals, self.own)
        limit_s = trio.current_time() - PEER_COUNTS_TIMEOUT_S
        for received_at_s, counts in self._by_peer.values():
            if received_at_s >= limit_s:
                _add_counts(totals, counts)
        return totals

    def get_newest_peer_job(self, upstream_id: str) -> tuple[int, str]:
        """Returns the newest job of peers' items at an upstream, and the peer.

        Returns (-1, '') if no peer has batch items there.
        """
        newest = (-1, '')
        for peer, (_, counts) in self._by_peer.items():
            entry = counts.get(upstream_id)
            if entry is not None:
                newest = max(newest, (entry.newest_job, peer))
        return newest

    async def wait_changed(self) -> None:
        """Returns after the next change of any count."""
        await self._changed.wait()

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
        self._notify()

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _add_counts(
    totals: dict[str, UpstreamCounts], counts: dict[str, UpstreamCounts]
) -> None:
    for upstream_id, entry in counts.items():
        total = totals.get(upstream_id)
        if total is None:
            total = UpstreamCounts()
            totals[upstream_id] = total
        total.online += entry.online
        total.batch += entry.batch
        total.newest_job = max(total.newest_job, entry.newest_job)


def create_load_table() -> LoadTable:
    """Creates an empty table."""
    return LoadTable()
