"""Detects requests that crash the upstreams that run them.

A request is identified by path, host of the route and body, since its id
changes with each attempt. An interrupted run counts against its request once
its upstream is found to be down. Requests that ran at the same time are counted
too, but only the request that causes the crashes is interrupted at several
upstreams in a row. A stream that is resumed may be as well, but it adds output
in each run, and a request that crashes what begins to run it does not.

A crash has an id, made of its upstream, the start of that and a number, so that
it counts once however many members ran copies of the request there.
"""

from collections.abc import Callable
import logging

import trio
import xxhash

from siskinmount.placement import _part_quarantine

_LOGGER = logging.getLogger(__name__)

#: Crashes after which a request is refused. With fewer, the loss of a VM would
#: quarantine harmless requests that ran on its upstreams.
MIN_QUARANTINE_CRASHES = 3
#: Crashes that do not count because the run had added output. Bounded, lest a
#: request that crashes upstreams after some output is never stopped.
MAX_IGNORED_CRASHES = 2
#: Events after which an interrupted run counts as one that added output.
MIN_ADDED_EVENTS = 5
#: An interrupted run counts if its upstream is found down within this number of
#: heartbeats. The platform drops the entry of a silent upstream after a few.
DETECTION_HEARTBEATS = 8
DEFAULT_HEARTBEAT_MS = 1200
#: Retention of the crashes of a request. Callers retry within seconds.
RETENTION_S = 60.0
#: Retention of the crashes of a request that is refused. Callers may send it
#: again for as long as they have not given it up.
QUARANTINE_S = 600.0
#: Several times what runs in the largest failure domain that is aimed at.
MAX_FINGERPRINTS = 5000
#: How long peers are told of a crash that may have befallen a bystander.
SINGLE_CRASH_REPORT_S = 15.0
#: How long each message tells of a crash. Some datagrams are lost.
FRESH_REPORT_S = 1.0
#: Interval at which older crashes are told again.
REPEAT_INTERVAL_S = 1.0
#: Requests of which one message to peers tells crashes, a datagram being
#: limited to 64 KiB.
MAX_REPORTED_FINGERPRINTS = 200


class CrashReport:
    """A crash of an upstream that ran a request, as members tell each other.

    Attributes:
        crash_id: Names the crash, the same at all members.
        age_s: Time since the crash was counted.
        had_output: Whether the run had added output.
    """

    __slots__ = ('crash_id', 'age_s', 'had_output')

    def __init__(self, crash_id: str, age_s: float, had_output: bool) -> None:
        self.crash_id = crash_id
        self.age_s = age_s
        self.had_output = had_output


class KnownCrash:
    """A crash of an upstream that ran a request.

    Attributes:
        at_s: Monotonic time at which it was counted.
        had_output: Whether the run had added output.
        is_own: Whether this process has counted it.
    """

    __slots__ = ('at_s', 'had_output', 'is_own')

    def __init__(self, at_s: float, had_output: bool, is_own: bool) -> None:
        self.at_s = at_s
        self.had_output = had_output
        self.is_own = is_own


class InterruptedRun:
    """A run that ended before its output was complete.

    Attributes:
        at_s: Monotonic time of its end.
        added_output: Whether it added output that the next run continues.
        started_at_ms: Start of the upstream, in Unix milliseconds.
        part_run: The run, as far as the parts of its prompt are concerned;
            None if they are not known.
    """

    __slots__ = ('at_s', 'added_output', 'started_at_ms', 'part_run')

    def __init__(
        self,
        at_s: float,
        added_output: bool,
        started_at_ms: int,
        part_run: _part_quarantine.PartRun | None,
    ) -> None:
        self.at_s = at_s
        self.added_output = added_output
        self.started_at_ms = started_at_ms
        self.part_run = part_run

    @property
    def prompt_parts(self) -> tuple[str, ...]:
        """Names of the shared parts of the prompt."""
        return () if self.part_run is None else self.part_run.prompt_parts


