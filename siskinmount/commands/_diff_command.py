"""`siskinmount diff`: compares a document with the one in force."""

import difflib

import orjson
import trio

from siskinmount import results
from siskinmount.commands import _command
from siskinmount.commands import _common_flags
from siskinmount.commands import _document_file
from siskinmount.commands import _exit_status
from siskinmount.commands import _failure_report
from siskinmount.commands import _fleet_client


def create_diff_command() -> _command.Command:
    """Returns the command."""
    return _command.Command(
        name='diff',
        argument_names=('DOC',),
        summary='Compares a document with the one in force.',
        define_flags=_common_flags.define_fleet_flags,
        run=_run,
    )


def _run(invocation: _command.Invocation) -> _exit_status.ExitStatus:
    path = invocation.arguments[0]
    text = _document_file.read_document_text(invocation, path)
    seeds = _common_flags.get_entries(invocation)
    if text is None or seeds is None:
        return _exit_status.ExitStatus.USAGE
    in_force = trio.run(_fleet_client.fetch_configuration, seeds)
    if isinstance(in_force, results.Failure):
        # The command only reads, so that no change can be in doubt.
        in_force.run_state = results.RunState.NOT_RUN
        return _failure_report.write_failure(invocation, in_force)
    lines = list(
        difflib.unified_diff(
            in_force.text.splitlines(),
            text.splitlines(),
            f'version {in_force.version}',
            path,
            lineterm='',
        )
    )
    _write_diff(invocation, in_force.version, lines)
    if lines:
        return _exit_status.ExitStatus.NEGATIVE
    return _exit_status.ExitStatus.OK


def _write_diff(
    invocation: _command.Invocation, version: int, lines: list[str]
) -> None:
    if invocation.flag_values['json'].value:
        document = {'version': version, 'differs': bool(lines), 'diff': lines}
        invocation.write_line(orjson.dumps(document).decode())
        return
    if not lines:
        invocation.write_line(f'no difference from version {version}')
    for line in lines:
        invocation.write_line(line)
