"""Keeps the program from starting other processes."""

import ctypes.util
import logging
import sys
from typing import Any

_LOGGER = logging.getLogger(__name__)

# Equal to `results.ResultCode.INVARIANT_BROKEN`; this module is imported
# before all others.
_INVARIANT_BROKEN = 9001

_STARTING_EVENTS = frozenset(
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


def avoid_library_search() -> None:
    """Makes the standard search for shared libraries find nothing.

    The search runs programs such as `ldconfig`, and trio uses it on import to
    find a function that names threads, which it can do without.
    """
    ctypes.util.find_library = _find_no_library


def refuse_child_processes() -> None:
    """Makes each attempt of the interpreter to start a process fail."""
    sys.addaudithook(_check_event)


def _find_no_library(name: str) -> None:
    """Stands in for `ctypes.util.find_library`."""


def _check_event(event: str, arguments: tuple[Any, ...]) -> None:
    if event not in _STARTING_EVENTS:
        return
    _LOGGER.critical(
        'invariant_broken',
        extra={'code': _INVARIANT_BROKEN, 'event_refused': event},
    )
    raise RuntimeError(f'{event}: the program starts no other process')
