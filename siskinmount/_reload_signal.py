"""Holds the signal to reload settings until a daemon can follow it.

By default the signal ends a process, and a daemon spends most of its start on
imports. So this module is imported before all others that take long.
"""

import signal

_DAEMONS = ('gateway',)


class _HeldSignal:
    """Whether the signal came before the daemon followed it."""

    __slots__ = ('is_pending',)

    def __init__(self) -> None:
        self.is_pending = False

    def record(self, unused_number: int, unused_frame: object) -> None:
        """Handles the signal."""
        self.is_pending = True


_held = _HeldSignal()


def hold(arguments: list[str]) -> None:
    """Holds the signal if the command is a daemon that follows it.

    Args:
        arguments: The command line, with the program's name first.
    """
    if len(arguments) > 1 and arguments[1] in _DAEMONS:
        signal.signal(signal.SIGHUP, _held.record)


def take_held() -> bool:
    """Returns whether the signal came while it was held, and forgets it."""
    is_pending, _held.is_pending = _held.is_pending, False
    return is_pending
