"""How a process is told to stop and to read its settings again."""

from collections.abc import Callable
import logging
import signal
from typing import Protocol

import trio

_LOGGER = logging.getLogger(__name__)


class ProcessSignals(Protocol):
    """How a process is told to stop and to read its settings again."""

    async def wait_stop(self) -> None:
        """Returns once the process is to stop."""
        ...

    async def watch_reload(self, reload_settings: Callable[[], None]) -> None:
        """Calls a function each time that the settings have changed."""
        ...


class SystemSignals:
    """Implements `ProcessSignals` by signals of the operating system."""

    __slots__ = ()

    async def wait_stop(self) -> None:
        """Returns at SIGTERM or SIGINT."""
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as stops:
            async for number in stops:
                _LOGGER.info('stop_asked', extra={'signal': number})
                return

    async def watch_reload(self, reload_settings: Callable[[], None]) -> None:
        """Calls a function at each SIGHUP."""
        with trio.open_signal_receiver(signal.SIGHUP) as signals:
            async for _ in signals:
                reload_settings()


def create_system_signals() -> SystemSignals:
    """Creates the signals of the operating system."""
    return SystemSignals()
