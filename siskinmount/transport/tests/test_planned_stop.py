"""Requests that arrive while a server stops, and faults of one connection."""

import os

import testtools
import trio
import trio.testing

from siskinmount import transport
from siskinmount.transport import _http_server

_REQUEST = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nhi'


async def _echo(exchange):
    await exchange.send_whole(200, [], await exchange.read_body())


async def _answer_slowly(exchange):
    await exchange.start_stream(200, [])
    await trio.sleep(0.2)
    await exchange.send_chunk(b'late')
    await exchange.finish()


async def _read_all(stream):
    data = b''
    try:
        while True:
            chunk = await stream.receive_some()
            if not chunk:
                return data
            data += chunk
    except trio.BrokenResourceError:
        return data + b'(reset)'


class PlannedStopTest(testtools.TestCase):

    def _run(self, check, handler=_echo):
        async def main():
            server = transport.create_http_server(handler)
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(
                        server.run, transport.Address('127.0.0.1', 0)
                    )
                    await check(server, address)
                    server.stop()

        trio.run(main)

    def test_request_on_an_idle_connection_that_crosses_the_stop(self):
        async def check(server, address):
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(_REQUEST)
            self.assertIn(b' 200 ', await stream.receive_some())
            await trio.testing.wait_all_tasks_blocked()
            # The server has no turn between the arrival and the stop.
            _send_now(stream, _REQUEST)
            server.stop()
            answer = await _read_all(stream)
            self.assertIn(b' 200 ', answer)
            self.assertTrue(answer.endswith(b'hi'), answer)
            self.assertIn(b'connection: close', answer.lower())

        self._run(check)

    def test_connection_that_waits_to_be_accepted_at_the_stop(self):
        async def check(server, address):
            stream = await trio.open_tcp_stream(address.host, address.port)
            _send_now(stream, _REQUEST)
            server.stop()
            answer = await _read_all(stream)
            self.assertTrue(answer.endswith(b'hi'), answer)

        self._run(check)

    def test_response_that_does_not_say_so_does_not_close_its_connection(self):
        # The next request of the caller would be cut off.
        async def check(server, address):
            stream = await trio.open_tcp_stream(address.host, address.port)
            await stream.send_all(_REQUEST)
            self.assertNotIn(b'close', await stream.receive_some())
            server.begin_draining()
            received = b''
            while not received.endswith(b'0\r\n\r\n'):
                received += await stream.receive_some()
            await stream.send_all(_REQUEST)
            self.assertIn(
                b'connection: close', (await _read_all(stream)).lower()
            )

        self._run(check, _answer_slowly)


class FaultyConnectionTest(testtools.TestCase):

    def test_fault_of_one_connection_leaves_the_others(self):
        faults = [ValueError('unexpected'), KeyError('unexpected')]
        receive_head = _http_server.HttpServer._receive_head

        async def fail_twice(server, *args):
            if faults:
                raise faults.pop()
            return await receive_head(server, *args)

        self.patch(_http_server.HttpServer, '_receive_head', fail_twice)

        async def main():
            server = transport.create_http_server(_echo)
            with trio.fail_after(20):
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(
                        server.run, transport.Address('127.0.0.1', 0)
                    )
                    answers = []
                    server.begin_draining()
                    for _ in range(3):
                        stream = await trio.open_tcp_stream(
                            address.host, address.port
                        )
                        await stream.send_all(_REQUEST)
                        answers.append(await _read_all(stream))
                    server.stop()
            self.assertIn(b' 200 ', answers[2])

        trio.run(main)


def _send_now(stream, data):
    """Sends without giving other tasks their turn."""
    assert os.write(stream.socket.fileno(), data) == len(data)
