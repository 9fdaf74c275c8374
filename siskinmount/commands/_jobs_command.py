"""`siskinmount jobs`: shows batch jobs and their due times."""

import datetime
import time

import orjson
import trio

from siskinmount.commands import _command
from siskinmount.commands import _common_flags
from siskinmount.commands import _exit_status
from siskinmount.commands import _failure_report
from siskinmount.commands import _fleet_client
from siskinmount.commands import _job_view
from siskinmount.commands import _text_table

HEADINGS = [
    'JOB',
    'CALLER',
    'SERVICE',
    'STATE',
    'ENDED',
    'FAILED',
    'UNKNOWN',
    'DUE (UTC)',
    'RISK',
]
_RISKS_FOR_NEGATIVE = (_job_view.JobRisk.AT_RISK, _job_view.JobRisk.OVERDUE)
_MS_PER_S = 1000


def create_jobs_command() -> _command.Command:
    """Returns the command."""
    return _command.Command(
        name='jobs',
        summary='Shows batch jobs, first due first.',
        define_flags=_common_flags.define_fleet_flags,
        run=_run,
    )


def format_job(job: _job_view.JobView) -> list[str]:
    """Returns the cells of a job's row."""
    return [
        job.job,
        job.caller,
        job.service,
        job.state,
        f'{job.ended_count}/{job.item_count}',
        str(job.failed_count),
        str(job.unknown_count),
        format_time_ms(job.due_at_ms),
        job.risk.value,
    ]


def format_time_ms(time_ms: int) -> str:
    """Formats a Unix time in milliseconds as date and time in UTC."""
    moment = datetime.datetime.fromtimestamp(time_ms / _MS_PER_S, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S')


def _run(invocation: _command.Invocation) -> _exit_status.ExitStatus:
    seeds = _common_flags.get_entries(invocation)
    if seeds is None:
        return _exit_status.ExitStatus.USAGE
    view = trio.run(_fleet_client.fetch_fleet_view, seeds)
    jobs = _job_view.list_jobs(view, time.time())
    if invocation.flag_values['json'].value:
        document = {
            'jobs': [job.to_json() for job in jobs],
            'is_complete': not view.unreachable,
        }
        invocation.write_line(orjson.dumps(document).decode())
    else:
        rows = [format_job(job) for job in jobs]
        for line in _text_table.format_table(HEADINGS, rows):
            invocation.write_line(line)
    _failure_report.warn_of_unreachable(invocation, view.unreachable)
    if not view.entries:
        return _exit_status.ExitStatus.UNAVAILABLE
    if any(job.risk in _RISKS_FOR_NEGATIVE for job in jobs):
        return _exit_status.ExitStatus.NEGATIVE
    return _exit_status.ExitStatus.OK
