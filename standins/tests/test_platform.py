"""Tests of the stand-ins for the platform and for plain services."""

import base64

import testtools
import trio
import trio.testing

from siskinmount import results
from siskinmount import transport
from standins import log_service
from standins import plain_service
from standins import vm_list
from standins import weight_store
from standins.log_service import _append_rate_limiter
from standins.tests import http_harness

_RECORDS = '/streams/s/records'


def _read_data(answer):
    return [base64.b64decode(record['data']) for record in answer['records']]


class LogServiceTest(testtools.TestCase):

    def run_log(self, check, **settings):
        service = log_service.create_log_service(**settings)
        http_harness.run_standin(service.handle, check)

    def test_offsets_are_dense_and_streams_separate(self):
        async def check(caller):
            for stream, offset in (('a', 1), ('a', 2), ('b', 1), ('a', 3)):
                status, answer = await caller.call_json(
                    'POST', f'/streams/{stream}/records', b'x'
                )
                self.assertEqual((200, {'offset': offset}), (status, answer))
            _, answer = await caller.call_json('GET', '/streams/a')
            self.assertEqual({'first_offset': 1, 'next_offset': 4}, answer)

        self.run_log(check)

    def test_read_bounds_allow_an_oversized_first_record(self):
        async def check(caller):
            for data in (b'aaaa', b'bb', b'cc', b'd'):
                await caller.call('POST', _RECORDS, data)
            for query, expected in (
                ('from=1&max_bytes=1', [b'aaaa']),
                ('from=1&max_bytes=6', [b'aaaa', b'bb']),
                ('from=2&limit=2', [b'bb', b'cc']),
                ('from=5', []),
            ):
                status, answer = await caller.call_json(
                    'GET', f'{_RECORDS}?{query}'
                )
                self.assertEqual(200, status)
                self.assertEqual(expected, _read_data(answer))

        self.run_log(check)

    def test_long_poll_returns_with_the_append(self):
        async def check(caller):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read, caller)
                await trio.sleep(0.05)
                await caller.call('POST', _RECORDS, b'x')

        async def read(caller):
            _, answer = await caller.call_json(
                'GET', f'{_RECORDS}?from=1&wait_ms=25000'
            )
            self.assertEqual([b'x'], _read_data(answer))

        self.run_log(check)

    def test_reading_expired_records_is_refused(self):
        async def check(caller):
            for _ in range(5):
                await caller.call('POST', _RECORDS, b'x')
            status, answer = await caller.call_json('GET', f'{_RECORDS}?from=2')
            self.assertEqual(410, status)
            self.assertEqual({'first_offset': 4, 'next_offset': 6}, answer)
            status, answer = await caller.call_json('GET', f'{_RECORDS}?from=4')
            self.assertEqual(2, len(answer['records']))

        self.run_log(check, retention_records=2)

    def test_records_expire_by_age(self):
        async def check(caller):
            await caller.call('POST', _RECORDS, b'x')
            await trio.sleep(0.1)
            _, answer = await caller.call_json('GET', '/streams/s')
            self.assertEqual({'first_offset': 2, 'next_offset': 2}, answer)

        self.run_log(check, retention_ms=20)

    def test_append_rate_is_bounded(self):
        async def main():
            limiter = _append_rate_limiter.AppendRateLimiter(10.0, 3)
            taken = [limiter.try_acquire() for _ in range(5)]
            self.assertEqual([True, True, True, False, False], taken)
            await trio.sleep(0.15)
            self.assertEqual(
                [True, False], [limiter.try_acquire(), limiter.try_acquire()]
            )

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_refused_append_has_no_effect(self):
        async def check(caller):
            statuses = [
                (await caller.call('POST', _RECORDS, b'x'))[0] for _ in range(3)
            ]
            self.assertEqual([200, 429, 429], statuses)
            _, answer = await caller.call_json('GET', '/streams/s')
            self.assertEqual(2, answer['next_offset'])

        self.run_log(check, appends_per_s=0.001, append_burst=1)

    def test_append_with_lost_answer_takes_effect(self):
        async def check(caller):
            await caller.call('POST', '/control/lose_answer', {'count': 1})
            answer = await caller.call('POST', _RECORDS, b'x')
            self.assertIsInstance(answer, results.Failure)
            self.assertIs(results.RunState.UNKNOWN, answer.run_state)
            _, answer = await caller.call_json('GET', '/streams/s')
            self.assertEqual(2, answer['next_offset'])
            status, _ = await caller.call('POST', _RECORDS, b'x')
            self.assertEqual(200, status)

        self.run_log(check)

    def test_outage_has_no_effect_and_ends(self):
        async def check(caller):
            await caller.call('POST', '/control/outage', {'duration_ms': 200})
            status, _ = await caller.call('POST', _RECORDS, b'x')
            self.assertEqual(503, status)
            while status == 503:
                await trio.sleep(0.02)
                status, _ = await caller.call('GET', '/streams/s')
            _, answer = await caller.call_json('GET', '/streams/s')
            self.assertEqual(1, answer['next_offset'])

        self.run_log(check)

    def test_silent_outage(self):
        async def check(caller):
            await caller.call(
                'POST',
                '/control/outage',
                {'duration_ms': 20_000, 'mode': 'silent'},
            )
            short_timeout_caller = http_harness.Caller(
                caller.address, transport.ClientLimits(silence_timeout_ms=50)
            )
            for _ in range(3):
                answer = await short_timeout_caller.call('GET', '/streams/s')
                self.assertEqual(
                    results.ResultCode.UPSTREAM_SILENT, answer.code
                )

        self.run_log(check)


