"""Which upstreams have failed lately, by the calls of this process."""

import logging

import trio

from siskinmount.placement import _crash_evidence

_LOGGER = logging.getLogger(__name__)

#: How long an upstream is avoided after a failure that only a broken process
#: or path causes; doubled with each failure in a row.
FIRST_AVOID_S = 0.5
MAX_AVOID_S = 4.0


class UpstreamHealth:
    """Remembers failures."""

    __slots__ = ('_evidence', '_failures', '_avoid_until_s')

    def __init__(self, evidence: _crash_evidence.CrashEvidence) -> None:
        self._evidence = evidence
        self._failures: dict[str, int] = {}
        self._avoid_until_s: dict[str, float] = {}

    def note_failure(self, upstream_id: str, reason: str) -> None:
        """Remembers that an upstream did not answer as it should."""
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
        if self._failures.pop(upstream_id, None) is None:
            return
        self._avoid_until_s.pop(upstream_id, None)
        _LOGGER.info('upstream_works_again', extra={'upstream': upstream_id})

    def is_avoided(self, upstream_id: str) -> bool:
        """Returns whether other upstreams should be preferred."""
        return self._avoid_until_s.get(upstream_id, 0) > trio.current_time()

    def forget(self, upstream_id: str) -> None:
        """Forgets an upstream that is gone."""
        self._failures.pop(upstream_id, None)
        self._avoid_until_s.pop(upstream_id, None)


def create_upstream_health(
    evidence: _crash_evidence.CrashEvidence,
) -> UpstreamHealth:
    """Creates a memory without failures."""
    return UpstreamHealth(evidence)
