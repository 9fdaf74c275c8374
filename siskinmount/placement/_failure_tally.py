"""Exponentially decaying counts of runs and failures."""

import math

import trio

#: Half-life of the counts. A repaired upstream is used again after about twice
#: this time.
HALF_LIFE_S = 2.0


class FailureTally:
    """Decaying counts of the runs and failed runs at one upstream.

    Attributes:
        failures: Decayed count of failed runs.
        runs: Decayed count of all runs.
        at_s: Monotonic time up to which both counts are decayed.
    """

    __slots__ = ('failures', 'runs', 'at_s')

    def __init__(self, failures: float = 0.0, runs: float = 0.0) -> None:
        self.failures = failures
        self.runs = runs
        self.at_s = trio.current_time()

    def decay(self) -> None:
        """Decays both counts up to the current time."""
        now_s = trio.current_time()
        factor = math.exp2((self.at_s - now_s) / HALF_LIFE_S)
        self.failures *= factor
        self.runs *= factor
        self.at_s = now_s

    def add_run(self, is_failure: bool) -> None:
        """Counts a run that has ended."""
        self.decay()
        self.runs += 1
        if is_failure:
            self.failures += 1
