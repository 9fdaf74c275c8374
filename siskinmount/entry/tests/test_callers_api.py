"""Tests of the caller API over real sockets."""

import orjson
import testtools

from siskinmount import relay
from siskinmount import results
from siskinmount import transport
from siskinmount.entry.tests import callers_harness
from siskinmount.entry.tests import scripted_sidecar

_DISCONNECT = scripted_sidecar.ScriptedSidecar.DISCONNECT
_HANG = scripted_sidecar.ScriptedSidecar.HANG
_TOKENS = [relay.TokenFrame(index, f't{index}') for index in range(3)]
_COMPLETE = [*_TOKENS, relay.EndFrame('stop', 4, 3)]
_OVERLOADED = results.Failure(
    results.ResultCode.OVERLOADED, 'full', retry_after_ms=1500
)
_PROMPT = {'model': 'lm', 'prompt': 'p'}
_CHAT = {'model': 'lm', 'messages': [{'role': 'user', 'content': 'c'}]}


def _model_sidecar(*scripts):
    return scripted_sidecar.ScriptedSidecar('vm-1', *scripts)


def _events(response):
    """Returns ids and data of a chunked event stream and whether it is done."""
    text = b''
    rest = response.body
    while rest:
        size, _, rest = rest.partition(b'\r\n')
        length = int(size, 16)
        text += rest[:length]
        rest = rest[length + 2 :]
    ids, documents = [], []
    for line in text.decode().splitlines():
        if line.startswith('id: '):
            ids.append(int(line[4:]))
        if line.startswith('data: ') and line != 'data: [DONE]':
            documents.append(orjson.loads(line[6:]))
    return ids, documents, text.endswith(b'data: [DONE]\n\n')


class ModelCallsTest(testtools.TestCase):

    def test_json_responses_are_openai_compatible(self):
        async def check(harness):
            text = (
                await harness.request('POST', '/v1/completions', _PROMPT)
            ).json()
            chat = (
                await harness.request('POST', '/v1/chat/completions', _CHAT)
            ).json()
            usage = {
                'prompt_tokens': 4,
                'completion_tokens': 3,
                'total_tokens': 7,
            }
            for document, name in (
                (text, 'text_completion'),
                (chat, 'chat.completion'),
            ):
                self.assertEqual(
                    {'id', 'object', 'created', 'model', 'choices', 'usage'},
                    set(document),
                )
                self.assertEqual(name, document['object'])
                self.assertEqual(usage, document['usage'])
            self.assertEqual(
                [{'index': 0, 'text': 't0t1t2', 'finish_reason': 'stop'}],
                text['choices'],
            )
            self.assertEqual(
                [
                    {
                        'index': 0,
                        'message': {'role': 'assistant', 'content': 't0t1t2'},
                        'finish_reason': 'stop',
                    }
                ],
                chat['choices'],
            )

        callers_harness.run_with_entry(
            check, [('lm', _model_sidecar(_COMPLETE, _COMPLETE))]
        )

    def test_streamed_chat_response(self):
        async def check(harness):
            response = await harness.request(
                'POST', '/v1/chat/completions', {**_CHAT, 'stream': True}
            )
            self.assertEqual(
                'text/event-stream', response.headers['content-type']
            )
            ids, documents, done = _events(response)
            self.assertEqual(([0, 1, 2], True), (ids, done))
            self.assertEqual(
                [
                    {'content': 't0', 'role': 'assistant'},
                    {'content': 't1'},
                    {'content': 't2'},
                    {},
                ],
                [document['choices'][0]['delta'] for document in documents],
            )
            self.assertEqual(
                {'chat.completion.chunk'},
                {document['object'] for document in documents},
            )
            reasons = [d['choices'][0]['finish_reason'] for d in documents]
            self.assertEqual([None, None, None, 'stop'], reasons)

        callers_harness.run_with_entry(
            check, [('lm', _model_sidecar(_COMPLETE))]
        )

    def test_null_fields_and_text_parts_are_accepted(self):
        async def check(harness):
            nulls = dict.fromkeys(
                ('n', 'stream', 'user', 'max_tokens', 'max_completion_tokens')
            )
            parts = [
                {'type': 'text', 'text': 'a'},
                {'type': 'text', 'text': 'b'},
            ]
            messages = [{'role': 'user', 'content': parts}]
            for path, body in (
                ('/v1/completions', {**_PROMPT, **nulls}),
                ('/v1/chat/completions', {**_CHAT, 'messages': messages}),
            ):
                response = await harness.request('POST', path, body)
                self.assertEqual(200, response.status, response.body)

        callers_harness.run_with_entry(
            check, [('lm', _model_sidecar(_COMPLETE, _COMPLETE))]
        )

    def test_last_event_id_resumes_after_that_event(self):
        sidecar = _model_sidecar()
        sidecar.attach_scripts = [_COMPLETE]

        async def check(harness):
            response = await harness.request(
                'POST',
                '/v1/completions',
                {**_PROMPT, 'stream': True},
                headers=(b'idempotency-key: k', b'last-event-id: 1'),
            )
            self.assertEqual(([2], True), _events(response)[::2])
            self.assertEqual(([], [0]), (sidecar.runs, sidecar.attaches))

        callers_harness.run_with_entry(check, [('lm', sidecar)])

    def test_error_has_code_run_state_and_retry_time(self):
        async def check(harness):
            response = await harness.request('POST', '/v1/completions', _PROMPT)
            error = response.error()
            self.assertEqual(503, response.status)
            self.assertEqual('not_run', error['run_state'])
            self.assertTrue(error['retry_after_ms'])
            self.assertTrue(int(response.headers['retry-after']) >= 1)
            self.assertTrue(2000 <= error['code'] < 4000)
            self.assertTrue(error['request_id'])

        callers_harness.run_with_entry(
            check, [('lm', _model_sidecar(*[_OVERLOADED] * 40))]
        )

    def test_disconnect_of_the_caller_cancels_its_run(self):
        sidecar = _model_sidecar([*_TOKENS, _HANG])

        async def check(harness):
            body = orjson.dumps({**_PROMPT, 'stream': True})
            key = callers_harness.CALLERS[0].key.encode()
            async with await harness.connect() as stream:
                await stream.send_all(
                    b'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
                    b'authorization: Bearer %b\r\n'
                    b'content-length: %d\r\n\r\n%b' % (key, len(body), body)
                )
                await stream.receive_some(1)
            await callers_harness.wait_until(lambda: sidecar.cancels)

        callers_harness.run_with_entry(check, [('lm', sidecar)])


