"""Decides which requests are still started while the process shuts down."""

import logging

import trio

from siskinmount import results

_LOGGER = logging.getLogger(__name__)

#: Time after the stop signal in which the load balancer may still send callers
#: that cannot know of it.
UNAWARE_CALLERS_S = 3.0
#: Time for the last answers to be sent before connections are closed.
ANSWERS_SENT_S = 0.2


class ShutdownAdmission:
    """Refuses requests that may not end before the process does.

    A refused request is sent to another process at once. One that is cut off at
    the end has run in part, and its caller may not repeat it.
    """

    __slots__ = ('_began_at_s', '_ends_at_s', '_has_ended', '_open_scopes')

    def __init__(self) -> None:
        self._began_at_s = float('inf')
        self._ends_at_s = float('inf')
        self._has_ended = False
        self._open_scopes: set[trio.CancelScope] = set()

    def begin(self, ends_at_s: float) -> None:
        """Records that a graceful shutdown has begun.

        Args:
            ends_at_s: Monotonic time at which open requests are cut off.
        """
        self._began_at_s = trio.current_time()
        self._ends_at_s = ends_at_s

    def check(
        self, request_id: str, deadline_s: float, may_repeat: bool
    ) -> results.Failure | None:
        """Returns why a request must not be started; None if it may be.

        Args:
            request_id: Id of the request, for the log.
            deadline_s: Monotonic time at which it ends at the latest.
            may_repeat: Whether it may run again elsewhere if it is cut off.
        """
        if deadline_s <= self._ends_at_s:
            return None
        now_s = trio.current_time()
        if may_repeat and now_s < self._began_at_s + UNAWARE_CALLERS_S:
            return None
        _LOGGER.info(
            'request_too_late_to_start',
            extra={
                'request_id': request_id,
                'left_ms': int((self._ends_at_s - now_s) * 1000),
                'limit_ms': int((deadline_s - now_s) * 1000),
                'may_repeat': may_repeat,
            },
        )
        return results.Failure(
            results.ResultCode.LEAVING,
            'the process may stop before the request ends',
            retry_after_ms=0,
        )

    def open(self, scope: trio.CancelScope) -> None:
        """Adds the scope of a request that is to be ended by `end`."""
        self._open_scopes.add(scope)
        if self._has_ended:
            scope.cancel()

    def close(self, scope: trio.CancelScope) -> None:
        """Removes the scope of a request that has ended."""
        self._open_scopes.discard(scope)

    @property
    def has_ended(self) -> bool:
        """Whether open requests have been ended."""
        return self._has_ended

    async def end(self) -> int:
        """Ends all open requests, and returns how many there were.

        Those whose response has not begun are answered.
        """
        count = len(self._open_scopes)
        self._has_ended = True
        for scope in list(self._open_scopes):
            scope.cancel()
        if count:
            await trio.sleep(ANSWERS_SENT_S)
        return count


def create_shutdown_admission() -> ShutdownAdmission:
    """Creates the admission of a process that runs on."""
    return ShutdownAdmission()
