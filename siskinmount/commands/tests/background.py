"""Runs servers in a thread while a test runs a command."""

import contextlib
import io
import queue
import threading

import trio

from siskinmount import commands

_WAIT_S = 60


@contextlib.contextmanager
def serve(start):
    """Yields what `await start(nursery)` returned, then cancels its tasks."""
    started = queue.Queue()

    async def main():
        async with trio.open_nursery() as nursery:
            value = await start(nursery)
            token = trio.lowlevel.current_trio_token()
            started.put((value, nursery.cancel_scope, token))

    thread = threading.Thread(target=trio.run, args=(main,), daemon=True)
    thread.start()
    value, scope, token = started.get(timeout=_WAIT_S)
    try:
        yield value
    finally:
        token.run_sync_soon(scope.cancel)
        thread.join(_WAIT_S)


def run_command(*words):
    """Returns the exit status and what was written to both streams."""
    output = io.StringIO()
    errors = io.StringIO()
    status = commands.run_command_line(['siskinmount', *words], output, errors)
    return status, output.getvalue(), errors.getvalue()
