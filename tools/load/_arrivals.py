"""Arrival times of requests, drawn before the run."""

import math
import random


class ArrivalPattern:
    """Rate of arrivals over time.

    Attributes:
        rate_per_s: Mean requests per second outside of bursts, over a whole
            day.
        burst_factor: Rate within a burst, as a multiple of the rate outside;
            1 for no bursts.
        burst_s: Mean length of a burst.
        quiet_s: Mean time between two bursts.
        day_s: Period of the daily cycle of the rate; 0 for no such cycle.
        night_share: Lowest rate of the day, as a share of the mean.
    """

    __slots__ = (
        'rate_per_s',
        'burst_factor',
        'burst_s',
        'quiet_s',
        'day_s',
        'night_share',
    )

    def __init__(
        self,
        *,
        rate_per_s: float,
        burst_factor: float = 1.0,
        burst_s: float = 1.0,
        quiet_s: float = 5.0,
        day_s: float = 0.0,
        night_share: float = 0.2,
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst_factor = burst_factor
        self.burst_s = burst_s
        self.quiet_s = quiet_s
        self.day_s = day_s
        self.night_share = night_share


class Burst:
    """An interval with a raised rate.

    Attributes:
        start_s: Start in seconds from the start of the run.
        end_s: End in seconds from the start of the run.
    """

    __slots__ = ('start_s', 'end_s')

    def __init__(self, start_s: float, end_s: float) -> None:
        self.start_s = start_s
        self.end_s = end_s


def choose_arrivals(
    pattern: ArrivalPattern, duration_s: float, seed: int
) -> list[float]:
    """Draws the arrival times of a Poisson process with a varying rate.

    Args:
        pattern: Rate over time.
        duration_s: Length of the run in seconds.
        seed: Seed of the random choices.

    Returns:
        Ascending times in seconds from the start of the run.
    """
    rng = random.Random(seed)
    bursts = _choose_bursts(pattern, duration_s, rng)
    peak_rate_per_s = pattern.rate_per_s * max(1.0, pattern.burst_factor)
    if pattern.day_s:
        peak_rate_per_s *= 2 - pattern.night_share
    arrivals: list[float] = []
    now_s = 0.0
    while peak_rate_per_s > 0:
        now_s += rng.expovariate(peak_rate_per_s)
        if now_s >= duration_s:
            break
        rate_per_s = find_rate_per_s(pattern, bursts, now_s)
        # Thinning: a candidate is kept with a probability in proportion to
        # the rate at its time.
        if rng.random() * peak_rate_per_s < rate_per_s:
            arrivals.append(now_s)
    return arrivals


def find_rate_per_s(
    pattern: ArrivalPattern, bursts: list[Burst], now_s: float
) -> float:
    """Returns the requests per second at a time."""
    rate_per_s = pattern.rate_per_s
    for burst in bursts:
        if burst.start_s <= now_s < burst.end_s:
            rate_per_s *= pattern.burst_factor
            break
    if pattern.day_s:
        amplitude = 1 - pattern.night_share
        phase = 2 * math.pi * now_s / pattern.day_s
        rate_per_s *= 1 + amplitude * math.sin(phase)
    return rate_per_s


def _choose_bursts(
    pattern: ArrivalPattern, duration_s: float, rng: random.Random
) -> list[Burst]:
    """Draws bursts, which do not overlap."""
    bursts: list[Burst] = []
    if pattern.burst_factor <= 1:
        return bursts
    now_s = rng.expovariate(1 / pattern.quiet_s)
    while now_s < duration_s:
        end_s = now_s + rng.expovariate(1 / pattern.burst_s)
        bursts.append(Burst(now_s, end_s))
        now_s = end_s + rng.expovariate(1 / pattern.quiet_s)
    return bursts
