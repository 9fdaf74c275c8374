"""Tests of the HTTP server against faulty and malicious clients."""

import hypothesis
from hypothesis import strategies
import orjson
import testtools
import trio

from siskinmount import results
from siskinmount import transport

_GET = b'GET / HTTP/1.1\r\nhost: x\r\n\r\n'
_LAST_GET = b'GET / HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
_FRAGMENTS = (
    b'GET', b'POST', b'HEAD', b'CONNECT', b' ', b'/', b'HTTP/1.1', b'\r\n',
    b'\n', b'\r', b'\0', b'host: x', b'Content-Length: ', b'5', b'-1',
    b'Transfer-Encoding: chunked', b'Expect: 100-continue', b'hello', b'0',
    b'ffffffffffffffffff', b':', b'\xff', b'%', b'%zz', b'?a=%ff&;=',
    b'Upgrade: h2c', b'Connection: upgrade', _GET,
)  # fmt: skip


async def _handle(exchange):
    path = exchange.head.path
    if path == '/unread':
        await exchange.send_json(200, 'unread')
        return
    if path == '/stream':
        await exchange.start_stream(200, [])
        await exchange.send_chunk(b'part')
        await exchange.finish()
        return
    if path == '/broken':
        await exchange.start_stream(200, [])
        await exchange.send_chunk(b'part')
        await trio.sleep(0.05)
        raise trio.BrokenResourceError('the rest is lost')
    if path == '/watch':
        async with trio.open_nursery() as nursery:
            await exchange.start_stream(200, [])
            await exchange.send_chunk(b'begun')
            nursery.start_soon(exchange.wait_disconnected)
            await trio.sleep_forever()
    if path == '/flood':
        async with trio.open_nursery():
            await exchange.start_stream(200, [])
            while True:
                await exchange.send_chunk(b'x' * 65536)
    body = await exchange.read_body()
    if isinstance(body, results.Failure):
        await exchange.send_json(400, {'code': int(body.code)})
        return
    await exchange.send_whole(200, [], body)


async def _read_all(stream):
    received = b''
    while True:
        data = await stream.receive_some(65536)
        if not data:
            return received
        received += data


async def _wait_until(condition):
    while True:
        if condition():
            return
        await trio.sleep(0.01)


