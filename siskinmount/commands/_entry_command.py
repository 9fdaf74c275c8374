"""`siskinmount entry`: runs the daemon of an entry VM."""

from collections.abc import Awaitable
from collections.abc import Callable

from siskinmount import configuration
from siskinmount import results
from siskinmount.commands import _command
from siskinmount.commands import _common_flags
from siskinmount.commands import _daemon_start
from siskinmount.commands import _exit_status


def create_entry_command() -> _command.Command:
    """Returns the command."""
    return _command.Command(
        name='entry',
        summary='Runs the daemon of an entry VM until SIGTERM.',
        define_flags=_common_flags.define_settings_flag,
        run=_run,
    )


def _run(invocation: _command.Invocation) -> _exit_status.ExitStatus:
    return _daemon_start.run_daemon(
        invocation,
        'entry',
        configuration.load_entry_settings,
        _import_daemon,
    )


def _import_daemon() -> (
    Callable[[configuration.EntrySettings], Awaitable[results.Failure | None]]
):
    from siskinmount import entry

    return entry.run_entry
