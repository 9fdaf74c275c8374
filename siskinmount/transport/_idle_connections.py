"""Open connections to one server that carry no request."""

from collections.abc import Collection
import select

import trio

from siskinmount.transport import _client_connection
from siskinmount.transport import _server_process


class IdleConnections:
    """The idle connections of a client.

    Attributes:
        found_closed_at_s: Monotonic time at which a connection was last found
            closed by the server; -inf if none was.
        server_timeout_s: Idle time after which the server closes connections,
            less a margin, as far as it has announced that; else infinite.
    """

    __slots__ = (
        'found_closed_at_s',
        'server_timeout_s',
        '_idle_timeout_s',
        '_connections',
        '_closed_after_s',
    )

    def __init__(self, idle_timeout_s: float) -> None:
        self.found_closed_at_s = float('-inf')
        self.server_timeout_s = float('inf')
        self._idle_timeout_s = idle_timeout_s
        self._connections: list[_client_connection.ClientConnection] = []
        # Latest time at which a connection was open that the server has closed.
        self._closed_after_s = float('-inf')

    def __len__(self) -> int:
        return len(self._connections)

    def add(self, connection: _client_connection.ClientConnection) -> None:
        """Adds a connection that may carry the next request."""
        connection.idle_since_s = trio.current_time()
        self._connections.append(connection)

    def take(
        self,
        opened_before_s: float,
        excluded: Collection[_client_connection.ClientConnection],
    ) -> _client_connection.ClientConnection | None:
        """Removes and returns the newest usable connection.

        Args:
            opened_before_s: Monotonic time before which it must have been
                opened.
            excluded: Connections that are not to be returned.
        """
        for index in reversed(range(len(self._connections))):
            connection = self._connections[index]
            if connection.opened_at_s > opened_before_s:
                continue
            if connection in excluded:
                continue
            del self._connections[index]
            if not connection.is_usable():
                self.found_closed_at_s = trio.current_time()
            elif self._is_fresh(connection):
                return connection
            connection.close()
        return None

    def close_unused_since(self, at_s: float) -> None:
        """Closes the connections that were last used before a time."""
        kept: list[_client_connection.ClientConnection] = []
        for connection in self._connections:
            if connection.idle_since_s >= at_s:
                kept.append(connection)
                continue
            connection.close()
        self._connections = kept

    def close_unusable(self) -> None:
        """Closes the connections that no request can use any more."""
        closed = self._find_closed()
        kept: list[_client_connection.ClientConnection] = []
        for connection in self._connections:
            if connection in closed:
                self._note_closed(connection, closed[connection])
            elif self._is_fresh(connection):
                kept.append(connection)
                continue
            connection.close()
        self._connections = kept

    def mark_open(self) -> float:
        """Notes that all connections have just been found open.

        Returns:
            Monotonic time of the note.
        """
        now_s = trio.current_time()
        for connection in self._connections:
            connection.known_open_at_s = now_s
        return now_s

    def close_all(self) -> None:
        """Closes all connections."""
        while self._connections:
            self._connections.pop().close()

    def judge_process(
        self, served_after_s: float
    ) -> _server_process.ServerProcess:
        """Returns whether the process that served after a time still does.

        Args:
            served_after_s: Monotonic time after which the process sent bytes of
                a response.
        """
        closed = self._find_closed()
        for connection in self._connections:
            if connection in closed:
                self._note_closed(connection, closed[connection])
            elif connection.opened_at_s <= served_after_s:
                return _server_process.ServerProcess.SERVING
        if self._closed_after_s >= served_after_s:
            return _server_process.ServerProcess.CLOSED_CONNECTIONS
        return _server_process.ServerProcess.UNKNOWN

    def _note_closed(
        self, connection: _client_connection.ClientConnection, events: int
    ) -> None:
        """Notes when a connection was open that the server has closed.

        A server resets connections if it has too many. The exit of a process
        that resets an idle one resets the one of the response, too.
        """
        self.found_closed_at_s = trio.current_time()
        if not events & select.POLLERR:
            self._closed_after_s = max(
                self._closed_after_s, connection.known_open_at_s
            )

    def _is_fresh(
        self, connection: _client_connection.ClientConnection
    ) -> bool:
        idle_s = trio.current_time() - connection.idle_since_s
        return idle_s < min(self._idle_timeout_s, self.server_timeout_s)

    def _find_closed(self) -> dict[_client_connection.ClientConnection, int]:
        """Returns connections with data or an end to read, and their events."""
        poller = select.poll()
        by_descriptor: dict[int, _client_connection.ClientConnection] = {}
        for connection in self._connections:
            descriptor = connection.stream.socket.fileno()
            by_descriptor[descriptor] = connection
            poller.register(descriptor, select.POLLIN)
        closed: dict[_client_connection.ClientConnection, int] = {}
        for descriptor, events in poller.poll(0):
            closed[by_descriptor[descriptor]] = events
        return closed


def create_idle_connections(idle_timeout_s: float) -> IdleConnections:
    """Creates an empty set.

    Args:
        idle_timeout_s: Time without use after which a connection is closed.
    """
    return IdleConnections(idle_timeout_s)
