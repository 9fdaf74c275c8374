"""Counts of runs and failures that fade with time."""

import math

import trio

#: Time in which a count falls to its half: an upstream that is repaired is
#: used again after about twice this.
HALF_LIFE_S = 2.0


class FailureTally:
    """Runs at one upstream, of which some failed.

    Attributes:
        failures: Failed runs, faded.
        runs: All runs, faded.
        at_s: Steady time to which both are faded.
    """

    __slots__ = ('failures', 'runs', 'at_s')

    def __init__(self, failures: float = 0.0, runs: float = 0.0) -> None:
        self.failures = failures
        self.runs = runs
        self.at_s = trio.current_time()

    def fade(self) -> None:
        """Fades both counts to the present."""
        now_s = trio.current_time()
        share = math.exp2((self.at_s - now_s) / HALF_LIFE_S)
        self.failures *= share
        self.runs *= share
        self.at_s = now_s

    def add_run(self, is_failure: bool) -> None:
        """Counts a run that has ended."""
        self.fade()
        self.runs += 1
        if is_failure:
            self.failures += 1
