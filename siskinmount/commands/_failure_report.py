"""Reports failures of commands and unreachable daemons."""

import orjson

from siskinmount import results
from siskinmount.commands import _command
from siskinmount.commands import _exit_status
from siskinmount.commands import _fleet_client


def write_failure(
    invocation: _command.Invocation, failure: results.Failure
) -> _exit_status.ExitStatus:
    """Writes a failure and returns the exit status for it."""
    if invocation.flag_values['json'].value:
        invocation.write_line(
            orjson.dumps({'error': to_json(failure)}).decode()
        )
    else:
        invocation.write_error(
            f'{failure.reason} ({int(failure.code)} {failure.code.name})'
        )
    if failure.run_state is results.RunState.UNKNOWN:
        return _exit_status.ExitStatus.UNKNOWN
    return _exit_status.ExitStatus.UNAVAILABLE


def to_json(failure: results.Failure) -> dict[str, object]:
    """Returns a failure as a JSON object."""
    return {
        'code': int(failure.code),
        'name': failure.code.name,
        'reason': failure.reason,
        'run_state': failure.run_state.value,
    }


def warn_of_unreachable(
    invocation: _command.Invocation,
    daemons: list[_fleet_client.UnreachableDaemon],
) -> None:
    """Writes an error for each daemon that did not answer."""
    for daemon in daemons:
        failure = daemon.failure
        invocation.write_error(
            f'{daemon.address}: no answer: {failure.reason}'
            f' ({int(failure.code)} {failure.code.name})'
        )
