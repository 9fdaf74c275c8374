"""Detects upstreams that have stopped answering.

A request that must not be repeated waits for its answer until its timeout,
which is several seconds. Its upstream is avoided long before that, so that no
further requests are sent to a hanging upstream. An upstream that is only slow
still starts to answer other requests and is not avoided; it gets fewer requests
because more of them are in flight there.
"""

import trio

from siskinmount.placement import _upstream_health

#: An upstream counts as failing if it sends no first byte within this multiple
#: of the latency objective. Requests are placed where they wait at most 1.5
#: times the objective for a slot.
OVERDUE_TARGET_FACTOR = 2
#: Interval between two checks of all waiting requests.
CHECK_INTERVAL_S = 0.1


class WaitingRun:
    """A request that waits for its first byte.

    Attributes:
        upstream_id: Upstream to which the request was sent.
        sent_at_s: Monotonic time at which the request was sent.
        overdue_at_s: Monotonic time from which the upstream counts as failing.
    """

    __slots__ = ('upstream_id', 'sent_at_s', 'overdue_at_s')

    def __init__(
        self, upstream_id: str, sent_at_s: float, overdue_at_s: float
    ) -> None:
        self.upstream_id = upstream_id
        self.sent_at_s = sent_at_s
        self.overdue_at_s = overdue_at_s


class OverdueRuns:
    """Requests that wait for the first byte of their answers."""

    __slots__ = ('_health', '_waiting', '_first_byte_at_s', '_begun')

    def __init__(self, health: _upstream_health.UpstreamHealth) -> None:
        self._health = health
        self._waiting: set[WaitingRun] = set()
        self._first_byte_at_s: dict[str, float] = {}
        self._begun = trio.Event()

    def begin(self, upstream_id: str, target_ms: int) -> WaitingRun:
        """Adds a request that has been sent.

        Args:
            upstream_id: Upstream to which the request was sent.
            target_ms: Latency objective of the first byte.
        """
        now_s = trio.current_time()
        overdue_at_s = now_s + target_ms * OVERDUE_TARGET_FACTOR / 1000
        waiting = WaitingRun(upstream_id, now_s, overdue_at_s)
        self._waiting.add(waiting)
        self._begun.set()
        return waiting

    def record_first_byte(self, waiting: WaitingRun) -> None:
        """Removes a request whose answer has started, and records the time."""
        self._first_byte_at_s[waiting.upstream_id] = trio.current_time()
        self._waiting.discard(waiting)

    def end(self, waiting: WaitingRun) -> None:
        """Removes a request that has ended."""
        self._waiting.discard(waiting)

    def forget(self, upstream_id: str) -> None:
        """Drops the state of an upstream that is gone."""
        self._first_byte_at_s.pop(upstream_id, None)

    async def run(self) -> None:
        """Checks for overdue requests until cancelled."""
        while True:
            if not self._waiting:
                self._begun = trio.Event()
                await self._begun.wait()
            await trio.sleep(CHECK_INTERVAL_S)
            self.check()

    def check(self) -> None:
        """Reports a failure of the upstream for each overdue request, once.

        An upstream that sent a first byte after the request was sent is slow,
        not hanging, and is not reported.
        """
        now_s = trio.current_time()
        for waiting in list(self._waiting):
            if waiting.overdue_at_s > now_s:
                continue
            self._waiting.discard(waiting)
            first_byte_at_s = self._first_byte_at_s.get(waiting.upstream_id)
            if (
                first_byte_at_s is not None
                and first_byte_at_s > waiting.sent_at_s
            ):
                continue
            self._health.record_failure(
                waiting.upstream_id, 'no first byte in time'
            )


def create_overdue_runs(
    health: _upstream_health.UpstreamHealth,
) -> OverdueRuns:
    """Creates an `OverdueRuns` without requests."""
    return OverdueRuns(health)
