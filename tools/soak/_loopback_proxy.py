"""A TCP proxy on loopback that delays, drops or resets traffic."""

import enum
import socket
import struct

import trio

from siskinmount import transport

_READ_BYTES = 64 * 1024
#: Closes a socket with a reset instead of an orderly end.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)


class LinkFault(enum.Enum):
    """What the proxy does with the bytes of its connections."""

    #: Bytes are passed on.
    NONE = 'none'

    #: Bytes are dropped both ways, also later ones on these connections.
    SILENT = 'silent'

    #: Bytes from the server are dropped; bytes to the server are passed on.
    ONE_WAY = 'one_way'


class _Connection:
    """One connection through the proxy.

    Attributes:
        caller: Stream of the side that connected.
        is_silenced: Whether bytes of the connection have been dropped.
        caller_left: Set when the caller has closed its side.
    """

    __slots__ = ('caller', 'is_silenced', 'caller_left')

    def __init__(self, caller: trio.SocketStream) -> None:
        self.caller = caller
        self.is_silenced = False
        self.caller_left = trio.Event()


class LoopbackProxy:
    """Passes connections of callers on to one server.

    Attributes:
        address: Address that the proxy listens at, once it runs.
        fault: Fault applied to the bytes now.
        delay_s: Delay of each chunk that is passed on.
    """

    __slots__ = ('address', 'fault', 'delay_s', '_target', '_connections')

    def __init__(self, target: transport.Address) -> None:
        self.address = target
        self.fault = LinkFault.NONE
        self.delay_s = 0.0
        self._target = target
        self._connections: set[_Connection] = set()

    async def run(
        self, task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Accepts and passes on connections until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        self.address = transport.Address('127.0.0.1', port)
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    def reset_connections(self) -> None:
        """Resets all connections that are open now."""
        for connection in list(self._connections):
            raw = connection.caller.socket
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            raw.close()
            # Its task may be in no read that would notice the close.
            self._connections.discard(connection)

    async def _serve(self, caller: trio.SocketStream) -> None:
        connection = _Connection(caller)
        self._connections.add(connection)
        try:
            server = await trio.open_tcp_stream(
                self._target.host, self._target.port
            )
            async with server, trio.open_nursery() as nursery:
                nursery.start_soon(
                    self._pump, connection, caller, server, False
                )
                await self._pump(connection, server, caller, True)
                nursery.cancel_scope.cancel()
        except* (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            # Either side may reset or close; the other is closed below.
            pass
        finally:
            self._connections.discard(connection)
            await trio.aclose_forcefully(caller)

    async def _pump(
        self,
        connection: _Connection,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        is_answer: bool,
    ) -> None:
        """Passes bytes on in one direction until the end of the stream."""
        while True:
            data = await source.receive_some(_READ_BYTES)
            if not data:
                if not is_answer:
                    connection.caller_left.set()
                    await trio.sleep_forever()
                if connection.is_silenced:
                    # TCP delivers no end before the bytes that were lost.
                    await connection.caller_left.wait()
                return
            if self.delay_s:
                await trio.sleep(self.delay_s)
            if self.fault is LinkFault.SILENT:
                connection.is_silenced = True
            if self.fault is LinkFault.ONE_WAY and is_answer:
                connection.is_silenced = True
            if connection.is_silenced and (
                is_answer or self.fault is not LinkFault.ONE_WAY
            ):
                continue
            await sink.send_all(data)
