"""Turns the signal for a planned stop into a call."""

from collections.abc import Callable
import signal

import trio

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def watch_stop_signal(begin_leaving: Callable[[], None]) -> None:
    """Calls `begin_leaving` at each stop signal, until cancelled.

    Once the watch has ended, further stop signals are ignored, so that none
    cuts the last steps of a planned stop.
    """
    try:
        with trio.open_signal_receiver(*_STOP_SIGNALS) as signals:
            async for _ in signals:
                begin_leaving()
    finally:
        for number in _STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
