"""TCP keep-alive settings that detect dead connections."""

import socket

import trio

IDLE_S = 2
INTERVAL_S = 1
PROBES = 3
#: Time for which sent bytes may stay unacknowledged. Round trips take
#: milliseconds, so this allows for a few lost packets.
USER_TIMEOUT_MS = 3000


def enable_keep_alive(stream: trio.SocketStream) -> None:
    """Enables kernel keep-alive probes and a bound on unacknowledged data.

    A connection whose peer was replaced, or whose state a network device has
    dropped, fails within a few seconds even if nothing is sent.
    """
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
    )
