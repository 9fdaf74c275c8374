"""Reads and writes of sockets without the cost of what is seldom needed.

A relayed event takes one read and one write. Trio's stream methods translate
errors, check for conflicts and yield to other tasks in each call; that is half
of the processor time of such an event.
"""

import os

import trio


async def receive(stream: trio.SocketStream, max_bytes: int) -> bytes:
    """Waits until a socket is readable and reads; empty bytes at the end.

    For data that is usually still on its way.

    Raises:
        trio.BrokenResourceError: The connection is broken.
        trio.ClosedResourceError: The stream was closed meanwhile.
    """
    while True:
        await trio.lowlevel.wait_readable(stream.socket)
        try:
            return os.read(stream.socket.fileno(), max_bytes)
        except BlockingIOError:
            continue
        except OSError as error:
            raise trio.BrokenResourceError(str(error)) from error


def receive_arrived(stream: trio.SocketStream, max_bytes: int) -> bytes:
    """Returns bytes that have arrived; none if there are none."""
    try:
        return os.read(stream.socket.fileno(), max_bytes)
    except OSError:
        return b''


def send_at_once(stream: trio.SocketStream, data: bytes) -> int:
    """Writes what the socket takes now, and returns how many bytes that is.

    Raises:
        trio.BrokenResourceError: The connection is broken or closed.
    """
    try:
        return os.write(stream.socket.fileno(), data)
    except BlockingIOError:
        return 0
    except OSError as error:
        raise trio.BrokenResourceError(str(error)) from error
