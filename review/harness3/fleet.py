"""Gateways as processes before a store and engines in this process."""

import asyncio
import base64
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import tempfile
import time
import tomllib
import urllib.parse

from review.harness3 import engine as engine_module
from review.harness3 import store as store_module
from review.harness3 import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'callers.example'
BATCH_PREFIX = '/sheets/'
MODEL_PREFIX = '/summary/'
MEMORY_MB = 340
READY_TIMEOUT_S = 20.0
#: Ports of a gateway: callers, readiness, control, peers, metrics.
METRICS_PORT = 9464


class Gateway:
    """One gateway and its process.

    Attributes:
        name: Name of the machine.
        host: Loopback address of the machine.
        pid: Process id of the running process; 0 if there is none.
        ends: How processes of this gateway have ended.
    """

    def __init__(self, name: str, host: str, ports: list[int]) -> None:
        self.name = name
        self.host = host
        self.ports = ports
        self.process: asyncio.subprocess.Process | None = None
        self.ends: list[str] = []

    @property
    def callers(self) -> tuple[str, int]:
        """Address for callers."""
        return self.host, self.ports[0]

    @property
    def ready(self) -> tuple[str, int]:
        """Address of the readiness check."""
        return self.host, self.ports[1]

    @property
    def pid(self) -> int:
        """Process id, 0 without a running process."""
        process = self.process
        if process is None or process.returncode is not None:
            return 0
        return process.pid

    def read_resident_mb(self) -> float:
        """Returns the resident memory of the process; 0 without one."""
        try:
            text = pathlib.Path(f'/proc/{self.pid}/status').read_text('ascii')
        except OSError:
            return 0.0
        match = re.search(r'VmRSS:\s+(\d+) kB', text)
        return int(match.group(1)) / 1024 if match else 0.0


