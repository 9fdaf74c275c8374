"""Tests of the platform clients against fixed HTTP responses."""

import base64

import orjson
import testtools
import trio

from siskinmount import backing_services
from siskinmount import results
from siskinmount import transport
from siskinmount.transport.tests import raw_server


def _record(offset, data=b'x'):
    return {'offset': offset, 'data': base64.b64encode(data).decode()}


def _page(*records):
    return {'first_offset': 1, 'next_offset': 9, 'records': list(records)}


class ClientsTest(testtools.TestCase):

    def run_with_answer(self, status, document, check, headers=()):
        """Runs `check(address, heads)` against a server with one response."""
        heads = []

        async def answer(exchange):
            heads.append(exchange.head)
            await exchange.read_body()
            if status == 0:
                # The response is lost after the request was received.
                raise trio.BrokenResourceError
            await exchange.send_whole(
                status, list(headers), orjson.dumps(document)
            )

        async def main():
            server = transport.create_http_server(answer)
            with trio.fail_after(10):
                async with trio.open_nursery() as nursery:
                    address = await nursery.start(
                        server.run, transport.Address('127.0.0.1', 0)
                    )
                    await check(address, heads)
                    nursery.cancel_scope.cancel()

        trio.run(main)

    def test_append_outcomes(self):
        for status, document, code, run_state in (
            (200, {'offset': 7}, None, None),
            (429, {}, results.ResultCode.LOG_UNAVAILABLE, 'not_run'),
            (413, {}, results.ResultCode.LOG_RECORD_INVALID, 'not_run'),
            (503, {}, results.ResultCode.LOG_APPEND_UNKNOWN, 'unknown'),
            (200, {}, results.ResultCode.LOG_APPEND_UNKNOWN, 'unknown'),
            (200, [1], results.ResultCode.LOG_APPEND_UNKNOWN, 'unknown'),
            (0, {}, results.ResultCode.LOG_APPEND_UNKNOWN, 'unknown'),
        ):

            async def check(address, heads, code=code, run_state=run_state):
                log = backing_services.create_log_client(address)
                outcome = await log.append('state-0', b'data')
                self.assertEqual('POST', heads[0].method)
                self.assertEqual('/streams/state-0/records', heads[0].path)
                if code is None:
                    self.assertEqual(7, outcome.offset)
                    return
                self.assertEqual(code, outcome.code)
                self.assertEqual(run_state, outcome.run_state.value)

            self.run_with_answer(status, document, check)

    def test_unreachable_log_has_run_state_not_run(self):
        async def main():
            listener = (await trio.open_tcp_listeners(0, host='127.0.0.1'))[0]
            port = listener.socket.getsockname()[1]
            await listener.aclose()
            log = backing_services.create_log_client(
                transport.Address('127.0.0.1', port)
            )
            for outcome in (await log.append('s', b''), await log.read('s', 1)):
                self.assertEqual(
                    results.ResultCode.LOG_UNAVAILABLE, outcome.code
                )
                self.assertIs(results.RunState.NOT_RUN, outcome.run_state)

        trio.run(main)

    def test_read_outcomes(self):
        for status, document, expected in (
            (200, _page(_record(4, b'a'), _record(5, b'b')), [b'a', b'b']),
            (200, _page(), []),
            (200, _page(_record(5)), None),
            (200, _page(_record(4), _record(6)), None),
            (200, {'records': []}, None),
            (410, {'first_offset': 8}, 8),
            (410, {}, None),
            (503, {}, None),
        ):

            async def check(address, heads, expected=expected):
                log = backing_services.create_log_client(address)
                outcome = await log.read('s', 4)
                if expected is None:
                    self.assertEqual(
                        results.ResultCode.LOG_UNAVAILABLE, outcome.code
                    )
                elif isinstance(expected, int):
                    self.assertIsInstance(outcome, backing_services.LogExpired)
                    self.assertEqual(expected, outcome.first_offset)
                else:
                    data = [record.data for record in outcome.records]
                    self.assertEqual(expected, data)

            self.run_with_answer(status, document, check)

    def test_stream_range(self):
        async def check(address, heads):
            log = backing_services.create_log_client(address)
            held = await log.stream_range('s')
            self.assertEqual((3, 9), (held.first_offset, held.next_offset))

        self.run_with_answer(200, {'first_offset': 3, 'next_offset': 9}, check)

    def test_vm_list(self):
        vm = {
            'vm': 'vm-1',
            'role': 'entry',
            'peers_address': '127.0.0.1:1',
            'control_address': '127.0.0.1:2',
            'state': 'leaving',
        }
        for document, expected in (
            ({'vms': [vm]}, backing_services.VmState.LEAVING),
            ({'vms': [{**vm, 'state': 'gone'}]}, None),
            ({'vms': [{}]}, None),
            ({}, None),
        ):

            async def check(address, heads, expected=expected):
                fetched = await backing_services.create_vm_list_client(
                    address
                ).fetch()
                if expected is None:
                    self.assertEqual(
                        results.ResultCode.VM_LIST_UNAVAILABLE, fetched.code
                    )
                else:
                    self.assertIs(expected, fetched[0].state)

            self.run_with_answer(200, document, check)

    def test_busy_weight_store_returns_retry_delay(self):
        async def check(address, heads):
            store = backing_services.create_weight_store_client(address)
            busy = await store.read_size_bytes('model', 'v1')
            self.assertEqual(
                results.ResultCode.WEIGHT_STORE_UNAVAILABLE, busy.code
            )
            self.assertEqual(2500, busy.retry_after_ms)

        self.run_with_answer(429, {}, check, [(b'retry-after', b'2.5')])

    def test_weights_of_unknown_length_are_not_taken_for_complete(self):
        head = b'HTTP/1.1 200 OK\r\n'
        cases = [
            (head + b'content-length: 4\r\n\r\n1234', 4),
            (head + b'content-length: 4\r\n\r\n12', None),
            (head + b'\r\n12', None),
        ]

        async def read_size(address):
            client = backing_services.create_weight_store_client(address)
            return await client.read_size_bytes('m', 'v1')

        for response, expected in cases:
            size = raw_server.run_against(response, read_size)
            if isinstance(size, results.Failure):
                size = None
            self.assertEqual(expected, size, response)
