"""Runs the caller API of an entry against scripted sidecars."""

import orjson
import trio

from siskinmount import admission
from siskinmount import batch
from siskinmount import configuration
from siskinmount import membership
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.backing_services.tests import fake_log
from siskinmount.batch.tests import batch_fixtures
from siskinmount.entry import _batch_api
from siskinmount.entry import _callers_api
from siskinmount.entry import _job_client
from siskinmount.entry import _key_service
from siskinmount.entry.tests import scripted_sidecar
from tools import fleet

CALLERS = fleet.create_callers(['swapnest', 'roadhaven'])


class Response:
    """A raw HTTP response, split into status, headers and body."""

    def __init__(self, data):
        head, _, self.body = data.partition(b'\r\n\r\n')
        lines = head.decode('latin-1').split('\r\n')
        self.status = int(lines[0].split()[1]) if lines[0] else None
        self.headers = dict(
            line.lower().split(': ', 1) for line in lines[1:] if ': ' in line
        )

    def json(self):
        return orjson.loads(self.body)

    def error(self):
        return self.json()['error']


class _LocalStreams:
    """Fakes a `StreamOwnerClient` of an entry that owns every stream."""

    def __init__(self, shard):
        self._shard = shard

    def find_stream(self, key):
        return batch_fixtures.NAME

    def find_local_shard(self, stream):
        return self._shard


class Harness:
    """Starts a caller API with its dependencies and sends requests to it.

    Attributes:
        address: Address of the callers' server.
        server: The callers' server.
        document: The active configuration document; may be set to None.
        version: Version of the document.
    """

    def __init__(self, limits):
        self.address = None
        self.server = None
        self.version = 1
        self._limits = limits
        self.document = configuration.parse_document(
            fleet.format_document(
                model_services=['lm'], plain_services=['desk'], callers=CALLERS
            )
        )

    async def start(self, nursery, sidecars, log):
        table = membership.create_member_table()
        for service, sidecar in sidecars:
            server = transport.create_http_server(sidecar.handle)
            address = await nursery.start(
                server.run, transport.Address('127.0.0.1', 0)
            )
            member = scripted_sidecar.create_member(sidecar, address)
            member.service = service
            table.apply_heartbeat(member)
        access = scripted_sidecar.create_access(table)
        owner = await self._start_owner(nursery, log)
        owner_client = _LocalStreams(owner.shard)
        api = _callers_api.CallersApi(
            active_configuration=self,
            is_ready=lambda: True,
            access=access,
            keys=_key_service.KeyService(owner_client, 'entry-0/1'),
            jobs=_batch_api.BatchApi(_job_client.JobClient(owner_client)),
            admission_control=admission.create_admission(access.router),
            histograms=telemetry.create_histograms([]),
        )
        self.server = transport.create_http_server(api.handle, self._limits)
        self.address = await nursery.start(
            self.server.run, transport.Address('127.0.0.1', 0)
        )

    async def _start_owner(self, nursery, log):
        shard = batch.create_batch_shard(
            batch_fixtures.NAME,
            log,
            batch_fixtures.stream_fixtures.new_writer('entry-0'),
            is_live=lambda vm: False,
        )
        owner = batch_fixtures.Owner(shard)
        nursery.start_soon(owner.run)
        assert await owner.stream.wait_owned()
        return owner

    async def connect(self):
        return await trio.open_tcp_stream(self.address.host, self.address.port)

    async def send_raw(self, data):
        """Sends bytes and returns everything received until the end."""
        async with await self.connect() as stream:
            await stream.send_all(data)
            return await read_to_end(stream)

    async def request(
        self, method, target, body=b'', caller=CALLERS[0], headers=()
    ):
        if not isinstance(body, bytes):
            body = orjson.dumps(body)
        lines = [f'{method} {target} HTTP/1.1'.encode('latin-1')]
        lines += [b'host: x', b'connection: close', *headers]
        if caller is not None:
            lines.append(f'authorization: Bearer {caller.key}'.encode())
        lines.append(b'content-length: %d' % len(body))
        return Response(
            await self.send_raw(b'\r\n'.join(lines) + b'\r\n\r\n' + body)
        )


async def read_to_end(stream):
    received = b''
    while True:
        try:
            data = await stream.receive_some(65536)
        except trio.BrokenResourceError:
            return received
        if not data:
            return received
        received += data


async def wait_until(condition):
    while True:
        if condition():
            return
        await trio.sleep(0.01)


def run_with_entry(check, sidecars=(), limits=None):
    """Runs `check(harness)` against a running caller API.

    Args:
        check: Coroutine function.
        sidecars: Pairs of a service's name and a scripted sidecar.
        limits: Limits of the callers' server.
    """

    async def main():
        harness = Harness(limits)
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                await harness.start(nursery, sidecars, fake_log.FakeLog())
                await check(harness)
                nursery.cancel_scope.cancel()

    trio.run(main)
