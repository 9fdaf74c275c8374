"""Detects requests that crash the upstreams that run them.

A request is identified by path, host of the route and body, since its id
changes with each attempt. An interrupted run counts against its request once
its upstream is found to be down. Requests that ran at the same time are counted
too, but only the request that causes the crashes is interrupted at several
upstreams in a row. A long batch item may be as well, but it adds output in each
run, and a request that crashes what begins to run it does not.

A crash has an id, made of its upstream, the start of that and a number, so that
it counts once however many members ran copies of the request there.
"""

from collections.abc import Callable
import logging

import trio
import xxhash

_LOGGER = logging.getLogger(__name__)

#: Crashes after which a request is refused. With fewer, the loss of a VM would
#: quarantine harmless requests that ran on its upstreams.
MIN_QUARANTINE_CRASHES = 3
#: Crashes that do not count because the run had added output. Bounded, lest a
#: request that crashes upstreams after some output is never stopped.
MAX_IGNORED_CRASHES = 2
#: An interrupted run counts if its upstream is found down within this number of
#: heartbeats. The platform drops the entry of a silent upstream after a few.
DETECTION_HEARTBEATS = 8
DEFAULT_HEARTBEAT_MS = 1200
#: Retention of counts. Callers retry within seconds.
RETENTION_S = 60.0
MAX_FINGERPRINTS = 1000


class InterruptedRun:
    """A run that ended before its output was complete.

    Attributes:
        at_s: Monotonic time of its end.
        added_output: Whether it added output that the next run continues.
        started_at_ms: Start of the upstream, in Unix milliseconds.
    """

    __slots__ = ('at_s', 'added_output', 'started_at_ms')

    def __init__(
        self, at_s: float, added_output: bool, started_at_ms: int
    ) -> None:
        self.at_s = at_s
        self.added_output = added_output
        self.started_at_ms = started_at_ms


