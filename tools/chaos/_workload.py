"""The requests of a run, which follow from the seed."""

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
JOB_GAP_S = 4.0
CANCEL_SHARE = 0.35
PLAIN_JOB_SHARE = 0.3
POISON_SENDS = 4
POISON_GAP_S = 0.7
CRASH_MARKER = 'crash_this_engine'


class Omission(enum.Enum):
    """A mechanism that is left out, to see that the checker notices."""

    NONE = 'none'

    #: Resends carry no idempotency key.
    IDEMPOTENCY_KEYS = 'idempotency_keys'


class Workload:
    """Starts callers and keeps what they have seen.

    Attributes:
        batch_callers: Callers whose results are read again at the end.
    """

    __slots__ = (
        'batch_callers',
        '_client',
        '_seen',
        '_seed',
        '_omission',
        '_model_service',
        '_plain_service',
        '_poison_count',
    )

    def __init__(
        self,
        client: _entry_client.EntryClient,
        seen: _observations.Observations,
        seed: int,
        omission: Omission,
        model_service: str,
        plain_service: str,
    ) -> None:
        self.batch_callers: list[_batch_caller.BatchCaller] = []
        self._client = client
        self._seen = seen
        self._seed = seed
        self._omission = omission
        self._model_service = model_service
        self._plain_service = plain_service
        self._poison_count = 0

    async def run(self, seconds: float) -> None:
        """Starts callers for a time and returns when all have their answer."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._run_online, seconds, nursery)
            nursery.start_soon(self._run_plain, seconds, nursery)
            nursery.start_soon(self._run_jobs, seconds, nursery)

    async def send_poison(self) -> None:
        """Sends a request that crashes engines, and sends it again."""
        self._poison_count += 1
        prompt = f'{CRASH_MARKER} poison {self._seed} {self._poison_count}'
        async with trio.open_nursery() as nursery:
            for number in range(POISON_SENDS):
                request = _observations.OnlineObservation(
                    f'poison-{self._poison_count}-{number}', prompt, 8, True
                )
                self._seen.online.append(request)
                nursery.start_soon(
                    _online_caller.OnlineCaller(
                        self._client, self._model_service, request, True
                    ).run
                )
                await trio.sleep(POISON_GAP_S)

    async def _run_online(self, seconds: float, nursery: trio.Nursery) -> None:
        source = random.Random(f'{self._seed} online')
        number = 0
        with trio.move_on_after(seconds):
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
                self._seen.online.append(request)
                resends = source.random() < 0.6
                nursery.start_soon(
                    _online_caller.OnlineCaller(
                        self._client, self._model_service, request, resends
                    ).run
                )

    async def _run_plain(self, seconds: float, nursery: trio.Nursery) -> None:
        source = random.Random(f'{self._seed} plain')
        number = 0
        with trio.move_on_after(seconds):
            while True:
                await trio.sleep(source.expovariate(PLAIN_PER_S))
                number += 1
                call = _observations.PlainObservation(f'booking-{number}')
                self._seen.plain.append(call)
                nursery.start_soon(
                    _plain_caller.PlainCaller(
                        self._client,
                        self._plain_service,
                        call,
                        self._draw_habits(source),
                    ).run
                )

    def _draw_habits(self, source: random.Random) -> _plain_caller.PlainHabits:
        """Returns how one caller of the plain service behaves."""
        sends_key = source.random() < 0.85
        resends = sends_key and source.random() < 0.8
        asks_again = resends and source.random() < 0.5
        delay_ms = source.choice((0, 20, 200, 800))
        if self._omission is Omission.IDEMPOTENCY_KEYS:
            sends_key = False
        return _plain_caller.PlainHabits(
            sends_key=sends_key,
            resends=resends,
            asks_again=asks_again,
            delay_ms=delay_ms,
        )

    async def _run_jobs(self, seconds: float, nursery: trio.Nursery) -> None:
        source = random.Random(f'{self._seed} jobs')
        number = 0
        with trio.move_on_after(seconds):
            while True:
                number += 1
                job = self._draw_job(source, number)
                self._seen.jobs.append(job)
                cancel_after_s = None
                if source.random() < CANCEL_SHARE:
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
                await trio.sleep(source.expovariate(1 / JOB_GAP_S))

    def _draw_job(
        self, source: random.Random, number: int
    ) -> _observations.JobObservation:
        """Returns a job for engines or for the plain service."""
        is_plain = source.random() < PLAIN_JOB_SHARE
        count = source.randrange(5, 60)
        prompts = [
            f'job {self._seed} {number} item {index}' for index in range(count)
        ]
        max_tokens = source.choice((4, 16, 64))
        return _observations.JobObservation(
            f'job-{number}', prompts, max_tokens, is_plain
        )
