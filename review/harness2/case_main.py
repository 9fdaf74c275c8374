"""Runs a case with a fleet of its own, and ends all that it started."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import os
import pathlib
import signal
import tempfile
import traceback

import fleet as fleet_module

HELD = 0
BROKEN = 1
NOT_RUN = 2

#: Runs a case with or without its disruption, and returns its exit status.
Run = Callable[[fleet_module.Fleet, fleet_module.Record, bool], Awaitable[int]]


def run_case(
    folder: pathlib.Path,
    run: Run,
    memory_mb: int = fleet_module.MEMORY_MB,
    max_fds: int = fleet_module.MAX_FDS,
) -> int:
    """Returns the exit status of a case.

    Args:
        folder: Folder of the case, which gets the record.
        run: The case.
        memory_mb: Memory of the machine of each gateway.
        max_fds: Descriptors of each gateway.
    """
    is_trouble = os.environ.get('TROUBLE', '1') != '0'
    record = fleet_module.Record(folder / 'record.txt')
    with tempfile.TemporaryDirectory() as temporary:
        fleet = fleet_module.Fleet(
            pathlib.Path(temporary), memory_mb=memory_mb, max_fds=max_fds
        )
        try:
            return asyncio.run(
                _run_until_signal(fleet, record, run, is_trouble)
            )
        except (Exception, asyncio.CancelledError):
            record.write(f'the case could not run: {traceback.format_exc()}')
            return NOT_RUN
        finally:
            fleet.stop()


async def _run_until_signal(
    fleet: fleet_module.Fleet,
    record: fleet_module.Record,
    run: Run,
    is_trouble: bool,
) -> int:
    task = asyncio.current_task()
    if task is not None:
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
    return await run(fleet, record, is_trouble)
