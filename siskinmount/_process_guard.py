"""Prevents the program from starting child processes."""

import ctypes.util
import logging
import sys
from typing import Any

_LOGGER = logging.getLogger(__name__)

# Equal to `results.ResultCode.INVARIANT_BROKEN`, which cannot be imported here
# because this module is imported before all others.
_INVARIANT_BROKEN = 9001

# Audit events that the interpreter raises before it starts a process.
_PROCESS_START_EVENTS = frozenset(
    {
        'os.exec',
        'os.fork',
        'os.forkpty',
        'os.posix_spawn',
        'os.spawn',
        'os.system',
        'pty.spawn',
        'subprocess.Popen',
    }
)


def disable_library_search() -> None:
    """Makes `ctypes.util.find_library` report every library as missing.

    The standard implementation runs programs such as `ldconfig`. Trio calls it
    on import to look up an optional function that sets thread names.
    """
    ctypes.util.find_library = _report_library_not_found


def forbid_child_processes() -> None:
    """Makes every attempt to start a process raise `RuntimeError`."""
    sys.addaudithook(_audit_hook)


def _report_library_not_found(name: str) -> None:
    """Replaces `ctypes.util.find_library`; None means "not found"."""


def _audit_hook(event: str, arguments: tuple[Any, ...]) -> None:
    if event not in _PROCESS_START_EVENTS:
        return
    _LOGGER.critical(
        'invariant_broken',
        extra={'code': _INVARIANT_BROKEN, 'event_refused': event},
    )
    raise RuntimeError(f'{event}: starting child processes is not allowed')