class InvalidRequestsTest(testtools.TestCase):

    def assert_refused(self, response, status, code):
        self.assertEqual(
            (status, code), (response.status, response.error()['code'])
        )
        self.assertEqual('not_run', response.error()['run_state'])

    def test_invalid_bodies_are_refused(self):
        async def check(harness):
            deep = b'[' * 900 + b']' * 900
            for body, code in (
                (b'', 1001),
                (b'{', 1001),
                (b'\xff\xfe', 1001),
                (b'{"model": "lm", "prompt": "\xff"}', 1001),
                (b'{"model": "lm", "prompt": "\\ud800"}', 1001),
                (b'[' * 100_000, 1001),
                (b'{"model": "lm", "max_tokens": 1e999}', 1001),
                (deep, 1009),
                (b'[]', 1009),
                (b'{"model": ["lm"]}', 1009),
                (b'{"model": "\\u0000"}', 1008),
                (b'{"model": "lm"}', 1009),
                (b'{"model": "lm", "prompt": {}}', 1009),
                (b'{"model": "lm", "prompt": "p", "stream": "yes"}', 1009),
                (b'{"model": "lm", "prompt": "p", "user": 7}', 1009),
                (b'{"model": "lm", "prompt": "p", "n": [1]}', 1009),
                (b'{"model": "lm", "prompt": "p", "max_tokens": 0}', 1009),
                (b'{"model": "lm", "prompt": "p", "max_tokens": true}', 1009),
                (b'{"model": "lm", "prompt": "p", "max_tokens": 1e30}', 1009),
                (
                    b'{"model": "lm", "prompt": "p", "max_tokens": 9%b}'
                    % (b'9' * 5000),
                    1001,
                ),
            ):
                response = await harness.request(
                    'POST', '/v1/completions', body
                )
                expected = {1001: 400, 1009: 400, 1008: 404}[code]
                self.assert_refused(response, expected, code)

        callers_harness.run_with_entry(check)

    def test_invalid_headers_are_refused(self):
        async def check(harness):
            long_number = b'9' * 5000
            for header in (
                b'idempotency-key: k y',
                b'idempotency-key: \xe9',
                b'idempotency-key: ' + b'k' * 201,
                b'last-event-id: 1',
            ):
                response = await harness.request(
                    'POST', '/v1/completions', _PROMPT, headers=(header,)
                )
                self.assert_refused(response, 400, 1009)
            for number in (b'-1', b'1.5', b'\xb2', long_number):
                response = await harness.request(
                    'POST',
                    '/v1/completions',
                    _PROMPT,
                    headers=(
                        b'idempotency-key: k',
                        b'last-event-id: ' + number,
                    ),
                )
                self.assert_refused(response, 400, 1009)
            for so_far in (['t0'], ['t0', 't1', 't2'], [1, 2], 't0t1'):
                response = await harness.request(
                    'POST',
                    '/v1/completions',
                    {**_PROMPT, 'answer_so_far': so_far},
                    headers=(b'idempotency-key: k', b'last-event-id: 1'),
                )
                self.assert_refused(response, 400, 1009)
            for value in (b'Bearer \xff\xfe', b'Basic eA==', b'Bearer '):
                response = await harness.request(
                    'POST',
                    '/v1/completions',
                    _PROMPT,
                    None,
                    (b'authorization: ' + value,),
                )
                self.assert_refused(response, 401, 1005)

        callers_harness.run_with_entry(check)

    def test_invalid_methods_and_paths_are_refused(self):
        async def check(harness):
            for method, target, status, code in (
                ('GET', '/v1/completions', 405, 1011),
                ('BREW', '/v1/completions', 405, 1011),
                ('CONNECT', 'x:1', 405, 1011),
                ('GET', '/nothing', 404, 1007),
                ('GET', 'http://x/nothing', 404, 1007),
                ('OPTIONS', '*', 404, 1007),
                ('GET', '/%00%ff', 404, 1007),
                ('GET', '/desk/%2e%2e/x', 400, 1009),
                ('GET', '/desk/..%5cx', 400, 1009),
                ('DELETE', '/desk/x', 405, 1011),
                ('GET', '/v1/batches/%0d%0ax', 404, 6001),
                ('GET', '/v1/batches/x?caller=roadhaven', 404, 6001),
                ('PUT', '/v1/batches', 404, 1007),
            ):
                response = await harness.request(method, target)
                self.assertEqual(
                    (target, status, code),
                    (target, response.status, response.error()['code']),
                )
            self.assertEqual(
                (200, b''),
                (
                    (await harness.request('HEAD', '/healthz')).status,
                    (await harness.request('HEAD', '/healthz')).body,
                ),
            )

        callers_harness.run_with_entry(check)


