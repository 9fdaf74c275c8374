"""Formats the burn report as text and as JSON."""

from siskinmount import telemetry
from siskinmount.commands import _burn_report
from siskinmount.commands import _failure_report
from siskinmount.commands import _jobs_command
from siskinmount.commands import _text_table

_MS_PER_S = 1000
_WINDOW_NAMES = {300: '5 MIN', 3600: '1 H', 21600: '6 H', 259200: '3 D'}


def get_window_name(window_s: int) -> str:
    """Returns a short name for the length of a window."""
    return _WINDOW_NAMES.get(window_s, f'{window_s} S')


def describe_objective(burn: _burn_report.ObjectiveBurn) -> str:
    """Returns the target of an objective as text."""
    objective = burn.objective
    text = f'{objective.share:.4%} {objective.measure.value}'
    if objective.within_ms:
        text += f' within {objective.within_ms} ms'
    return text


def format_report(report: _burn_report.BurnReport) -> list[str]:
    """Returns the report as lines of text."""
    lines = [
        f'{report.owner}, configuration version {report.version},'
        f' {_jobs_command.format_time_ms(int(report.now_s * _MS_PER_S))} UTC,'
        f' {report.daemon_count} entries answered,'
        f' {len(report.unreachable)} did not,'
        f' log: {report.archive.value}',
        '',
    ]
    names = [
        get_window_name(window_s) for window_s in telemetry.REPORT_WINDOWS_S
    ]
    headings = [
        'SERVICE',
        'OBJECTIVE',
        'LEVEL',
        *(f'BURN {name}' for name in names),
        'BUDGET USED',
        'P99 1 H',
    ]
    rows = [_format_row(burn) for burn in report.objectives]
    lines.extend(_text_table.format_table(headings, rows))
    jobs = report.list_jobs_at_risk()
    lines.append('')
    lines.append(f'batch jobs at risk or overdue: {len(jobs)}')
    if jobs:
        rows = [_jobs_command.format_job(job) for job in jobs]
        lines.extend(_text_table.format_table(_jobs_command.HEADINGS, rows))
    return lines


def to_json(report: _burn_report.BurnReport) -> dict[str, object]:
    """Returns the report as a JSON object."""
    return {
        'owner': report.owner,
        'configuration_version': report.version,
        'time_s': int(report.now_s),
        'entry_count': report.daemon_count,
        'archive': report.archive.value,
        'unreachable': [
            {
                'address': str(daemon.address),
                **_failure_report.to_json(daemon.failure),
            }
            for daemon in report.unreachable
        ],
        'objectives': [_to_json(burn) for burn in report.objectives],
        'jobs_at_risk': [job.to_json() for job in report.list_jobs_at_risk()],
    }


def _format_row(burn: _burn_report.ObjectiveBurn) -> list[str]:
    rates = [format_rate(window) for window in burn.windows]
    p99_ms = burn.windows[1].p99_ms
    return [
        burn.objective.service,
        burn.objective.name,
        burn.level.value,
        *rates,
        f'{burn.budget_used:.1%}',
        '-' if p99_ms is None else f'{p99_ms:.1f} ms',
    ]


def format_rate(window: telemetry.WindowBurn) -> str:
    """Returns a burn rate as text; a dash if the window has no events."""
    if not window.good + window.bad:
        return '-'
    return f'{window.burn_rate:.2f}'


def _to_json(burn: _burn_report.ObjectiveBurn) -> dict[str, object]:
    objective = burn.objective
    windows: list[dict[str, object]] = []
    for window in burn.windows:
        windows.append(
            {name: getattr(window, name) for name in window.__slots__}
        )
    return {
        'service': objective.service,
        'objective': objective.name,
        'measure': objective.measure.value,
        'within_ms': objective.within_ms,
        'share': objective.share,
        'period_days': objective.period_days,
        'level': burn.level.value,
        'budget_used': burn.budget_used,
        'windows': windows,
    }
