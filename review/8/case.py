"""A part of long prompts crashes each engine that begins to answer them."""

import asyncio
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'harness2'))

import case_main  # noqa: E402
import engine as engine_module  # noqa: E402
import fleet as fleet_module  # noqa: E402
import store as store_module  # noqa: E402
import wire  # noqa: E402

ROUTE = 'host-reply'
ENGINES = 6
SOUND_PER_S = 20
BAD_PER_S = 2
CALM_S = 5.0
SECONDS = 35.0
#: An engine that has crashed is back after some seconds.
BACK_S = 3.0
#: `stable_window_ms` of the site.
STABLE_S = 3.0
#: Requests with the part that may still reach engines after that.
ALLOWED = 3
#: Shared parts of each prompt; the last of them may be the one that crashes.
SHARED_PARTS = 20
BAD_PART = 'bad0bad0'


class CrashingEngine(engine_module.Engine):
    """An engine that a part of a prompt crashes.

    Attributes:
        is_crashing: Whether the part crashes it.
        is_down: Whether it has crashed and is not back yet.
        crashes_at_s: Monotonic times of its crashes.
        bad_at_s: Monotonic times at which requests with the part came.
    """

    def __init__(
        self, engine_id: str, store: store_module.Store, is_crashing: bool
    ) -> None:
        super().__init__(engine_id, 'wordsmith', store)
        self.is_crashing = is_crashing
        self.is_down = False
        self.crashes_at_s: list[float] = []
        self.bad_at_s: list[float] = []
        self._returns: list[asyncio.Task] = []

    async def stream(
        self,
        request: wire.Request,
        answerer: wire.Answerer,
        run: engine_module.Run,
        echo: dict[str, str],
    ) -> None:
        """Answers a request, or crashes as the answer begins."""
        if BAD_PART in request.headers.get('x-prompt-prefix', ''):
            self.bad_at_s.append(time.monotonic())
            if self.is_crashing:
                await asyncio.sleep(engine_module.PREFILL_S)
                self._crash()
                raise wire.DroppedError
        await super().stream(request, answerer, run, echo)

    def _crash(self) -> None:
        if self.is_down:
            return
        self.is_down = True
        self.crashes_at_s.append(time.monotonic())
        self.stop()
        self._returns.append(asyncio.create_task(self._come_back()))

    async def _come_back(self) -> None:
        await asyncio.sleep(BACK_S)
        await self.restart()
        self.is_down = False


async def beat(engine: CrashingEngine) -> None:
    """Writes the entry of an engine while it is up, until cancelled."""
    while True:
        await asyncio.sleep(engine_module.HEARTBEAT_S)
        if not engine.is_down:
            engine.write(engine.make_entry('ready'))


class Sent:
    """A client's request.

    Attributes:
        sent_at_s: Monotonic time before it was sent.
        is_answered: Whether the client has the whole stream.
    """

    def __init__(self) -> None:
        self.sent_at_s = time.monotonic()
        self.is_answered = False


async def send(
    gateway: fleet_module.Gateway,
    request_id: str,
    parts: list[str],
    rows: list[Sent],
) -> None:
    """Sends a request for a stream that may not be resumed."""
    sent = Sent()
    rows.append(sent)
    answer = await wire.call(
        gateway.front,
        'POST',
        f'/{ROUTE}/{request_id}',
        {
            'Host': fleet_module.HOST,
            'X-Request-Id': request_id,
            'X-Model': 'm',
            'X-Token-Count': '450,25',
            'X-Prompt-Prefix': ','.join(f'{part}:20' for part in parts),
            'X-Deadline-Ms': '5000',
        },
        request_id.encode() * 20,
    )
    sent.is_answered = (
        answer is not None and answer.is_whole and answer.status == 200
    )


async def send_all(
    fleet: fleet_module.Fleet, sound: list[Sent], bad: list[Sent]
) -> None:
    """Sends sound requests, and after a while others with the part, too."""
    shared = [f'{0xA0000000 + number:08x}' for number in range(SHARED_PARTS)]
    began_at_s = time.monotonic()
    sound_count = 0
    bad_count = 0
    async with asyncio.TaskGroup() as group:
        while time.monotonic() - began_at_s < SECONDS:
            age_s = time.monotonic() - began_at_s
            while sound_count < age_s * SOUND_PER_S:
                parts = [*shared, f'{random.getrandbits(32):08x}']
                gateway = fleet.gateways[sound_count % 3]
                request_id = f'50{sound_count:014x}'
                group.create_task(send(gateway, request_id, parts, sound))
                sound_count += 1
            while bad_count < (age_s - CALM_S) * BAD_PER_S:
                parts = [*shared[:-1], BAD_PART, f'{random.getrandbits(32):x}']
                gateway = fleet.gateways[bad_count % 3]
                request_id = f'bd{bad_count:014x}'
                group.create_task(send(gateway, request_id, parts, bad))
                bad_count += 1
            await asyncio.sleep(0.01)


async def run(
    fleet: fleet_module.Fleet, record: fleet_module.Record, is_trouble: bool
) -> int:
    """Returns 1 if requests with the part reach engines on and on."""
    engines = [
        CrashingEngine(f'i-{number}', fleet.store, is_trouble)
        for number in range(ENGINES)
    ]
    beats = []
    for engine in engines:
        await engine.start()
        beats.append(asyncio.create_task(beat(engine)))
    await fleet.start(
        [fleet_module.make_route(ROUTE, 'streaming', 'wordsmith')],
        ['wordsmith'],
    )
    await asyncio.sleep(4)
    if not await fleet.wait_ready():
        record.write('gateways are not ready')
        return case_main.NOT_RUN
    sound: list[Sent] = []
    bad: list[Sent] = []
    began_at_s = time.monotonic()
    await send_all(fleet, sound, bad)
    crashes_at_s = sorted(
        at_s for engine in engines for at_s in engine.crashes_at_s
    )
    reached_at_s = sorted(
        at_s for engine in engines for at_s in engine.bad_at_s
    )
    fifth_at_s = float('inf')
    if len(crashes_at_s) > 4:
        fifth_at_s = crashes_at_s[4]
    limit_s = fifth_at_s + STABLE_S
    later = sum(at_s > limit_s for at_s in reached_at_s)
    times = [round(at_s - began_at_s, 1) for at_s in crashes_at_s]
    record.write(f'{len(times)} crashes of engines, after {times} s')
    record.write(
        f'{len(bad)} requests with the part were sent, {len(reached_at_s)}'
        f' reached engines, {later} of them later than {STABLE_S} s after the'
        f' fifth crash; sound requests answered whole:'
        f' {describe(sound, 0.0, began_at_s + CALM_S)} before the first one,'
        f' {describe(sound, limit_s, float("inf"))} after that time'
    )
    for task in beats:
        task.cancel()
    if not any(sent.is_answered for sent in sound):
        return case_main.NOT_RUN
    return case_main.BROKEN if later > ALLOWED else case_main.HELD


def describe(rows: list[Sent], from_s: float, until_s: float) -> str:
    """Returns how many of the requests of a time were answered."""
    chosen = [sent for sent in rows if from_s < sent.sent_at_s < until_s]
    return f'{sum(sent.is_answered for sent in chosen)} of {len(chosen)}'


if __name__ == '__main__':
    raise SystemExit(case_main.run_case(FOLDER, run))
