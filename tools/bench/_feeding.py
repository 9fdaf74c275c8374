"""Keeps several tasks feeding each of several servers."""

from collections.abc import Awaitable
from collections.abc import Callable

import trio

from siskinmount import transport

SILENCE_TIMEOUT_MS = 60_000


async def feed_all(
    targets: list[transport.Address],
    items_per_target: int,
    feed: Callable[[transport.HttpClient], Awaitable[None]],
    task_status: trio.TaskStatus,
) -> None:
    """Runs tasks that each send one item after the other, until cancelled.

    Args:
        targets: The servers.
        items_per_target: Tasks for each server.
        feed: Sends items to one server indefinitely.
        task_status: Told once all tasks have started.
    """
    limits = transport.ClientLimits(
        max_connections=items_per_target,
        silence_timeout_ms=SILENCE_TIMEOUT_MS,
    )
    async with trio.open_nursery() as nursery:
        for target in targets:
            client = transport.create_http_client(target, limits)
            for _ in range(items_per_target):
                nursery.start_soon(feed, client)
        task_status.started()
