"""Tests of the HTTP server's limits on what clients send and leave unread."""

import testtools
import trio

from siskinmount import results
from siskinmount import transport
from siskinmount.transport import _byte_budget
from siskinmount.transport import _http_server
from siskinmount.transport import _server_exchange

_MIB = 1024 * 1024
_LAST_GET = b'GET /unread HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n'
_STATUS_BY_CODE = {
    results.ResultCode.BODY_TOO_LARGE: 413,
    results.ResultCode.REQUEST_TIMEOUT: 408,
    results.ResultCode.OVERLOADED: 503,
}


async def _handle(exchange):
    if exchange.head.path == '/unread':
        await exchange.send_json(404, 'unread')
        return
    if exchange.head.path == '/large':
        await exchange.send_whole(200, [], b'x' * (32 * _MIB))
        return
    body = await exchange.read_body()
    if isinstance(body, results.Failure):
        await exchange.send_json(
            _STATUS_BY_CODE.get(body.code, 400), body.reason
        )
        return
    await exchange.send_whole(200, [], b'%d' % len(body))


async def _read_all(stream):
    received = b''
    try:
        while True:
            data = await stream.receive_some(65536)
            if not data:
                return received
            received += data
    except trio.BrokenResourceError:
        return received


async def _wait_until(condition):
    while True:
        if condition():
            return
        await trio.sleep(0.01)


def _post(size, path=b'/'):
    return b'POST %s HTTP/1.1\r\nhost: x\r\ncontent-length: %d\r\n\r\n' % (
        path,
        size,
    )


_CHUNKED = b'POST / HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n'


