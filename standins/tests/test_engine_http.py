"""Tests of the engine's HTTP interface."""

import orjson
import testtools
import trio

from siskinmount import results
from siskinmount import transport
from standins import engine
from standins import faults as faults_module
from standins.tests import http_harness

_PROMPT = 'word ' * 40


def parse_events(data):
    """Returns the tokens by index and the end event of an answer."""
    tokens = {}
    end = None
    for line in data.split(b'\n\n'):
        if not line or line == b'data: [DONE]':
            continue
        event = orjson.loads(line.removeprefix(b'data: '))
        if 'text' in event:
            tokens[event['index']] = event['text']
        else:
            end = event
    return tokens, end


class EngineHttpTest(testtools.TestCase):

    def run_engine(self, check, **settings):
        settings.setdefault('time_scale', 0.05)
        standin = engine.create_engine(
            engine.EngineSettings(**settings), faults_module.Faults()
        )

        async def check_engine(caller):
            await check(caller, standin)

        http_harness.run_standin(
            standin.handle,
            check_engine,
            (standin.loop.run, standin.orders.run, standin.sample_load),
        )

    async def complete(self, caller, **fields):
        body = {'prompt': _PROMPT, 'max_tokens': 8, 'stream': True, **fields}
        answer = await caller.call('POST', '/v1/completions', body)
        self.assertEqual(200, answer[0])
        return parse_events(answer[1])

    def test_streams_whole_and_resumed_answers(self):
        expected = engine.expected_tokens(_PROMPT, None, 8)

        async def check(caller, standin):
            tokens, end = await self.complete(caller, request_id='a')
            self.assertEqual(dict(enumerate(expected)), tokens)
            self.assertEqual('length', end['finish_reason'])
            self.assertEqual(40, end['prompt_tokens'])
            tokens, end = await self.complete(
                caller, request_id='b', resume_tokens=expected[:5]
            )
            self.assertEqual(dict(enumerate(expected[5:], 5)), tokens)
            self.assertEqual(8, end['completion_tokens'])
            _, started = await caller.call_json('GET', '/control/started')
            ranges = [
                (record['from_token'], record['to_token'])
                for record in started['started']
            ]
            self.assertEqual([(0, 8), (5, 8)], ranges)

        self.run_engine(check)

    def test_cancel_ends_stream(self):
        async def check(caller, standin):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(cancel_once_started, caller, standin)
                tokens, end = await self.complete(
                    caller, request_id='a', max_tokens=100_000
                )
            self.assertEqual('cancelled', end['finish_reason'])
            self.assertEqual(len(tokens), end['completion_tokens'])
            _, answer = await caller.call_json(
                'POST', '/v1/cancel', {'request_id': 'a'}
            )
            self.assertFalse(answer['cancelled'])

        async def cancel_once_started(caller, standin):
            await http_harness.wait_until(
                lambda: standin.loop.generated_count >= 3
            )
            _, answer = await caller.call_json(
                'POST', '/v1/cancel', {'request_id': 'a'}
            )
            self.assertTrue(answer['cancelled'])

        self.run_engine(check)

    def test_disconnect_cancels(self):
        async def check(caller, standin):
            request = transport.ClientRequest(
                'POST',
                '/v1/completions',
                [],
                orjson.dumps({'prompt': 'a', 'max_tokens': 100_000}),
            )
            with await caller.client.send(request) as exchange:
                await exchange.receive_chunk()
            await http_harness.wait_until(lambda: not standin.loop.running)
            started = standin.started.describe(0)
            self.assertTrue(started[0]['cancelled'])

        self.run_engine(check)

    def test_silent_cut_keeps_running_and_new_connections_work(self):
        async def check(caller, standin):
            old = http_harness.Caller(
                caller.address, transport.ClientLimits(silence_timeout_ms=300)
            )
            request = transport.ClientRequest(
                'POST',
                '/v1/completions',
                [],
                orjson.dumps({'prompt': 'a', 'max_tokens': 300}),
            )
            with await old.client.send(request) as exchange:
                await exchange.receive_chunk()
                await caller.call('POST', '/control/cut')
                while not isinstance(
                    failure := await exchange.receive_chunk(), results.Failure
                ):
                    pass
            self.assertEqual(results.ResultCode.UPSTREAM_SILENT, failure.code)
            tokens, _ = await self.complete(
                http_harness.Caller(caller.address), request_id='new'
            )
            self.assertEqual(8, len(tokens))
            await http_harness.wait_until(lambda: not standin.loop.running)
            self.assertFalse(standin.started.describe(0)[0]['cancelled'])

        self.run_engine(check)

    def test_fencing(self):
        def order(fence, version):
            return {
                'fence': fence,
                'order': 'load',
                'model': 'm',
                'version': version,
            }

        for fenced, last_status, last_version in (
            (True, 409, '2'),
            (False, 200, '1'),
        ):

            async def check(
                caller,
                standin,
                last_status=last_status,
                last_version=last_version,
            ):
                status, _ = await caller.call_json(
                    'POST', '/v1/orders', order(7, '2')
                )
                self.assertEqual(200, status)
                status, answer = await caller.call_json(
                    'POST', '/v1/orders', order(6, '1')
                )
                self.assertEqual(last_status, status)
                self.assertEqual(7, answer['newest_fence'])
                await http_harness.wait_until(
                    lambda: not standin.orders.loading
                )
                self.assertEqual(last_version, standin.orders.version)

            self.run_engine(check, orders_fenced=fenced, load_model_ms=100.0)

    def test_load_order_aborts_running_requests_and_refuses_new(self):
        async def check(caller, standin):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(load_once_started, caller, standin)
                answer = await caller.call(
                    'POST',
                    '/v1/completions',
                    {'prompt': 'a', 'max_tokens': 100_000},
                )
            self.assertEqual(results.ResultCode.UPSTREAM_LOST, answer.code)
            status, _ = await caller.call(
                'POST', '/v1/completions', {'prompt': 'a'}
            )
            self.assertEqual(503, status)

        async def load_once_started(caller, standin):
            await http_harness.wait_until(
                lambda: standin.loop.generated_count >= 3
            )
            await caller.call(
                'POST',
                '/v1/orders',
                {'fence': 1, 'order': 'load', 'model': 'm', 'version': '2'},
            )

        self.run_engine(check, load_model_ms=100_000.0)

    def test_imported_kv_shortens_prefill(self):
        async def check(caller, standin):
            await self.complete(caller)
            status, exported = await caller.call_json(
                'POST',
                '/v1/kv/export',
                {'prompt': _PROMPT, 'max_tokens': 8},
            )
            self.assertEqual(200, status)
            self.assertEqual(32, exported['tokens'])
            self.assertEqual(32 * 65_536, exported['size_bytes'])
            standin.loop.cache.clear()
            status, imported = await caller.call_json(
                'POST', '/v1/kv/import', {'handle': exported['handle']}
            )
            self.assertEqual(32, imported['tokens'])
            await self.complete(caller)
            started = standin.started.describe(1)
            self.assertEqual(32, started[0]['cached_tokens'])

        self.run_engine(check)

    def test_load_report_lags(self):
        async def check(caller, standin):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    lambda: self.complete(caller, max_tokens=100_000)
                )
                await http_harness.wait_until(lambda: standin.loop.running)
                _, load = await caller.call_json('GET', '/v1/load')
                self.assertEqual(0, load['running'])
                while not load['running']:
                    await trio.sleep(0.02)
                    _, load = await caller.call_json('GET', '/v1/load')
                nursery.cancel_scope.cancel()

        self.run_engine(check, load_lag_ms=20_000)

    def test_malformed_requests_are_refused(self):
        for target, body in (
            ('/v1/completions', b'{'),
            ('/v1/completions', b'{}'),
            ('/v1/completions', b'{"prompt":"a","max_tokens":0}'),
            ('/v1/completions', b'{"prompt":"a","resume_tokens":[1]}'),
            ('/v1/orders', b'{"fence":1,"order":"dance","model":"m"}'),
            ('/v1/kv/import', b'{"handle":"?"}'),
        ):

            async def check(caller, standin, target=target, body=body):
                status, _ = await caller.call('POST', target, body)
                self.assertEqual(400, status)

            self.run_engine(check)
