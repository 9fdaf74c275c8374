"""Times at which requests are sent, chosen before the run."""

import math
import random


class ArrivalPattern:
    """How the rate of arrivals changes over time.

    Attributes:
        rate_per_s: Mean rate outside of bursts and over a whole day.
        burst_factor: Rate within a burst, as a multiple; 1 for no bursts.
        burst_s: Mean length of a burst.
        quiet_s: Mean time between two bursts.
        day_s: Length of a day; 0 for a rate that doesn't follow the day.
        night_share: Rate at the deepest of the night, as a share of the mean.
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
    """A time of raised rate.

    Attributes:
        start_s: Start, from the start of the run.
        end_s: End.
    """

    __slots__ = ('start_s', 'end_s')

    def __init__(self, start_s: float, end_s: float) -> None:
        self.start_s = start_s
        self.end_s = end_s


def choose_arrivals(
    pattern: ArrivalPattern, duration_s: float, seed: int
) -> list[float]:
    """Returns arrival times of a Poisson process with a changing rate.

    Args:
        pattern: The rate over time.
        duration_s: Length of the run.
        seed: Decides everything that is random.

    Returns:
        Rising times in seconds from the start of the run.
    """
    source = random.Random(seed)
    bursts = _choose_bursts(pattern, duration_s, source)
    peak_rate_per_s = pattern.rate_per_s * max(1.0, pattern.burst_factor)
    if pattern.day_s:
        peak_rate_per_s *= 2 - pattern.night_share
    arrivals: list[float] = []
    now_s = 0.0
    while peak_rate_per_s > 0:
        now_s += source.expovariate(peak_rate_per_s)
        if now_s >= duration_s:
            break
        rate_per_s = find_rate_per_s(pattern, bursts, now_s)
        # Thinning: a candidate is kept in proportion to the rate at its time.
        if source.random() * peak_rate_per_s < rate_per_s:
            arrivals.append(now_s)
    return arrivals


def find_rate_per_s(
    pattern: ArrivalPattern, bursts: list[Burst], now_s: float
) -> float:
    """Returns the rate at a time."""
    rate_per_s = pattern.rate_per_s
    for burst in bursts:
        if burst.start_s <= now_s < burst.end_s:
            rate_per_s *= pattern.burst_factor
            break
    if pattern.day_s:
        depth = 1 - pattern.night_share
        phase = 2 * math.pi * now_s / pattern.day_s
        rate_per_s *= 1 + depth * math.sin(phase)
    return rate_per_s


def _choose_bursts(
    pattern: ArrivalPattern, duration_s: float, source: random.Random
) -> list[Burst]:
    """Returns bursts that don't overlap."""
    bursts: list[Burst] = []
    if pattern.burst_factor <= 1:
        return bursts
    now_s = source.expovariate(1 / pattern.quiet_s)
    while now_s < duration_s:
        end_s = now_s + source.expovariate(1 / pattern.burst_s)
        bursts.append(Burst(now_s, end_s))
        now_s = end_s + source.expovariate(1 / pattern.quiet_s)
    return bursts
