"""Tests of requests and jobs under keys of customers."""

import logging

import orjson
import testtools
import trio

from siskinmount import results
from siskinmount.gateway.tests import gateway_harness
from standins import event_engine
from standins import faults as faults_module

_FAULT = event_engine.AnswerFault
_KEY = 'key-of-alpha-1'
_KEY_2 = 'key-of-alpha-2'
_OTHER_KEY = 'key-of-beta'
_SHARED_KEY = 'key-of-two'
_TENANTS = [
    {'name': 'alpha', 'api_keys': [_KEY, _KEY_2, _SHARED_KEY]},
    {'name': 'beta', 'api_keys': [_OTHER_KEY, _SHARED_KEY], 'priority': 0},
]
_PUBLIC_PLAIN = {
    **gateway_harness.PLAIN_ROUTE,
    'name': 'r-public',
    'path_prefix': '/public/',
    'public': True,
}
_PUBLIC_BATCH = {
    **gateway_harness.BATCH_ROUTE,
    'name': 'r-public-batch',
    'path_prefix': '/public-batch/',
    'public': True,
}
_ROUTES = [*gateway_harness.ROUTES, _PUBLIC_PLAIN]
_PLAIN = '/plain/x'
_STREAM = '/stream/x'


class _Lines(logging.Handler):
    """Keeps all that is logged."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        self.records.append(record)

    def find(self, event):
        return [row for row in self.records if row.getMessage() == event]


class _Quotas:
    """Fake of `admission.CustomerQuotas` that counts tokens.

    Attributes:
        taken: Names of the customers whose tokens were taken.
        given_back: Number of tokens that were given back.
        is_empty: Whether no customer has a token.
    """

    def __init__(self):
        self.taken = []
        self.given_back = 0
        self.is_empty = False

    def admit(self, customer):
        if self.is_empty:
            return results.Failure(
                results.ResultCode.CALLER_OVER_LIMIT,
                'over the rate',
                retry_after_ms=250,
            )
        self.taken.append(customer.name)
        return self

    def give_back(self):
        self.given_back += 1


class CustomersCase(testtools.TestCase):
    """Runs a fleet whose document has customers; no line has a key."""

    def run_fleet(self, check, tenants=_TENANTS, routes=None, **options):
        self.lines = _Lines()
        logger = logging.getLogger('siskinmount')
        logger.addHandler(self.lines)
        self.addCleanup(logger.removeHandler, self.lines)
        level = logger.level
        logger.setLevel(logging.DEBUG)
        self.addCleanup(logger.setLevel, level)

        async def main(fleet):
            await publish(fleet, 2, tenants, routes or _ROUTES)
            await check(fleet)

        options.setdefault('plain', ('p1',))
        gateway_harness.run_fleet(main, **options)
        for record in self.lines.records:
            text = repr(record.__dict__)
            for key in (_KEY, _KEY_2, _OTHER_KEY, _SHARED_KEY):
                self.assertNotIn(key, text)


async def publish(fleet, version, tenants, routes=_ROUTES):
    """Publishes a document; returns once it is in force everywhere."""
    fleet.store.put(
        'keyed.op',
        'config',
        gateway_harness.make_document(version, routes, tenants),
    )
    for running in fleet.gateways:
        view = running.daemon._view
        await gateway_harness.wait_until(
            lambda view=view: view.document.version >= version
        )


def get_check(fleet, number=0):
    return fleet.gateways[number].daemon._customer_check


def list_runs(fleet):
    return [run for engine in fleet.engines.values() for run in engine.runs]


async def send_raw(fleet, data):
    """Sends bytes to the first gateway; returns the status line."""
    address = fleet.gateways[0].address
    stream = await trio.open_tcp_stream(address.host, address.port)
    async with stream:
        await stream.send_all(data)
        received = await stream.receive_some(65_536)
        return received.partition(b'\r\n')[0]


class KeyTest(CustomersCase):

    def test_requests_without_a_valid_key_are_refused(self):
        seen = []
        keys = [
            '',
            'unknown',
            _KEY + 'x',
            _KEY[:-1],
            f'{_KEY}, {_KEY}',
            'alpha',
        ]
        keys += ['é', _SHARED_KEY, 'k' * 2000]

        async def check(fleet):
            for path in (_PLAIN, _STREAM, '/booking/x', '/batch/x'):
                answer = await fleet.call(
                    0, 'POST', path, b'', x_request_id='q'
                )
                seen.append((path, answer.status, answer.json()))
                for key in keys:
                    answer = await fleet.call(
                        0, 'POST', path, b'', x_request_id='q', x_key=key
                    )
                    seen.append((key, answer.status, answer.json()))
            self.runs = list_runs(fleet)

        self.run_fleet(check)
        self.assertEqual([], self.runs)
        for key, status, document in seen:
            self.assertEqual(401, status, key)
            self.assertEqual(1005, document['error']['code'])
            self.assertEqual('not_run', document['error']['run_state'])
        refused = self.lines.find('customer_refused')
        causes = {record.cause for record in refused}
        self.assertEqual(
            {'missing', 'empty', 'unknown', 'bad_characters', 'too_long'},
            causes,
        )

    def test_several_key_headers_are_refused(self):
        # Guards against the choice of one of them.
        seen = []

        async def check(fleet):
            for second in (_KEY, _OTHER_KEY, ''):
                head = (
                    f'GET {_PLAIN} HTTP/1.1\r\nHost: {gateway_harness.HOST}\r\n'
                    f'X-Request-Id: q\r\nX-Key: {_KEY}\r\nx-key: {second}\r\n'
                    '\r\n'
                )
                seen.append(await send_raw(fleet, head.encode()))
            self.runs = list_runs(fleet)

        self.run_fleet(check)
        self.assertEqual(3, len(seen))
        for line in seen:
            self.assertIn(b' 401 ', line)
        self.assertEqual([], self.runs)

    def test_refusal_needs_no_body(self):
        # Guards against callers without a key that occupy memory by bodies.
        seen = []

        async def check(fleet):
            for path in (_PLAIN, '/batch/x', '/siskinmount/lots/none'):
                head = (
                    f'POST {path} HTTP/1.1\r\nHost: {gateway_harness.HOST}\r\n'
                    'X-Request-Id: q\r\nContent-Length: 100000\r\n\r\nab'
                )
                seen.append(await send_raw(fleet, head.encode()))
                seen.append(
                    await send_raw(
                        fleet, head.replace('POST', 'DELETE').encode()
                    )
                )
            head = head.replace('/siskinmount/', '/none/')
            seen.append(await send_raw(fleet, head.encode()))

        self.run_fleet(check)
        statuses = [int(line.split(b' ')[1]) for line in seen]
        self.assertEqual([401] * 4 + [405, 401, 404], statuses)

    def test_upstream_gets_the_customer_and_no_key(self):
        forged = {'x_tenant': 'forged', 'connection': 'x-key, x-tenant'}

        async def check(fleet):
            for path in (_PLAIN, _STREAM):
                for key in (_KEY, _KEY_2, _OTHER_KEY):
                    answer = await fleet.call(
                        0, 'POST', path, b'', x_request_id='q', x_key=key,
                        **forged,
                    )  # fmt: skip
                    self.assertEqual(200, answer.status)
            self.runs = list_runs(fleet)

        self.run_fleet(check)
        self.assertEqual(6, len(self.runs))
        expected = sorted(['alpha', 'alpha', 'beta'] * 2)
        customers = [run.headers.get('x-tenant') for run in self.runs]
        self.assertEqual(expected, sorted(customers))
        for run in self.runs:
            self.assertNotIn('x-key', run.headers)
        ended = self.lines.find('request_ended')
        self.assertEqual(expected, sorted(record.customer for record in ended))

    def test_public_route_needs_no_key_and_passes_none_on(self):
        seen = []
        given = [{}, {'x_key': _KEY}, {'x_key': 'unknown', 'x_tenant': 'alpha'}]

        async def check(fleet):
            get_check(fleet)._key_age.max_age_s = 0.0
            for headers in given:
                answer = await fleet.call(
                    0, 'POST', '/public/x', b'', x_request_id='q', **headers
                )
                seen.append(answer.status)
            self.runs = list_runs(fleet)

        self.run_fleet(check)
        self.assertEqual([200] * 3, seen)
        self.assertEqual(3, len(self.runs))
        for run in self.runs:
            self.assertNotIn('x-key', run.headers)
            self.assertNotIn('x-tenant', run.headers)

    def test_document_without_customers_is_served_as_before(self):
        # Guards against asking callers of earlier deployments for keys.
        seen = []

        async def check(fleet):
            get_check(fleet)._key_age.max_age_s = 0.0
            for headers in ({}, {'x_key': 'k', 'x_tenant': 't'}):
                for path in (_PLAIN, '/public/x'):
                    answer = await fleet.call(
                        0, 'POST', path, b'', x_request_id='q', **headers
                    )
                    seen.append(answer.status)
            items = [gateway_harness.make_item('i0')]
            items[0]['headers'] = {'X-Key': 'k', 'X-Tenant': 't'}
            seen.append((await fleet.submit(0, 'j1', items)).status)
            await fleet.wait_results(0, 'j1', 1)
            self.runs = list_runs(fleet)

        self.run_fleet(check, tenants=None)
        self.assertEqual([200] * 4 + [202], seen)
        sent = [
            (run.headers.get('x-key'), run.headers.get('x-tenant'))
            for run in self.runs
        ]
        none = (None, None)
        given = ('k', 't')
        expected = [none, none, given, given, given]
        self.assertEqual(sorted(expected, key=str), sorted(sent, key=str))

    def test_change_of_the_document_is_in_force_for_the_next_request(self):
        seen = []

        async def call(fleet, key):
            answer = await fleet.call(
                0, 'GET', _PLAIN, x_request_id='q', x_key=key
            )
            seen.append(answer.status)

        async def check(fleet):
            await call(fleet, _KEY)
            await call(fleet, 'new')
            row = {'name': 'alpha', 'api_keys': ['new']}
            await publish(fleet, 3, [row])
            await call(fleet, _KEY)
            await call(fleet, 'new')
            await publish(fleet, 4, [])
            await call(fleet, 'new')
            await publish(fleet, 5, None)
            await call(fleet, 'new')

        self.run_fleet(check)
        self.assertEqual([200, 401, 401, 200, 401, 200], seen)

    def test_keys_that_are_too_old_are_refused_until_they_are_proved(self):
        seen = []

        async def call(fleet, **headers):
            return await fleet.call(
                0, 'GET', _PLAIN, x_request_id='q', **headers
            )

        async def check(fleet):
            checker = get_check(fleet)
            # No proof is young enough, neither for requests nor for readiness.
            checker._key_age.max_age_s = 0.0
            for key in (_KEY, 'unknown'):
                seen.append(await call(fleet, x_key=key))
            seen.append(await call(fleet))
            ready = fleet.gateways[0].ready_address
            answer = await gateway_harness.call(ready, 'GET', '/ready')
            self.assertEqual(503, answer.status)
            checker._key_age.max_age_s = None
            seen.append(await call(fleet, x_key=_KEY))
            await fleet.wait_ready(fleet.gateways[0])
            self.runs = list_runs(fleet)

        self.run_fleet(check)
        statuses = [answer.status for answer in seen]
        self.assertEqual([503, 503, 401, 200], statuses)
        for answer in seen[:2]:
            error = answer.json()['error']
            self.assertEqual(1013, error['code'])
            self.assertEqual('not_run', error['run_state'])
            self.assertEqual(b'0.100', answer.headers[b'retry-after'])
        self.assertEqual(1, len(self.runs))

    def test_flood_of_refusals_leaves_few_lines(self):
        async def check(fleet):
            checker = get_check(fleet)
            refusal = checker.identify('unknown')
            for _ in range(1000):
                checker.record_refusal(refusal, 'q', '/p?key=x')
            self.count = checker._metrics.customer_refusals

        self.run_fleet(check)
        lines = self.lines.find('customer_refused')
        counts = [record.count for record in lines]
        self.assertEqual([*range(1, 17), 32, 64, 128, 256, 512], counts)
        self.assertEqual('/p', lines[0].path)


class AttemptTest(CustomersCase):

    def _run_and_revoke(self, fault, path, tenants, engines, plain):
        """Replaces the customers while the first attempt waits."""
        seen = []

        async def check(fleet):
            for engine in fleet.engines.values():
                engine.answer_faults = [fault]
            async with trio.open_nursery() as nursery:

                async def call():
                    seen.append(
                        await fleet.call(
                            0, 'POST', path, b'', x_request_id='q', x_key=_KEY
                        )
                    )

                nursery.start_soon(call)
                await gateway_harness.wait_until(lambda: list_runs(fleet))
                # A further attempt would succeed.
                for engine in fleet.engines.values():
                    engine.answer_faults = []
                await publish(fleet, 3, tenants)
            self.runs = list_runs(fleet)

        self.run_fleet(check, engines=engines, plain=plain)
        return seen[0]

    def test_no_retry_after_the_key_was_revoked(self):
        # Guards against runs for a customer whose key is known to be revoked,
        # and against telling the caller that nothing has run.
        moved = [{'name': 'beta', 'api_keys': [_KEY]}]
        for tenants in ([], moved):
            answer = self._run_and_revoke(
                _FAULT.RUN_AND_SILENT, _PLAIN, tenants, (), ('p1', 'p2')
            )
            self.assertEqual(502, answer.status)
            self.assertEqual('unknown', answer.json()['error']['run_state'])
            self.assertEqual(1, len(self.runs))

    def test_retry_goes_on_while_the_key_is_listed(self):
        for tenants in (_TENANTS, None):
            answer = self._run_and_revoke(
                _FAULT.RUN_AND_SILENT, _PLAIN, tenants, (), ('p1', 'p2', 'p3')
            )
            self.assertEqual(200, answer.status)
            self.assertEqual(2, len(self.runs))
            for run in self.runs:
                self.assertEqual('alpha', run.headers['x-tenant'])
                self.assertNotIn('x-key', run.headers)

    def test_stream_is_not_resumed_after_the_key_was_revoked(self):
        answer = self._run_and_revoke(
            _FAULT.STALL_MIDWAY, _STREAM, [], ('e1', 'e2'), ()
        )
        self.assertEqual(200, answer.status)
        self.assertFalse(answer.is_whole)
        self.assertEqual(1, len(self.runs))

    def test_caller_that_resumes_a_stream_needs_a_valid_key(self):
        seen = []

        async def call(fleet, **headers):
            answer = await fleet.call(
                0, 'POST', _STREAM, b'', x_request_id='q2', last_event_id=2,
                resumes='q1', **headers,
            )  # fmt: skip
            seen.append(answer.status)

        async def check(fleet):
            await fleet.call(
                0, 'POST', _STREAM, b'', x_request_id='q1', x_key=_KEY
            )
            await call(fleet)
            await call(fleet, x_key='unknown')
            await call(fleet, x_key=_KEY)
            checker = get_check(fleet)
            # No proof is young enough, neither for requests nor for readiness.
            checker._key_age.max_age_s = 0.0
            await call(fleet, x_key=_KEY)
            checker._key_age.max_age_s = None
            await publish(fleet, 3, [])
            await call(fleet, x_key=_KEY)
            self.runs = list_runs(fleet)

        self.run_fleet(check)
        self.assertEqual([401, 401, 200, 503, 401], seen)
        self.assertEqual(2, len(self.runs))
        self.assertEqual('alpha', self.runs[1].headers['x-tenant'])

    def test_key_is_checked_again_after_the_body(self):
        # Guards against a body that arrives long after the key was revoked.
        seen = []

        async def check(fleet):
            address = fleet.gateways[0].address
            for version, path in ((3, _PLAIN), (5, '/batch/x')):
                stream = await trio.open_tcp_stream(address.host, address.port)
                async with stream:
                    await stream.send_all(
                        f'POST {path} HTTP/1.1\r\nHost: {gateway_harness.HOST}'
                        f'\r\nX-Request-Id: q\r\nX-Key: {_KEY}\r\n'
                        'Content-Length: 12\r\n\r\n'.encode()
                    )
                    server = fleet.gateways[0].daemon._callers_server
                    await gateway_harness.wait_until(
                        lambda server=server: server.connection_count
                    )
                    await trio.sleep(0.2)
                    await publish(fleet, version, [])
                    await stream.send_all(b'{"items":[]}')
                    received = await stream.receive_some(65_536)
                    seen.append(int(received.split(b' ')[1]))
                await publish(fleet, version + 1, _TENANTS)
            self.runs = list_runs(fleet)

        self.run_fleet(check)
        self.assertEqual([401, 401], seen)
        self.assertEqual([], self.runs)


class QuotaTest(CustomersCase):

    def test_token_is_kept_only_if_an_upstream_may_have_begun(self):
        seen = []
        cases = [
            # Path, faults, whether the token is given back.
            (_PLAIN, [], False),
            (_STREAM, [], False),
            (_PLAIN, [_FAULT.FAILED], False),
            ('/once/x', [_FAULT.RUN_AND_CLOSE], False),
            (_PLAIN, [_FAULT.NOT_RUN] * 20, True),
            (_PLAIN, [_FAULT.OTHER_PROCESS] * 20, True),
        ]

        async def check(fleet):
            for path, faults, _ in cases:
                quotas = _Quotas()
                get_check(fleet)._quotas = quotas
                for engine in fleet.engines.values():
                    engine.answer_faults = list(faults)
                await fleet.call(
                    0, 'POST', path, b'', x_request_id='q', x_key=_KEY
                )
                await gateway_harness.wait_until(
                    lambda: self.lines.find('request_ended')
                )
                await trio.sleep(0.05)
                seen.append((quotas.taken, quotas.given_back))

        self.run_fleet(check, engines=('e1', 'e2'), plain=('p1', 'p2'))
        for case, (taken, given_back) in zip(cases, seen, strict=True):
            self.assertEqual(['alpha'], taken, case)
            self.assertEqual(int(case[2]), given_back, case)

    def test_only_keyed_requests_that_upstreams_run_need_a_token(self):
        quotas = _Quotas()

        async def check(fleet):
            get_check(fleet)._quotas = quotas
            await fleet.call(0, 'GET', '/public/x', x_request_id='q')
            await fleet.call(0, 'GET', _PLAIN, x_request_id='q')
            await fleet.call(0, 'GET', '/none/x', x_key=_KEY)
            items = orjson.dumps({'items': [gateway_harness.make_item('i')]})
            answer = await fleet.call(
                0, 'POST', '/batch/j', items, x_request_id='j', x_key=_KEY
            )
            self.assertEqual(202, answer.status)
            await fleet.call(0, 'GET', '/siskinmount/lots/j', x_key=_KEY)

        self.run_fleet(check)
        self.assertEqual([], quotas.taken)

    def test_request_above_the_quota_is_refused_from_its_head(self):
        seen = []

        async def check(fleet):
            quotas = _Quotas()
            quotas.is_empty = True
            get_check(fleet)._quotas = quotas
            answer = await fleet.call(
                0, 'POST', _PLAIN, b'x', x_request_id='q', x_key=_KEY
            )
            seen.append(answer)
            head = (
                f'POST {_PLAIN} HTTP/1.1\r\nHost: {gateway_harness.HOST}\r\n'
                f'X-Key: {_KEY}\r\nContent-Length: 10\r\n\r\n'
            )
            seen.append(await send_raw(fleet, head.encode()))
            self.runs = list_runs(fleet)

        self.run_fleet(check)
        self.assertEqual(429, seen[0].status)
        self.assertEqual(2001, seen[0].json()['error']['code'])
        self.assertEqual(b'0.250', seen[0].headers[b'retry-after'])
        self.assertIn(b' 429 ', seen[1])
        self.assertEqual([], self.runs)
        line = self.lines.find('customer_refused')[0]
        self.assertEqual(('over_limit', 'alpha'), (line.cause, line.customer))


class JobCustomerTest(CustomersCase):

    async def _submit(self, fleet, job_id, items, path='/batch/', **headers):
        answer = await fleet.call(
            0,
            'POST',
            f'{path}{job_id}',
            orjson.dumps({'items': items}),
            x_request_id=job_id,
            **headers,
        )
        return answer.status

    async def _call_all(self, fleet, number, job_id, **headers):
        """Returns the statuses of a read, a read of an item and an end."""
        statuses = []
        for method, target in (
            ('GET', f'/siskinmount/lots/{job_id}'),
            ('GET', f'/siskinmount/items/{job_id}?id=i0'),
            ('DELETE', f'/siskinmount/lots/{job_id}'),
        ):
            answer = await fleet.call(
                number, method, target, x_request_id='c', **headers
            )
            statuses.append(answer.status)
        return statuses

    def test_calls_need_a_key_of_the_customer_of_the_job(self):
        seen = {}

        async def check(fleet):
            fleet.engines['e1'].event_interval_ms = 10_000
            items = [gateway_harness.make_item('i0')]
            self.assertEqual(
                202, await self._submit(fleet, 'j1', items, x_key=_KEY)
            )
            self.assertEqual(
                200, (await self._call_first(fleet, _KEY_2)).status
            )
            for number in (0, 1):
                for name, headers in (
                    ('none', {}),
                    ('unknown', {'x_key': 'unknown'}),
                    ('forged', {'x_tenant': 'alpha'}),
                    ('other', {'x_key': _OTHER_KEY}),
                ):
                    seen[name, number] = await self._call_all(
                        fleet, number, 'j1', **headers
                    )
            seen['gone'] = await self._call_all(
                fleet, 0, 'none', x_key=_OTHER_KEY
            )
            seen['own'] = await self._call_all(fleet, 1, 'j1', x_key=_KEY_2)

        self.run_fleet(check, gateway_count=2)
        for number in (0, 1):
            for name in ('none', 'unknown', 'forged'):
                self.assertEqual([401] * 3, seen[name, number], name)
            self.assertEqual([404] * 3, seen['other', number])
        self.assertEqual([404] * 3, seen['gone'])
        self.assertEqual([200] * 3, seen['own'])

    async def _call_first(self, fleet, key):
        return await fleet.call(
            1, 'GET', '/siskinmount/lots/j1', x_request_id='r', x_key=key
        )

    def test_job_continues_after_its_key_was_revoked(self):
        async def check(fleet):
            engine = fleet.engines['e1']
            engine.event_interval_ms = 200
            items = [gateway_harness.make_item(f'i{n}') for n in range(3)]
            for item in items:
                item['headers'] |= {'x-KEY': _OTHER_KEY, 'X-Tenant': 'beta'}
            await self._submit(fleet, 'j1', items, x_key=_KEY)
            self.records = fleet.store.read_newest_values(
                gateway_harness.JOBS_TOPIC
            )
            await publish(fleet, 3, [{'name': 'alpha', 'api_keys': [_KEY_2]}])
            while True:
                answer = await self._call_first(fleet, _KEY_2)
                if len(answer.json()['results']) == 3:
                    break
                await trio.sleep(gateway_harness.POLL_S)
            self.states = [row['state'] for row in answer.json()['results']]
            self.refused = (await self._call_first(fleet, _KEY)).status
            self.runs = list_runs(fleet)

        self.run_fleet(check, gateway_count=2)
        self.assertIn(b'"customer":"alpha"', self.records['job/j1'])
        for value in self.records.values():
            self.assertNotIn(_OTHER_KEY.encode(), value)
        self.assertEqual(['completed'] * 3, self.states)
        self.assertEqual(401, self.refused)
        for run in self.runs:
            self.assertEqual('alpha', run.headers['x-tenant'])
            self.assertNotIn('x-key', run.headers)

    def test_job_on_a_public_route_needs_no_key(self):
        seen = []

        async def check(fleet):
            item = gateway_harness.make_item('i0')
            item['headers'] |= {'X-Tenant': 'beta'}
            seen.append(
                await self._submit(fleet, 'j1', [item], '/public-batch/')
            )
            await fleet.wait_results(1, 'j1', 1)
            for headers in ({}, {'x_key': 'unknown'}, {'x_key': _OTHER_KEY}):
                seen.append((await self._read(fleet, 'j1', **headers)).status)
            get_check(fleet)._key_age.max_age_s = 0.0
            for headers in ({}, {'x_key': _KEY}):
                seen.append((await self._read(fleet, 'j1', **headers)).status)
            seen.append((await self._read(fleet, 'none')).status)
            self.runs = list_runs(fleet)

        self.run_fleet(check, routes=[*_ROUTES, _PUBLIC_BATCH], gateway_count=2)
        self.assertEqual([202] + [200] * 5 + [401], seen)
        self.assertNotIn('x-tenant', self.runs[0].headers)

    async def _read(self, fleet, job_id, **headers):
        return await fleet.call(
            0,
            'GET',
            f'/siskinmount/lots/{job_id}',
            x_request_id='r',
            **headers,
        )

    def test_job_from_before_customers_stays_readable(self):
        seen = []

        async def check(fleet):
            await fleet.submit(0, 'j1', [gateway_harness.make_item('i0')])
            await fleet.wait_results(0, 'j1', 1)
            await publish(fleet, 3, _TENANTS)
            seen.append((await self._read(fleet, 'j1')).status)
            seen.append((await self._read(fleet, 'j1', x_key=_KEY)).status)

        self.run_fleet(check, tenants=None)
        self.assertEqual([200, 200], seen)

    def test_calls_without_a_key_cause_no_reads_of_the_store(self):
        # Guards against a flood of such calls that loads the store. Reads of
        # it fail here, which is what a call that needs one is told.
        seen = []

        async def check(fleet):
            fleet.store_faults.begin_outage(
                faults_module.FaultMode.REFUSE, 60_000
            )
            seen.append((await self._read(fleet, 'none')).status)
            seen.append((await self._read(fleet, 'none', x_key='u')).status)
            seen.append((await self._read(fleet, 'none', x_key=_KEY)).status)

        self.run_fleet(check)
        self.assertEqual([401, 401, 503], seen)
        del seen[:]
        self.run_fleet(check, routes=[*_ROUTES, _PUBLIC_BATCH])
        self.assertEqual([503, 503, 503], seen)

    def test_cap_holds_for_each_customer(self):
        seen = []

        async def check(fleet):
            fleet.engines['e1'].event_interval_ms = 10_000
            for job_id, key, tokens in (
                ('a1', _KEY, 600),
                ('a2', _KEY_2, 600),
                ('b1', _OTHER_KEY, 600),
                ('a3', _KEY, 400),
                ('b2', _OTHER_KEY, 401),
            ):
                items = [gateway_harness.make_item('i0', tokens)]
                seen.append(await self._submit(fleet, job_id, items, x_key=key))

        self.run_fleet(check)
        self.assertEqual([202, 429, 202, 202, 429], seen)

    def test_id_of_a_job_of_another_customer_cannot_be_used(self):
        # Guards against telling a customer that a job was accepted which is not
        # its own.
        seen = []

        async def check(fleet):
            fleet.engines['e1'].event_interval_ms = 10_000
            items = [gateway_harness.make_item('i0')]
            for key in (_KEY, _KEY_2, _OTHER_KEY):
                seen.append(await self._submit(fleet, 'j1', items, x_key=key))

        self.run_fleet(check)
        self.assertEqual([202, 202, 400], seen)
