"""Tests that arbitrary messages from peers never crash an entry."""

import hypothesis
from hypothesis import strategies
import orjson
import testtools
import trio

from siskinmount import batch
from siskinmount import results
from siskinmount import telemetry
from siskinmount import transport
from siskinmount.backing_services.tests import fake_log
from siskinmount.batch.tests import batch_fixtures
from siskinmount.entry import _batch_peer_api
from siskinmount.entry import _job_peer_api
from siskinmount.entry import _key_service
from siskinmount.entry import _peers_api

_JOB = '0' * 32
_LEASE = 'the lease'

_SCALARS = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**63), 2**64 - 1)
    | strategies.sampled_from([0, 1, 2**31, 2**32, 2**63, 2**64 - 1, 1e300])
    | strategies.text(max_size=5)
    | strategies.sampled_from([_JOB, _LEASE, 'wordsmith', 'state-0', 'AA=='])
)
_JSON = strategies.recursive(
    _SCALARS,
    lambda inner: strategies.lists(inner, max_size=3)
    | strategies.dictionaries(strategies.text(max_size=3), inner, max_size=3),
    max_leaves=5,
)


def _message(**fields):
    """Returns a strategy of messages with valid names and any values.

    Each value is either one of the given valid values or arbitrary JSON.
    """
    return strategies.fixed_dictionaries(
        {
            name: strategies.sampled_from(values) | _JSON
            for name, values in fields.items()
        }
    )


_DEEP: list = []
for _ in range(300):
    _DEEP = [_DEEP]
_REPORT = _message(
    job=[_JOB],
    index=[0, 1, 2**32],
    lease=[_LEASE],
    outcome=[outcome.value for outcome in batch.ReportedOutcome],
    output=[None, {'text': 'x'}, {'deep': _DEEP}, {'resume_tokens': [1]}],
    code=[0, 3007, 2**40],
    reason=['', 'why', 'x' * 100],
    wasted_tokens=[0, 2**64 - 1],
    fingerprint=['', 'f'],
    upstream_generation=[0, 1, 2**64 - 1],
    was_alone=[True],
)
_REQUESTS = strategies.one_of(
    strategies.tuples(
        strategies.just('/keys'),
        _message(
            operation=['begin', 'finish', 'abandon'],
            stream=[batch_fixtures.NAME],
            caller=['c'],
            key=['k'],
            attempt=['a'],
            fingerprint=['f'],
            holder=['h'],
            outcome=['', 'AA=='],
        ),
    ),
    strategies.tuples(
        strategies.just('/batch/pull'),
        _message(
            vm=['v'],
            incarnation=[1, 2**64 - 1],
            service=['wordsmith'],
            credit=[1, 2**63],
            wait_ms=[0, 2**63],
        ),
    ),
    strategies.tuples(
        strategies.just('/batch/report'),
        _message(vm=['v'], incarnation=[1, 2**64 - 1], reports=[[]]).flatmap(
            lambda message: strategies.lists(_REPORT, max_size=2).map(
                lambda reports: {**message, 'reports': reports}
            )
        ),
    ),
    strategies.tuples(
        strategies.just('/batch/renew'),
        _message(
            vm=['v'],
            incarnation=[1],
            leases=[[[_JOB, 0, _LEASE], [_JOB, 2**63, 'x']]],
        ),
    ),
    strategies.tuples(
        strategies.sampled_from(
            [
                f'/jobs/{_JOB}/open',
                '/jobs/new/open',
                '/jobs/new/items?upload=UPLOAD',
                '/jobs/new/finish?upload=UPLOAD',
                f'/jobs/{_JOB}/results?caller=swapnest&after=x&limit=1',
                f'/jobs/{_JOB}/results?caller=swapnest',
                f'/jobs/{_JOB}/results?caller=swapnest&after=-9&limit=-1',
                f'/jobs/{_JOB}/results?caller=swapnest&after=0&limit=99999999',
                f'/jobs/{_JOB}/status?caller=swapnest',
                f'/jobs/{_JOB}/cancel?caller=swapnest',
                f'/jobs/{_JOB}/other',
                '/jobs/',
                '/batch/other',
            ]
        ),
        _message(
            job=['new', _JOB],
            caller=['swapnest'],
            service=['wordsmith'],
            due_at_ms=[1, 2**63],
            idempotent=[True],
            max_attempts=[1, 2**40],
            result_retention_ms=[1, 2**64 - 1],
        ),
    ),
)


class _Exchange:
    """Fakes a server exchange and records the response."""

    def __init__(self, target, body):
        self.head = transport.RequestHead('POST', target, [], '127.0.0.1')
        self.status = None
        self.body = b''
        self._body = body

    async def read_body(self, max_bytes=None):
        return self._body

    async def send_whole(self, status, headers, body):
        self.status = status
        self.body = body

    async def send_json(self, status, document, headers=()):
        await self.send_whole(status, headers, orjson.dumps(document))


class _LocalStreams:
    """Fakes both a `StreamOwnerClient` and an ownership manager."""

    stream_names = (batch_fixtures.NAME,)

    def __init__(self, shard):
        self._shard = shard

    def find_stream(self, key):
        return batch_fixtures.NAME

    def find_local_shard(self, stream):
        return self.find_shard(stream)

    def find_shard(self, stream):
        if stream == batch_fixtures.NAME:
            return self._shard
        return results.Failure(results.ResultCode.NOT_OWNER, 'not here')

    def owned_shards(self):
        return [self._shard]

    def owner_vm(self, stream):
        return 'vm-a'

    async def send(self, stream, request):
        return results.Failure(results.ResultCode.OWNER_UNKNOWN, 'not known')


