"""Finds connections whose other end has lost track of them."""

import socket

import trio

IDLE_S = 2
INTERVAL_S = 1
PROBES = 3
#: How long sent bytes may stay without an acknowledgement. Round trips take
#: milliseconds; the bound leaves room for a few lost packets.
UNACKNOWLEDGED_MS = 3000


def watch_connection(stream: trio.SocketStream) -> None:
    """Makes the kernel probe a connection and end it when no probe is answered.

    A peer that has been replaced or a network that has forgotten the
    connection shows within a few seconds, also while nothing is sent.
    """
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, IDLE_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, INTERVAL_S)
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    stream.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS
    )
