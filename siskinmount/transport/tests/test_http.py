"""Tests of the HTTP client against the HTTP server."""

import socket

import testtools
import trio
import trio.lowlevel

from siskinmount import results
from siskinmount import transport
from siskinmount.transport import _keep_alive


async def _echo(exchange):
    if exchange.head.path == '/stream':
        await exchange.start_stream(200, [])
        for part in (b'a', b'b', b'c'):
            await exchange.send_chunk(part)
            await trio.lowlevel.checkpoint()
        await exchange.finish()
        return
    if exchange.head.path == '/fault':
        raise ValueError('broken handler')
    if exchange.head.path == '/hang':
        await trio.sleep_forever()
    body = await exchange.read_body()
    if isinstance(body, results.Failure):
        await exchange.send_json(413, {'code': int(body.code)})
        return
    await exchange.send_whole(200, [], body)


class HttpTest(testtools.TestCase):

    def run_with_server(self, check, limits=None):
        """Runs `check(address, server)` against a running server."""

        async def main():
            server = transport.create_http_server(_echo, limits)
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(
                        server.run, transport.Address('127.0.0.1', 0)
                    )
                    await check(address, server)
                    server.stop()
                    nursery.cancel_scope.deadline = trio.current_time() + 1

        trio.run(main)

    def test_reuses_connection(self):
        async def check(address, server):
            client = transport.create_http_client(address)
            for text in (b'one', b'two', b'three'):
                request = transport.ClientRequest('POST', '/', [], text)
                with await client.send(request) as exchange:
                    self.assertEqual(text, await exchange.read_body(10))
            self.assertEqual(1, server.connection_count)
            client.close()

        self.run_with_server(check)

    def test_reuses_connection_when_body_was_not_read(self):
        async def check(address, server):
            client = transport.create_http_client(address)
            for _ in range(3):
                request = transport.ClientRequest('GET', '/stream')
                with await client.send(request) as exchange:
                    await exchange.read_body(10)
                self.assertEqual(1, server.connection_count)
            client.close()

        self.run_with_server(check)

    def test_streams(self):
        async def check(address, server):
            client = transport.create_http_client(address)
            request = transport.ClientRequest('GET', '/stream')
            with await client.send(request) as exchange:
                self.assertEqual(b'abc', await exchange.read_body(10))
            client.close()

        self.run_with_server(check)

    def test_exception_in_handler_is_answered(self):
        async def check(address, server):
            client = transport.create_http_client(address)
            request = transport.ClientRequest('GET', '/fault')
            with await client.send(request) as exchange:
                self.assertEqual(500, exchange.status)
                body = await exchange.read_body(1000)
                self.assertNotIn(b'broken handler', body)
            client.close()

        self.run_with_server(check)

    def test_body_over_limit_is_refused(self):
        async def check(address, server):
            client = transport.create_http_client(address)
            request = transport.ClientRequest('POST', '/', [], b'x' * 11)
            with await client.send(request) as exchange:
                self.assertEqual(413, exchange.status)
            client.close()

        self.run_with_server(check, transport.ServerLimits(max_body_bytes=10))

    def test_malformed_request_is_answered_with_code(self):
        async def check(address, server):
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(b'nonsense\r\n\r\n')
            data = await stream.receive_some(4096)
            self.assertIn(b'400', data)
            self.assertIn(b'1001', data)

        self.run_with_server(check)

    def test_incomplete_headers_time_out(self):
        async def check(address, server):
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(b'GET / HTTP/1.1\r\n')
            data = await stream.receive_some(4096)
            self.assertIn(b'408', data)

        self.run_with_server(
            check, transport.ServerLimits(header_timeout_ms=50)
        )

    def test_connection_limit_is_answered(self):
        async def check(address, server):
            held = await trio.open_tcp_stream(address.host, address.port)
            await held.send_all(b'GET /hang HTTP/1.1\r\nhost: a\r\n\r\n')
            await trio.sleep(0.05)
            client = transport.create_http_client(address)
            with await client.send(
                transport.ClientRequest('GET', '/')
            ) as exchange:
                self.assertEqual(503, exchange.status)

        self.run_with_server(
            check, transport.ServerLimits(max_connections_per_host=1)
        )

    def test_refused_connection_has_run_state_not_run(self):
        async def main():
            with socket.socket() as unused:
                unused.bind(('127.0.0.1', 0))
                port = unused.getsockname()[1]
            client = transport.create_http_client(
                transport.Address('127.0.0.1', port)
            )
            failure = await client.send(transport.ClientRequest('GET', '/'))
            self.assertEqual(
                results.ResultCode.UPSTREAM_UNREACHABLE, failure.code
            )
            self.assertIs(results.RunState.NOT_RUN, failure.run_state)

        trio.run(main)

    def test_connection_lost_before_its_options_are_set_is_a_failure(self):
        # Guards against an exception in the task that sends the request.
        def fail(stream):
            raise OSError('connection reset')

        self.patch(_keep_alive, 'enable_keep_alive', fail)

        async def check(address, server):
            client = transport.create_http_client(address)
            outcome = await client.send(transport.ClientRequest('GET', '/'))
            self.assertIs(results.RunState.NOT_RUN, outcome.run_state)

        self.run_with_server(check)

    def test_unresponsive_server_has_run_state_unknown(self):
        async def check(address, server):
            client = transport.create_http_client(
                address, transport.ClientLimits(silence_timeout_ms=50)
            )
            failure = await client.send(transport.ClientRequest('GET', '/hang'))
            self.assertEqual(results.ResultCode.UPSTREAM_SILENT, failure.code)
            self.assertIs(results.RunState.UNKNOWN, failure.run_state)

        self.run_with_server(check)

    def test_time_out_closes_older_idle_connections(self):
        """The cause of a time-out may affect all older connections."""

        async def check(address, server):
            client = transport.create_http_client(
                address, transport.ClientLimits(silence_timeout_ms=100)
            )
            exchanges = []
            for _ in range(3):
                exchanges.append(
                    await client.send(transport.ClientRequest('GET', '/'))
                )
            for exchange in exchanges:
                await exchange.read_body(10)
                exchange.close()
            self.assertEqual(3, server.connection_count)
            failure = await client.send(transport.ClientRequest('GET', '/hang'))
            self.assertEqual(results.ResultCode.UPSTREAM_SILENT, failure.code)
            with trio.fail_after(5):
                while server.connection_count > 1:  # noqa: ASYNC110
                    await trio.sleep(0.01)
            client.close()

        self.run_with_server(check)

    def test_parses_addresses(self):
        for text, expected in (
            ('127.0.0.1:80', '127.0.0.1:80'),
            (' 10.0.0.1:0 ', '10.0.0.1:0'),
            ('10.0.0.1', None),
            (':80', None),
            ('a:b', None),
            ('a:70000', None),
        ):
            address = transport.parse_address(text)
            if expected is None:
                self.assertIsInstance(address, results.Failure)
            else:
                self.assertEqual(expected, str(address))
