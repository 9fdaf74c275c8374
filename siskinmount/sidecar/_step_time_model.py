"""Model of the time between tokens over the number of running requests."""

MIN_SAMPLES = 12
FULL_WEIGHT_SAMPLES = 60
SMOOTHING_FACTOR = 0.08
MAX_UPDATE_SHARE = 0.5


class _Estimate:
    """Exponentially smoothed time between tokens at one concurrency."""

    __slots__ = ('time_ms', 'sample_count')

    def __init__(self, time_ms: float) -> None:
        self.time_ms = time_ms
        self.sample_count = 1

    def add(self, time_ms: float) -> None:
        """Adds a sample; an outlier moves the estimate by a bounded step."""
        bound = MAX_UPDATE_SHARE * self.time_ms
        difference = max(-bound, min(bound, time_ms - self.time_ms))
        self.sample_count += 1
        weight = max(SMOOTHING_FACTOR, 1 / self.sample_count)
        self.time_ms += weight * difference


class StepTimeModel:
    """Fits a weighted line through the estimates for each concurrency."""

    __slots__ = ('_estimates',)

    def __init__(self) -> None:
        self._estimates: dict[int, _Estimate] = {}

    def add(self, running: int, time_ms: float) -> None:
        """Adds the time between two tokens while `running` requests ran."""
        estimate = self._estimates.get(running)
        if estimate is None:
            self._estimates[running] = _Estimate(time_ms)
        else:
            estimate.add(time_ms)

    def estimate_ms(self, running: int) -> float | None:
        """Returns the expected time between tokens, or None if unknown."""
        line = self._fit()
        if line is None:
            return None
        base_ms, per_request_ms = line
        return base_ms + per_request_ms * running

    def count_allowed_batch(
        self, online: int, max_slowdown: float, limit: int
    ) -> int:
        """Returns how many batch requests may run beside online ones.

        At most one more than the highest sampled concurrency is allowed, so
        that the model is extended step by step.

        Args:
            online: Number of running online requests.
            max_slowdown: Bound on the time between tokens, as a multiple of
                what it would be without batch.
            limit: Upper bound of the result.
        """
        sampled = self._list_sampled()
        if not sampled:
            return min(limit, 1)
        exploration_limit = max(0, max(sampled) + 1 - online)
        line = self._fit()
        if line is None:
            return min(limit, max(1, exploration_limit))
        base_ms, per_request_ms = line
        if per_request_ms <= 0:
            return min(limit, max(1, exploration_limit))
        alone_ms = base_ms + per_request_ms * online
        affordable = int((max_slowdown - 1) * alone_ms / per_request_ms)
        return max(0, min(limit, affordable, max(1, exploration_limit)))

    def describe(self) -> dict[str, float]:
        """Returns the estimates by number of requests, for operators."""
        return {
            str(running): round(self._estimates[running].time_ms, 2)
            for running in sorted(self._list_sampled())
        }

    def _list_sampled(self) -> list[int]:
        """Returns the numbers of requests that have enough samples."""
        return [
            running
            for running, estimate in self._estimates.items()
            if estimate.sample_count >= MIN_SAMPLES
        ]

    def _fit(self) -> tuple[float, float] | None:
        """Returns intercept and slope of the weighted least-squares line.

        Returns None with fewer than two sampled numbers of requests.
        """
        total = 0.0
        sum_x = 0.0
        sum_y = 0.0
        sampled = self._list_sampled()
        if len(sampled) < 2:
            return None
        for running in sampled:
            estimate = self._estimates[running]
            weight = min(estimate.sample_count, FULL_WEIGHT_SAMPLES)
            total += weight
            sum_x += weight * running
            sum_y += weight * estimate.time_ms
        mean_x = sum_x / total
        mean_y = sum_y / total
        variance = 0.0
        covariance = 0.0
        for running in sampled:
            estimate = self._estimates[running]
            weight = min(estimate.sample_count, FULL_WEIGHT_SAMPLES)
            variance += weight * (running - mean_x) ** 2
            covariance += (
                weight * (running - mean_x) * (estimate.time_ms - mean_y)
            )
        slope = covariance / variance
        return mean_y - slope * mean_x, slope