class HostileHttpTest(testtools.TestCase):

    def run_with_server(self, check, **limits):
        """Runs `check(connect, server)` against a running server."""

        async def main():
            server = transport.create_http_server(
                _handle, transport.ServerLimits(**limits)
            )
            with trio.fail_after(30):
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(
                        server.run, transport.Address('127.0.0.1', 0)
                    )

                    async def connect(data=b''):
                        stream = await trio.open_tcp_stream(
                            address.host, address.port
                        )
                        await stream.send_all(data)
                        return stream

                    await check(connect, server)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def exchange_bytes(self, *requests, **limits):
        """Returns all bytes that the server sends for each request."""
        answers = []

        async def check(connect, server):
            for request in requests:
                async with await connect(request) as stream:
                    answers.append(await _read_all(stream))

        self.run_with_server(check, **limits)
        return answers

    def test_pipelined_requests_are_answered_in_order(self):
        first = b'POST /a HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\none'
        second = b'POST /b HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\n\r\ntwo'
        (answer,) = self.exchange_bytes(first + second + _LAST_GET)
        self.assertEqual(3, answer.count(b'HTTP/1.1 200'))
        self.assertLess(answer.index(b'one'), answer.index(b'two'))

    def test_broken_off_response_does_not_look_complete_to_http_1_0(self):
        outcomes = {}

        async def check(connect, server):
            for path in (b'/stream', b'/broken'):
                request = b'GET ' + path + b' HTTP/1.0\r\nhost: x\r\n\r\n'
                async with await connect(request) as stream:
                    try:
                        answer = await _read_all(stream)
                        outcomes[path] = answer.endswith(b'\r\n\r\npart')
                    except trio.BrokenResourceError:
                        outcomes[path] = 'reset'

        self.run_with_server(check)
        self.assertEqual({b'/stream': True, b'/broken': 'reset'}, outcomes)

    def test_chunked_bodies(self):
        head = b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n'
        whole, broken, huge = self.exchange_bytes(
            head + b'connection: close\r\n\r\n3\r\none\r\n2\r\n23\r\n0\r\n\r\n',
            head + b'\r\nzz\r\n',
            head + b'\r\n' + b'f' * 30 + b'\r\n',
        )
        self.assertTrue(whole.endswith(b'one23'))
        for answer in (broken, huge):
            self.assertTrue(answer.startswith(b'HTTP/1.1 400'))
            self.assertIn(b'1001', answer)

    def test_100_continue_is_sent_only_when_the_body_is_read(self):
        async def check(connect, server):
            head = (
                b'POST %b HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n'
                b'content-length: 2\r\nconnection: close\r\n\r\n'
            )
            async with await connect(head % b'/') as stream:
                begun = await stream.receive_some(100)
                self.assertTrue(begun.startswith(b'HTTP/1.1 100'))
                await stream.send_all(b'ab')
                self.assertTrue((await _read_all(stream)).endswith(b'ab'))
            async with await connect(head % b'/unread') as stream:
                begun = await stream.receive_some(1000)
                self.assertTrue(begun.startswith(b'HTTP/1.1 200'))

        self.run_with_server(check)

    def test_head_response_has_no_body(self):
        head = b'HEAD %b HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
        for answer in self.exchange_bytes(head % b'/unread', head % b'/stream'):
            self.assertTrue(answer.startswith(b'HTTP/1.1 200'))
            self.assertTrue(answer.endswith(b'\r\n\r\n'))

    def test_invalid_requests_are_rejected_before_the_handler(self):
        long_header = (
            b'GET / HTTP/1.1\r\nhost: x\r\nx: ' + b'y' * 50_000 + b'\r\n\r\n'
        )
        for request, status, code in (
            (long_header, 431, 1003),
            (b'GET / HTTP/1.1\r\n\r\n', 400, 1001),
            (b'\x16\x03\x01\x02\0', 400, 1001),
            (b'GET / HTTP/1.1\r\nhost: x\r\nbad header\r\n\r\n', 400, 1001),
            (b'GET / HTTP/1.1\r\nhost: x', 408, 1004),
            (b'CONNECT x:1 HTTP/1.1\r\nhost: x\r\n\r\n', 405, 1011),
        ):
            (answer,) = self.exchange_bytes(request, header_timeout_ms=200)
            head, _, body = answer.partition(b'\r\n\r\n')
            self.assertEqual(status, int(head.split()[1]))
            error = orjson.loads(body)['error']
            self.assertEqual(
                {'code', 'name', 'reason', 'run_state', 'retry_after_ms'}
                | {'request_id'},
                set(error),
            )
            self.assertEqual(
                (code, 'not_run'), (error['code'], error['run_state'])
            )

    def test_response_arrives_despite_large_unread_body(self):
        async def check(connect, server):
            body = b'x' * 8_000_000
            stream = await connect(
                b'POST /unread HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n'
                % len(body)
            )
            async with stream:
                await stream.send_all(body)
                self.assertTrue((await _read_all(stream)).endswith(b'"unread"'))

        self.run_with_server(check)

    def test_connections_over_the_limit_are_refused_and_closed(self):
        async def check(connect, server):
            async with await connect(_GET) as first:
                await first.receive_some(1000)
                async with await connect(_GET) as second:
                    answer = await _read_all(second)
                self.assertTrue(answer.startswith(b'HTTP/1.1 503'))
                self.assertIn(b'retry-after: 1', answer.lower())
                self.assertIn(b'1012', answer)
                async with await connect() as silent:
                    self.assertEqual(b'', await _read_all(silent))
                await first.send_all(_GET)
                self.assertTrue(await first.receive_some(1000))

        self.run_with_server(check, max_connections_per_host=1)

    def test_pipelined_bytes_during_a_stream_are_bounded(self):
        async def check(connect, server):
            async with await connect(
                b'GET /watch HTTP/1.1\r\nhost: x\r\n\r\n'
            ) as stream:
                await stream.receive_some(1000)
                sent = 0
                with trio.move_on_after(1):
                    while sent < 64_000_000:
                        await stream.send_all(b'x' * 100_000)
                        sent += 100_000
                self.assertLess(sent, 64_000_000)

        self.run_with_server(check)

    def test_client_disconnect_is_not_logged_as_an_error(self):
        async def check(connect, server):
            stream = await connect(b'GET /flood HTTP/1.1\r\nhost: x\r\n\r\n')
            await stream.receive_some(1000)
            stream.socket.close()
            await _wait_until(lambda: not server.connection_count)

        with self.assertNoLogs('siskinmount.transport', 'ERROR'):
            self.run_with_server(check)

    @hypothesis.settings(derandomize=True, deadline=None, max_examples=150)
    @hypothesis.given(
        strategies.lists(
            strategies.sampled_from(_FRAGMENTS) | strategies.binary(max_size=8),
            max_size=25,
        )
    )
    def test_any_bytes_leave_the_server_working(self, fragments):
        async def check(connect, server):
            async with await connect(b''.join(fragments)) as stream:
                await stream.send_eof()
                with trio.move_on_after(5) as scope:
                    try:
                        await _read_all(stream)
                    except trio.BrokenResourceError:
                        pass
                self.assertFalse(scope.cancelled_caught)
            async with await connect(_LAST_GET) as stream:
                answer = await _read_all(stream)
                self.assertTrue(answer.startswith(b'HTTP/1.1 200'))
            await _wait_until(lambda: not server.connection_count)

        with self.assertNoLogs('siskinmount.transport', 'ERROR'):
            self.run_with_server(check)
