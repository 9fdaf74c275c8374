"""Runs children in a nursery and restarts those that fail."""

import collections
from collections.abc import Awaitable
from collections.abc import Callable
import logging
import random

import trio

from siskinmount import results

_LOGGER = logging.getLogger(__name__)

INITIAL_BACKOFF_MS = 50
MAX_BACKOFF_MS = 5000
RESTART_WINDOW_S = 60.0
MAX_RESTARTS_IN_WINDOW = 10


class RestartLimitError(Exception):
    """A child failed too often; the parent supervisor handles this."""


class Child:
    """A child of a supervisor.

    Attributes:
        name: Identifies the child in logs.
        run: Coroutine function without arguments. A return ends the child
            permanently; after an exception the supervisor restarts it.
    """

    __slots__ = ('name', 'run')

    def __init__(self, name: str, run: Callable[[], Awaitable[None]]) -> None:
        self.name = name
        self.run = run


async def run_supervisor(
    name: str,
    children: list[Child],
    *,
    escalates: bool = True,
    count_failure: Callable[[str], None] | None = None,
) -> None:
    """Runs the children until all have returned.

    Args:
        name: Identifies the supervisor in logs.
        children: The children, which are started together.
        escalates: Whether a child that fails too often ends the supervisor.
            Otherwise it is restarted with the longest backoff, forever: where
            the other children serve callers, a part that fails is better than
            a process that ends.
        count_failure: Told the name of each child that fails.

    Raises:
        RestartLimitError: A child failed more than
            `MAX_RESTARTS_IN_WINDOW` times within `RESTART_WINDOW_S`.
    """
    async with trio.open_nursery() as nursery:
        for child in children:
            nursery.start_soon(
                _run_child, name, child, escalates, count_failure
            )


async def _run_child(
    supervisor_name: str,
    child: Child,
    escalates: bool,
    count_failure: Callable[[str], None] | None,
) -> None:
    """Runs one child, restarting it after each failure, until it returns."""
    failure_times_s: collections.deque[float] = collections.deque()
    while True:
        try:
            await child.run()
            return
        except Exception as error:
            now_s = trio.current_time()
            failure_times_s.append(now_s)
            _drop_older_than(failure_times_s, now_s - RESTART_WINDOW_S)
            _LOGGER.exception(
                'child_failed',
                extra={
                    'code': int(results.ResultCode.CHILD_RESTARTED),
                    'supervisor': supervisor_name,
                    'child': child.name,
                    'failures_in_window': len(failure_times_s),
                },
            )
            if count_failure is not None:
                count_failure(child.name)
            if escalates and len(failure_times_s) > MAX_RESTARTS_IN_WINDOW:
                raise RestartLimitError(
                    f'{supervisor_name}/{child.name}'
                ) from error
        await trio.sleep(_compute_backoff_ms(len(failure_times_s)) / 1000)


def _drop_older_than(times_s: collections.deque[float], limit_s: float) -> None:
    """Removes the leading times that are before the limit."""
    while times_s and times_s[0] < limit_s:
        times_s.popleft()


def _compute_backoff_ms(failure_count: int) -> float:
    """Returns an exponential backoff with jitter, in milliseconds."""
    ceiling_ms = min(
        MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2 ** (failure_count - 1)
    )
    return random.uniform(ceiling_ms / 2, ceiling_ms)
