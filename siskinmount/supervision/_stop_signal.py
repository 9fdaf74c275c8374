"""Handling of the signals that request a planned stop."""

from collections.abc import Callable
import signal

import trio

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def watch_stop_signal(on_stop_signal: Callable[[], None]) -> None:
    """Calls `on_stop_signal` at each stop signal, until cancelled.

    After cancellation, further stop signals are ignored, so that they cannot
    interrupt the last steps of a planned stop.
    """
    try:
        with trio.open_signal_receiver(*_STOP_SIGNALS) as signals:
            async for _ in signals:
                on_stop_signal()
    finally:
        for number in _STOP_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