def _create_api(shard):
    owner_client = _LocalStreams(shard)
    service = batch.create_batch_service(owner_client, 'vm-a', None)
    return _peers_api.PeersApi(
        is_ready=lambda: True,
        keys=_key_service.KeyService(owner_client, 'vm-a/1'),
        batch_peer_api=_batch_peer_api.BatchPeerApi(service, service),
        jobs=_job_peer_api.JobPeerApi(owner_client),
        histograms=telemetry.create_histograms([]),
        describe_details=dict,
    )


async def _submit(owner):
    upload = owner.batch.open_upload(batch_fixtures.request(_JOB))
    for body in batch_fixtures.bodies(2):
        assert await upload.add(body) is None
    status = await owner.batch.finish_upload(upload)
    assert not isinstance(status, results.Failure), status


def _substitute_ids(value, lease, upload):
    """Replaces the placeholders in a generated message by real identifiers."""
    data = orjson.dumps(value)
    return data.replace(_LEASE.encode(), lease.encode()).replace(
        b'UPLOAD', upload.encode()
    )


class PeerMessagesTest(testtools.TestCase):

    def run_requests(self, requests):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            await _submit(owner)
            api = _create_api(owner.shard)
            (item,) = (await owner.batch.pull(batch_fixtures.pull(1))).items
            upload = 'none'
            for target, document in requests:
                try:
                    body = _substitute_ids(document, item.lease, upload)
                except orjson.JSONEncodeError:
                    body = b'[' * 300 + b']' * 300
                exchange = _Exchange(target.replace('UPLOAD', upload), body)
                await api.handle(exchange)
                self.assertIsNotNone(exchange.status)
                if target.endswith('open') and exchange.status == 200:
                    upload = orjson.loads(exchange.body)['upload']
            self.assertFalse(owner.ended.is_set())
            status = owner.batch.status(_JOB, 'swapnest')
            self.assertNotIsInstance(status, results.Failure)
            await trio.sleep(60)

        batch_fixtures.run_with_log(check, fake_log.FakeLog)

    @hypothesis.settings(
        derandomize=True,
        deadline=None,
        max_examples=250,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(strategies.lists(_REQUESTS, min_size=1, max_size=6))
    def test_any_messages_are_answered(self, requests):
        self.run_requests(requests)

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.binary(max_size=20))
    def test_any_bytes_are_answered(self, data):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            api = _create_api(owner.shard)
            for target in (
                '/keys',
                '/batch/pull',
                '/batch/report',
                '/jobs/x/open',
            ):
                exchange = _Exchange(target, data)
                await api.handle(exchange)
                self.assertEqual(503, exchange.status)

        batch_fixtures.run_with_log(check, fake_log.FakeLog)

    def test_reports_with_values_too_large_for_log_records(self):
        deep = '[' * 900 + ']' * 900

        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            api = _create_api(owner.shard)
            await _submit(owner)
            for fields in (
                f'"outcome": "done", "output": {{"text": {deep}}}',
                f'"outcome": "yielded", "output": {{"resume_tokens": {deep}}}',
                '"outcome": "yielded", "output": {"resume_tokens": 7}',
                '"outcome": "failed", "code": 18446744073709551615',
                '"outcome": "failed", "wasted_tokens": 18446744073709551615',
                '"outcome": "failed", "code": 3003, "was_alone": true,'
                ' "fingerprint": "f",'
                ' "upstream_generation": 18446744073709551615',
                '"outcome": "done", "output": {}, "index": 4294967296',
                '"outcome": "done", "output": {"text": "\\u0000"}',
            ):
                reply = await owner.batch.pull(batch_fixtures.pull(1))
                if not reply.items:
                    break
                body = (
                    '{"vm": "vm-s", "incarnation": 1, "reports": [{'
                    f'"job": "{_JOB}", "index": {reply.items[0].index},'
                    f' "lease": "{reply.items[0].lease}", {fields}}}]}}'
                )
                exchange = _Exchange('/batch/report', body.encode())
                await api.handle(exchange)
                self.assertIsNotNone(exchange.status)
                await trio.sleep(60)
                self.assertFalse(owner.ended.is_set())

        batch_fixtures.run_with_log(check, fake_log.FakeLog)

    def test_jobs_with_values_too_large_for_log_records(self):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            api = _create_api(owner.shard)
            for due_at_ms, attempts in (
                ('1e300', '1'),
                ('18446744073709551615', '1'),
                ('-1', '1'),
                ('1', '4294967296'),
                ('1', '-1'),
            ):
                body = (
                    f'{{"job": "new", "caller": "c", "service": "s",'
                    f' "due_at_ms": {due_at_ms}, "idempotent": true,'
                    f' "max_attempts": {attempts},'
                    ' "result_retention_ms": 1}'
                )
                opened = _Exchange('/jobs/new/open', body.encode())
                await api.handle(opened)
                if opened.status != 200:
                    continue
                upload = orjson.loads(opened.body)['upload']
                for operation, part in (('items', b'{}'), ('finish', b'')):
                    exchange = _Exchange(
                        f'/jobs/new/{operation}?upload={upload}', part
                    )
                    await api.handle(exchange)
                    self.assertIsNotNone(exchange.status)
            self.assertFalse(owner.ended.is_set())

        batch_fixtures.run_with_log(check, fake_log.FakeLog)