class ServerLimitsTest(testtools.TestCase):

    def run_with_server(self, check, budget_bytes=64 * _MIB, **limits):
        """Runs `check(connect, budget)` against a running server."""

        async def main():
            budget = _byte_budget.ByteBudget(budget_bytes)
            server = transport.create_http_server(
                _handle, transport.ServerLimits(**limits), budget
            )
            with trio.fail_after(60):
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

                    await check(connect, budget)
                    await _wait_until(lambda: not server.connection_count)
                    # Guards against bytes that are never given back.
                    self.assertEqual(0, budget.held_bytes)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def get_answer(self, request, **limits):
        """Returns what the server sends before it closes the connection."""
        answers = []

        async def check(connect, budget):
            async with await connect(request) as stream:
                answers.append(await _read_all(stream))

        self.run_with_server(check, **limits)
        return answers[0]

    def test_small_body_that_was_not_needed_leaves_the_connection_usable(self):
        async def check(connect, budget):
            size = 64 * 1024
            async with await connect(_post(size, b'/unread')) as stream:
                answer = await stream.receive_some(4096)
                self.assertTrue(answer.startswith(b'HTTP/1.1 404'))
                self.assertNotIn(b'connection: close', answer.lower())
                await stream.send_all(b'x' * size + _LAST_GET)
                answer = await _read_all(stream)
                self.assertTrue(answer.startswith(b'HTTP/1.1 404'))

        self.run_with_server(check)

    def test_small_chunked_body_that_was_not_needed_is_discarded(self):
        async def check(connect, budget):
            head = _CHUNKED.replace(b' / ', b' /unread ')
            async with await connect(head) as stream:
                await stream.receive_some(4096)
                await stream.send_all(b'5\r\nhello\r\n0\r\n\r\n' + _LAST_GET)
                answer = await _read_all(stream)
                self.assertTrue(answer.startswith(b'HTTP/1.1 404'))

        self.run_with_server(check)

    def test_large_body_that_was_not_needed_closes_the_connection(self):
        answer = self.get_answer(_post(64 * 1024 + 1, b'/unread'))
        self.assertTrue(answer.startswith(b'HTTP/1.1 404'))
        self.assertIn(b'connection: close', answer.lower())

    def test_rest_that_does_not_come_closes_the_connection(self):
        self.patch(_server_exchange, 'DISCARD_TIMEOUT_S', 0.05)
        answer = self.get_answer(_post(10, b'/unread') + b'123456789')
        self.assertEqual(1, answer.count(b'HTTP/1.1'))

    def test_announced_body_over_the_limit_is_refused_unread(self):
        answer = self.get_answer(_post(10**12))
        self.assertTrue(answer.startswith(b'HTTP/1.1 413'))
        self.assertIn(b'connection: close', answer.lower())

    def test_framing_is_bounded(self):
        def encode(size, count):
            return b'%x\r\n%s\r\n' % (size, b'x' * size) * count

        cases = (
            (encode(1, 20_000), b'413'),
            (b'1;%s\r\nx\r\n' % (b'y' * 1000) * 100, b'413'),
            # The product's clients and ordinary libraries send larger chunks.
            (encode(1, 10_000), b'200'),
            (encode(64, 20_000), b'200'),
        )
        for chunks, status in cases:
            request = _CHUNKED.replace(
                b'\r\n\r\n', b'\r\nconnection: close\r\n\r\n'
            )
            answer = self.get_answer(request + chunks + b'0\r\n\r\n')
            self.assertEqual(status, answer.split()[1])

    def test_endless_trailers_are_bounded(self):
        answer = self.get_answer(_CHUNKED + b'0\r\n' + b'a: b\r\n' * 100_000)
        self.assertTrue(answer.startswith(b'HTTP/1.1 400'))

    def test_body_of_a_byte_now_and_then_times_out(self):
        """Guards against a client that holds its bytes without end."""
        for request in (_post(1000), _CHUNKED, _CHUNKED + b'0\r\na: '):
            answers = []

            async def check(connect, budget, request=request, answers=answers):
                async with await connect(request) as stream:

                    async def trickle():
                        try:
                            while True:
                                await stream.send_all(b'1')
                                await trio.sleep(0.02)
                        except trio.BrokenResourceError:
                            pass

                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(trickle)
                        answers.append(await _read_all(stream))
                        nursery.cancel_scope.cancel()

            self.run_with_server(check, body_timeout_ms=200)
            self.assertTrue(answers[0].startswith(b'HTTP/1.1 408'), request)

    def test_half_closed_body_is_refused(self):
        async def check(connect, budget):
            async with await connect(_post(10) + b'123') as stream:
                await stream.send_eof()
                answer = await _read_all(stream)
                self.assertTrue(answer.startswith(b'HTTP/1.1 400'))

        self.run_with_server(check)

    def test_stalled_body_gives_way_to_an_active_one(self):
        self.patch(_byte_budget, 'MIN_STALL_S', 0.05)

        async def check(connect, budget):
            async with await connect(_post(3 * _MIB)) as stalled:
                await stalled.send_all(b'x' * (3 * _MIB - 1))
                await _wait_until(lambda: budget.held_bytes >= 3 * _MIB - 1)
                await trio.sleep(0.1)
                async with await connect(_post(2 * _MIB)) as active:
                    await active.send_all(b'x' * 2 * _MIB)
                    answer = await active.receive_some(4096)
                    self.assertTrue(answer.startswith(b'HTTP/1.1 200'))
                answer = await _read_all(stalled)
                self.assertTrue(answer.startswith(b'HTTP/1.1 503'))
                self.assertEqual(
                    1, budget.refusals[transport.ClientRefusal.EVICTED]
                )

        self.run_with_server(check, budget_bytes=4 * _MIB)

    def test_slow_reader_gives_way(self):
        self.patch(_byte_budget, 'MIN_STALL_S', 0.05)

        async def check(connect, budget):
            request = b'GET /large HTTP/1.1\r\nhost: x\r\n\r\n'
            async with await connect(request):
                await _wait_until(lambda: budget.held_bytes >= 16 * _MIB)
                await trio.sleep(0.1)
                async with await connect(_post(2 * _MIB)) as active:
                    await active.send_all(b'x' * 2 * _MIB)
                    answer = await active.receive_some(4096)
                    self.assertTrue(answer.startswith(b'HTTP/1.1 200'))

        self.run_with_server(check, budget_bytes=8 * _MIB)

    def test_idle_connection_gives_way_to_a_new_one_at_the_limit(self):
        self.patch(_http_server, 'MIN_IDLE_S', 0.0)

        async def check(connect, budget):
            idle = [await connect() for _ in range(30)]
            async with await connect(_LAST_GET) as stream:
                answer = await _read_all(stream)
                self.assertTrue(answer.startswith(b'HTTP/1.1 404'))
            for stream in idle:
                await stream.aclose()

        self.run_with_server(
            check, max_connections=4, max_connections_per_host=4
        )