class PlainServiceTest(testtools.TestCase):

    def test_duplicate_effects_are_reported(self):
        async def check(caller):
            for request_id, key in (
                ('r1', 'k1'),
                ('r2', 'k2'),
                ('r1', 'k3'),
                ('r4', 'k2'),
            ):
                status, _ = await caller.call(
                    'POST',
                    '/bookings',
                    {'key': key},
                    [(b'x-request-id', request_id.encode())],
                )
                self.assertEqual(201, status)
            await caller.call('GET', '/bookings')
            _, answer = await caller.call_json('GET', '/control/effects')
            self.assertEqual(4, len(answer['effects']))
            self.assertEqual(['r1'], answer['doubled_request_ids'])
            self.assertEqual(['k2'], answer['doubled_keys'])

        service = plain_service.create_plain_service()
        http_harness.run_standin(service.handle, check)

    def test_call_with_lost_answer_takes_effect(self):
        async def check(caller):
            await caller.call('POST', '/control/lose_answer', {'count': 1})
            answer = await caller.call('POST', '/bookings', {'key': 'k'})
            self.assertIsInstance(answer, results.Failure)
            self.assertEqual(1, len(service.effects))

        service = plain_service.create_plain_service()
        http_harness.run_standin(service.handle, check)

    def test_slow_service_still_answers(self):
        async def check(caller):
            fault = {'delay_ms': 200, 'duration_ms': 10_000}
            await caller.call('POST', '/control/slow', fault)
            start_s = trio.current_time()
            status, _ = await caller.call('POST', '/bookings', {'key': 'k'})
            self.assertEqual(201, status)
            self.assertGreaterEqual(trio.current_time() - start_s, 0.2)

        service = plain_service.create_plain_service()
        http_harness.run_standin(service.handle, check)

    def test_call_with_silent_answer_takes_effect(self):
        async def check(caller):
            fault = {'count': 1, 'mode': 'silent'}
            await caller.call('POST', '/control/lose_answer', fault)
            short_timeout_caller = http_harness.Caller(
                caller.address, transport.ClientLimits(silence_timeout_ms=50)
            )
            answer = await short_timeout_caller.call(
                'POST', '/bookings', {'key': 'k'}
            )
            self.assertEqual(results.ResultCode.UPSTREAM_SILENT, answer.code)
            self.assertEqual(1, len(service.effects))

        service = plain_service.create_plain_service()
        http_harness.run_standin(service.handle, check)

    def test_echo_and_ping(self):
        async def check(caller):
            self.assertEqual(
                (200, b'body'), await caller.call('POST', '/x/echo', b'body')
            )
            self.assertEqual(
                (200, b''), await caller.call('POST', '/x/ping', b'{}')
            )

        service = plain_service.create_plain_service()
        http_harness.run_standin(service.handle, check)


class VmListTest(testtools.TestCase):

    def test_changes_are_visible_after_the_lag(self):
        async def check(caller):
            await caller.call('PUT', '/control/vms', {'vms': [{'vm': 'a'}]})
            _, answer = await caller.call_json('GET', '/vms')
            self.assertEqual([], answer['vms'])
            while not answer['vms']:
                await trio.sleep(0.02)
                _, answer = await caller.call_json('GET', '/vms')
            self.assertEqual([{'vm': 'a'}], answer['vms'])

        standin = vm_list.create_vm_list(lag_ms=300)
        http_harness.run_standin(standin.handle, check)


class WeightStoreTest(testtools.TestCase):

    def test_streams_and_refuses_too_many_readers(self):
        async def check(caller):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(read_whole, caller)
                await http_harness.wait_until(lambda: store.read_count)
                status, _ = await caller.call('GET', '/weights/m/1')
                self.assertEqual(429, status)
            status, _ = await caller.call('GET', '/weights/m/1')
            self.assertEqual(200, status)

        async def read_whole(caller):
            status, data = await caller.call('GET', '/weights/m/1')
            self.assertEqual((200, 200_000), (status, len(data)))

        store = weight_store.create_weight_store(
            size_bytes=200_000, bytes_per_s=1_000_000, max_readers=1
        )
        http_harness.run_standin(store.handle, check)
