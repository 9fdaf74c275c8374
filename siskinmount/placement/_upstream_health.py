"""Passive health checks of upstreams, from the calls of all processes.

Two kinds of faults are detected. An upstream that is gone or unreachable fails
each call: a process that sees such a failure avoids the upstream at once, with
exponential back-off. An upstream that fails a part of its requests while its
own health probe succeeds is detected only over many calls, of which one process
makes few: members therefore send each other their tallies of failing upstreams.
"""

import logging

import trio

from siskinmount.placement import _crash_tracker
from siskinmount.placement import _failure_tally
from siskinmount.placement import _upstream_paces

_LOGGER = logging.getLogger(__name__)

#: How long an upstream is avoided after a failure that points to a broken
#: process or network path; doubled with each consecutive failure.
FIRST_AVOID_S = 0.5
MAX_AVOID_S = 4.0
#: Share of failed runs above which an upstream is avoided. A few per cent fail
#: at every upstream because answers are lost in the network.
MAX_FAILURE_SHARE = 0.2
#: Successful runs added to the count of each upstream, so that one failure
#: among few runs does not exceed the share.
PRIOR_GOOD_RUNS = 4.0
#: Decayed failure count below which a tally is not sent to peers.
MIN_SENT_FAILURES = 0.2
#: Tallies of a peer that has been silent for this long are ignored, like its
#: counts in the load table.
PEER_TALLIES_TIMEOUT_S = 1.0
#: Age up to which the sums over the tallies of peers are used again: a fraction
#: of the tallies' half-life.
PEER_SUMS_AGE_S = 0.05


