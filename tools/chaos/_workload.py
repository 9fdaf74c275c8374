"""The requests of a run, drawn from the seed."""

import enum
import random

import trio

from tools.chaos import _batch_caller
from tools.chaos import _entry_client
from tools.chaos import _observations
from tools.chaos import _online_caller
from tools.chaos import _plain_caller

ONLINE_PER_S = 3.0
PLAIN_PER_S = 4.0
MEAN_JOB_INTERVAL_S = 4.0
CANCEL_PROBABILITY = 0.35
PLAIN_JOB_PROBABILITY = 0.3
POISON_SEND_COUNT = 4
POISON_SEND_INTERVAL_S = 0.7
CRASH_MARKER = 'crash_this_engine'


class DisabledMechanism(enum.Enum):
    """A mechanism to disable, to test that the checker detects it."""

    NONE = 'none'

    #: Resends carry no idempotency key.
    IDEMPOTENCY_KEYS = 'idempotency_keys'


class Workload:
    """Starts callers and records their observations.

    Attributes:
        batch_callers: Callers whose results are read again after the run.
    """

    __slots__ = (
        'batch_callers',
        '_client',
        '_observations',
        '_seed',
        '_disabled_mechanism',
        '_model_service',
        '_plain_service',
        '_poison_count',
    )

    def __init__(
        self,
        client: _entry_client.EntryClient,
        observations: _observations.Observations,
        seed: int,
        disabled_mechanism: DisabledMechanism,
        model_service: str,
        plain_service: str,
    ) -> None:
        self.batch_callers: list[_batch_caller.BatchCaller] = []
        self._client = client
        self._observations = observations
        self._seed = seed
        self._disabled_mechanism = disabled_mechanism
        self._model_service = model_service
        self._plain_service = plain_service
        self._poison_count = 0

    async def run(self, run_duration_s: float) -> None:
        """Starts callers for a time and returns when all have finished."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_online, run_duration_s, nursery)
            nursery.start_soon(self._run_plain, run_duration_s, nursery)
            nursery.start_soon(self._run_jobs, run_duration_s, nursery)

    async def send_poison(self) -> None:
        """Sends one engine-crashing prompt several times concurrently."""
        self._poison_count += 1
        prompt = f'{CRASH_MARKER} poison {self._seed} {self._poison_count}'
        async with trio.open_nursery() as nursery:
            for number in range(POISON_SEND_COUNT):
                request = _observations.OnlineObservation(
                    f'poison-{self._poison_count}-{number}', prompt, 8, True
                )
                self._observations.online.append(request)
                nursery.start_soon(
                    _online_caller.OnlineCaller(
                        self._client, self._model_service, request, True
                    ).run
                )
                await trio.sleep(POISON_SEND_INTERVAL_S)

    async def _run_online(
        self, run_duration_s: float, nursery: trio.Nursery
    ) -> None:
        source = random.Random(f'{self._seed} online')
        number = 0
        with trio.move_on_after(run_duration_s):
            while True:
                await trio.sleep(source.expovariate(ONLINE_PER_S))
                number += 1
                length = source.choice((20, 40, 80, 250))
                topic = source.randrange(10)
                request = _observations.OnlineObservation(
                    f'online-{number}',
                    f'topic {topic} ' * 20 + f'request {number}',
                    length,
                )
                self._observations.online.append(request)
                resends = source.random() < 0.6
                nursery.start_soon(
                    _online_caller.OnlineCaller(
                        self._client, self._model_service, request, resends
                    ).run
                )

    async def _run_plain(
        self, run_duration_s: float, nursery: trio.Nursery
    ) -> None:
        source = random.Random(f'{self._seed} plain')
        number = 0
        with trio.move_on_after(run_duration_s):
            while True:
                await trio.sleep(source.expovariate(PLAIN_PER_S))
                number += 1
                call = _observations.PlainObservation(f'booking-{number}')
                self._observations.plain.append(call)
                nursery.start_soon(
                    _plain_caller.PlainCaller(
                        self._client,
                        self._plain_service,
                        call,
                        self._draw_behavior(source),
                    ).run
                )

    def _draw_behavior(
        self, source: random.Random
    ) -> _plain_caller.PlainCallerBehavior:
        """Draws the behavior of one caller of the plain service."""
        sends_key = source.random() < 0.85
        resends = sends_key and source.random() < 0.8
        repeats_after_answer = resends and source.random() < 0.5
        delay_ms = source.choice((0, 20, 200, 800))
        if self._disabled_mechanism is DisabledMechanism.IDEMPOTENCY_KEYS:
            sends_key = False
        return _plain_caller.PlainCallerBehavior(
            sends_key=sends_key,
            resends=resends,
            repeats_after_answer=repeats_after_answer,
            delay_ms=delay_ms,
        )

    async def _run_jobs(
        self, run_duration_s: float, nursery: trio.Nursery
    ) -> None:
        source = random.Random(f'{self._seed} jobs')
        number = 0
        with trio.move_on_after(run_duration_s):
            while True:
                number += 1
                job = self._draw_job(source, number)
                self._observations.jobs.append(job)
                cancel_after_s = None
                if source.random() < CANCEL_PROBABILITY:
                    cancel_after_s = source.uniform(0.0, 3.0)
                caller = _batch_caller.BatchCaller(
                    self._client,
                    self._plain_service
                    if job.is_plain
                    else self._model_service,
                    job,
                    cancel_after_s,
                )
                self.batch_callers.append(caller)
                nursery.start_soon(caller.run)
                await trio.sleep(source.expovariate(1 / MEAN_JOB_INTERVAL_S))

    def _draw_job(
        self, source: random.Random, number: int
    ) -> _observations.JobObservation:
        """Draws a job for the model service or the plain service."""
        is_plain = source.random() < PLAIN_JOB_PROBABILITY
        count = source.randrange(5, 60)
        prompts = [
            f'job {self._seed} {number} item {index}' for index in range(count)
        ]
        max_tokens = source.choice((4, 16, 64))
        return _observations.JobObservation(
            f'job-{number}', prompts, max_tokens, is_plain
        )
