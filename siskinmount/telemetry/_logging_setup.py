"""Configures logging as JSON lines to standard error."""

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
    """Configures the root logger to write JSON lines.

    Each line has the fields `time` (UTC), `level`, `event`, `logger`, `vm`,
    `role` and `failure_domain`, and any fields that the event adds, such as
    `code` and `request_id`.

    Args:
        level: `debug`, `info`, `warning` or `error`.
        vm: Name of the VM.
        role: `entry`, `sidecar`, or the name of a command.
        failure_domain: Failure domain of the VM.
        handler: Handler of the lines; by default standard error.
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
    """Returns the formatter that `configure_logging` uses."""
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
