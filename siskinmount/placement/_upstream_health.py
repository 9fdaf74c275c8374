"""Which upstreams have failed lately, by the calls of all processes.

It answers two troubles. An upstream that is gone or cut off fails each call:
the process that meets it avoids it at once for a growing time. An upstream
that fails a part of its requests, while its own health probe is good, shows
only over many calls, and one process of many makes few: tallies of troubled
upstreams ride on the messages between members.
"""

import logging

import trio

from siskinmount.placement import _crash_evidence
from siskinmount.placement import _failure_tally

_LOGGER = logging.getLogger(__name__)

#: How long an upstream is avoided after a failure that only a broken process
#: or path causes; doubled with each failure in a row.
FIRST_AVOID_S = 0.5
MAX_AVOID_S = 4.0
#: Share of failed runs from which an upstream is avoided: a few in a hundred
#: fail by answers lost on the way, which all upstreams share.
MAX_FAILURE_SHARE = 0.2
#: Good runs that each upstream is given in advance, so that one failure among
#: few runs does not reach the share.
ASSUMED_GOOD_RUNS = 4.0
#: Faded failures below which peers are not told of an upstream.
LEAST_TOLD = 0.2
#: Tallies of a peer that has been silent for this long are dropped, as its
#: counts in the load table are.
PEER_TALLIES_TIMEOUT_S = 1.0


class UpstreamHealth:
    """Remembers failures."""

    __slots__ = (
        '_evidence',
        '_failures',
        '_avoid_until_s',
        '_tallies',
        '_by_peer',
        '_shunned',
    )

    def __init__(self, evidence: _crash_evidence.CrashEvidence) -> None:
        self._evidence = evidence
        self._failures: dict[str, int] = {}
        self._avoid_until_s: dict[str, float] = {}
        self._tallies: dict[str, _failure_tally.FailureTally] = {}
        self._by_peer: dict[str, dict[str, _failure_tally.FailureTally]] = {}
        self._shunned: set[str] = set()

    def note_failure(self, upstream_id: str, reason: str) -> None:
        """Remembers that an upstream did not answer as it should."""
        self._get_tally(upstream_id).add_run(is_failure=True)
        failures = self._failures.get(upstream_id, 0) + 1
        self._failures[upstream_id] = failures
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

    def note_down(self, upstream_id: str, reason: str) -> None:
        """Remembers that an upstream does not take connections."""
        self._evidence.note_down(upstream_id)
        self.note_failure(upstream_id, reason)

    def note_success(self, upstream_id: str) -> None:
        """Remembers that an upstream works."""
        self._get_tally(upstream_id).add_run(is_failure=False)
        if self._failures.pop(upstream_id, None) is None:
            return
        self._avoid_until_s.pop(upstream_id, None)
        _LOGGER.info('upstream_works_again', extra={'upstream': upstream_id})

    def is_avoided(self, upstream_id: str) -> bool:
        """Returns whether other upstreams should be preferred."""
        if self._avoid_until_s.get(upstream_id, 0) > trio.current_time():
            return True
        is_shunned = self.get_failure_share(upstream_id) > MAX_FAILURE_SHARE
        if is_shunned != (upstream_id in self._shunned):
            self._note_shunned(upstream_id, is_shunned)
        return is_shunned

    def get_failure_share(self, upstream_id: str) -> float:
        """Returns the share of failed runs that all processes have met."""
        failures = 0.0
        runs = ASSUMED_GOOD_RUNS
        own = self._tallies.get(upstream_id)
        if own is not None:
            own.fade()
            failures += own.failures
            runs += own.runs
        limit_s = trio.current_time() - PEER_TALLIES_TIMEOUT_S
        for tallies in self._by_peer.values():
            tally = tallies.get(upstream_id)
            if tally is None or tally.at_s < limit_s:
                continue
            failures += tally.failures
            runs += tally.runs
        return failures / runs

    def list_troubled(self) -> dict[str, _failure_tally.FailureTally]:
        """Returns the own tallies that peers must know of."""
        troubled: dict[str, _failure_tally.FailureTally] = {}
        for upstream_id, tally in self._tallies.items():
            if not tally.failures:
                continue
            tally.fade()
            if tally.failures >= LEAST_TOLD:
                troubled[upstream_id] = tally
        return troubled

    def take_peer_tallies(
        self, peer: str, tallies: dict[str, _failure_tally.FailureTally]
    ) -> None:
        """Replaces the tallies of a peer."""
        if tallies:
            self._by_peer[peer] = tallies
        else:
            self._by_peer.pop(peer, None)

    def forget_peer(self, peer: str) -> None:
        """Drops the tallies of a peer that is gone."""
        self._by_peer.pop(peer, None)

    def forget(self, upstream_id: str) -> None:
        """Forgets an upstream that is gone or began anew."""
        self._failures.pop(upstream_id, None)
        self._avoid_until_s.pop(upstream_id, None)
        self._tallies.pop(upstream_id, None)
        self._shunned.discard(upstream_id)

    def _get_tally(self, upstream_id: str) -> _failure_tally.FailureTally:
        tally = self._tallies.get(upstream_id)
        if tally is None:
            tally = _failure_tally.FailureTally()
            self._tallies[upstream_id] = tally
        return tally

    def _note_shunned(self, upstream_id: str, is_shunned: bool) -> None:
        """Logs a change of what all processes' calls say of an upstream."""
        if is_shunned:
            self._shunned.add(upstream_id)
        else:
            self._shunned.discard(upstream_id)
        own = self._get_tally(upstream_id)
        _LOGGER.info(
            'upstream_shunned' if is_shunned else 'upstream_used_again',
            extra={
                'upstream': upstream_id,
                'failure_share': round(self.get_failure_share(upstream_id), 3),
                'own_failures': round(own.failures, 2),
                'own_runs': round(own.runs, 2),
                'peers': len(self._by_peer),
            },
        )


def create_upstream_health(
    evidence: _crash_evidence.CrashEvidence,
) -> UpstreamHealth:
    """Creates a memory without failures."""
    return UpstreamHealth(evidence)
