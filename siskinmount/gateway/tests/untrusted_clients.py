"""A gateway process and a crowd of clients that keep to no limit.

The crowds and bounds here are fixed: a failing test shows a fault of the
product, and is not mended by a smaller crowd or a larger bound.
"""

import contextlib
import fcntl
import os
import pathlib
import tempfile

import orjson
import trio

from siskinmount import results
from siskinmount import transport
from standins import event_engine
from standins import faults as faults_module
from standins import keyed_store
from standins import processes
from standins import serving

MIB = 1024 * 1024
#: Size of the machine that the settings state. No more than this may ever be
#: resident. A gateway has some 50 MB resident without clients.
MEMORY_MB = 128
#: Descriptors that the settings state, and how many of them are for files.
MAX_DESCRIPTORS = 400
FILE_DESCRIPTORS = 200
#: Limit of bodies in the document.
BODY_LIMIT_BYTES = 2 * MIB
#: 64 bodies of 2 MiB and a gateway without clients need about 180 MB.
CLIENTS = 64
#: Of so many clients, all but the first stop short of the end.
STOPPING_GROUP = 4
LARGE_CHUNK_BYTES = 256 * 1024
#: So many objects of one byte each take some 2.1 MB in a list.
ONE_BYTE_CHUNKS = 44_000
#: Clients that only keep a connection.
CONNECTIONS = 450
#: Guards against a test that never ends; not a bound on the product.
HANG_GUARD_S = 150.0
#: A gateway that uses less processor time than this in an interval has nothing
#: left to read.
QUIET_INTERVAL_S = 0.5
QUIET_CPU_S = 0.05
MAX_SETTLE_S = 40.0
_HOST = 'crowd.example'
_LOCK_PATH = pathlib.Path(tempfile.gettempdir()) / 'siskinmount-serial-tests'
_LINE = b'POST /plain/x HTTP/1.1\r\nhost: crowd.example\r\n'


@contextlib.contextmanager
def hold_machine():
    """Waits until no other process of the tests runs such a crowd.

    Workers of one run, and runs beside each other, take turns by a file lock.
    """
    with _LOCK_PATH.open('w') as lock_file:
        fcntl.flock(lock_file, fcntl.LOCK_EX)
        yield


def encode_announcing_head(size_bytes):
    """Returns a head that announces a body of a size."""
    return _LINE + b'content-length: %d\r\n\r\n' % size_bytes


def encode_chunked_head():
    """Returns the head of a chunked body."""
    return _LINE + b'transfer-encoding: chunked\r\n\r\n'


def encode_chunk(data):
    """Returns one chunk."""
    return b'%x\r\n%s\r\n' % (len(data), data)