class UpstreamHealth:
    """Decides which upstreams to avoid, from failures and tallies."""

    __slots__ = (
        '_crash_tracker',
        '_paces',
        '_failures',
        '_avoid_until_s',
        '_tallies',
        '_by_peer',
        '_peer_sums',
        '_summed_at_s',
        '_above_failure_limit',
    )

    def __init__(
        self,
        crash_tracker: _crash_tracker.CrashTracker,
        paces: _upstream_paces.UpstreamPaces | None,
    ) -> None:
        self._crash_tracker = crash_tracker
        self._paces = paces
        self._failures: dict[str, int] = {}
        self._avoid_until_s: dict[str, float] = {}
        self._tallies: dict[str, _failure_tally.FailureTally] = {}
        self._by_peer: dict[str, dict[str, _failure_tally.FailureTally]] = {}
        self._peer_sums: dict[str, _failure_tally.FailureTally] = {}
        self._summed_at_s = float('-inf')
        self._above_failure_limit: set[str] = set()

    def record_failure(
        self, upstream_id: str, reason: str, is_down: bool = False
    ) -> None:
        """Records a failed call and avoids the upstream for a time.

        Args:
            upstream_id: Upstream that failed.
            reason: What happened, for the log.
            is_down: Whether the upstream accepts no connections.
        """
        self._get_tally(upstream_id).add_run(is_failure=True)
        failures = self._failures.get(upstream_id, 0) + 1
        self._failures[upstream_id] = failures
        if self._paces is not None:
            self._paces.record_failure(upstream_id, failures, is_down)
        avoid_s = min(MAX_AVOID_S, FIRST_AVOID_S * 2 ** (failures - 1))
        self._avoid_until_s[upstream_id] = trio.current_time() + avoid_s
        _LOGGER.info(
            'upstream_avoided',
            extra={
                'upstream': upstream_id,
                'reason': reason,
                'failures_in_a_row': failures,
                'avoid_ms': int(avoid_s * 1000),
            },
        )

    def mark_down(self, upstream_id: str, reason: str) -> None:
        """Records that an upstream does not accept connections."""
        self._crash_tracker.record_upstream_down(upstream_id)
        self.record_failure(upstream_id, reason, is_down=True)

    def record_success(
        self, upstream_id: str, began_at_s: float = float('-inf')
    ) -> None:
        """Records a successful call and ends the time of avoidance.

        Args:
            upstream_id: Upstream that answered.
            began_at_s: Monotonic time at which the call was sent, if known.
        """
        self._crash_tracker.record_run_completed(upstream_id, began_at_s)
        self._get_tally(upstream_id).add_run(is_failure=False)
        if self._failures.pop(upstream_id, None) is None:
            return
        self._avoid_until_s.pop(upstream_id, None)
        _LOGGER.info('upstream_works_again', extra={'upstream': upstream_id})

    def is_avoided(self, upstream_id: str) -> bool:
        """Returns whether other upstreams should be preferred."""
        if self._avoid_until_s.get(upstream_id, 0) > trio.current_time():
            return True
        exceeds_limit = self.get_failure_share(upstream_id) > MAX_FAILURE_SHARE
        if exceeds_limit != (upstream_id in self._above_failure_limit):
            self._record_limit_crossing(upstream_id, exceeds_limit)
        return exceeds_limit

    def get_failure_share(self, upstream_id: str) -> float:
        """Returns the share of failed runs over all processes."""
        failures = 0.0
        runs = PRIOR_GOOD_RUNS
        own = self._tallies.get(upstream_id)
        if own is not None:
            own.decay()
            failures += own.failures
            runs += own.runs
        if self._by_peer:
            peers = self._sum_peer_tallies().get(upstream_id)
            if peers is not None:
                failures += peers.failures
                runs += peers.runs
        return failures / runs

    def _sum_peer_tallies(self) -> dict[str, _failure_tally.FailureTally]:
        """Returns the sums over the recent tallies of peers, by upstream."""
        now_s = trio.current_time()
        if now_s - self._summed_at_s <= PEER_SUMS_AGE_S:
            return self._peer_sums
        self._summed_at_s = now_s
        self._peer_sums = {}
        limit_s = now_s - PEER_TALLIES_TIMEOUT_S
        for tallies in self._by_peer.values():
            for upstream_id, tally in tallies.items():
                if tally.at_s < limit_s:
                    continue
                total = self._peer_sums.get(upstream_id)
                if total is None:
                    total = _failure_tally.FailureTally()
                    self._peer_sums[upstream_id] = total
                total.failures += tally.failures
                total.runs += tally.runs
        return self._peer_sums

    def list_failure_tallies(self) -> dict[str, _failure_tally.FailureTally]:
        """Returns the tallies of this process to be sent to peers."""
        tallies: dict[str, _failure_tally.FailureTally] = {}
        for upstream_id, tally in self._tallies.items():
            if not tally.failures:
                continue
            tally.decay()
            if tally.failures >= MIN_SENT_FAILURES:
                tallies[upstream_id] = tally
        return tallies

    def set_peer_tallies(
        self, peer: str, tallies: dict[str, _failure_tally.FailureTally]
    ) -> None:
        """Replaces the tallies of a peer."""
        if not tallies:
            self.forget_peer(peer)
            return
        is_new = peer not in self._by_peer
        self._by_peer[peer] = tallies
        if is_new:
            self._summed_at_s = float('-inf')

    def forget_peer(self, peer: str) -> None:
        """Drops the tallies of a peer that is gone."""
        if self._by_peer.pop(peer, None) is not None:
            self._summed_at_s = float('-inf')

    def forget(self, upstream_id: str) -> None:
        """Drops the state of an upstream that is gone or has restarted."""
        self._failures.pop(upstream_id, None)
        self._avoid_until_s.pop(upstream_id, None)
        self._tallies.pop(upstream_id, None)
        self._above_failure_limit.discard(upstream_id)

    def _get_tally(self, upstream_id: str) -> _failure_tally.FailureTally:
        tally = self._tallies.get(upstream_id)
        if tally is None:
            tally = _failure_tally.FailureTally()
            self._tallies[upstream_id] = tally
        return tally

    def _record_limit_crossing(
        self, upstream_id: str, exceeds_limit: bool
    ) -> None:
        """Records and logs that an upstream's share crossed the limit."""
        if exceeds_limit:
            self._above_failure_limit.add(upstream_id)
            if self._paces is not None:
                self._paces.begin_recovery(upstream_id, 'failure share')
        else:
            self._above_failure_limit.discard(upstream_id)
        own = self._get_tally(upstream_id)
        _LOGGER.info(
            'upstream_shunned' if exceeds_limit else 'upstream_used_again',
            extra={
                'upstream': upstream_id,
                'failure_share': round(self.get_failure_share(upstream_id), 3),
                'own_failures': round(own.failures, 2),
                'own_runs': round(own.runs, 2),
                'peers': len(self._by_peer),
            },
        )


def create_upstream_health(
    crash_tracker: _crash_tracker.CrashTracker,
    paces: _upstream_paces.UpstreamPaces | None = None,
) -> UpstreamHealth:
    """Creates an `UpstreamHealth` without failures.

    Args:
        crash_tracker: Told of upstreams that are down, and of completed runs.
        paces: Told of failures; None if upstreams are not held back.
    """
    return UpstreamHealth(crash_tracker, paces)