class CrashTracker:
    """Counts crashes by request, in this process and at its peers.

    Members tell each other of all crashes they know, with their ages, so that a
    crash is remembered as long as any of them lives.

    Attributes:
        parts: Told of crashes too, as a part of a prompt may be their cause.
    """

    __slots__ = (
        'parts',
        '_crashes',
        '_interrupted_runs',
        '_detection_s',
        '_unverified_upstreams',
        '_run_interrupted',
        '_runs_settled',
        '_record_outcome',
        '_repeated_at_s',
    )

    def __init__(self, detection_s: float) -> None:
        self.parts = _part_quarantine.create_part_quarantine()
        self._crashes: dict[str, dict[str, KnownCrash]] = {}
        self._interrupted_runs: dict[str, dict[str, InterruptedRun]] = {}
        self._detection_s = detection_s
        self._unverified_upstreams: set[str] = set()
        self._run_interrupted = trio.Event()
        self._runs_settled = trio.Event()
        self._record_outcome: Callable[[str], None] = _ignore_outcome
        self._repeated_at_s = float('-inf')

    @property
    def counts(self) -> dict[str, int]:
        """Number of crashes that this process has counted, by fingerprint."""
        counts: dict[str, int] = {}
        for fingerprint, crashes in self._crashes.items():
            own_count = sum(crash.is_own for crash in crashes.values())
            if own_count:
                counts[fingerprint] = own_count
        return counts

    def record_interrupted_run(
        self,
        fingerprint: str,
        upstream_id: str,
        added_output: bool = False,
        started_at_ms: int = 0,
        part_run: _part_quarantine.PartRun | None = None,
    ) -> None:
        """Records a run that was interrupted at its upstream.

        Args:
            fingerprint: Identifies the request.
            upstream_id: Upstream of the run.
            added_output: Whether the run added output that the next run
                continues.
            started_at_ms: Start of the upstream, in Unix milliseconds.
            part_run: The run, as far as the parts of its prompt are concerned.
        """
        runs = self._interrupted_runs.setdefault(upstream_id, {})
        earlier = runs.get(fingerprint)
        if earlier is not None and not earlier.added_output:
            # Another copy of the request ran there.
            added_output = False
        run = InterruptedRun(
            trio.current_time(), added_output, started_at_ms, part_run
        )
        runs[fingerprint] = run
        _LOGGER.info(
            'run_interrupted',
            extra={
                'fingerprint': fingerprint,
                'prompt_parts': run.prompt_parts,
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

    async def wait_settled(self, upstream_id: str) -> None:
        """Returns once no run waits to be counted or dropped."""
        while upstream_id in self._interrupted_runs:
            await self._runs_settled.wait()

    def _pop_interrupted_runs(
        self, upstream_id: str
    ) -> dict[str, InterruptedRun]:
        """Removes and returns the runs that an upstream interrupted."""
        self._runs_settled.set()
        self._runs_settled = trio.Event()
        return self._interrupted_runs.pop(upstream_id, {})

    def record_upstream_down(self, upstream_id: str) -> None:
        """Counts the runs that were interrupted when an upstream went down."""
        now_s = trio.current_time()
        for fingerprint, run in self._pop_interrupted_runs(upstream_id).items():
            if now_s - run.at_s > self._detection_s:
                self._drop(upstream_id, fingerprint, run, 'detected_late')
                continue
            if run.part_run is not None and not run.added_output:
                self.parts.record_crash(run.part_run)
            if not self._has_room(fingerprint):
                self._drop(upstream_id, fingerprint, run, 'table_full')
                continue
            self._record_outcome('counted')
            crash_id = self._add_own_crash(
                fingerprint, f'{upstream_id}/{run.started_at_ms}', run
            )
            _LOGGER.info(
                'crash_counted',
                extra={
                    'fingerprint': fingerprint,
                    'prompt_parts': run.prompt_parts,
                    'upstream': upstream_id,
                    'crash': crash_id,
                    'had_output': run.added_output,
                    'own_count': self.count_own(fingerprint),
                    'peer_count': self.count_at_peers(fingerprint),
                    'is_quarantined': self.is_quarantined(fingerprint),
                },
            )

    def _has_room(self, fingerprint: str) -> bool:
        return (
            fingerprint in self._crashes
            or len(self._crashes) < MAX_FINGERPRINTS
        )

    def _add_own_crash(
        self, fingerprint: str, start: str, run: InterruptedRun
    ) -> str:
        """Adds a crash that this process has counted, and returns its id.

        An upstream that crashes again for this process has been started in
        between, though the platform may not have told it yet.
        """
        crashes = self._crashes.setdefault(fingerprint, {})
        number = 0
        crash_id = f'{start}/{number}'
        while crash_id in crashes and crashes[crash_id].is_own:
            number += 1
            crash_id = f'{start}/{number}'
        self._add_crash(
            fingerprint,
            crash_id,
            KnownCrash(trio.current_time(), run.added_output, True),
        )
        return crash_id

    def _add_crash(
        self, fingerprint: str, crash_id: str, crash: KnownCrash
    ) -> None:
        """Adds a crash, or what another member says of a known one."""
        crashes = self._crashes.setdefault(fingerprint, {})
        known = crashes.setdefault(crash_id, crash)
        known.at_s = min(known.at_s, crash.at_s)
        known.had_output = known.had_output and crash.had_output
        known.is_own = known.is_own or crash.is_own

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
            self._pop_interrupted_runs(upstream_id)

    def forget_interrupted_runs(self, upstream_id: str) -> None:
        """Drops the runs that an upstream interrupted without a crash."""
        for fingerprint, run in self._pop_interrupted_runs(upstream_id).items():
            self._drop(upstream_id, fingerprint, run, 'upstream_leaves')

    def list_reports(self) -> dict[str, list[CrashReport]]:
        """Returns the crashes to tell peers now, by fingerprint.

        A request with one crash is most often a bystander, and of those a
        member tells only what it has counted itself, for some time.
        """
        now_s = trio.current_time()
        reported_s = FRESH_REPORT_S
        if now_s - self._repeated_at_s >= REPEAT_INTERVAL_S:
            self._repeated_at_s = now_s
            reported_s = float('inf')
        ranked: list[tuple[int, float, str]] = []
        for fingerprint, crashes in self._crashes.items():
            newest_at_s = max(crash.at_s for crash in crashes.values())
            age_s = now_s - newest_at_s
            if age_s >= reported_s:
                continue
            is_recent = age_s < SINGLE_CRASH_REPORT_S
            is_own = any(crash.is_own for crash in crashes.values())
            if len(crashes) > 1 or (is_own and is_recent):
                ranked.append((len(crashes), newest_at_s, fingerprint))
        ranked.sort(reverse=True)
        reports: dict[str, list[CrashReport]] = {}
        for _, _, fingerprint in ranked[:MAX_REPORTED_FINGERPRINTS]:
            reports[fingerprint] = [
                CrashReport(crash_id, now_s - crash.at_s, crash.had_output)
                for crash_id, crash in self._crashes[fingerprint].items()
            ]
        return reports

    def apply_reports(self, reports: dict[str, list[CrashReport]]) -> None:
        """Adds the crashes that a peer tells."""
        now_s = trio.current_time()
        for fingerprint, crashes in reports.items():
            if not crashes or not self._has_room(fingerprint):
                continue
            for report in crashes:
                self._add_crash(
                    fingerprint,
                    report.crash_id,
                    KnownCrash(now_s - report.age_s, report.had_output, False),
                )
            self._expire_crashes(fingerprint)

    def has_crashed_since(self, upstream_id: str, at_s: float) -> bool:
        """Returns whether a crash of an upstream after a time is known."""
        prefix = f'{upstream_id}/'
        for crashes in self._crashes.values():
            for crash_id, crash in crashes.items():
                if crash.at_s >= at_s and crash_id.startswith(prefix):
                    return True
        return False

    def is_quarantined(self, fingerprint: str) -> bool:
        """Returns whether a request must not be run any more."""
        crashes = self._crashes.get(fingerprint, {}).values()
        with_output = sum(crash.had_output for crash in crashes)
        counted = len(crashes) - min(with_output, MAX_IGNORED_CRASHES)
        return counted >= MIN_QUARANTINE_CRASHES

    def count_own(self, fingerprint: str) -> int:
        """Returns the crashes of a request that this process has counted."""
        crashes = self._crashes.get(fingerprint, {}).values()
        return sum(crash.is_own for crash in crashes)

    def count_at_peers(self, fingerprint: str) -> int:
        """Returns the crashes of a request that only peers have counted."""
        crashes = self._crashes.get(fingerprint, {}).values()
        return sum(not crash.is_own for crash in crashes)

    def _expire_crashes(self, fingerprint: str) -> None:
        """Drops the crashes of a request if the last is too long ago."""
        crashes = self._crashes[fingerprint]
        newest_at_s = max(crash.at_s for crash in crashes.values())
        retention_s = RETENTION_S
        if self.is_quarantined(fingerprint):
            retention_s = QUARANTINE_S
        if trio.current_time() - newest_at_s > retention_s:
            del self._crashes[fingerprint]

    def expire(self) -> None:
        """Drops crashes and interrupted runs that are too old."""
        now_s = trio.current_time()
        for fingerprint in list(self._crashes):
            self._expire_crashes(fingerprint)
        for upstream_id, interrupted_runs in list(
            self._interrupted_runs.items()
        ):
            last_at_s = max(run.at_s for run in interrupted_runs.values())
            if now_s - last_at_s <= self._detection_s:
                continue
            self._pop_interrupted_runs(upstream_id)
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
