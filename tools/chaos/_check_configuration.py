"""Checks that configurations take effect in time and never revert."""

from tools.chaos import _observations
from tools.chaos import _violation

IN_FORCE_WITHIN_S = 5.0
_CONFIGURATION = _violation.ViolationKind.CONFIGURATION


def check_configuration(
    observations: _observations.Observations,
) -> list[_violation.Violation]:
    """Returns violations by late, reverted and conflicting versions."""
    return [
        *_check_races(observations),
        *_check_reverts(observations),
        *_check_lateness(observations),
    ]


def _check_races(
    observations: _observations.Observations,
) -> list[_violation.Violation]:
    violations: list[_violation.Violation] = []
    winners: dict[int, int] = {}
    for publication in observations.publications:
        base = publication.base_version
        winner = winners.setdefault(base, publication.version)
        if winner != publication.version:
            violations.append(
                _violation.Violation(
                    _CONFIGURATION,
                    f'{winner} and {publication.version} both won on {base}',
                )
            )
    return violations


def _check_reverts(
    observations: _observations.Observations,
) -> list[_violation.Violation]:
    violations: list[_violation.Violation] = []
    newest: dict[tuple[str, int], int] = {}
    for report in observations.version_reports:
        process = (report.vm, report.incarnation)
        before = newest.get(process, 0)
        newest[process] = max(before, report.version)
        if report.version < before:
            violations.append(
                _violation.Violation(
                    _CONFIGURATION,
                    f'{report.vm} went from {before} to {report.version}',
                )
            )
    return violations


def _check_lateness(
    observations: _observations.Observations,
) -> list[_violation.Violation]:
    """Finds daemons that report an older version after the time allowed.

    The time starts again at the end of each fault that affected the daemon or
    the log.
    """
    violations: list[_violation.Violation] = []
    for publication in observations.publications:
        late_s_by_vm: dict[str, float] = {}
        for report in observations.version_reports:
            if report.version >= publication.version:
                continue
            due_s = publication.at_s + IN_FORCE_WITHIN_S
            for span in observations.fault_spans:
                if span.vm not in ('*', report.vm):
                    continue
                if span.start_s > report.at_s or span.end_s < publication.at_s:
                    continue
                due_s = max(due_s, span.end_s + IN_FORCE_WITHIN_S)
            if report.at_s > due_s:
                late_s_by_vm[report.vm] = report.at_s - publication.at_s
        if late_s_by_vm:
            slowest_s = max(late_s_by_vm.values())
            violations.append(
                _violation.Violation(
                    _CONFIGURATION,
                    f'{publication.version} late at {sorted(late_s_by_vm)},'
                    f' up to {slowest_s:.1f} s',
                )
            )
    return violations