class Fleet:
    """A small deployment on loopback addresses.

    Attributes:
        store: The store.
        engines: Model engines.
        gateways: Gateways, by number.
    """

    def __init__(
        self,
        record: pathlib.Path,
        *,
        gateway_count: int = 2,
        engine_count: int = 3,
        cap: int = 2_000_000,
        memory_mb: int | list[int] = MEMORY_MB,
    ) -> None:
        self.store = store_module.Store()
        self.engines: list[engine_module.Engine] = []
        self.gateways: list[Gateway] = []
        self._record = record.open('w', encoding='utf-8')
        self._began_at_s = time.monotonic()
        self._gateway_count = gateway_count
        self._engine_count = engine_count
        self._cap = cap
        self._memory_mb = (
            [memory_mb] * gateway_count
            if isinstance(memory_mb, int)
            else memory_mb
        )
        self._directory = tempfile.TemporaryDirectory(prefix='case-')
        self._store_port = 0
        self._heartbeats: asyncio.Task[None] | None = None

    def note(self, text: str) -> None:
        """Writes a line to the record and to standard output."""
        line = f'{time.monotonic() - self._began_at_s:8.3f} s  {text}'
        print(line, flush=True)
        self._record.write(line + '\n')
        self._record.flush()

    async def start(self) -> bool:
        """Starts everything; returns whether all gateways are ready."""
        _, self._store_port = await wire.start_server(
            self.store.handle, '127.0.0.1'
        )
        self.put_document(1)
        for number in range(self._engine_count):
            engine = engine_module.Engine(f'i-{number + 1}')
            await engine.start()
            self.engines.append(engine)
        self._heartbeats = asyncio.create_task(self._write_entries())
        base = f'127.{os.getpid() % 200 + 20}.{time.time_ns() % 250 + 1}'
        ports = _find_free_ports(f'{base}.1', 4)
        for number in range(self._gateway_count):
            gateway = Gateway(
                f'front-{number + 1}', f'{base}.{number + 1}', ports
            )
            self.gateways.append(gateway)
            await self.start_gateway(gateway)
        for gateway in self.gateways:
            if not await self.wait_ready(gateway):
                return False
        return True

    def put_document(self, version: int) -> None:
        """Writes the manifest."""
        common = {
            'host': HOST,
            'service': 'lm',
            'priority': 0,
            'timeout_ms': 5000,
        }
        document = {
            'version': version,
            'routes': [
                {
                    **common,
                    'name': 'summary',
                    'path_prefix': MODEL_PREFIX,
                    'kind': 'streaming',
                    'resumable': True,
                    'goal_ms': 300,
                    'gap_goal_ms': 300,
                    'max_attempts': 2,
                    'sticky': True,
                },
                {
                    **common,
                    'name': 'sheets',
                    'path_prefix': BATCH_PREFIX,
                    'kind': 'batch',
                    'goal_ms': 500,
                    'timeout_ms': 15000,
                    'max_attempts': 3,
                    'run_goal_ms': 18000,
                    'retention_s': 60.0,
                    'priority': 2,
                    'cap': self._cap,
                },
            ],
            'services': [
                {'name': 'lm', 'max_conns': 180, 'engine': {'slot_count': 8}}
            ],
            'limits': {
                'header_bytes': 16384,
                'body_bytes': 4194304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
        self.store.put('keyed.op', 'config', json.dumps(document).encode())

    async def _write_entries(self) -> None:
        number = 0
        born = int(time.time() * 1000) - 60_000
        while True:
            number += 1
            for engine in self.engines:
                entry = {
                    'service': 'lm',
                    'address': '{}:{}'.format(*engine.address),
                    'zone': 'a',
                    'version': 'r1',
                    'slot_count': 8,
                    'state': 'ready',
                    'cold_left_ms': 0,
                    'born': born,
                    'seq_no': number,
                }
                self.store.put(
                    'keyed.servers',
                    engine.engine_id,
                    json.dumps(entry).encode(),
                )
            await asyncio.sleep(1.2)

    async def start_gateway(self, gateway: Gateway) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads(
            (ROOT / 'deploy' / 'system.toml').read_text('utf-8')
        )
        role = deploy['roles']['gateway']
        template = (ROOT / role['template']).read_text('utf-8')
        path = pathlib.Path(self._directory.name) / f'{gateway.name}.conf'
        path.write_text(
            _fill_in(template, self._make_fields(gateway)), encoding='utf-8'
        )
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'SISKINMOUNT_SETTINGS': str(path),
        }
        log = pathlib.Path(self._directory.name) / f'{gateway.name}.log'
        with log.open('ab') as output:
            gateway.process = await asyncio.create_subprocess_exec(
                *role['run'].split(' '),
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def _make_fields(self, gateway: Gateway) -> dict[str, object]:
        _, ready_port, control_port, peers_port = gateway.ports
        seeds = [f'{each.host}:{control_port}' for each in self.gateways[:3]]
        return {
            'node': gateway.name,
            'region': 'r',
            'zone': 'a',
            'ip': gateway.host,
            'listen.front': f'{gateway.host}:{gateway.ports[0]}',
            'listen.ready': f'{gateway.host}:{ready_port}',
            'listen.control': f'{gateway.host}:{control_port}',
            'inner_ports.0': peers_port,
            'seeds': ','.join(seeds),
            'heartbeat_ms': 1200,
            'bounds.grace_s': 8,
            'bounds.status_s': 120,
            'platform.address': f'127.0.0.1:{self._store_port}',
            'platform.record_bytes': 262144,
            'platform.call_bytes': 2097152,
            'limits.memory_mb': self._memory_mb[self.gateways.index(gateway)],
            'limits.max_fds': 8200,
            'limits.link_mbps': 1000.0,
        }

    async def wait_ready(self, gateway: Gateway) -> bool:
        """Returns whether the readiness check passes in time."""
        end_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < end_s:
            answer = await wire.call(
                gateway.ready, 'GET', '/siskinmount/ready', {'Host': 'x'}
            )
            if answer.status == 200:
                return True
            await asyncio.sleep(0.1)
        return False

    async def kill(self, gateway: Gateway) -> None:
        """Kills the process of a gateway, and waits for its end."""
        process = gateway.process
        if process is not None and process.returncode is None:
            process.send_signal(signal.SIGKILL)
            await process.wait()

    def find_log_lines(self, gateway: Gateway, word: str) -> list[str]:
        """Returns the log lines of a gateway that contain a word."""
        path = pathlib.Path(self._directory.name) / f'{gateway.name}.log'
        if not path.exists():
            return []
        text = path.read_text('utf-8', 'replace')
        return [line for line in text.splitlines() if word in line]

    async def close(self) -> None:
        """Ends all processes that were started."""
        if self._heartbeats is not None:
            self._heartbeats.cancel()
        for gateway in self.gateways:
            await self.kill(gateway)
        with contextlib.suppress(OSError):
            self._directory.cleanup()
        self._record.close()


def make_items(
    count: int, name: str, body: bytes = b'sheet', tokens: int = 400
) -> list[dict[str, object]]:
    """Returns items of a job."""
    return [
        {
            'id': f'{name}-{number}',
            'path': f'{BATCH_PREFIX}run',
            'headers': {
                'X-Model': 'm',
                'X-Token-Count': '250,150',
                'X-Prompt-Prefix': f'9c2e41:100,{number:x}a1:150',
            },
            'body': base64.b64encode(body).decode(),
            'token_count': tokens,
        }
        for number in range(count)
    ]


async def read_results(
    gateway: Gateway, job_id: str, timeout_s: float = 2.5
) -> wire.Answer:
    """Reads the results of a batch job from the start."""
    name = urllib.parse.quote(job_id, safe='')
    return await wire.call(
        gateway.callers,
        'GET',
        f'/siskinmount/lots/{name}?after=0',
        {'Host': HOST},
        timeout_s=timeout_s,
    )


async def submit(
    gateway: Gateway,
    job_id: str,
    items: list[dict[str, object]],
    timeout_s: float = 4.0,
) -> wire.Answer:
    """Submits a batch job."""
    return await wire.call(
        gateway.callers,
        'POST',
        f'{BATCH_PREFIX}jobs',
        {
            'Host': HOST,
            'X-Request-Id': job_id,
            'X-Deadline-Ms': str(int(timeout_s * 1000)),
            'Content-Type': 'application/json',
        },
        json.dumps({'items': items}, separators=(',', ':')).encode(),
        timeout_s + 1.5,
    )


def _fill_in(template: str, fields: dict[str, object]) -> str:
    """Fills in the values of a template; what is not known is empty."""

    def replace(match: re.Match[str]) -> str:
        return str(fields.get(match.group(1), ''))

    return re.sub(r'\{\{([\w.]+)\}\}', replace, template)


def _find_free_ports(host: str, count: int) -> list[int]:
    """Returns ports that are free at a host."""
    sockets: list[socket.socket] = []
    try:
        for _ in range(count):
            each = socket.socket()
            each.bind((host, 0))
            sockets.append(each)
        return [each.getsockname()[1] for each in sockets]
    finally:
        for each in sockets:
            each.close()


def run_case(
    work: Callable[[Fleet, bool], Awaitable[bool]],
    record: pathlib.Path,
    **options: int | list[int],
) -> int:
    """Runs a case; returns the exit status of its script.

    Args:
        work: Does the work with a fleet that is ready; told whether there is
            trouble, and returns whether the rule held.
        record: Where the record is written.
        **options: Arguments of `Fleet`.
    """
    if not (ROOT / 'target' / 'deps' / 'trio').is_dir():
        print('target/deps is missing: run the build of the deploy file')
        return 2
    has_trouble = os.environ.get('TROUBLE', '1') != '0'

    async def run() -> int:
        task = asyncio.current_task()
        if task is not None:
            # Whoever ends the script ends what it has started, too.
            asyncio.get_running_loop().add_signal_handler(
                signal.SIGTERM, task.cancel
            )
        fleet = Fleet(record, **options)
        try:
            if not await fleet.start():
                fleet.note('a gateway did not become ready')
                return 2
            fleet.note(f'all gateways are ready; trouble: {has_trouble}')
            holds = await work(fleet, has_trouble)
            fleet.note('the rule held' if holds else 'THE RULE WAS BROKEN')
            return 0 if holds else 1
        finally:
            await fleet.close()

    return asyncio.run(run())
