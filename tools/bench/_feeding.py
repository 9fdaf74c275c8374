"""Runs several tasks that send items to each of several servers."""

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
    """Runs tasks that each send items one after the other, until cancelled.

    Args:
        targets: The servers.
        items_per_target: Number of tasks, hence items in flight, per server.
        feed: Sends items to one server until cancelled.
        task_status: Notified once all tasks have been started.
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
