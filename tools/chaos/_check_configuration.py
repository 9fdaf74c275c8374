"""Checks that a configuration is in force everywhere and never reverts."""

from tools.chaos import _observations
from tools.chaos import _violation

IN_FORCE_WITHIN_S = 5.0
_KIND = _violation.ViolationKind.CONFIGURATION


def check_configuration(
    seen: _observations.Observations,
) -> list[_violation.Violation]:
    """Returns versions that were late, reverted, or won one race together."""
    return [
        *_check_races(seen),
        *_check_reverts(seen),
        *_check_lateness(seen),
    ]


def _check_races(
    seen: _observations.Observations,
) -> list[_violation.Violation]:
    violations: list[_violation.Violation] = []
    winners: dict[int, int] = {}
    for publication in seen.publications:
        base = publication.base_version
        winner = winners.setdefault(base, publication.version)
        if winner != publication.version:
            violations.append(
                _violation.Violation(
                    _KIND,
                    f'{winner} and {publication.version} both won on {base}',
                )
            )
    return violations


def _check_reverts(
    seen: _observations.Observations,
) -> list[_violation.Violation]:
    violations: list[_violation.Violation] = []
    newest: dict[tuple[str, int], int] = {}
    for sighting in seen.sightings:
        process = (sighting.vm, sighting.incarnation)
        before = newest.get(process, 0)
        newest[process] = max(before, sighting.version)
        if sighting.version < before:
            violations.append(
                _violation.Violation(
                    _KIND,
                    f'{sighting.vm} went from {before} to {sighting.version}',
                )
            )
    return violations


def _check_lateness(
    seen: _observations.Observations,
) -> list[_violation.Violation]:
    """Looks for older versions after the time allowed.

    A daemon that was disturbed, or a disturbance of the log, gets the time
    again from its end.
    """
    violations: list[_violation.Violation] = []
    for publication in seen.publications:
        late_s_by_vm: dict[str, float] = {}
        for sighting in seen.sightings:
            if sighting.version >= publication.version:
                continue
            due_s = publication.at_s + IN_FORCE_WITHIN_S
            for span in seen.disturbed:
                if span.vm not in ('*', sighting.vm):
                    continue
                if (
                    span.start_s > sighting.at_s
                    or span.end_s < publication.at_s
                ):
                    continue
                due_s = max(due_s, span.end_s + IN_FORCE_WITHIN_S)
            if sighting.at_s > due_s:
                late_s_by_vm[sighting.vm] = sighting.at_s - publication.at_s
        if late_s_by_vm:
            slowest_s = max(late_s_by_vm.values())
            violations.append(
                _violation.Violation(
                    _KIND,
                    f'{publication.version} late at {sorted(late_s_by_vm)},'
                    f' up to {slowest_s:.1f} s',
                )
            )
    return violations
