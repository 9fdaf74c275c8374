"""Tests of a store whose answers never end."""

import testtools
import trio

from siskinmount import keyed_log
from siskinmount import platform
from siskinmount import results
from siskinmount import telemetry
from siskinmount.transport.tests import endless_server

#: Bound on what is read of one answer: pages of 1 MB, in base64 and JSON, with
#: what the sockets hold.
_MAX_SENT_BYTES = 16 * 1024 * 1024
_HEAD = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _HEAD + b'transfer-encoding: chunked\r\n\r\n'
_ANSWERS = [
    (_HEAD, b'x-name: value\r\n'),
    (_HEAD + b'x-name: ', b'value'),
    (b'', b'no answer '),
    (_HEAD + b'\r\n', b'garbage'),
    (_HEAD + b'content-length: 1000000000000\r\n\r\n', b'garbage'),
    (_CHUNKED, b'4000\r\n' + b'g' * 0x4000 + b'\r\n'),
    (_CHUNKED, b'1\r\na\r\n'),
    (_CHUNKED + b'0\r\n', b'x-trailer: value\r\n'),
    (b'HTTP/1.1 503 Busy\r\n\r\n', b'garbage'),
]
_CALLS = [
    lambda log: log.append([keyed_log.KeyedRecord('k', b'v')], None),
    lambda log: log.read(0, 0),
    lambda log: log.read(0, 1000),
    lambda log: log.read_end(0),
    lambda log: log.read_newest(),
]


class EndlessStoreTest(testtools.TestCase):

    def test_call_fails_after_a_bounded_number_of_bytes(self):
        for beginning, piece in _ANSWERS:
            for number, call in enumerate(_CALLS):
                trio.run(self._check, beginning, piece, call, number)

    async def _check(self, beginning, piece, call, number):
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                server = endless_server.EndlessServer(beginning, piece)
                await nursery.start(server.run)
                store = platform.create_store(
                    server.address, telemetry.create_metrics()
                )
                outcome = await call(store.open_log('t', 0))
                self.assertIsInstance(
                    outcome, results.Failure, (beginning, number)
                )
                await server.wait_closed()
                self.assertLess(
                    server.sent_bytes, _MAX_SENT_BYTES, (beginning, number)
                )
                nursery.cancel_scope.cancel()
