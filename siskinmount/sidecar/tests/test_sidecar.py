"""Tests of the sidecar's HTTP interface with a fake engine over sockets."""

import orjson
import testtools
import trio
import trio.testing

from siskinmount import relay
from siskinmount import results
from siskinmount import sidecar
from siskinmount import transport
from siskinmount.sidecar.tests import fakes


def _run_request(
    request_id, tokens=3, headers=(), service='model-service', **fields
):
    body = orjson.dumps({'prompt': 'a', 'max_tokens': tokens, **fields})
    return transport.ClientRequest(
        'POST',
        f'/run/{service}',
        [(relay.RelayHeader.REQUEST_ID, request_id.encode()), *headers],
        body,
    )


async def _read_frames(exchange):
    reader = relay.FrameReader()
    frames = []
    while True:
        chunk = await exchange.receive_chunk()
        assert isinstance(chunk, bytes), chunk
        if not chunk:
            return fakes.describe_frames(frames)
        frames.extend(reader.feed(chunk))


class SidecarTest(testtools.TestCase):

    def run_with_sidecar(self, check):

        async def main():
            engine = fakes.FakeEngine()
            server = transport.create_http_server(engine.handle)
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(
                        server.run, transport.Address('127.0.0.1', 0)
                    )
                    daemon = await nursery.start(
                        sidecar.run_sidecar, fakes.create_settings(address)
                    )
                    await daemon.monitor.became_reachable.wait()
                    client = transport.create_http_client(daemon.address)
                    await check(engine, daemon, client)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_streams_complete_answer(self):
        async def check(engine, daemon, client):
            engine.allow(3)
            with await client.send(_run_request('a')) as exchange:
                self.assertEqual(200, exchange.status)
                self.assertEqual('vm-1', exchange.find_header(b'x-vm'))
                self.assertEqual('2', exchange.find_header(b'x-slots'))
                self.assertEqual(
                    ['t0', 't1', 't2', 'end'], await _read_frames(exchange)
                )

        self.run_with_sidecar(check)

    def test_second_post_attaches_at_offset(self):
        async def check(engine, daemon, client):
            engine.allow(2)
            first = await client.send(_run_request('a', 4))
            first.close()
            headers = [(relay.RelayHeader.FROM_TOKEN, b'1')]
            second = await client.send(_run_request('a', 4, headers))
            engine.allow(2)
            with second:
                self.assertEqual(
                    ['t1', 't2', 't3', 'end'], await _read_frames(second)
                )
            self.assertEqual(1, len(engine.documents))
            headers = [(relay.RelayHeader.ATTACH_ONLY, b'1')]
            with await client.send(_run_request('a', 4, headers)) as third:
                self.assertEqual(
                    ['t0', 't1', 't2', 't3', 'end'], await _read_frames(third)
                )

        self.run_with_sidecar(check)

    def test_version_of_the_engine_is_told_and_required(self):
        async def check(engine, daemon, client):
            engine.software_version = 'v1'
            engine.allow(8)
            for request_id in ('a', 'b'):
                with await client.send(_run_request(request_id)) as exchange:
                    reader = relay.FrameReader()
                    frames = []
                    while chunk := await exchange.receive_chunk():
                        frames.extend(reader.feed(chunk))
                self.assertEqual(
                    ['v1', '', ''],
                    [frame.software_version for frame in frames[:3]],
                )
            # Known since the first answer.
            self.assertEqual('v1', exchange.find_header(b'x-software-version'))
            rest = {'resume_tokens': ['t0']}
            for version, status in (('v1', 200), ('v2', 503), ('', 503)):
                request = _run_request(
                    f'c{version}', resume_version=version, **rest
                )
                with await client.send(request) as exchange:
                    self.assertEqual(status, exchange.status, version)
                    await exchange.read_body(9999)
            self.assertEqual(3, len(engine.documents))

        self.run_with_sidecar(check)

    def test_refusals(self):
        async def check(engine, daemon, client):
            attach = [(relay.RelayHeader.ATTACH_ONLY, b'1')]
            for request, status, name in (
                (_run_request('x', 3, attach), 404, 'NO_SUCH_REQUEST'),
                (_run_request('x', service='s'), 404, 'NO_SUCH_SERVICE'),
                (_run_request(''), 400, 'MALFORMED_REQUEST'),
                (
                    transport.ClientRequest('POST', '/cancel/x'),
                    404,
                    'NO_SUCH_REQUEST',
                ),
                # The cancellation above arrived before this request.
                (_run_request('x'), 503, 'REQUEST_CANCELLED'),
            ):
                with await client.send(request) as exchange:
                    document = orjson.loads(await exchange.read_body(9999))
                    self.assertEqual(
                        (status, name),
                        (exchange.status, document['error']['name']),
                    )

        self.run_with_sidecar(check)

    def test_cancel_reaches_engine(self):
        async def check(engine, daemon, client):
            engine.allow(1)
            exchange = await client.send(_run_request('a'))
            cancel = transport.ClientRequest('POST', '/cancel/a')
            with await client.send(cancel) as cancel_exchange:
                self.assertEqual(200, cancel_exchange.status)
            with exchange:
                self.assertEqual(
                    ['t0', 'REQUEST_CANCELLED:ran'],
                    await _read_frames(exchange),
                )
            self.assertEqual(['a'], engine.cancelled)

        self.run_with_sidecar(check)

    def test_keep_alives_are_sent_between_tokens(self):
        async def check(engine, daemon, client):
            engine.allow(1)
            reader = relay.FrameReader()
            kinds = []
            with await client.send(_run_request('a')) as exchange:
                while kinds.count('KeepAliveFrame') < 2:
                    frames = reader.feed(await exchange.receive_chunk())
                    kinds.extend(type(frame).__name__ for frame in frames)
            self.assertEqual(['TokenFrame'] + ['KeepAliveFrame'] * 2, kinds)

        self.run_with_sidecar(check)

    def test_slow_reader_does_not_delay_others(self):
        async def check(engine, daemon, client):
            engine.padding = 'x' * 100_000
            slow = await client.send(_run_request('a', 200))
            engine.allow(200)
            await daemon.registry.find('a').wait_ended()
            engine.padding = ''
            engine.allow(3)
            with await client.send(_run_request('b')) as exchange:
                self.assertEqual(
                    ['t0', 't1', 't2', 'end'], await _read_frames(exchange)
                )
            with slow:
                self.assertEqual(201, len(await _read_frames(slow)))

        self.run_with_sidecar(check)

    def test_leaving_finishes_running_requests_and_refuses_new_ones(self):
        async def check(engine, daemon, client):
            running = await client.send(_run_request('a'))
            daemon.begin_leaving()
            with await client.send(_run_request('b')) as exchange:
                self.assertEqual(503, exchange.status)
                document = orjson.loads(await exchange.read_body(9999))
                self.assertEqual(
                    ('LEAVING', 'not_run'),
                    (
                        document['error']['name'],
                        document['error']['run_state'],
                    ),
                )
            engine.allow(3)
            with running:
                self.assertEqual(
                    ['t0', 't1', 't2', 'end'], await _read_frames(running)
                )
            await daemon.wait_stopped()

        self.run_with_sidecar(check)

    def test_unreachable_upstream_is_not_run(self):
        async def check(engine, daemon, client):
            daemon.monitor.mark_unreachable(
                results.Failure(results.ResultCode.UPSTREAM_UNREACHABLE, '')
            )
            with await client.send(_run_request('b')) as exchange:
                self.assertEqual(503, exchange.status)

        self.run_with_sidecar(check)

    def test_serves_status(self):
        async def check(engine, daemon, client):
            for path, text in (
                ('/healthz', b'ok'),
                ('/readyz', b'true'),
                ('/status', b'"slots":2'),
                ('/metrics', b'siskinmount_sidecar_slots 2'),
            ):
                request = transport.ClientRequest('GET', path)
                with await client.send(request) as exchange:
                    self.assertIn(text, await exchange.read_body(99_999))

        self.run_with_sidecar(check)
