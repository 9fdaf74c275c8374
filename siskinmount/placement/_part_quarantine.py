"""Refuses prompts with a part that crashes the upstreams that begin to answer.

Such requests are all different, so that each is seen at one or two crashes, and
the other parts of their prompts, and their callers, are those of sound requests.
Three facts tell the cause from what was near it:

* Sequence. Crashes count against a part only if each run started in knowledge
  of the crash before. However many upstreams lose power at the same time, that
  is one crash for every part that was in use there.
* Output. A run that starts after a crash and has output clears the parts of its
  prompt, at all members.
* Recency. Of the parts that crash again and again in the same requests, the
  cause is the one that was served least recently; the others are cleared.

Members tell each other the counts of suspect parts, which are merged by taking
the larger ones; nobody has to agree on anything.
"""

import logging
import random

import trio

from siskinmount.placement import _served_parts
from siskinmount.placement import _suspect_part

_LOGGER = logging.getLogger(__name__)

#: A part is not the cause if a run with it had output that started at most this
#: long before the latest run with output of any request.
RECENTLY_SERVED_S = 1.0
#: More crashes in sequence are needed against a part that was served this long
#: before that run or later.
KNOWN_SOUND_S = 10.0
KNOWN_SOUND_SEQUENCE = 5
#: Retention of a part that is not quarantined, after its last crash.
SUSPECT_S = 60.0
#: Duration of the quarantine after the last crash.
QUARANTINE_S = 600.0
#: How long after the last crash a single further crash puts the part into
#: quarantine again.
PROBATION_S = 1200.0
MAX_SUSPECTS = 1000
#: How long each message tells of a change. Some datagrams are lost.
FRESH_REPORT_S = 1.0
#: Interval at which a few members tell of repeated crashes, of quarantines and
#: of their ends, for members that have missed them.
REPEAT_INTERVAL_S = 1.0
REPEATING_MEMBERS = 4
#: Some 75 bytes each in a message.
MAX_REPORTED_PARTS = 40
#: Interval at which peers are told that a suspect part is served.
SERVED_REPORT_INTERVAL_S = 0.5


class PartRun:
    """A run of a request, as far as the parts of its prompt are concerned.

    Attributes:
        prompt_parts: Names of the shared parts of the prompt.
        began_at_s: Monotonic time at which the request was sent.
        known_sequences: Crashes in sequence that were known then, by suspect
            part.
        has_output: Whether the run has had output.
    """

    __slots__ = (
        'prompt_parts',
        'began_at_s',
        'known_sequences',
        'has_output',
    )

    def __init__(
        self, prompt_parts: tuple[str, ...], known_sequences: dict[str, int]
    ) -> None:
        self.prompt_parts = prompt_parts
        self.began_at_s = trio.current_time()
        self.known_sequences = known_sequences
        self.has_output = False


