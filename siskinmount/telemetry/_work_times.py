"""Measures which kinds of work the event loop is busy with."""

from collections.abc import Callable
import time
from typing import ParamSpec
from typing import TypeVar

from siskinmount.telemetry import _metrics

_Args = ParamSpec('_Args')
_Result = TypeVar('_Result')


class WorkTimes:
    """Adds up the time that the event loop spends in calls, by kind of work.

    Calls must not wait, so that their time is time in which nothing else runs.
    """

    __slots__ = ('_busy_seconds', '_cpu_seconds')

    def __init__(self, metrics: _metrics.Metrics) -> None:
        self._busy_seconds = metrics.create_counter(
            'busy_seconds_total',
            'Time in which the event loop did some kinds of work.',
            'work',
        )
        self._cpu_seconds = metrics.create_gauge(
            'process_cpu_seconds', 'Processor time of the process.'
        )

    def wrap(
        self, work: str, function: Callable[_Args, _Result]
    ) -> Callable[_Args, _Result]:
        """Returns a function whose calls count as a kind of work."""

        def call(*args: _Args.args, **options: _Args.kwargs) -> _Result:
            began_at_s = time.perf_counter()
            try:
                return function(*args, **options)
            finally:
                self._busy_seconds.increment(
                    work, amount=time.perf_counter() - began_at_s
                )

        return call

    def update(self) -> None:
        """Brings the processor time of the process up to date."""
        self._cpu_seconds.set(time.process_time())

    def describe(self) -> dict[str, object]:
        """Returns the times since the start in ms, for the log."""
        times: dict[str, object] = {
            'process_cpu_ms': int(self._cpu_seconds.get() * 1000)
        }
        for (work,), seconds in self._busy_seconds.list_values():
            times[f'{work}_ms'] = int(seconds * 1000)
        return times


def create_work_times(metrics: _metrics.Metrics) -> WorkTimes:
    """Creates times that are all zero."""
    return WorkTimes(metrics)