class CrashTracker:
    """Counts crashes by request, in this process and at its peers.

    Attributes:
        crashes: Ids of the crashes that this process has counted, by
            fingerprint.
    """

    __slots__ = (
        'crashes',
        '_ignored_counts',
        '_last_crash_at_s',
        '_interrupted_runs',
        '_peer_crashes',
        '_detection_s',
        '_unverified_upstreams',
        '_run_interrupted',
        '_record_outcome',
    )

    def __init__(self, detection_s: float) -> None:
        self.crashes: dict[str, set[str]] = {}
        self._ignored_counts: dict[str, int] = {}
        self._last_crash_at_s: dict[str, float] = {}
        self._interrupted_runs: dict[str, dict[str, InterruptedRun]] = {}
        self._peer_crashes: dict[str, tuple[float, dict[str, set[str]]]] = {}
        self._detection_s = detection_s
        self._unverified_upstreams: set[str] = set()
        self._run_interrupted = trio.Event()
        self._record_outcome: Callable[[str], None] = _ignore_outcome

    @property
    def counts(self) -> dict[str, int]:
        """Number of crashes that this process has counted, by fingerprint."""
        return {name: len(ids) for name, ids in self.crashes.items()}

    def record_interrupted_run(
        self,
        fingerprint: str,
        upstream_id: str,
        added_output: bool = False,
        started_at_ms: int = 0,
    ) -> None:
        """Records a run that was interrupted at its upstream.

        Args:
            fingerprint: Identifies the request.
            upstream_id: Upstream of the run.
            added_output: Whether the run added output that the next run
                continues.
            started_at_ms: Start of the upstream, in Unix milliseconds.
        """
        runs = self._interrupted_runs.setdefault(upstream_id, {})
        runs[fingerprint] = InterruptedRun(
            trio.current_time(), added_output, started_at_ms
        )
        _LOGGER.info(
            'run_interrupted',
            extra={
                'fingerprint': fingerprint,
                'upstream': upstream_id,
                'started_at_ms': started_at_ms,
                'added_output': added_output,
            },
        )
        self._unverified_upstreams.add(upstream_id)
        self._run_interrupted.set()

    def watch_outcomes(self, record_outcome: Callable[[str], None]) -> None:
        """Sets the function that is told what became of interrupted runs."""
        self._record_outcome = record_outcome

    async def take_unverified_upstreams(self) -> set[str]:
        """Waits for interrupted runs, and returns their upstreams once each."""
        await self._run_interrupted.wait()
        self._run_interrupted = trio.Event()
        upstream_ids = self._unverified_upstreams
        self._unverified_upstreams = set()
        return upstream_ids

    def has_interrupted_runs(self, upstream_id: str) -> bool:
        """Returns whether runs wait to be counted if the upstream is down."""
        return upstream_id in self._interrupted_runs

    def record_upstream_down(self, upstream_id: str) -> None:
        """Counts the runs that were interrupted when an upstream went down."""
        now_s = trio.current_time()
        for fingerprint, run in self._interrupted_runs.pop(
            upstream_id, {}
        ).items():
            if now_s - run.at_s > self._detection_s:
                self._drop(upstream_id, fingerprint, run, 'detected_late')
                continue
            if len(self._last_crash_at_s) >= MAX_FINGERPRINTS:
                self._drop(upstream_id, fingerprint, run, 'table_full')
                continue
            self._last_crash_at_s[fingerprint] = now_s
            if run.added_output and self._ignore_crash(fingerprint):
                self._drop(upstream_id, fingerprint, run, 'output_added')
                continue
            self._record_outcome('counted')
            crash_id = self._add_crash(
                fingerprint, f'{upstream_id}/{run.started_at_ms}'
            )
            _LOGGER.info(
                'crash_counted',
                extra={
                    'fingerprint': fingerprint,
                    'upstream': upstream_id,
                    'crash': crash_id,
                    'own_count': len(self.crashes[fingerprint]),
                    'peer_count': self.count_at_peers(fingerprint),
                },
            )

    def _add_crash(self, fingerprint: str, start: str) -> str:
        """Adds a crash and returns its id.

        An upstream that crashes again for this process has been started in
        between, though the platform may not have told it yet.
        """
        ids = self.crashes.setdefault(fingerprint, set())
        number = 0
        while f'{start}/{number}' in ids:
            number += 1
        ids.add(f'{start}/{number}')
        return f'{start}/{number}'

    def _ignore_crash(self, fingerprint: str) -> bool:
        """Returns whether one more crash need not be counted."""
        ignored = self._ignored_counts.get(fingerprint, 0)
        if ignored >= MAX_IGNORED_CRASHES:
            return False
        self._ignored_counts[fingerprint] = ignored + 1
        return True

    def record_run_completed(self, upstream_id: str, began_at_s: float) -> None:
        """Drops the runs that an upstream interrupted before a complete one.

        An upstream that began a run after an interruption and completed it had
        not crashed.
        """
        interrupted_runs = self._interrupted_runs.get(upstream_id)
        if interrupted_runs is None:
            return
        for fingerprint, run in list(interrupted_runs.items()):
            if run.at_s < began_at_s:
                del interrupted_runs[fingerprint]
                self._drop(upstream_id, fingerprint, run, 'upstream_serves')
        if not interrupted_runs:
            del self._interrupted_runs[upstream_id]

    def forget_interrupted_runs(self, upstream_id: str) -> None:
        """Drops the runs that an upstream interrupted without a crash."""
        for fingerprint, run in self._interrupted_runs.pop(
            upstream_id, {}
        ).items():
            self._drop(upstream_id, fingerprint, run, 'upstream_leaves')

    def set_peer_crashes(self, peer: str, crashes: dict[str, set[str]]) -> None:
        """Replaces the ids of the crashes that a peer has counted."""
        self._peer_crashes[peer] = (trio.current_time(), crashes)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Returns whether a request must not be run any more."""
        total = len(self.crashes.get(fingerprint, ()))
        total += self.count_at_peers(fingerprint)
        return total >= MIN_QUARANTINE_CRASHES

    def count_at_peers(self, fingerprint: str) -> int:
        """Returns the crashes of a request that only peers have counted."""
        ids: set[str] = set()
        for _, crashes in self._peer_crashes.values():
            ids |= crashes.get(fingerprint, set())
        return len(ids - self.crashes.get(fingerprint, set()))

    def expire(self) -> None:
        """Drops counts and interrupted runs that are too old."""
        now_s = trio.current_time()
        for fingerprint, last_crash_at_s in list(self._last_crash_at_s.items()):
            if now_s - last_crash_at_s > RETENTION_S:
                del self._last_crash_at_s[fingerprint]
                self.crashes.pop(fingerprint, None)
                self._ignored_counts.pop(fingerprint, None)
        for peer, (received_at_s, _) in list(self._peer_crashes.items()):
            if now_s - received_at_s > RETENTION_S:
                del self._peer_crashes[peer]
        for upstream_id, interrupted_runs in list(
            self._interrupted_runs.items()
        ):
            last_at_s = max(run.at_s for run in interrupted_runs.values())
            if now_s - last_at_s <= self._detection_s:
                continue
            del self._interrupted_runs[upstream_id]
            for fingerprint, run in interrupted_runs.items():
                self._drop(upstream_id, fingerprint, run, 'expired')

    def _drop(
        self,
        upstream_id: str,
        fingerprint: str,
        run: InterruptedRun,
        reason: str,
    ) -> None:
        """Logs and counts an interrupted run that does not count as a crash."""
        self._record_outcome(reason)
        _LOGGER.info(
            'interrupted_run_dropped',
            extra={
                'fingerprint': fingerprint,
                'upstream': upstream_id,
                'reason': reason,
                'age_ms': int((trio.current_time() - run.at_s) * 1000),
            },
        )


def _ignore_outcome(outcome: str) -> None:
    """Ignores what became of an interrupted run."""


def make_fingerprint(host: str, target: str, body: bytes) -> str:
    """Returns a hash of a request that is the same for all its attempts."""
    digest = xxhash.xxh64(f'{host} {target} '.encode('utf-8', 'replace'))
    digest.update(body)
    return digest.hexdigest()


def create_crash_tracker(
    heartbeat_ms: int = DEFAULT_HEARTBEAT_MS,
) -> CrashTracker:
    """Creates a `CrashTracker` without counts.

    Args:
        heartbeat_ms: Interval at which upstreams renew their entries.
    """
    return CrashTracker(DETECTION_HEARTBEATS * heartbeat_ms / 1000)