class PartQuarantine:
    """Finds and refuses parts of prompts that crash upstreams."""

    __slots__ = (
        '_suspects',
        '_served',
        '_served_at_s',
        '_repeated_at_s',
        '_unsaved',
        '_has_unsaved',
    )

    def __init__(self) -> None:
        self._suspects: dict[str, _suspect_part.SuspectPart] = {}
        self._served = _served_parts.create_served_parts()
        self._served_at_s = _served_parts.NEVER_S
        self._repeated_at_s = float('-inf')
        self._unsaved: set[str] = set()
        self._has_unsaved = trio.Event()

    def begin_run(self, prompt_parts: tuple[str, ...]) -> PartRun:
        """Returns the record of a run that starts now."""
        known: dict[str, int] = {}
        if self._suspects:
            for part in prompt_parts:
                suspect = self._suspects.get(part)
                if suspect is not None:
                    known[part] = suspect.sequence
        return PartRun(prompt_parts, known)

    def record_output(self, run: PartRun) -> None:
        """Records that a run had output, which clears the parts of its prompt.

        The run is one of those that a part that crashes upstreams cannot have.
        """
        if run.has_output:
            return
        run.has_output = True
        self._served_at_s = max(self._served_at_s, run.began_at_s)
        for part in run.prompt_parts:
            self._served.record(part, run.began_at_s)
            suspect = self._suspects.get(part)
            if suspect is not None:
                self._clear_served(part, suspect, run)

    def _clear_served(
        self, part: str, suspect: _suspect_part.SuspectPart, run: PartRun
    ) -> None:
        """Records at a suspect part that a run had output."""
        now_s = trio.current_time()
        suspect.served_at_s = max(suspect.served_at_s, run.began_at_s)
        if now_s - suspect.changed_at_s > SERVED_REPORT_INTERVAL_S:
            suspect.changed_at_s = now_s
        known = run.known_sequences.get(part, 0)
        if known <= suspect.cleared_sequence:
            return
        was_blocked = suspect.is_blocked()
        common_parts = suspect.common_parts or frozenset()
        suspect.clear(known)
        suspect.changed_at_s = now_s
        if was_blocked and not suspect.is_blocked():
            self._release(part, suspect, 'served')
            self._quarantine_next(common_parts)

    def record_crash(self, run: PartRun) -> None:
        """Counts a crash of an upstream against the parts of a run's prompt.

        Args:
            run: A run that the crash ended before it had output.
        """
        blocked: list[str] = []
        for part in run.prompt_parts:
            suspect = self._suspects.get(part)
            if suspect is None or not suspect.is_blocked():
                continue
            blocked.append(part)
        for part in blocked or run.prompt_parts:
            self._count_crash(part, run)
        if not blocked:
            self._quarantine_cause(run.prompt_parts)

    def _count_crash(self, part: str, run: PartRun) -> None:
        """Counts a crash against one part."""
        suspect = self._get_or_create(part)
        if suspect is None:
            return
        now_s = trio.current_time()
        sequence = run.known_sequences.get(part, 0) + 1
        was_quarantined = _is_quarantined(suspect)
        suspect.crashed_at_s = now_s
        suspect.restrict_to(
            other for other in run.prompt_parts if other != part
        )
        if sequence > suspect.sequence:
            suspect.sequence = sequence
            suspect.changed_at_s = now_s
        if suspect.is_blocked():
            suspect.quarantined_sequence = suspect.sequence
            if not was_quarantined:
                self._log('prompt_part_quarantined', part, suspect, 'probation')
                self._mark_unsaved(part)
        self._log('prompt_part_crashed', part, suspect, 'own')

    def _quarantine_cause(self, prompt_parts: tuple[str, ...]) -> None:
        """Quarantines the part of a prompt that must be the cause, if any.

        Of parts that were served equally long ago, the cause is the last one:
        later parts are shared by fewer requests.
        """
        cause = ''
        cause_served_at_s = float('inf')
        for part in prompt_parts:
            suspect = self._suspects.get(part)
            if suspect is None:
                continue
            if suspect.counted < _suspect_part.MIN_SEQUENCE - 1:
                continue
            if suspect.served_at_s <= cause_served_at_s:
                cause = part
                cause_served_at_s = suspect.served_at_s
        if not cause:
            return
        suspect = self._suspects[cause]
        if not self._has_enough_crashes(suspect):
            # It may be the cause, but has not crashed often enough; what was
            # served after it is not the cause.
            return
        self._quarantine(cause, suspect)
        for part in prompt_parts:
            if part != cause:
                self._clear_explained(part)

    def _has_enough_crashes(self, suspect: _suspect_part.SuspectPart) -> bool:
        """Returns whether a suspect has crashed often enough to be the cause."""
        if self._served_at_s == _served_parts.NEVER_S:
            # Nothing is known that the part could be compared to.
            return suspect.counted >= KNOWN_SOUND_SEQUENCE
        unserved_s = self._served_at_s - suspect.served_at_s
        if unserved_s < RECENTLY_SERVED_S:
            return False
        if unserved_s < KNOWN_SOUND_S:
            return suspect.counted >= KNOWN_SOUND_SEQUENCE
        return suspect.counted >= _suspect_part.MIN_SEQUENCE

    def _quarantine(
        self, part: str, suspect: _suspect_part.SuspectPart
    ) -> None:
        suspect.quarantined_sequence = suspect.sequence
        suspect.changed_at_s = trio.current_time()
        self._log('prompt_part_quarantined', part, suspect, 'own')
        self._mark_unsaved(part)

    def _quarantine_next(self, common_parts: frozenset[str]) -> None:
        """Quarantines another part after one that turned out to be sound.

        Args:
            common_parts: Parts that all prompts had under which the crashes
                came that had been counted against the sound one.
        """
        cause = ''
        for part in sorted(common_parts):
            suspect = self._suspects.get(part)
            if suspect is None:
                continue
            if self._served_at_s - suspect.served_at_s < KNOWN_SOUND_S:
                continue
            if (
                not cause
                or suspect.served_at_s < self._suspects[cause].served_at_s
            ):
                cause = part
        if not cause:
            return
        suspect = self._suspects[cause]
        # The crashes that the other part explained count again.
        suspect.sequence = max(
            suspect.sequence,
            suspect.cleared_sequence + _suspect_part.MIN_SEQUENCE,
        )
        suspect.common_parts = common_parts - {cause}
        self._quarantine(cause, suspect)

    def _clear_explained(self, part: str) -> None:
        """Clears a part whose crashes are explained by another one."""
        suspect = self._suspects.get(part)
        if suspect is None or not suspect.counted:
            return
        suspect.clear(suspect.sequence)
        suspect.changed_at_s = trio.current_time()

    def find_quarantined(self, prompt_parts: tuple[str, ...]) -> str | None:
        """Returns a part that must not be run, or None."""
        if not self._suspects:
            return None
        for part in prompt_parts:
            suspect = self._suspects.get(part)
            if suspect is None or not _is_quarantined(suspect):
                continue
            if suspect.is_cause_in(prompt_parts):
                return part
        return None

    def has_suspect(self, prompt_parts: tuple[str, ...]) -> bool:
        """Returns whether a crash counts against a part of a prompt."""
        if not self._suspects:
            return False
        for part in prompt_parts:
            suspect = self._suspects.get(part)
            if suspect is not None and suspect.counted:
                return True
        return False

    def list_quarantined(self) -> list[str]:
        """Returns the parts that must not be run."""
        quarantined: list[str] = []
        for part, suspect in self._suspects.items():
            if _is_quarantined(suspect):
                quarantined.append(part)
        return quarantined

    def get_report(self, part: str) -> _suspect_part.PartReport | None:
        """Returns what is known of a part; None if it is not suspect."""
        suspect = self._suspects.get(part)
        return None if suspect is None else suspect.create_report()

    def list_reports(
        self, member_count: int
    ) -> dict[str, _suspect_part.PartReport]:
        """Returns what to tell peers now, by part.

        Args:
            member_count: Members that tell of the same parts.
        """
        if not self._suspects:
            return {}
        now_s = trio.current_time()
        is_repeated = False
        if now_s - self._repeated_at_s >= REPEAT_INTERVAL_S:
            self._repeated_at_s = now_s
            is_repeated = random.random() * member_count < REPEATING_MEMBERS
        ranked: list[tuple[bool, int, float, str]] = []
        for part, suspect in self._suspects.items():
            is_fresh = now_s - suspect.changed_at_s < FRESH_REPORT_S
            is_blocked = suspect.is_blocked()
            lasts = suspect.quarantined_sequence > 0 or suspect.counted > 1
            if is_fresh or (is_repeated and lasts):
                ranked.append(
                    (is_blocked, suspect.counted, suspect.changed_at_s, part)
                )
        ranked.sort(reverse=True)
        reports: dict[str, _suspect_part.PartReport] = {}
        for _, _, _, part in ranked[:MAX_REPORTED_PARTS]:
            reports[part] = self._suspects[part].create_report()
        return reports

    def apply_reports(
        self,
        reports: dict[str, _suspect_part.PartReport],
        source: str,
    ) -> None:
        """Adds what another member knows.

        Args:
            reports: What it knows, by part.
            source: Where it comes from, for the log.
        """
        for part, report in reports.items():
            if report.crash_age_s > _get_retention_s(report):
                continue
            suspect = self._get_or_create(part)
            if suspect is None:
                continue
            was_blocked = suspect.is_blocked()
            suspect.merge(report)
            self._served_at_s = max(self._served_at_s, suspect.served_at_s)
            if suspect.is_blocked() == was_blocked:
                continue
            if was_blocked:
                self._log('prompt_part_released', part, suspect, source)
            else:
                self._log('prompt_part_quarantined', part, suspect, source)

    async def take_unsaved(self) -> set[str]:
        """Waits for parts of which this member has decided, and returns them."""
        await self._has_unsaved.wait()
        self._has_unsaved = trio.Event()
        unsaved = self._unsaved
        self._unsaved = set()
        return unsaved

    def expire(self) -> None:
        """Drops suspect parts whose last crash is too long ago."""
        now_s = trio.current_time()
        for part, suspect in list(self._suspects.items()):
            retention_s = SUSPECT_S
            if suspect.is_blocked():
                retention_s = PROBATION_S
            if now_s - suspect.crashed_at_s <= retention_s:
                continue
            del self._suspects[part]
            if suspect.is_blocked():
                self._release(part, suspect, 'expired')

    def _get_or_create(self, part: str) -> _suspect_part.SuspectPart | None:
        """Returns a suspect part; None if there is no room for a new one."""
        suspect = self._suspects.get(part)
        if suspect is not None:
            return suspect
        if len(self._suspects) >= MAX_SUSPECTS and not self._make_room():
            return None
        suspect = _suspect_part.SuspectPart(self._served.get(part))
        self._suspects[part] = suspect
        return suspect

    def _make_room(self) -> bool:
        """Drops the suspect that counts least; returns whether there is one."""
        least: str | None = None
        least_rank = (0, 0.0)
        for part, suspect in self._suspects.items():
            if suspect.is_blocked():
                continue
            rank = (suspect.counted, suspect.crashed_at_s)
            if least is None or rank < least_rank:
                least = part
                least_rank = rank
        if least is None:
            return False
        del self._suspects[least]
        return True

    def _release(
        self, part: str, suspect: _suspect_part.SuspectPart, source: str
    ) -> None:
        self._log('prompt_part_released', part, suspect, source)
        self._mark_unsaved(part)

    def _mark_unsaved(self, part: str) -> None:
        self._unsaved.add(part)
        self._has_unsaved.set()

    def _log(
        self,
        event: str,
        part: str,
        suspect: _suspect_part.SuspectPart,
        source: str,
    ) -> None:
        """Logs a change of what is believed of a part, with its reasons."""
        report = suspect.create_report()
        served_ms: int | None = None
        if report.served_age_s is not None:
            served_ms = int(report.served_age_s * 1000)
        _LOGGER.info(
            event,
            extra={
                'prompt_part': part,
                'source': source,
                'sequence': report.sequence,
                'cleared_sequence': report.cleared_sequence,
                'quarantined_sequence': report.quarantined_sequence,
                'crashed_ms_ago': int(report.crash_age_s * 1000),
                'served_ms_ago': served_ms,
            },
        )


def _is_quarantined(suspect: _suspect_part.SuspectPart) -> bool:
    """Returns whether a part must not be run now."""
    if not suspect.is_blocked():
        return False
    return trio.current_time() - suspect.crashed_at_s <= QUARANTINE_S


def _get_retention_s(report: _suspect_part.PartReport) -> float:
    return PROBATION_S if report.is_blocked() else SUSPECT_S


def create_part_quarantine() -> PartQuarantine:
    """Creates a quarantine without suspects."""
    return PartQuarantine()
