"""Limits batch requests beside online ones, from measured token latency."""

import collections

import trio

from siskinmount.sidecar import _gate
from siskinmount.sidecar import _step_time_model

ADJUST_INTERVAL_S = 0.25
PEAK_WINDOW_INTERVALS = 8
GAPS_PER_SAMPLE = 4
DEFAULT_MAX_SLOWDOWN = 1.3
MIN_PREFILL_SHARE = 0.02
MAX_PREFILL_PAUSE_FACTOR = 50.0
PREFILL_WINDOW_TOKENS = 1024


class BatchSlotController:
    """Limits batch beside online requests by the slowdown that it causes.

    The time between tokens is measured at the streams, because the engine's
    own report lags behind.

    Attributes:
        model: Estimates the time between tokens from the number of requests.
        max_slowdown: Bound on the time between an online request's tokens, as
            a multiple of what it would be without batch.
    """

    __slots__ = (
        'model',
        'max_slowdown',
        '_gate',
        '_recent_online_running',
        '_gaps_until_sample',
    )

    def __init__(self, gate: _gate.Gate) -> None:
        self.model = _step_time_model.StepTimeModel()
        self.max_slowdown = DEFAULT_MAX_SLOWDOWN
        self._gate = gate
        self._recent_online_running: collections.deque[int] = collections.deque(
            maxlen=PEAK_WINDOW_INTERVALS
        )
        self._gaps_until_sample = GAPS_PER_SAMPLE

    def record_gap(self, gap_s: float, token_count: int) -> None:
        """Records the time that a stream took for its last tokens.

        One gap in `GAPS_PER_SAMPLE` is used, and none during a prefill.
        """
        self._gaps_until_sample -= 1
        if self._gaps_until_sample:
            return
        self._gaps_until_sample = GAPS_PER_SAMPLE
        # A prefill slows down all streams for a moment; the pauses between
        # batch prefills bound that separately.
        if self._gate.is_prefilling():
            return
        self.model.add(self._gate.count_running(), gap_s * 1000 / token_count)

    async def run(self) -> None:
        """Adjusts the gate periodically, forever."""
        while True:
            self.adjust()
            await trio.sleep(ADJUST_INTERVAL_S)

    def adjust(self) -> None:
        """Sets the gate's limits from the present estimates."""
        load = self._gate.load
        self._recent_online_running.append(load.online_running)
        load.batch_slots_beside_online = self.model.count_allowed_batch(
            max(1, *self._recent_online_running), self.max_slowdown, load.slots
        )
        # Batch prefills take at most the share of time by which batch may slow
        # down online requests.
        share = max(MIN_PREFILL_SHARE, self.max_slowdown - 1)
        self._gate.prefill_pause_factor = min(
            MAX_PREFILL_PAUSE_FACTOR, 1 / share
        )
        # Prefills in progress delay an online request that arrives.
        load.prefill_window_tokens = int(share * PREFILL_WINDOW_TOKENS)
        self._gate.trim_batch()
        self._gate.admit_waiting()
