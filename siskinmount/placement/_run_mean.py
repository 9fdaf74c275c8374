"""A moving average of durations."""

#: Weight of a new sample in the average.
SAMPLE_WEIGHT = 0.05


class RunMean:
    """A moving average of durations.

    The first samples weigh as much as each other: a member of a large fleet
    gets a few requests a second, and a service may be far from the initial
    value.

    Attributes:
        run_ms: The average.
        sample_count: Number of samples.
    """

    __slots__ = ('run_ms', 'sample_count')

    def __init__(self) -> None:
        self.run_ms = 0.0
        self.sample_count = 0

    def add(self, run_ms: float) -> None:
        """Adds a sample."""
        self.sample_count += 1
        weight = max(SAMPLE_WEIGHT, 1 / self.sample_count)
        self.run_ms += (run_ms - self.run_ms) * weight
