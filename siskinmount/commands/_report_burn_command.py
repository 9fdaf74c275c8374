"""`siskinmount report burn`: shows the burn rates of error budgets."""

import pathlib

from absl import flags
import orjson
import trio

from siskinmount import results
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.commands import _burn_page
from siskinmount.commands import _burn_report
from siskinmount.commands import _burn_text
from siskinmount.commands import _command
from siskinmount.commands import _common_flags
from siskinmount.commands import _exit_status
from siskinmount.commands import _failure_report


def create_report_burn_command() -> _command.Command:
    """Returns the command."""
    return _command.Command(
        name='report burn',
        summary='Shows how fast error budgets are used up.',
        define_flags=_define_flags,
        run=_run,
    )


def _define_flags(flag_values: flags.FlagValues) -> None:
    flags.DEFINE_string(
        'html',
        None,
        'File to write the report to as one HTML page, besides the text.',
        flag_values=flag_values,
    )
    flags.DEFINE_string(
        'log',
        None,
        'Address of the log service, to count what entries measured that are'
        ' gone.',
        flag_values=flag_values,
    )
    _common_flags.define_fleet_flags(flag_values)


def _run(invocation: _command.Invocation) -> _exit_status.ExitStatus:
    seeds = _common_flags.get_entries(invocation)
    if seeds is None:
        return _exit_status.ExitStatus.USAGE
    log_address: transport.Address | None = None
    log_text = invocation.flag_values['log'].value
    if log_text:
        log_address = _common_flags.parse_address_flag(
            invocation, 'log', log_text
        )
        if log_address is None:
            return _exit_status.ExitStatus.USAGE
    report = trio.run(_burn_report.create_burn_report, seeds, log_address)
    if isinstance(report, results.Failure):
        # The command only reads, so that no change can be in doubt.
        report.run_state = results.RunState.NOT_RUN
        return _failure_report.write_failure(invocation, report)
    if invocation.flag_values['json'].value:
        document = _burn_text.to_json(report)
        invocation.write_line(orjson.dumps(document).decode())
    else:
        for line in _burn_text.format_report(report):
            invocation.write_line(line)
    _failure_report.warn_of_unreachable(invocation, report.unreachable)
    page_path = invocation.flag_values['html'].value
    if page_path and not _write_page(invocation, page_path, report):
        return _exit_status.ExitStatus.USAGE
    return _choose_exit_status(report)


def _write_page(
    invocation: _command.Invocation,
    path: str,
    report: _burn_report.BurnReport,
) -> bool:
    """Writes the HTML page; returns False after writing an error."""
    try:
        pathlib.Path(path).write_text(
            _burn_page.render_page(report), encoding='utf-8'
        )
    except OSError as error:
        invocation.write_error(f'{path}: cannot be written: {error}')
        return False
    return True


def _choose_exit_status(
    report: _burn_report.BurnReport,
) -> _exit_status.ExitStatus:
    """Returns the exit status.

    `NEGATIVE` stands for an objective with a fast or slow burn, or a job that
    is overdue or at risk.
    """
    if not report.daemon_count:
        return _exit_status.ExitStatus.UNAVAILABLE
    if report.list_jobs_at_risk():
        return _exit_status.ExitStatus.NEGATIVE
    for burn in report.objectives:
        if burn.level is telemetry.BurnLevel.FAST_BURN:
            return _exit_status.ExitStatus.NEGATIVE
        if burn.level is telemetry.BurnLevel.SLOW_BURN:
            return _exit_status.ExitStatus.NEGATIVE
    return _exit_status.ExitStatus.OK
