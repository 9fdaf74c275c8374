"""Answers one request with given bytes, and closes or resets the connection."""

import socket
import struct

import trio

from siskinmount import transport

TEST_TIMEOUT_S = 10
#: A reset discards bytes that the client has not read yet.
_RESET_DELAY_S = 0.05


def run_against(response, call, is_reset=False, exits=False):
    """Returns what `call(address)` returns.

    Args:
        response: All bytes that the server sends on each connection.
        call: Coroutine function that is given the server's address.
        is_reset: Whether the server resets the connection after them.
        exits: Whether the server then ends, with all its connections.
    """
    scope = trio.CancelScope()

    async def serve(stream):
        await stream.receive_some(65536)
        await stream.send_all(response)
        if is_reset:
            await trio.sleep(_RESET_DELAY_S)
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
        if exits:
            scope.cancel()
        await trio.aclose_forcefully(stream)

    async def listen(task_status):
        with scope:
            await trio.serve_tcp(
                serve, 0, host='127.0.0.1', task_status=task_status
            )

    async def main():
        with trio.fail_after(TEST_TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                listeners = await nursery.start(listen)
                port = listeners[0].socket.getsockname()[1]
                outcome = await call(transport.Address('127.0.0.1', port))
                nursery.cancel_scope.cancel()
                return outcome

    return trio.run(main)
