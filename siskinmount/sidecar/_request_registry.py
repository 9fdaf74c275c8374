"""Registry of requests that run here or ended recently."""

import collections

import trio

from siskinmount import results
from siskinmount.sidecar import _invariant
from siskinmount.sidecar import _run_request
from siskinmount.sidecar import _running_request

ENDED_RETENTION_S = 60.0
MAX_ENDED_BYTES = 64 * 1024 * 1024
MAX_CANCELLED_IDS = 10_000
WAKE_INTERVAL_S = 0.25


class RequestRegistry:
    """Finds requests by id, so that no request runs twice.

    Attributes:
        ended_bytes: Estimated memory of the output of ended requests.
    """

    __slots__ = ('ended_bytes', '_requests', '_ended', '_cancelled_ids')

    def __init__(self) -> None:
        self.ended_bytes = 0
        self._requests: dict[str, _running_request.RunningRequest] = {}
        self._ended: collections.deque[_running_request.RunningRequest] = (
            collections.deque()
        )
        self._cancelled_ids: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def find(self, request_id: str) -> _running_request.RunningRequest | None:
        """Returns a request that runs or has not expired, or None."""
        self._expire()
        return self._requests.get(request_id)

    def add(
        self, request: _run_request.RunRequest
    ) -> _running_request.RunningRequest | results.Failure:
        """Adds a request to run.

        The calling code must have checked with `find_attachable` that there is
        no run to attach to.
        """
        self._expire()
        if request.request_id in self._cancelled_ids:
            return results.Failure(
                results.ResultCode.REQUEST_CANCELLED,
                'the request was cancelled before it arrived',
            )
        known = self._requests.get(request.request_id)
        _invariant.require(
            known is None or known.ended,
            'one_run_per_request',
            request_id=request.request_id,
        )
        if known is not None:
            self._remove(known)
        running = _running_request.RunningRequest(request)
        self._requests[request.request_id] = running
        return running

    def find_attachable(
        self, request: _run_request.RunRequest
    ) -> _running_request.RunningRequest | None:
        """Returns the earlier run that a request must attach to, if any.

        A later attempt does not attach to a failed run.
        """
        known = self.find(request.request_id)
        if known is None:
            return None
        newer = request.attempt > known.request.attempt
        if known.failure is not None and newer:
            return None
        return known

    def mark_ended(self, running: _running_request.RunningRequest) -> None:
        """Keeps an ended request for late readers.

        A request that was not run is removed, so that it can be sent again.
        """
        failure = running.failure
        not_run = (
            failure is not None
            and failure.run_state is results.RunState.NOT_RUN
        )
        if not_run:
            del self._requests[running.request.request_id]
            return
        self._ended.append(running)
        self.ended_bytes += running.size_bytes
        self._expire()

    def remember_cancelled(self, request_id: str) -> None:
        """Refuses the id for a while in case its request arrives later."""
        self._cancelled_ids[request_id] = (
            trio.current_time() + ENDED_RETENTION_S
        )
        if len(self._cancelled_ids) > MAX_CANCELLED_IDS:
            self._cancelled_ids.popitem(last=False)

    def list_all(self) -> list[_running_request.RunningRequest]:
        """Returns all requests, including ended ones."""
        self._expire()
        return list(self._requests.values())

    def list_running(self) -> list[_running_request.RunningRequest]:
        """Returns the requests that have not ended."""
        return [
            running for running in self._requests.values() if not running.ended
        ]

    async def wake_readers(self) -> None:
        """Wakes all readers periodically, forever.

        One shared timer costs less than one for each wait of each reader.
        """
        while True:
            await trio.sleep(WAKE_INTERVAL_S)
            for running in self.list_running():
                running.wake()

    def _expire(self) -> None:
        """Removes ended requests by age and memory, and old cancellations."""
        now_s = trio.current_time()
        while self._ended:
            oldest = self._ended[0]
            fresh = now_s - oldest.ended_at_s < ENDED_RETENTION_S
            if fresh and self.ended_bytes <= MAX_ENDED_BYTES:
                break
            self._remove(oldest)
        while self._cancelled_ids:
            request_id, until_s = next(iter(self._cancelled_ids.items()))
            if until_s > now_s:
                break
            del self._cancelled_ids[request_id]

    def _remove(self, running: _running_request.RunningRequest) -> None:
        """Removes an ended request."""
        self._ended.remove(running)
        self.ended_bytes -= running.size_bytes
        del self._requests[running.request.request_id]
