"""Writes events as JSON lines on the standard error stream."""

import logging
import sys

from pythonjsonlogger import orjson as json_formatter

_LEVELS = {
    'debug': logging.DEBUG,
    'info': logging.INFO,
    'warning': logging.WARNING,
    'error': logging.ERROR,
}


def configure_logging(
    level: str,
    vm: str,
    role: str,
    failure_domain: str,
    handler: logging.Handler | None = None,
) -> None:
    """Makes all loggers of the process write JSON lines.

    Each line has the fields `time` (UTC), `level`, `event`, `logger`, `vm`,
    `role` and `failure_domain`, and those that the event adds, such as `code`
    and `request_id`.

    Args:
        level: `debug`, `info`, `warning` or `error`.
        vm: Name of the VM.
        role: `entry`, `sidecar`, or the name of a command.
        failure_domain: Failure domain of the VM.
        handler: Where lines go; by default the standard error stream.
    """
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(create_formatter(vm, role, failure_domain))
    root = logging.getLogger()
    for earlier in list(root.handlers):
        root.removeHandler(earlier)
    root.addHandler(handler)
    root.setLevel(_LEVELS[level])


def create_formatter(
    vm: str, role: str, failure_domain: str
) -> logging.Formatter:
    """Returns the formatter of `configure_logging`."""
    return json_formatter.OrjsonFormatter(
        '%(levelname)s %(message)s %(name)s',
        rename_fields={
            'levelname': 'level',
            'message': 'event',
            'name': 'logger',
        },
        static_fields={
            'vm': vm,
            'role': role,
            'failure_domain': failure_domain,
        },
        timestamp='time',
        json_default=str,
    )