class PlainCallsTest(testtools.TestCase):

    def serve(self, check, *scripts):
        self.sidecar = _PlainSidecar('vm-1', *scripts)
        callers_harness.run_with_entry(check, [('desk', self.sidecar)])

    def test_target_is_forwarded_unchanged(self):
        target = '/desk/a%2Fb%20c?x=1&x=2&empty=&%C3%A9'

        async def check(harness):
            response = await harness.request('GET', target)
            self.assertEqual((200, b'ok'), (response.status, response.body))
            self.assertEqual([target], self.sidecar.targets)

        self.serve(check, _plain_frames(200, b'ok'))

    def test_responses_without_a_body(self):
        async def check(harness):
            for method in ('GET', 'POST'):
                response = await harness.request(method, '/desk/x')
                self.assertEqual((204, b''), (response.status, response.body))

        self.serve(check, _plain_frames(204, b'odd'), _plain_frames(204, b''))

    def test_invalid_response_headers_are_dropped(self):
        headers = [
            ('x-a', 'one\r\nx-b: two'),
            ('bad name', 'x'),
            ('x-c', 'euro \u20ac'),
            ('content-length', '7'),
            ('x-good', 'caf\xe9'),
        ]

        async def check(harness):
            response = await harness.request('GET', '/desk/x')
            self.assertEqual((200, b'ok'), (response.status, response.body))
            self.assertEqual('caf\xe9', response.headers['x-good'])
            self.assertNotIn('x-b', response.headers)

        self.serve(check, _plain_frames(200, b'ok', headers))


