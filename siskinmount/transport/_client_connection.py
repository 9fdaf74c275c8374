"""A connection to a server that carries one request at a time."""

import select

import h11
import trio


class ClientConnection:
    """A client connection that carries one request at a time.

    Attributes:
        stream: The socket.
        parser: State of the HTTP protocol.
        opened_at_s: Monotonic time at which it was opened.
        idle_since_s: Monotonic time of the last use.
        reused: Whether the connection has completed a request before.
        has_ended: Whether the server's side has ended or broken.
        timed_out: Whether the server did not respond within the time limit.
        request_sent_at_s: Monotonic time at which the last request was sent.
        served_after_s: Monotonic time after which the server sent the last bytes
            that were received; before the first, the time of the request.
        known_open_at_s: Monotonic time at which the server's side was last known
            to be open while no request was in progress.
        received_bytes: Bytes received since the last request was sent.
    """

    __slots__ = (
        'stream',
        'parser',
        'opened_at_s',
        'idle_since_s',
        'reused',
        'has_ended',
        'timed_out',
        'request_sent_at_s',
        'served_after_s',
        'known_open_at_s',
        'received_bytes',
        '_waiting_since_s',
        '__weakref__',
    )

    def __init__(self, stream: trio.SocketStream) -> None:
        self.stream = stream
        self.parser = h11.Connection(h11.CLIENT)
        self.opened_at_s = trio.current_time()
        self.idle_since_s = self.opened_at_s
        self.reused = False
        self.has_ended = False
        self.timed_out = False
        self.request_sent_at_s = self.opened_at_s
        self.served_after_s = self.opened_at_s
        self.known_open_at_s = self.opened_at_s
        self.received_bytes = 0
        self._waiting_since_s = self.opened_at_s

    def is_usable(self) -> bool:
        """Returns whether the idle socket has neither data nor EOF to read."""
        poller = select.poll()
        poller.register(self.stream.socket.fileno(), select.POLLIN)
        return not poller.poll(0)

    def begin_request(self) -> None:
        """Notes that the next request is about to be sent."""
        self.request_sent_at_s = trio.current_time()
        self.served_after_s = self.request_sent_at_s
        self.received_bytes = 0
        self._waiting_since_s = self.request_sent_at_s

    def begin_wait(self, at_s: float) -> None:
        """Notes that what is read next was sent after a time.

        Does nothing if bytes wait to be read, as those may have come before.
        """
        if self.is_usable():
            self._waiting_since_s = at_s

    def add_received(self, data: bytes) -> None:
        """Passes bytes to the parser; empty bytes are the connection's end."""
        if data:
            self.served_after_s = self._waiting_since_s
        else:
            self.has_ended = True
        self.received_bytes += len(data)
        self.parser.receive_data(data)

    def has_broken_off(self) -> bool:
        """Returns whether the server has ended it before a complete response."""
        return self.has_ended and self.parser.their_state not in (
            h11.DONE,
            h11.MUST_CLOSE,
            h11.CLOSED,
        )

    def close(self) -> None:
        """Closes the socket immediately."""
        self.stream.socket.close()
