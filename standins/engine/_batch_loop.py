"""Continuous batching in steps, without priorities."""

import collections

import trio

from standins import faults as faults_module
from standins.engine import _prefix_cache
from standins.engine import _running_request
from standins.engine import _settings

MIN_STEP_S = 0.0002


class StepWork:
    """Work of one step.

    Attributes:
        prefill_tokens: Number of prompt tokens to compute.
        decoding: Requests that get a token at the end of the step.
    """

    __slots__ = ('prefill_tokens', 'decoding')

    def __init__(
        self,
        prefill_tokens: int,
        decoding: list[_running_request.RunningRequest],
    ) -> None:
        self.prefill_tokens = prefill_tokens
        self.decoding = decoding


def compute_step_ms(
    settings: _settings.EngineSettings, work: StepWork
) -> float:
    """Returns the unscaled time of a step."""
    return (
        settings.step_base_ms
        + settings.step_per_request_ms * len(work.decoding)
        + settings.prefill_per_token_ms * work.prefill_tokens
    )


class BatchLoop:
    """Runs all requests of an engine in steps.

    Attributes:
        running: Requests in the batch, in order of admission.
        waiting: Requests queued for a place in the batch.
        cache: The prefix cache.
        step_count: Number of finished steps.
        generated_count: Number of generated tokens.
        prefilled_count: Number of computed prompt tokens.
        last_step_ms: Unscaled time of the newest step.
    """

    __slots__ = (
        'running',
        'waiting',
        'cache',
        'step_count',
        'generated_count',
        'prefilled_count',
        'last_step_ms',
        '_settings',
        '_faults',
        '_work_arrived',
    )

    def __init__(
        self,
        settings: _settings.EngineSettings,
        cache: _prefix_cache.PrefixCache,
        faults: faults_module.Faults,
    ) -> None:
        self.running: list[_running_request.RunningRequest] = []
        self.waiting: collections.deque[_running_request.RunningRequest] = (
            collections.deque()
        )
        self.cache = cache
        self.step_count = 0
        self.generated_count = 0
        self.prefilled_count = 0
        self.last_step_ms = 0.0
        self._settings = settings
        self._faults = faults
        self._work_arrived = trio.Event()

    def submit(self, request: _running_request.RunningRequest) -> None:
        """Queues a request; it joins the batch with the next step."""
        self.waiting.append(request)
        self._work_arrived.set()

    def abort_all(self) -> None:
        """Ends all requests with `FinishReason.ABORTED`."""
        for request in [*self.running, *self.waiting]:
            request.end(_running_request.FinishReason.ABORTED)

    async def run(self) -> None:
        """Runs steps until cancelled."""
        step_end_s = trio.current_time()
        while True:
            self._remove_ended()
            self._admit()
            if not self.running:
                self._work_arrived = trio.Event()
                await self._work_arrived.wait()
                step_end_s = trio.current_time()
                continue
            work = self._plan_step()
            self.last_step_ms = compute_step_ms(self._settings, work)
            step_s = self.last_step_ms * self._settings.time_scale / 1000
            step_end_s += max(MIN_STEP_S, step_s)
            if step_end_s > trio.current_time():
                await trio.sleep_until(step_end_s)
            else:
                step_end_s = trio.current_time()
                await trio.lowlevel.checkpoint()
            await self._faults.wait_unfrozen()
            self._finish_step(work)

    def _remove_ended(self) -> None:
        """Drops ended and cancelled requests from the batch and the queue."""
        self.running = [
            request for request in self.running if request.finish_reason is None
        ]
        self.waiting = collections.deque(
            request for request in self.waiting if request.finish_reason is None
        )

    def _admit(self) -> None:
        """Moves queued requests into the batch in FIFO order."""
        while self.waiting and len(self.running) < self._settings.max_running:
            request = self.waiting.popleft()
            request.admit(self.cache)
            self.running.append(request)

    def _plan_step(self) -> StepWork:
        """Allocates the prefill tokens of a step in order of admission."""
        budget = self._settings.prefill_chunk_tokens
        prefill_tokens = 0
        decoding: list[_running_request.RunningRequest] = []
        for request in self.running:
            if not request.prefill_left:
                decoding.append(request)
                continue
            chunk = min(budget, request.prefill_left)
            request.prefill_left -= chunk
            budget -= chunk
            prefill_tokens += chunk
            if request.prefill_left:
                continue
            self.cache.store(request.hash_prefix())
            decoding.append(request)
        return StepWork(prefill_tokens, decoding)

    def _finish_step(self, work: StepWork) -> None:
        """Generates a token for each decoding request."""
        self.step_count += 1
        self.prefilled_count += work.prefill_tokens
        for request in work.decoding:
            if request.finish_reason is not None:
                continue
            request.decode()
            self.generated_count += 1
            if request.finish_reason is not None:
                self.cache.store(request.hash_all())