class Crowd:
    """One gateway process, what it needs, and its clients.

    Attributes:
        process: The gateway.
        address: Where the gateway serves callers.
    """

    def __init__(self, nursery, group, directory):
        pid = os.getpid()
        self._host = f'127.{100 + pid // 250 % 100}.{1 + pid % 250}.1'
        self.address = transport.Address(self._host, 18_000)
        self.process = None
        self._ready_address = transport.Address(self._host, 18_001)
        self._nursery = nursery
        self._group = group
        self._directory = directory

    async def start(self):
        """Starts the store, an upstream and the gateway."""
        store_faults = faults_module.Faults()
        store = keyed_store.create_keyed_store(store_faults)
        store_address = await self._nursery.start(
            serving.serve,
            transport.Address('127.0.0.1', 0),
            store.handle,
            store_faults,
            (store.run_late_appends,),
        )
        engine = event_engine.create_event_engine('i-1', is_streaming=False)
        engine_address = await self._nursery.start(
            serving.serve,
            transport.Address('127.0.0.1', 0),
            engine.handle,
            faults_module.Faults(),
        )
        store.put('keyed.op', 'config', orjson.dumps(_DOCUMENT))
        store.put(
            'keyed.servers',
            'i-1',
            orjson.dumps(
                {
                    'service': 'plain',
                    'address': str(engine_address),
                    'zone': 'a',
                    'version': 'v0',
                    'slot_count': 8,
                    'state': 'ready',
                    'cold_left_ms': 0,
                    'born': 1,
                    'seq_no': 1,
                }
            ),
        )
        path = self._directory / 'gateway.ini'
        path.write_text(self._format_settings(store_address), encoding='utf-8')
        self.process = await self._group.start_module(
            'gateway',
            'siskinmount',
            ['gateway', f'--settings={path}'],
            waits_for_line=False,
        )
        await self._wait_ready()

    def _format_settings(self, store_address):
        host = self._host
        return f"""[daemon]
vm = vm-0
region = r
failure_domain = a
log_level = info
callers_address = {self.address}
ready_address = {self._ready_address}
control_address = {host}:18002
metrics_address = {host}:18003
peers_port = 18004
stop_grace_s = 5
results_kept_s = 600

[store]
address = {store_address}
max_record_bytes = 16384
max_call_bytes = 65536

[seeds]
addresses = {host}:18002

[limits]
memory_mb = {MEMORY_MB}
max_descriptors = {MAX_DESCRIPTORS}
"""

    async def _wait_ready(self):
        while True:
            client = transport.create_http_client(self._ready_address)
            answer = await client.send(
                transport.ClientRequest('GET', '/ready', [], b'')
            )
            is_ready = False
            if not isinstance(answer, results.Failure):
                is_ready = answer.status == 200
                answer.close()
            client.close()
            if is_ready:
                return
            await trio.sleep(0.05)

    async def send_all(self, count, choose_phases):
        """Sends bytes of clients, and leaves their connections open.

        A phase begins when the one before has ended at all clients, so that all
        have sent as much as they can without a refusal at the same time.

        Args:
            count: Number of clients.
            choose_phases: Returns for the number of a client the bytes of each
                phase, as iterables.
        """
        streams = {}
        phases = [choose_phases(number) for number in range(count)]
        for step in range(len(phases[0])):
            async with trio.open_nursery() as nursery:
                for number in range(count):
                    nursery.start_soon(
                        self._send_phase, streams, number, phases[number][step]
                    )
            await self.settle()

    async def _send_phase(self, streams, number, parts):
        """Sends the bytes of one phase unless the gateway has hung up."""
        try:
            if number not in streams:
                streams[number] = await trio.open_tcp_stream(
                    self.address.host, self.address.port
                )
                self._nursery.start_soon(_discard, streams[number])
            for part in parts:
                await streams[number].send_all(part)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass

    async def settle(self):
        """Returns once the gateway has read what has arrived."""
        with trio.move_on_after(MAX_SETTLE_S):
            while True:
                before = self.process.read_usage()
                await trio.sleep(QUIET_INTERVAL_S)
                after = self.process.read_usage()
                if before is None or after is None:
                    return
                if after.cpu_s - before.cpu_s < QUIET_CPU_S:
                    return

    async def send_ordinary(self):
        """Returns the status of an ordinary request, or why there is none."""
        client = transport.create_http_client(
            self.address, transport.ClientLimits(silence_timeout_ms=None)
        )
        answer = await client.send(
            transport.ClientRequest(
                'POST',
                '/plain/x',
                [(b'x-request-id', b'ordinary')],
                b'{}',
                _HOST.encode('ascii'),
            )
        )
        if isinstance(answer, results.Failure):
            return repr(answer)
        await answer.discard_body()
        answer.close()
        client.close()
        return answer.status

    def read_peak_bytes(self):
        """Returns the largest resident memory that the gateway ever had."""
        text = pathlib.Path(f'/proc/{self.process.pid}/status').read_text()
        for line in text.splitlines():
            name, _, value = line.partition(':')
            if name == 'VmHWM':
                return int(value.split()[0]) * 1024
        return None

    def count_descriptors(self):
        """Returns the number of all descriptors, and that of sockets."""
        directory = pathlib.Path(f'/proc/{self.process.pid}/fd')
        all_count = 0
        socket_count = 0
        for entry in directory.iterdir():
            try:
                target = os.readlink(entry)
            except OSError:
                continue
            all_count += 1
            socket_count += target.startswith('socket:')
        return all_count, socket_count


async def _discard(stream):
    """Reads what the gateway sends; keeps the connection open after its end."""
    try:
        while await stream.receive_some(65536):
            pass
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass


def run_crowd(check):
    """Runs `check(crowd)` with a gateway process of its own."""

    async def main():
        with (
            trio.fail_after(HANG_GUARD_S),
            tempfile.TemporaryDirectory() as tmp,
        ):
            async with trio.open_nursery() as nursery:
                async with processes.open_process_group() as group:
                    crowd = Crowd(nursery, group, pathlib.Path(tmp))
                    await crowd.start()
                    await check(crowd)
                nursery.cancel_scope.cancel()

    with hold_machine():
        trio.run(main)


_DOCUMENT = {
    'version': 1,
    'routes': [
        {
            'name': 'plain',
            'host': _HOST,
            'path_prefix': '/plain/',
            'kind': 'idempotent',
            'timeout_ms': 60_000,
            'goal_ms': 300,
            'service': 'plain',
            'max_attempts': 1,
        }
    ],
    'services': [{'name': 'plain', 'max_conns': 100}],
    'limits': {
        'header_bytes': 16_384,
        'body_bytes': BODY_LIMIT_BYTES,
        'header_timeout_ms': 3000,
        'idle_timeout_ms': 60_000,
    },
}