class BatchTest(testtools.TestCase):

    def test_jobs_of_other_callers_are_not_found(self):
        async def check(harness):
            accepted = await harness.request(
                'POST', '/v1/batches?service=lm', b'{"prompt": "a"}\n'
            )
            self.assertEqual(202, accepted.status)
            path = f'/v1/batches/{accepted.json()["job"]}'
            for method, target in (
                ('GET', path),
                ('GET', path + '/results'),
                ('POST', path + '/cancel'),
            ):
                other = await harness.request(
                    method, target, caller=callers_harness.CALLERS[1]
                )
                self.assertEqual(
                    (404, 'NO_SUCH_JOB'), (other.status, other.error()['name'])
                )
            own = await harness.request('GET', path)
            self.assertEqual('lm', own.json()['service'])
            self.assertNotEqual('cancelled', own.json()['state'])

        callers_harness.run_with_entry(check)

    def test_invalid_items_are_refused(self):
        deep = b'[' * 900 + b']' * 900

        async def check(harness):
            for service, line in (
                ('lm', b'{'),
                ('lm', b'[]'),
                ('lm', b'\xff'),
                ('lm', b'{"prompt": 1}'),
                ('lm', b'{"prompt": "\\ud800"}'),
                ('desk', b'{"path": "/a b"}'),
                ('desk', b'{"path": "/a\\r\\nx: y"}'),
                ('desk', b'{"path": "x"}'),
                ('desk', b'{"path": "/other/x"}'),
                ('desk', b'{"path": "/desk/%2e%2e/x"}'),
                ('desk', b'{"path": "/desk/x", "method": "DELETE"}'),
                ('desk', b'{"path": "/desk/x", "method": "G"}'),
                ('desk', b'{"path": "/desk/x", "method": "GET /y"}'),
                ('desk', b'{"path": "/desk/x", "body": %b}' % deep),
            ):
                response = await harness.request(
                    'POST', f'/v1/batches?service={service}', line
                )
                self.assertEqual(
                    (line[:40], 400, 'ITEM_INVALID'),
                    (line[:40], response.status, response.error()['name']),
                )
            for service, line in (
                ('lm', b'{"prompt": "a", "x": %b}' % deep),
                ('desk', b'{"path": "/desk/a%20b?c=/../d", "body": {}}'),
            ):
                accepted = await harness.request(
                    'POST', f'/v1/batches?service={service}', line
                )
                self.assertEqual(202, accepted.status)

        callers_harness.run_with_entry(check)

    def test_invalid_parameters_are_refused(self):
        async def check(harness):
            for query in ('due_s=0', 'due_s=1e3', 'due_s=--1', 'due_s=%D9%A3'):
                response = await harness.request(
                    'POST', f'/v1/batches?service=lm&{query}', b'{}'
                )
                self.assertEqual(400, response.status)
            job = '0' * 32
            response = await harness.request(
                'GET', f'/v1/batches/{job}/results?limit=99999999999999'
            )
            self.assertEqual(400, response.status)

        callers_harness.run_with_entry(check)


class LimitsTest(testtools.TestCase):

    def test_too_large_bodies_are_refused(self):
        limits = transport.ServerLimits(max_body_bytes=1000)

        async def check(harness):
            response = await harness.request(
                'POST', '/v1/completions', b'x' * 8_000_000
            )
            self.assertEqual(413, response.status)
            self.assertEqual(1002, response.error()['code'])

        callers_harness.run_with_entry(check, limits=limits)

    def test_slow_reader_does_not_block_other_callers(self):
        long = [relay.TokenFrame(index, 'x' * 4096) for index in range(2000)]
        sidecar = _model_sidecar(long + [_HANG], _COMPLETE)

        async def check(harness):
            body = orjson.dumps({**_PROMPT, 'stream': True})
            key = callers_harness.CALLERS[0].key.encode()
            async with await harness.connect() as slow:
                await slow.send_all(
                    b'POST /v1/completions HTTP/1.1\r\nhost: x\r\n'
                    b'authorization: Bearer %b\r\n'
                    b'content-length: %d\r\n\r\n%b' % (key, len(body), body)
                )
                await slow.receive_some(1)
                response = await harness.request(
                    'POST', '/v1/completions', _PROMPT
                )
                self.assertEqual(200, response.status)
                await callers_harness.wait_until(lambda: sidecar.cancels)

        callers_harness.run_with_entry(
            check,
            [('lm', sidecar)],
            transport.ServerLimits(send_timeout_ms=300),
        )


class _PlainSidecar(scripted_sidecar.ScriptedSidecar):
    """A sidecar of a plain service that records the requested targets."""

    def __init__(self, vm, *scripts):
        super().__init__(vm, *scripts)
        self.targets = []

    async def handle(self, exchange):
        body = await exchange.read_body()
        self.targets.append(orjson.loads(body)['target'])
        await exchange.start_stream(200, self._headers())
        for frame in self.scripts.pop(0):
            await exchange.send_chunk(relay.encode_frame(frame))
        await exchange.finish()


def _plain_frames(status, body, headers=()):
    return [
        relay.HeadFrame(status, list(headers)),
        relay.BodyFrame(body),
        relay.EndFrame('stop', 0, 0),
    ]
