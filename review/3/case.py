"""Engines whose answers end with their channel, one of which is killed."""

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import signal
import sys
import time

from harness import engine as engine_module
from harness import http_wire
from harness import rig as rig_module

#: The site file ends up to a fifth of the engines at a time.
ENGINES = 5
JOBS = 2
ITEMS = 10
#: Time between the 202 and the end of the engine: some half of a run.
KILL_AFTER_S = 0.6
WAIT_S = 10.0
_PREFIX = '/sheets/'
_FOLDER = pathlib.Path(__file__).resolve().parent

_ROUTES = [
    {
        'name': 'sheets',
        'host': rig_module.HOST,
        'path_prefix': _PREFIX,
        'kind': 'batch',
        'service': 'model',
        'timeout_ms': 15000,
        'goal_ms': 500,
        'gap_goal_ms': 300,
        'run_goal_ms': 18000,
        'retention_s': 60,
        'max_attempts': 3,
        'cap': 2000000,
    }
]


class _Engine:
    """An engine's process, and what writes its entry while it lives."""

    def __init__(self, rig: rig_module.Rig, engine_id: str) -> None:
        self.engine_id = engine_id
        self.runs = 0
        self._rig = rig
        self._process: asyncio.subprocess.Process | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-S',
            '-m',
            'harness.engine_process',
            self.engine_id,
            '1.0',
            cwd=_FOLDER.parent,
            env={'PATH': os.environ.get('PATH', '')},
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.PIPE,
        )
        assert self._process.stdout is not None
        line = await asyncio.wait_for(self._process.stdout.readline(), 10)
        port = int(line.split()[1])
        self._tasks.append(asyncio.create_task(self._read()))
        self._tasks.append(asyncio.create_task(self._beat(port)))

    async def _read(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        while line := await self._process.stdout.readline():
            self.runs += 1
            _, request_id, first_event = line.decode().split()
            self._rig.record.write(
                'run',
                request=request_id,
                engine=self.engine_id,
                first_event=first_event,
            )

    async def _beat(self, port: int) -> None:
        seq_no = 0
        born = int(time.time() * 1000)
        while True:
            seq_no += 1
            self._rig.store.put(
                'keyed.servers',
                self.engine_id,
                {
                    'service': 'model',
                    'address': f'127.0.0.1:{port}',
                    'zone': 'hall-a',
                    'version': '1.0',
                    'slot_count': 8,
                    'state': 'ready',
                    'cold_left_ms': 0,
                    'seq_no': seq_no,
                    'born': born,
                },
            )
            await asyncio.sleep(engine_module.HEARTBEAT_S)

    async def kill(self) -> None:
        """Ends the process; the platform drops the entry after a while."""
        await self.stop()
        await asyncio.sleep(engine_module.ENTRY_LIFE_S)
        self._rig.store.put('keyed.servers', self.engine_id, None)

    async def stop(self) -> None:
        """Ends the process with SIGKILL."""
        for task in self._tasks:
            task.cancel()
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(signal.SIGKILL)
            await self._process.wait()


def _make_job() -> bytes:
    items: list[dict[str, object]] = []
    for _ in range(ITEMS):
        item_id = rig_module.make_id()
        items.append(
            {
                'id': item_id,
                'path': f'{_PREFIX}3/{item_id}',
                'headers': {
                    'X-Model': 'm',
                    'X-Token-Count': '350,60',
                    'X-Prompt-Prefix': f'9c2e41:100,{item_id}:250',
                },
                'body': base64.b64encode(item_id.encode()).decode(),
                'token_count': 410,
            }
        )
    return json.dumps({'items': items}).encode()


async def main(rig: rig_module.Rig) -> int:
    """Plays the case, and returns its verdict."""
    engines = [_Engine(rig, f'i-{number}') for number in range(ENGINES)]
    try:
        return await _play(rig, engines)
    finally:
        for engine in engines:
            await engine.stop()


async def _play(rig: rig_module.Rig, engines: list[_Engine]) -> int:
    await rig.store.start()
    rig.publish(_ROUTES, ['model'])
    for engine in engines:
        await engine.start()
    await rig.start_all()

    job_ids: list[str] = []
    for number in range(JOBS):
        job_id = rig_module.make_id()
        answer = await http_wire.call(
            rig.gateways[number % len(rig.gateways)].callers,
            'POST',
            f'{_PREFIX}{job_id}',
            [
                ('Host', rig_module.HOST),
                ('X-Request-Id', job_id),
                ('X-Deadline-Ms', '4000'),
                ('Content-Type', 'application/json'),
            ],
            _make_job(),
        )
        rig.record.write('job_sent', job=job_id, status=answer.status)
        if answer.status != 202:
            raise rig_module.CannotRunError('a job was not accepted')
        job_ids.append(job_id)
    await asyncio.sleep(KILL_AFTER_S)
    killing: asyncio.Task[None] | None = None
    if rig_module.is_troubled():
        rig.record.write('engine_killed', engine=engines[0].engine_id)
        killing = asyncio.create_task(engines[0].kill())
    await asyncio.sleep(WAIT_S)
    if killing is not None:
        await killing

    whole = '\n'.join(
        f'{number}@1.0' for number in range(1, engine_module.EVENT_COUNT + 1)
    )
    completed = 0
    cut = 0
    for number, job_id in enumerate(job_ids):
        answer = await http_wire.call(
            rig.gateways[(number + 1) % len(rig.gateways)].callers,
            'GET',
            f'/siskinmount/lots/{job_id}?after=0',
            [('Host', rig_module.HOST), ('X-Request-Id', rig_module.make_id())],
        )
        if answer.status != 200:
            raise rig_module.CannotRunError('a job cannot be read')
        for result in json.loads(answer.body)['results']:
            is_whole = result['output'] == whole
            completed += result['state'] == 'completed'
            cut += result['state'] == 'completed' and not is_whole
            rig.record.write(
                'result',
                job=job_id,
                item=result['id'],
                state=result['state'],
                events=len(result['output'].split('\n')),
                is_whole=is_whole,
            )
    summary = (
        f'items accepted {JOBS * ITEMS}, completed {completed}, of them without'
        f' the whole output {cut}'
    )
    rig.record.write('summary', text=summary)
    print(summary)
    if not completed:
        raise rig_module.CannotRunError('no item was completed')
    return rig_module.EXIT_BROKEN if cut else rig_module.EXIT_HELD


if __name__ == '__main__':
    rig_module.run(main, _FOLDER)
