"""Which requests take down the upstreams that run them.

A request is known by path, caller's host and body, since its id changes with each
attempt. A run that was broken off counts against its request once its upstream
is found to have gone down; requests that ran beside it are counted too, but only
the same request falls with several upstreams in a row.
"""

import logging

import trio
import xxhash

_LOGGER = logging.getLogger(__name__)

#: Upstreams that a request must have taken down before it is refused. Fewer
#: would convict bystanders of a VM that is lost with what ran on it.
CRASHES_TO_CONVICT = 3
#: How long after a broken run its upstream may be found down.
FOUND_DOWN_S = 3.0
#: How long evidence counts. Callers come back within seconds.
KEPT_S = 60.0
MAX_FINGERPRINTS = 1000


class CrashEvidence:
    """Counts crashes by request.

    Attributes:
        counts: Crashes that this process has seen, by fingerprint.
    """

    __slots__ = ('counts', '_seen_at_s', '_broken', '_peer_counts')

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self._seen_at_s: dict[str, float] = {}
        self._broken: dict[str, dict[str, float]] = {}
        self._peer_counts: dict[str, tuple[float, dict[str, int]]] = {}

    def note_broken_run(self, fingerprint: str, upstream_id: str) -> None:
        """Remembers a run that its upstream broke off."""
        of_upstream = self._broken.setdefault(upstream_id, {})
        of_upstream[fingerprint] = trio.current_time()

    def note_down(self, upstream_id: str) -> None:
        """Counts the runs that were broken off when an upstream went down."""
        now_s = trio.current_time()
        for fingerprint, broken_at_s in self._broken.pop(
            upstream_id, {}
        ).items():
            if now_s - broken_at_s > FOUND_DOWN_S:
                continue
            if len(self.counts) >= MAX_FINGERPRINTS:
                continue
            self.counts[fingerprint] = self.counts.get(fingerprint, 0) + 1
            self._seen_at_s[fingerprint] = now_s
            _LOGGER.info(
                'crash_counted',
                extra={
                    'fingerprint': fingerprint,
                    'upstream': upstream_id,
                    'own_count': self.counts[fingerprint],
                },
            )

    def take_peer_counts(self, peer: str, counts: dict[str, int]) -> None:
        """Replaces what a peer has counted."""
        self._peer_counts[peer] = (trio.current_time(), counts)

    def is_convicted(self, fingerprint: str) -> bool:
        """Returns whether a request is not to be run any more."""
        total = self.counts.get(fingerprint, 0)
        for _, counts in self._peer_counts.values():
            total += counts.get(fingerprint, 0)
        return total >= CRASHES_TO_CONVICT

    def expire(self) -> None:
        """Forgets old evidence."""
        now_s = trio.current_time()
        for fingerprint, seen_at_s in list(self._seen_at_s.items()):
            if now_s - seen_at_s > KEPT_S:
                del self._seen_at_s[fingerprint]
                del self.counts[fingerprint]
        for peer, (taken_at_s, _) in list(self._peer_counts.items()):
            if now_s - taken_at_s > KEPT_S:
                del self._peer_counts[peer]
        for upstream_id, broken in list(self._broken.items()):
            if now_s - max(broken.values()) > FOUND_DOWN_S:
                del self._broken[upstream_id]


def make_fingerprint(host: str, target: str, body: bytes) -> str:
    """Returns a short name of a request that its attempts have in common."""
    digest = xxhash.xxh64(f'{host} {target} '.encode('utf-8', 'replace'))
    digest.update(body)
    return digest.hexdigest()


def create_crash_evidence() -> CrashEvidence:
    """Creates a memory without evidence."""
    return CrashEvidence()
