"""What is known of a part of prompts under which upstreams have crashed."""

from collections.abc import Iterable

import trio

from siskinmount.placement import _served_parts

#: Crashes in sequence after which a part is quarantined.
MIN_SEQUENCE = 3


class PartReport:
    """A `SuspectPart` as members tell each other, and as it is stored.

    Attributes:
        sequence: Crashes in sequence.
        cleared_sequence: Crashes in sequence that do not count against it.
        quarantined_sequence: Crashes in sequence for which it was quarantined;
            0 if it was not.
        crash_age_s: Time since the last crash.
        served_age_s: Time since the start of the latest run with output; None
            if none is known.
        common_parts: Other parts that all prompts had under which the counted
            crashes came.
    """

    __slots__ = (
        'sequence',
        'cleared_sequence',
        'quarantined_sequence',
        'crash_age_s',
        'served_age_s',
        'common_parts',
    )

    def __init__(
        self,
        sequence: int,
        cleared_sequence: int,
        quarantined_sequence: int,
        crash_age_s: float,
        served_age_s: float | None,
        common_parts: frozenset[str],
    ) -> None:
        self.sequence = sequence
        self.cleared_sequence = cleared_sequence
        self.quarantined_sequence = quarantined_sequence
        self.crash_age_s = crash_age_s
        self.served_age_s = served_age_s
        self.common_parts = common_parts

    def is_blocked(self) -> bool:
        """Returns whether the part was quarantined and not cleared since."""
        return _is_blocked(self.quarantined_sequence, self.cleared_sequence)


class SuspectPart:
    """A part of prompts under which upstreams have crashed.

    Crashes are in sequence if each run started when its member knew of the
    crash before. All numbers only grow, so that what members know is merged by
    taking the larger ones, in any order and any number of times.

    Attributes:
        sequence: Crashes in sequence.
        cleared_sequence: Crashes in sequence that do not count: a run that
            started later had output, or another part is the cause.
        quarantined_sequence: Crashes in sequence for which the part was
            quarantined; 0 if it was not.
        crashed_at_s: Monotonic time of the last crash.
        served_at_s: Monotonic start of the latest run with output.
        common_parts: Other parts that all prompts had under which the counted
            crashes came; None before the first.
        changed_at_s: Monotonic time of the last change that peers are told.
    """

    __slots__ = (
        'sequence',
        'cleared_sequence',
        'quarantined_sequence',
        'crashed_at_s',
        'served_at_s',
        'common_parts',
        'changed_at_s',
    )

    def __init__(self, served_at_s: float) -> None:
        self.sequence = 0
        self.cleared_sequence = 0
        self.quarantined_sequence = 0
        self.crashed_at_s = float('-inf')
        self.served_at_s = served_at_s
        self.common_parts: frozenset[str] | None = None
        self.changed_at_s = trio.current_time()

    @property
    def counted(self) -> int:
        """Crashes in sequence that count."""
        return self.sequence - self.cleared_sequence

    def is_blocked(self) -> bool:
        """Returns whether the part was quarantined and not cleared since."""
        return _is_blocked(self.quarantined_sequence, self.cleared_sequence)

    def clear(self, sequence: int) -> None:
        """Records that crashes in sequence up to some number do not count."""
        self.cleared_sequence = sequence
        self.common_parts = None

    def restrict_to(self, prompt_parts: Iterable[str]) -> None:
        """Drops common parts that another prompt did not have."""
        if self.common_parts is None:
            self.common_parts = frozenset(prompt_parts)
            return
        self.common_parts = self.common_parts.intersection(prompt_parts)

    def is_cause_in(self, prompt_parts: tuple[str, ...]) -> bool:
        """Returns whether a prompt has the part, and all that came with it.

        Of parts that only occurred together, each may be the cause.
        """
        return (self.common_parts or frozenset()).issubset(prompt_parts)

    def merge(self, report: PartReport) -> None:
        """Adds what another member knows."""
        now_s = trio.current_time()
        if report.cleared_sequence > self.cleared_sequence:
            self.clear(report.cleared_sequence)
        if report.cleared_sequence == self.cleared_sequence:
            self.restrict_to(report.common_parts)
        self.sequence = max(self.sequence, report.sequence)
        self.quarantined_sequence = max(
            self.quarantined_sequence, report.quarantined_sequence
        )
        self.crashed_at_s = max(self.crashed_at_s, now_s - report.crash_age_s)
        if report.served_age_s is not None:
            self.served_at_s = max(
                self.served_at_s, now_s - report.served_age_s
            )

    def create_report(self) -> PartReport:
        """Returns what is told to peers."""
        now_s = trio.current_time()
        served_age_s: float | None = None
        if self.served_at_s != _served_parts.NEVER_S:
            served_age_s = now_s - self.served_at_s
        return PartReport(
            self.sequence,
            self.cleared_sequence,
            self.quarantined_sequence,
            now_s - self.crashed_at_s,
            served_age_s,
            self.common_parts or frozenset(),
        )


def _is_blocked(quarantined_sequence: int, cleared_sequence: int) -> bool:
    return quarantined_sequence - cleared_sequence >= MIN_SEQUENCE
