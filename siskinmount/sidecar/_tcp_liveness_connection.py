"""TCP connection that shows whether a process has exited."""

import select

import trio

from siskinmount import results
from siskinmount import transport

CONNECT_TIMEOUT_S = 1.0


class TcpLivenessConnection:
    """An open connection on which nothing is sent.

    When the upstream's process exits, its kernel closes all its connections
    including this one. A single broken answer leaves this one open.

    Attributes:
        opened_at_s: Monotonic time at which the connection was opened.
    """

    __slots__ = ('opened_at_s', '_stream')

    def __init__(self, stream: trio.SocketStream) -> None:
        self.opened_at_s = trio.current_time()
        self._stream = stream

    def has_closed(self) -> bool:
        """Returns whether the upstream's side has closed the connection."""
        poller = select.poll()
        poller.register(self._stream.socket.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def close(self) -> None:
        """Closes this side of the connection."""
        self._stream.socket.close()


async def open_tcp_liveness_connection(
    address: transport.Address,
) -> TcpLivenessConnection | results.Failure:
    """Opens a liveness connection to a process."""
    try:
        with trio.fail_after(CONNECT_TIMEOUT_S):
            stream = await trio.open_tcp_stream(address.host, address.port)
    except trio.TooSlowError:
        return results.Failure(
            results.ResultCode.UPSTREAM_SILENT,
            'the upstream does not accept a connection',
        )
    except OSError as error:
        return results.Failure(
            results.ResultCode.UPSTREAM_UNREACHABLE, str(error)
        )
    return TcpLivenessConnection(stream)
