"""Gateways as processes, with the settings of a small deployment.

The figures are those of the site swapnest-core.
"""

import asyncio
import json
import os
import pathlib
import re
import shlex
import signal
import socket
import subprocess
import time
import tomllib

import store as store_module
import wire

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'ficu95.example'
MEMORY_MB = 340
MAX_FDS = 8_200
#: Pause between the end of a process and its next start.
RESTART_S = 0.5
READY_S = 40.0


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._began_at_s = time.monotonic()
        self._file = path.open('w', encoding='utf-8')

    def write(self, text: str) -> None:
        """Writes one line."""
        age_s = time.monotonic() - self._began_at_s
        line = f'{age_s:8.3f} {text}'
        print(line, file=self._file, flush=True)


class Gateway:
    """One gateway and its process.

    Attributes:
        number: Index among the gateways.
        front: Address for clients.
        process: Its process; None while there is none.
        start_count: How often it was started.
        peak_mb: Largest resident memory that was seen, in MB.
    """

    def __init__(
        self,
        number: int,
        host: str,
        ports: list[int],
        settings: pathlib.Path,
        log: pathlib.Path,
    ) -> None:
        self.number = number
        self.host = host
        self.front = f'{host}:{ports[0]}'
        self.ready = f'{host}:{ports[1]}'
        self.process: subprocess.Popen | None = None
        self.start_count = 0
        self.peak_mb = 0.0
        self._settings = settings
        self._log = log

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        text = (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
        command = tomllib.loads(text)['roles']['gateway']['run']
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', '/'),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'PYTHONDONTWRITEBYTECODE': '1',
            'SISKINMOUNT_SETTINGS': str(self._settings),
        }
        with self._log.open('ab') as log:
            self.process = subprocess.Popen(
                shlex.split(command),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.start_count += 1

    def is_running(self) -> bool:
        """Returns whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Sends the process a signal."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process, and waits for its end."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def read_memory_mb(self) -> float:
        """Returns the resident memory of the process; 0 if it has ended."""
        if self.process is None or not self.is_running():
            return 0.0
        path = pathlib.Path(f'/proc/{self.process.pid}/statm')
        try:
            pages = int(path.read_text(encoding='ascii').split()[1])
        except (OSError, IndexError):
            return 0.0
        memory_mb = pages * os.sysconf('SC_PAGE_SIZE') / 2**20
        self.peak_mb = max(self.peak_mb, memory_mb)
        return memory_mb

    async def is_ready(self) -> bool:
        """Returns whether the platform would send it new channels."""
        answer = await wire.call(
            self.ready, 'GET', '/siskinmount/ready', timeout_s=1.0
        )
        return answer is not None and answer.status == 200


class Fleet:
    """The store and the gateways of a case.

    Attributes:
        store: The platform's store.
        gateways: The gateways, by number.
        memory_mb: Memory of the machine of each.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        count: int = 3,
        memory_mb: int = MEMORY_MB,
        max_fds: int = MAX_FDS,
    ) -> None:
        self.memory_mb = memory_mb
        self._max_fds = max_fds
        self.store = store_module.Store()
        self.gateways: list[Gateway] = []
        self._folder = folder
        self._count = count
        self._version = 0

    async def start(self, routes: list[dict], services: list[str]) -> None:
        """Starts store and gateways, and waits until these are ready."""
        store_address = await self.store.start()
        self.publish(routes, services)
        base = f'127.{60 + os.getpid() // 250 % 90}.{1 + os.getpid() % 250}'
        hosts = [f'{base}.{number + 1}' for number in range(self._count)]
        ports = _find_ports(hosts, 5)
        for number, host in enumerate(hosts):
            path = self._folder / f'gateway-{number}.ini'
            path.write_text(
                self._fill_template(number, hosts, ports, store_address),
                encoding='utf-8',
            )
            self.gateways.append(
                Gateway(
                    number,
                    host,
                    ports,
                    path,
                    self._folder / f'gateway-{number}.log',
                )
            )
        for gateway in self.gateways:
            gateway.start()
        await self.wait_ready()

    def publish(self, routes: list[dict], services: list[str]) -> None:
        """Writes the next manifest."""
        self._version += 7
        manifest = {
            'version': self._version,
            'routes': routes,
            'services': [
                {'name': name, 'health_path': '/health', 'max_conns': 150}
                for name in services
            ],
            'limits': {
                'header_bytes': 16_384,
                'body_bytes': 4_194_304,
                'header_timeout_ms': 3_000,
                'idle_timeout_ms': 15_000,
            },
        }
        self.store.put('keyed.op', 'config', json.dumps(manifest).encode())

    async def wait_ready(self, timeout_s: float = READY_S) -> bool:
        """Returns whether all gateways get ready in time."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            ready = [await gateway.is_ready() for gateway in self.gateways]
            if all(ready):
                return True
            await asyncio.sleep(0.1)
        return False

    def _fill_template(
        self,
        number: int,
        hosts: list[str],
        ports: list[int],
        store_address: str,
    ) -> str:
        """Returns the settings file as the platform fills it in."""
        host = hosts[number]
        values = {
            'node': f'front-{number + 1}',
            'region': 'seq',
            'zone': 'a',
            'ip': host,
            'listen.front': f'{host}:{ports[0]}',
            'listen.ready': f'{host}:{ports[1]}',
            'listen.control': f'{host}:{ports[2]}',
            'inner_ports.0': str(ports[3]),
            'bounds.grace_s': '8',
            'bounds.status_s': '120',
            'bounds.quota_excess': '0.1',
            'platform.address': store_address,
            'platform.record_bytes': '262144',
            'platform.call_bytes': '2097152',
            'heartbeat_ms': '1200',
            'seeds': ','.join(f'{each}:{ports[2]}' for each in hosts),
            'limits.memory_mb': str(self.memory_mb),
            'limits.max_fds': str(self._max_fds),
        }
        template = ROOT / 'deploy/gateway.ini.template'
        text = template.read_text(encoding='utf-8')
        text = text.replace('{{ip}}:9464', f'{host}:{ports[4]}')
        return re.sub(
            r'\{\{([^}]*)\}\}', lambda match: values.get(match[1], ''), text
        )

    def stop(self) -> None:
        """Ends all processes."""
        for gateway in self.gateways:
            gateway.kill()


def make_route(name: str, kind: str, service: str, **fields: object) -> dict:
    """Returns a route of the manifest."""
    return {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': kind,
        'timeout_ms': 5_000,
        'goal_ms': 300,
        'priority': 0,
        'service': service,
        'max_attempts': 1,
        **fields,
    }


def make_batch_route(name: str, service: str) -> dict:
    """Returns the batch route of the site."""
    return make_route(
        name,
        'batch',
        service,
        timeout_ms=15_000,
        goal_ms=400,
        priority=2,
        max_attempts=3,
        run_goal_ms=18_000,
        retention_s=60,
        cap=2_400_000,
        sticky=True,
        resumable=True,
    )


def _find_ports(hosts: list[str], count: int) -> list[int]:
    """Returns ports that are free at all hosts."""
    first = 20_000 + os.getpid() * 7 % 9_000
    ports: list[int] = []
    for port in range(first, 32_000):
        if all(_is_free(host, port) for host in hosts):
            ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError('no free ports')


def _is_free(host: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
            except OSError:
                return False
    return True
