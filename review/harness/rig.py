"""Starts gateways with the commands of the deploy file, before stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import json
import os
import pathlib
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

from harness import http_wire
from harness import store as store_module

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = 'review.example'
#: `stable_window_ms` of the small sites.
STABLE_WINDOW_S = 3.0
GRACE_S = 8
EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_CANNOT_RUN = 2
#: Longest time of a case, within the 120 s that it may take.
MAX_LENGTH_S = 114.0


class CannotRunError(Exception):
    """The case could not be run; says why."""


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = (folder / 'record.txt').open('w', encoding='utf-8')
        self._began_s = time.monotonic()

    def write(self, event: str, **fields: object) -> None:
        """Writes one line."""
        at_s = time.monotonic() - self._began_s
        text = ' '.join(f'{name}={value}' for name, value in fields.items())
        self._file.write(f'{at_s:9.3f} {event} {text}\n')

    def close(self) -> None:
        """Ends the record."""
        self._file.close()


class Gateway:
    """One gateway process, and what was done to it.

    Attributes:
        name: Name of its machine.
        host: Its address on loopback.
        started_at_s: Monotonic time of the last start.
        killed_at_s: Monotonic time of the last kill; 0 if there was none.
    """

    def __init__(self, name: str, host: str, ports: int) -> None:
        self.name = name
        self.host = host
        self.callers = (host, ports)
        self.ready = (host, ports + 1)
        self.control = (host, ports + 2)
        self.inner_port = ports + 4
        self.started_at_s = 0.0
        self.killed_at_s = 0.0
        self.process: subprocess.Popen[bytes] | None = None

    def is_in_touch(self, at_s: float) -> bool:
        """Returns whether it ran undisturbed for the stable window before."""
        if self.killed_at_s and self.started_at_s < self.killed_at_s:
            return False
        return at_s - self.started_at_s > STABLE_WINDOW_S


class Rig:
    """The store and the gateways of a case.

    Attributes:
        store: Stand-in of the store.
        gateways: The gateways.
        record: The record of the case.
    """

    def __init__(self, folder: pathlib.Path, gateway_count: int = 3) -> None:
        self.record = Record(folder)
        self.store = store_module.Store()
        self.gateways: list[Gateway] = []
        self._work = tempfile.TemporaryDirectory(prefix='review-')
        self._version = 0
        base = f'127.{random.randint(64, 250)}.{random.randint(1, 250)}'
        ports = _find_free_ports(base, gateway_count)
        for number in range(1, gateway_count + 1):
            self.gateways.append(
                Gateway(f'front-{number}', f'{base}.{number}', ports)
            )

    def publish(
        self, routes: list[dict[str, object]], services: list[str]
    ) -> None:
        """Writes the next manifest."""
        self._version += 1
        self.store.put(
            'keyed.op',
            'config',
            {
                'version': self._version,
                'routes': routes,
                'services': [
                    {'name': name, 'max_conns': 110} for name in services
                ],
                'limits': {
                    'header_bytes': 16384,
                    'body_bytes': 4194304,
                    'header_timeout_ms': 3000,
                    'idle_timeout_ms': 15000,
                },
            },
        )

    def start_gateway(self, gateway: Gateway) -> None:
        """Starts the process with the `run` line of the deploy file."""
        deploy = tomllib.loads(
            (ROOT / 'deploy/system.toml').read_text(encoding='utf-8')
        )
        role = deploy['roles']['gateway']
        template = (ROOT / role['template']).read_text(encoding='utf-8')
        path = pathlib.Path(self._work.name) / f'{gateway.name}.ini'
        path.write_text(self._fill(template, gateway), encoding='utf-8')
        environment = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'LANG': os.environ.get('LANG', 'C.UTF-8'),
            'PYTHONPATH': str(ROOT / 'target/deps'),
            'SISKINMOUNT_SETTINGS': str(path),
        }
        log = (pathlib.Path(self._work.name) / f'{gateway.name}.log').open('ab')
        gateway.process = subprocess.Popen(
            role['run'].split(),
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        log.close()
        gateway.started_at_s = time.monotonic()
        self.record.write('gateway_started', gateway=gateway.name)

    def _fill(self, template: str, gateway: Gateway) -> str:
        values = {
            'node': gateway.name,
            'ip': gateway.host,
            'zone': 'hall-a',
            'region': 'hall',
            'listen.front': f'{gateway.callers[0]}:{gateway.callers[1]}',
            'listen.ready': f'{gateway.ready[0]}:{gateway.ready[1]}',
            'listen.control': f'{gateway.control[0]}:{gateway.control[1]}',
            'inner_ports.0': str(gateway.inner_port),
            'seeds': f'{self.gateways[0].control[0]}:{gateway.control[1]}',
            'heartbeat_ms': '1200',
            'bounds.grace_s': str(GRACE_S),
            'bounds.status_s': '120',
            'platform.address': '{}:{}'.format(*self.store.address),
            'platform.record_bytes': '262144',
            'platform.call_bytes': '2097152',
            'bounds.strict_revoke': '',
            'bounds.revoke_ms': '',
            'bounds.quota_window_s': '',
            'bounds.quota_excess': '',
            'bounds.quota_slack': '',
            'limits.memory_mb': '',
            'limits.max_fds': '',
            'limits.link_mbps': '',
        }
        return re.sub(
            r'\{\{([a-z_.0-9]+)\}\}', lambda m: values[m.group(1)], template
        )

    def kill_gateway(self, gateway: Gateway) -> None:
        """Ends a gateway with SIGKILL."""
        assert gateway.process is not None
        gateway.process.send_signal(signal.SIGKILL)
        gateway.process.wait()
        gateway.killed_at_s = time.monotonic()
        self.record.write('gateway_killed', gateway=gateway.name)

    async def start_all(self) -> None:
        """Starts all gateways, and waits until they are ready and in touch."""
        for gateway in self.gateways:
            self.start_gateway(gateway)
        await self.wait_ready()
        await asyncio.sleep(STABLE_WINDOW_S)

    async def wait_ready(self) -> None:
        """Waits until all gateways say that they are ready."""
        end_s = time.monotonic() + 30
        for gateway in self.gateways:
            while True:
                answer = await http_wire.call(
                    gateway.ready,
                    'GET',
                    '/siskinmount/ready',
                    [('Host', 'ready')],
                    timeout_s=1.0,
                )
                if answer.status == 200:
                    break
                if time.monotonic() > end_s:
                    raise CannotRunError(f'{gateway.name} is not ready')
                await asyncio.sleep(0.05)

    def read_log(self, gateway: Gateway) -> list[dict[str, object]]:
        """Returns the lines that the processes of a gateway have logged."""
        rows: list[dict[str, object]] = []
        path = pathlib.Path(self._work.name) / f'{gateway.name}.log'
        for line in path.read_text(encoding='utf-8', errors='replace').split(
            '\n'
        ):
            try:
                rows.append(json.loads(line))
            except ValueError:
                continue
        return rows

    def close(self) -> None:
        """Ends all processes that were started."""
        for gateway in self.gateways:
            process = gateway.process
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        self.record.close()
        self._work.cleanup()


def make_id() -> str:
    """Returns a new id of a client attempt."""
    return f'{random.getrandbits(64):016x}'


def is_troubled() -> bool:
    """Returns whether the disruption is to take place."""
    return os.environ.get('TROUBLE', '1') != '0'


def run(main: Callable[[Rig], Awaitable[int]], folder: pathlib.Path) -> None:
    """Runs a case, and exits with its verdict.

    A fault of the script itself is no verdict: the case could not be run.
    """
    signal.signal(signal.SIGTERM, _exit_on_signal)
    rig = Rig(folder)
    verdict = EXIT_CANNOT_RUN
    try:
        verdict = asyncio.run(asyncio.wait_for(main(rig), MAX_LENGTH_S))
    except Exception as error:
        rig.record.write('cannot_run', reason=repr(error))
        print(f'could not run: {error!r}')
    finally:
        rig.close()
    sys.exit(verdict)


def _exit_on_signal(unused_number: int, unused_frame: object) -> None:
    sys.exit(EXIT_CANNOT_RUN)


def _find_free_ports(base: str, count: int) -> int:
    """Returns the first of six ports that are free at all addresses."""
    for _ in range(50):
        first = random.randint(20000, 60000)
        if all(
            _is_free(f'{base}.{number}', first + offset)
            for number in range(1, count + 1)
            for offset in range(6)
        ):
            return first
    raise CannotRunError('no free ports')


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
