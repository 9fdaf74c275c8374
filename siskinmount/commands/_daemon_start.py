"""Loads the settings of a daemon, sets up logging and runs the daemon."""

from collections.abc import Awaitable
from collections.abc import Callable
import logging
from typing import Protocol
from typing import TypeVar

import trio

from siskinmount import configuration
from siskinmount import results
from siskinmount import telemetry
from siskinmount.commands import _command
from siskinmount.commands import _exit_status
from siskinmount.commands import _validation_report

_LOGGER = logging.getLogger(__name__)


class _Settings(Protocol):
    """Settings common to all daemons."""

    identity: configuration.DaemonIdentity


_SettingsT = TypeVar('_SettingsT', bound=_Settings)

_RunDaemon = Callable[[_SettingsT], Awaitable[results.Failure | None]]


def run_daemon(
    invocation: _command.Invocation,
    role: str,
    load_settings: Callable[
        [str], _SettingsT | list[configuration.DocumentFault]
    ],
    import_daemon: Callable[[], _RunDaemon[_SettingsT]],
) -> _exit_status.ExitStatus:
    """Runs a daemon until it shuts down or fails.

    Args:
        invocation: Parsed command line with the flag `settings`.
        role: `entry` or `sidecar`.
        load_settings: Reads the settings from a file.
        import_daemon: Imports the daemon and returns its main coroutine
            function. The import is deferred so that the operators' commands
            start fast.
    """
    path = invocation.flag_values['settings'].value
    if not path:
        invocation.write_error('--settings FILE is required')
        return _exit_status.ExitStatus.USAGE
    settings = load_settings(path)
    if isinstance(settings, list):
        telemetry.configure_logging('info', '', role, '')
        _validation_report.log_settings_faults(settings)
        return _exit_status.ExitStatus.SETTINGS_INVALID
    identity = settings.identity
    telemetry.configure_logging(
        identity.log_level.value,
        identity.vm,
        role,
        identity.failure_domain,
    )
    try:
        failure = trio.run(import_daemon(), settings)
    except Exception:
        _LOGGER.exception(
            'daemon_failed', extra={'code': int(results.ResultCode.INTERNAL)}
        )
        return _exit_status.ExitStatus.INTERNAL
    return _log_daemon_exit(failure)


def _log_daemon_exit(
    failure: results.Failure | None,
) -> _exit_status.ExitStatus:
    """Logs the failure of a daemon, if any, and returns its exit status."""
    if failure is None:
        return _exit_status.ExitStatus.OK
    _LOGGER.error(
        'daemon_failed',
        extra={'code': int(failure.code), 'reason': failure.reason},
    )
    if failure.code is results.ResultCode.SETTINGS_INVALID:
        return _exit_status.ExitStatus.SETTINGS_INVALID
    return _exit_status.ExitStatus.UNAVAILABLE
