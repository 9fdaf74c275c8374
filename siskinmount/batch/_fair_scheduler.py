"""Fair scheduling of batch items between callers and jobs."""

from collections.abc import Callable

from siskinmount.batch import _job_item_queue

# Factor on the weight of a caller for items of a job that is at risk of being
# late.
AT_RISK_WEIGHT_FACTOR = 4
RATE_WINDOW_S = 60.0


class ItemRate:
    """Moving average of the items that end per second.

    Attributes:
        per_s: The rate; 0 until an item has ended.
    """

    __slots__ = ('per_s', '_updated_at_s')

    def __init__(self, now_s: float) -> None:
        self.per_s = 0.0
        self._updated_at_s = now_s

    def record(self, count: int, now_s: float) -> None:
        """Adds the number of items that ended since the last call."""
        elapsed_s = now_s - self._updated_at_s
        if elapsed_s <= 0:
            return
        share = min(1.0, elapsed_s / RATE_WINDOW_S)
        self.per_s += (count / elapsed_s - self.per_s) * share
        self._updated_at_s = now_s


def latest_start_ms(due_at_ms: int, open_count: int, rate_per_s: float) -> int:
    """Returns the latest start at which a job ends by its due time.

    Args:
        due_at_ms: When the job is due, milliseconds since the Unix epoch.
        open_count: Number of items that have not ended.
        rate_per_s: Items that end per second.

    Returns:
        Milliseconds since the Unix epoch.
    """
    if rate_per_s <= 0:
        return due_at_ms
    return due_at_ms - int(1000 * open_count / rate_per_s)


class FairScheduler:
    """Start-time fair queueing of a service's items between callers.

    The next item comes from the caller that was served least relative to its
    weight. A caller that had no jobs for a while gets no credit for that time.
    """

    __slots__ = ('_weight_of', '_finish_tags', '_virtual_time')

    def __init__(self, weight_of: Callable[[str], int]) -> None:
        self._weight_of = weight_of
        # Virtual finish time of the last item of each caller.
        self._finish_tags: dict[str, float] = {}
        self._virtual_time = 0.0

    def group_by_caller(
        self,
        queues: list[_job_item_queue.JobItemQueue],
        rate_per_s: float,
    ) -> dict[str, list[_job_item_queue.JobItemQueue]]:
        """Groups queues by caller, each ordered by the job's latest start."""
        by_caller: dict[str, list[_job_item_queue.JobItemQueue]] = {}
        for queue in queues:
            caller = queue.job.submitted.caller
            by_caller.setdefault(caller, []).append(queue)
        for jobs in by_caller.values():
            jobs.sort(key=lambda queue: _latest_start(queue, rate_per_s))
        return by_caller

    def next_caller(self, callers: list[str]) -> str:
        """Returns the caller to serve next."""
        return min(
            callers,
            key=lambda caller: (
                max(self._finish_tags.get(caller, 0.0), self._virtual_time),
                caller,
            ),
        )

    def record_served(self, caller: str, is_at_risk: bool) -> None:
        """Records that an item of a caller was dispatched."""
        weight = max(1, self._weight_of(caller))
        if is_at_risk:
            weight *= AT_RISK_WEIGHT_FACTOR
        start = max(self._finish_tags.get(caller, 0.0), self._virtual_time)
        self._finish_tags[caller] = start + 1 / weight
        self._virtual_time = start

    def remove_absent(self, callers: set[str]) -> None:
        """Removes callers that have no jobs."""
        for caller in list(self._finish_tags):
            if caller not in callers:
                del self._finish_tags[caller]


def _latest_start(
    queue: _job_item_queue.JobItemQueue, rate_per_s: float
) -> tuple[int, str]:
    job = queue.job
    return (
        latest_start_ms(job.submitted.due_at_ms, job.open_count, rate_per_s),
        job.job_id,
    )
