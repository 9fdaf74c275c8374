"""Runs the HTTP server of a stand-in, in a task or as a process."""

from collections.abc import Awaitable
from collections.abc import Callable
import signal

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from standins import faults as faults_module

BackgroundTask = Callable[[], Awaitable[None]]


async def serve(
    address: transport.Address,
    handler: faults_module.StandinHandler,
    faults: faults_module.Faults,
    background_tasks: tuple[BackgroundTask, ...] = (),
    task_status: trio.TaskStatus = trio.TASK_STATUS_IGNORED,
    limits: transport.ServerLimits | None = None,
) -> None:
    """Serves until cancelled.

    Args:
        address: Where to listen. Port 0 picks a free port.
        handler: Handles each request.
        faults: The faults that affect the handler.
        background_tasks: Run concurrently with the server.
        task_status: Receives the address that the server listens on.
        limits: Limits of the server, if not the default ones.
    """
    server = transport.create_http_server(
        faults_module.create_fault_injecting_handler(handler, faults), limits
    )
    async with trio.open_nursery() as nursery:
        for task in background_tasks:
            nursery.start_soon(task)
        listening = await nursery.start(server.run, address)
        task_status.started(listening)


def run_process(
    address_text: str,
    handler: faults_module.StandinHandler,
    faults: faults_module.Faults,
    background_tasks: tuple[BackgroundTask, ...] = (),
) -> None:
    """Serves until SIGTERM or SIGINT; first prints the address as JSON line."""
    address = transport.parse_address(address_text)
    if isinstance(address, results.Failure):
        raise SystemExit(address.reason)
    trio.run(_run_until_signal, address, handler, faults, background_tasks)


async def _run_until_signal(
    address: transport.Address,
    handler: faults_module.StandinHandler,
    faults: faults_module.Faults,
    background_tasks: tuple[BackgroundTask, ...],
) -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with trio.open_nursery() as nursery:
            listening = await nursery.start(
                serve, address, handler, faults, background_tasks
            )
            line = orjson.dumps({'listening': str(listening)})
            print(line.decode('ascii'), flush=True)
            await anext(signals)
            nursery.cancel_scope.cancel()
