"""Tests of upstreams that send bytes without end to a sidecar."""

import testtools
import trio

from siskinmount import results
from siskinmount.sidecar import _http_model_upstream
from siskinmount.sidecar import _http_plain_upstream
from siskinmount.sidecar import _run_request
from siskinmount.transport.tests import endless_server

_TEST_TIMEOUT_S = 20
_MAX_SENT_BYTES = 24 * 1024 * 1024
_CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n'
_STREAM = _CHUNKED + b'content-type: text/event-stream\r\n\r\n'
_HEADS = [
    (b'HTTP/1.1 200 OK\r\n', b'x-name: value\r\n'),
    (b'', b'no answer '),
    (b'', b'HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n'),
]
_BODIES = [
    (_STREAM, b'7\r\ngarbage\r\n'),
    (_STREAM, b'9\r\ngarbage\n\n\r\n'),
    (_STREAM, b'3\r\n:\n\n\r\n'),
    (_STREAM, b'1;' + b'extension' * 100 + b'\r\na\r\n'),
    (b'HTTP/1.1 500 Error\r\n\r\n', b'garbage'),
]


class EndlessAnswersTest(testtools.TestCase):

    def _run(self, call, beginning, piece):
        """Returns what `call(address)` returns."""

        async def main():
            with trio.fail_after(_TEST_TIMEOUT_S):
                async with trio.open_nursery() as nursery:
                    server = endless_server.EndlessServer(beginning, piece)
                    await nursery.start(server.run)
                    outcome = await call(server.address)
                    while server.open_count:  # noqa: ASYNC110
                        await trio.sleep(0.01)
                    self.assertLess(server.sent_bytes, _MAX_SENT_BYTES)
                    nursery.cancel_scope.cancel()
                    return outcome

        return trio.run(main)

    async def _read(self, stream):
        """Returns the failure that ends a stream."""
        if isinstance(stream, results.Failure):
            return stream
        while True:
            frames = await stream.receive()
            if isinstance(frames, results.Failure):
                stream.close()
                return frames

    def test_model_stream_fails(self):
        async def call(address):
            upstream = _http_model_upstream.create_http_model_upstream(address)
            body = _run_request.ModelBody(prompt='p')
            return await self._read(await upstream.start('q', body, []))

        for beginning, piece in (*_HEADS, *_BODIES):
            outcome = self._run(call, beginning, piece)
            self.assertIsInstance(outcome, results.Failure, (beginning, piece))

    def test_event_stream_of_a_plain_service_fails(self):
        async def call(address):
            upstream = _http_plain_upstream.create_http_plain_upstream(address)
            body = _run_request.PlainBody(method='GET', target='/')
            return await self._read(await upstream.start('q', body))

        for beginning, piece in (*_HEADS, *_BODIES[:4]):
            outcome = self._run(call, beginning, piece)
            self.assertIsInstance(outcome, results.Failure, (beginning, piece))

    def test_probe_reads_no_more_than_a_head(self):
        async def call(address):
            upstream = _http_model_upstream.create_http_model_upstream(address)
            return await upstream.probe()

        for beginning, piece in _HEADS:
            outcome = self._run(call, beginning, piece)
            self.assertIsInstance(outcome, results.Failure, (beginning, piece))
        self.assertIsNone(self._run(call, *_BODIES[0]))
