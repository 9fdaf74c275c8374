"""Runs commands in a test, and the servers they call in a second thread."""

import contextlib
import io
import queue
import threading

import trio

from siskinmount import commands

_WAIT_S = 60


@contextlib.contextmanager
def serve(start):
    """Runs `start(nursery)` in a trio thread and yields what it returned.

    The tasks in the nursery are cancelled on exit.
    """
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
    """Returns the exit status and the texts of `output` and `errors`."""
    output = io.StringIO()
    errors = io.StringIO()
    status = commands.run_command_line(['siskinmount', *words], output, errors)
    return status, output.getvalue(), errors.getvalue()
