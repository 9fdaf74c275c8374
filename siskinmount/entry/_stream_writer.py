"""Writes a streamed response and keeps its connection alive."""

import trio

from siskinmount import transport
from siskinmount.entry import _response_formatter

KEEP_ALIVE_INTERVAL_S = 1.0
#: Delays the first keep-alive, which sends the head, so that an early failure
#: can still set the HTTP status.
FIRST_KEEP_ALIVE_S = 2.0


class StreamWriter:
    """Sends server-sent events, and keep-alive comments when idle.

    The head is sent with the first event, so that a request that fails before
    that can be answered with the HTTP status of its failure.
    """

    __slots__ = ('_exchange', '_lock', '_last_sent_s', '_headers')

    def __init__(
        self, exchange: transport.ServerExchange, headers: transport.Headers
    ) -> None:
        self._exchange = exchange
        self._lock = trio.Lock()
        self._last_sent_s = trio.current_time()
        self._headers = [
            (b'content-type', b'text/event-stream'),
            (b'cache-control', b'no-store'),
            *headers,
        ]

    @property
    def started(self) -> bool:
        """Whether the response's head was sent."""
        return self._exchange.response_started

    async def write(self, events: bytes) -> None:
        """Sends events, preceded by the head if it has not been sent yet."""
        async with self._lock:
            if not self._exchange.response_started:
                await self._exchange.start_stream(200, self._headers)
            await self._exchange.send_chunk(events)
            self._last_sent_s = trio.current_time()

    async def finish(self) -> None:
        """Ends the response."""
        async with self._lock:
            await self._exchange.finish()

    async def run_keep_alive(self) -> None:
        """Sends a comment after each idle interval, until cancelled."""
        while True:
            interval_s = KEEP_ALIVE_INTERVAL_S
            if not self.started:
                interval_s = FIRST_KEEP_ALIVE_S
            due_s = self._last_sent_s + interval_s
            if trio.current_time() < due_s:
                await trio.sleep_until(due_s)
                continue
            await self.write(_response_formatter.KEEP_ALIVE_EVENT)
