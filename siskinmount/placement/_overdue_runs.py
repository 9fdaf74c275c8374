"""Notices upstreams that have fallen silent.

A request that may not be repeated waits for its answer to the end of its time,
which is seconds. The upstream that keeps it waiting is avoided long before, so
that others are not sent to where it hangs. One that is only slow still begins
answers meanwhile, and gets less by its count of requests in flight.
"""

import trio

from siskinmount.placement import _upstream_health

#: Without a first byte for this many objectives an upstream counts as failing.
#: Requests are placed where they wait at most one and a half for a slot.
OVERDUE_IN_TARGETS = 2
#: Time between two looks at all requests that wait.
LOOK_INTERVAL_S = 0.1


class WaitingRun:
    """A request that waits for its first byte.

    Attributes:
        upstream_id: Where it waits.
        sent_at_s: Steady time at which it was sent.
        overdue_at_s: Steady time at which its upstream counts as failing.
    """

    __slots__ = ('upstream_id', 'sent_at_s', 'overdue_at_s')

    def __init__(
        self, upstream_id: str, sent_at_s: float, overdue_at_s: float
    ) -> None:
        self.upstream_id = upstream_id
        self.sent_at_s = sent_at_s
        self.overdue_at_s = overdue_at_s


class OverdueRuns:
    """Requests that wait for their first byte."""

    __slots__ = ('_health', '_waiting', '_heard_at_s')

    def __init__(self, health: _upstream_health.UpstreamHealth) -> None:
        self._health = health
        self._waiting: set[WaitingRun] = set()
        self._heard_at_s: dict[str, float] = {}

    def begin(self, upstream_id: str, target_ms: int) -> WaitingRun:
        """Takes a request that has been sent.

        Args:
            upstream_id: Where it was sent.
            target_ms: Objective of its first byte.
        """
        now_s = trio.current_time()
        overdue_at_s = now_s + target_ms * OVERDUE_IN_TARGETS / 1000
        waiting = WaitingRun(upstream_id, now_s, overdue_at_s)
        self._waiting.add(waiting)
        return waiting

    def note_first_byte(self, waiting: WaitingRun) -> None:
        """Takes the first byte of an answer: the upstream works."""
        self._heard_at_s[waiting.upstream_id] = trio.current_time()
        self._waiting.discard(waiting)

    def end(self, waiting: WaitingRun) -> None:
        """Drops a request that has ended."""
        self._waiting.discard(waiting)

    def forget(self, upstream_id: str) -> None:
        """Forgets an upstream that is gone."""
        self._heard_at_s.pop(upstream_id, None)

    async def run(self) -> None:
        """Looks for requests that are overdue, for ever."""
        while True:
            await trio.sleep(LOOK_INTERVAL_S)
            self.look()

    def look(self) -> None:
        """Tells each upstream that keeps a request waiting, once a request."""
        now_s = trio.current_time()
        for waiting in list(self._waiting):
            if waiting.overdue_at_s > now_s:
                continue
            self._waiting.discard(waiting)
            heard_at_s = self._heard_at_s.get(waiting.upstream_id)
            if heard_at_s is not None and heard_at_s > waiting.sent_at_s:
                continue
            self._health.note_failure(
                waiting.upstream_id, 'no first byte in time'
            )


def create_overdue_runs(
    health: _upstream_health.UpstreamHealth,
) -> OverdueRuns:
    """Creates a watch without requests."""
    return OverdueRuns(health)
