"""Which job the next item comes from."""

from collections.abc import Callable

from siskinmount.batch import _job_dispatch

# How much more a caller gets while one of its jobs is about to be late.
AT_RISK_WEIGHT_FACTOR = 4
RATE_WINDOW_S = 60.0


class ItemRate:
    """Measures how many items end a second, over the last minute or so.

    Attributes:
        per_s: The rate; 0 until something has ended.
    """

    __slots__ = ('per_s', '_updated_at_s')

    def __init__(self, now_s: float) -> None:
        self.per_s = 0.0
        self._updated_at_s = now_s

    def note(self, count: int, now_s: float) -> None:
        """Notes items that ended since the last call."""
        elapsed_s = now_s - self._updated_at_s
        if elapsed_s <= 0:
            return
        share = min(1.0, elapsed_s / RATE_WINDOW_S)
        self.per_s += (count / elapsed_s - self.per_s) * share
        self._updated_at_s = now_s


def latest_start_ms(due_at_ms: int, open_count: int, rate_per_s: float) -> int:
    """Returns when a job has to start to be finished when it is due."""
    if rate_per_s <= 0:
        return due_at_ms
    return due_at_ms - int(1000 * open_count / rate_per_s)


class DispatchOrder:
    """Shares a service's items between callers by weight.

    A caller that has had less for its weight comes first. A caller that was
    away does not get the arrears of that time.
    """

    __slots__ = ('_weight_of', '_served', '_floor')

    def __init__(self, weight_of: Callable[[str], int]) -> None:
        self._weight_of = weight_of
        # Items handed out to each caller, divided by its weight.
        self._served: dict[str, float] = {}
        self._floor = 0.0

    def sort(
        self,
        dispatches: list[_job_dispatch.JobDispatch],
        rate_per_s: float,
    ) -> dict[str, list[_job_dispatch.JobDispatch]]:
        """Returns each caller's jobs, the earliest latest start first."""
        by_caller: dict[str, list[_job_dispatch.JobDispatch]] = {}
        for dispatch in dispatches:
            caller = dispatch.job.submitted.caller
            by_caller.setdefault(caller, []).append(dispatch)
        for jobs in by_caller.values():
            jobs.sort(key=lambda dispatch: _latest_start(dispatch, rate_per_s))
        return by_caller

    def next_caller(self, callers: list[str]) -> str:
        """Returns the caller whose turn it is."""
        return min(
            callers,
            key=lambda caller: (
                max(self._served.get(caller, 0.0), self._floor),
                caller,
            ),
        )

    def note_served(self, caller: str, is_at_risk: bool) -> None:
        """Notes that an item of a caller was handed out."""
        weight = max(1, self._weight_of(caller))
        if is_at_risk:
            weight *= AT_RISK_WEIGHT_FACTOR
        start = max(self._served.get(caller, 0.0), self._floor)
        self._served[caller] = start + 1 / weight
        self._floor = start

    def forget_absent(self, callers: set[str]) -> None:
        """Forgets callers that have no jobs."""
        for caller in list(self._served):
            if caller not in callers:
                del self._served[caller]


def _latest_start(
    dispatch: _job_dispatch.JobDispatch, rate_per_s: float
) -> tuple[int, str]:
    job = dispatch.job
    return (
        latest_start_ms(job.submitted.due_at_ms, job.open_count, rate_per_s),
        job.job_id,
    )
