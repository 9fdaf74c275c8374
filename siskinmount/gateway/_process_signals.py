"""Signals that stop a process or make it reload its settings."""

from collections.abc import Callable
import logging
import signal
from typing import Protocol

import trio

from siskinmount import _reload_signal

_LOGGER = logging.getLogger(__name__)


class ProcessSignals(Protocol):
    """Signals that stop a process or make it reload its settings."""

    async def wait_stop(self) -> None:
        """Returns when the process is asked to stop."""
        ...

    async def watch_reload(self, reload_settings: Callable[[], None]) -> None:
        """Calls a function each time a reload of the settings is requested."""
        ...


class SystemSignals:
    """Implements `ProcessSignals` with operating system signals."""

    __slots__ = ()

    async def wait_stop(self) -> None:
        """Returns at SIGTERM or SIGINT."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as stops:
            async for number in stops:
                _LOGGER.info('stop_asked', extra={'signal': number})
                return

    async def watch_reload(self, reload_settings: Callable[[], None]) -> None:
        """Calls `reload_settings` at each SIGHUP, also one before this call."""
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            if _reload_signal.take_held():
                reload_settings()
            async for _ in signals:
                reload_settings()


def create_system_signals() -> SystemSignals:
    """Creates signals that follow SIGTERM, SIGINT and SIGHUP."""
    return SystemSignals()
