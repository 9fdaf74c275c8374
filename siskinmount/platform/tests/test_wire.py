"""Headers and bodies in the formats of the platform."""

import base64

import hypothesis
from hypothesis import strategies
import orjson
import testtools

from siskinmount import fleet
from siskinmount import gateway
from siskinmount import jobs
from siskinmount import platform
from siskinmount import results
from siskinmount import transport

_ROUTE = fleet.FleetRoute(
    name='r',
    host='h',
    path_prefix='/b/',
    kind=fleet.RouteKind.BATCH,
    shares=(fleet.ServiceShare('s', 1),),
    timeout_ms=1,
    target_ms=1,
)


def _make_item(item_id='i'):
    return {
        'id': item_id,
        'path': '/p',
        'headers': {'X-Model': 'm'},
        'body': base64.b64encode(b'body').decode(),
        'token_count': 3,
    }


class WireTest(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.wire = platform.create_wire()

    def test_caller_request(self):
        head = transport.RequestHead(
            'POST',
            '/p',
            [
                (b'x-request-id', b'q'),
                (b'x-deadline-ms', b'400'),
                (b'last-event-id', b'odd'),
                (b'x-prompt-prefix', b'aa:3, bb:4,cc:5'),
                (b'x-model', b'm'),
            ],
            '',
        )
        request = self.wire.read_caller_request(head)
        self.assertEqual('q', request.request_id)
        self.assertEqual(400, request.deadline_ms)
        self.assertIsNone(request.last_event_id)
        self.assertEqual('aa,bb', request.affinity_key)
        self.assertEqual(('aa@m', 'bb@m'), request.prompt_parts)

    def test_names_of_prompt_parts(self):
        cases = [
            ('', ()),
            ('own:5', ()),
            ('aa:3,own:5', ('aa@m',)),
            ('aa:3,aa:4,own:5', ('aa@m',)),
            (',aa,:,own:5', ('aa@m',)),
            (f'{"a" * 500}:3,bb:1,own:5', ('bb@m',)),
            # A key of the store has at most 255 bytes.
            ('\xe9:3,bb:1,own:5', ('bb@m',)),
            (','.join(f'{n}:1' for n in range(40)), 16),
        ]
        for text, expected in cases:
            head = transport.RequestHead(
                'POST',
                '/p',
                [
                    (b'x-prompt-prefix', text.encode('latin-1')),
                    (b'x-model', b'm'),
                ],
                '',
            )
            parts = self.wire.read_caller_request(head).prompt_parts
            if isinstance(expected, int):
                parts = len(parts)
            self.assertEqual(expected, parts, text)

    def test_upstream_headers(self):
        headers = self.wire.build_upstream_headers(
            [
                (b'host', b'h'),
                (b'connection', b'keep-alive, x-hop'),
                (b'x-hop', b'1'),
                (b'transfer-encoding', b'chunked'),
                (b'x-deadline-ms', b'9000'),
                (b'x-expect-instance', b'forged'),
                (b'x-model', b'm'),
            ],
            'i-1',
            250,
            4,
            None,
        )
        self.assertEqual(
            [
                (b'x-model', b'm'),
                (b'x-deadline-ms', b'250'),
                (b'x-expect-instance', b'i-1'),
                (b'last-event-id', b'4'),
            ],
            headers,
        )

    def test_classification_of_answers(self):
        echo = (b'x-request-id', b'q')
        not_run = (b'x-not-run', b'1')
        cases = [
            (200, [echo], gateway.AnswerKind.OWN),
            (500, [echo], gateway.AnswerKind.OWN),
            (503, [echo, not_run], gateway.AnswerKind.NOT_RUN),
            (503, [echo], gateway.AnswerKind.OWN),
            (421, [], gateway.AnswerKind.OTHER_PROCESS),
            (200, [(b'x-request-id', b'p')], gateway.AnswerKind.FOREIGN),
            (
                503,
                [(b'x-request-id', b'p'), not_run],
                gateway.AnswerKind.FOREIGN,
            ),
            (200, [], gateway.AnswerKind.FOREIGN),
            # A process that is no engine, at an address of another's entry.
            (404, [], gateway.AnswerKind.FOREIGN),
            (302, [], gateway.AnswerKind.FOREIGN),
            (500, [], gateway.AnswerKind.FOREIGN),
        ]
        for status, headers, expected in cases:
            self.assertIs(
                expected,
                self.wire.classify_answer(status, headers, 'q'),
                (status, headers),
            )

    def test_only_an_engines_own_answer_says_that_it_leaves(self):
        echo = (b'x-request-id', b'q')
        seal = (b'x-server-seal', b's')
        leaving = (b'server-leaving', b'1')
        cases = [
            (200, [echo, seal, leaving], True),
            (500, [echo, leaving], True),
            (503, [echo, leaving, (b'x-not-run', b'1')], True),
            (200, [echo, leaving], False),
            (200, [seal, leaving], False),
            (200, [(b'x-request-id', b'p'), seal, leaving], False),
            (421, [echo, leaving], False),
            (200, [echo, seal, (b'server-leaving', b'0')], False),
            (200, [echo, seal], False),
        ]
        for status, headers, expected in cases:
            self.assertEqual(
                expected,
                self.wire.announces_departure(status, headers, 'q'),
                (status, headers),
            )

    def test_request_rate_that_an_engine_accepts(self):
        cases = [
            # Values of the header, and the rate; None if it is invalid.
            ([b'2.5'], 2.5),
            ([b'0'], 0.0),
            ([b' 12 '], 12.0),
            ([b'3', b'3'], 3.0),
            ([b'3', b'4'], None),
            ([b''], None),
            ([b'nan'], None),
            ([b'inf'], None),
            ([b'-1'], None),
            ([b'+1'], None),
            ([b'1e3'], None),
            ([b'1,5'], None),
            ([b'.5'], None),
            ([b'1_0'], None),
            (['\u0663'.encode()], None),
            ([b'9' * 400], None),
        ]
        for values, expected in cases:
            headers = [(b'server-limit', value) for value in values]
            found = self.wire.read_rate_limit([(b'x', b'1'), *headers])
            if expected is None:
                self.assertIsInstance(found, results.Failure, values)
                self.assertIs(results.ResultCode.INVALID_FIELD, found.code)
                continue
            self.assertEqual(expected, found, values)
        self.assertIsNone(self.wire.read_rate_limit([(b'x', b'1')]))

    def test_job_calls(self):
        cases = [
            ('GET', '/siskinmount/lots/j?after=3', 'read_results', 'j'),
            ('DELETE', '/siskinmount/lots/j', 'end', 'j'),
            ('GET', '/siskinmount/items/j?id=i', 'read_item', 'j'),
            ('POST', '/b/j', None, ''),
        ]
        for method, target, kind, job_id in cases:
            call = self.wire.find_job_call(
                transport.RequestHead(method, target, [], '')
            )
            self.assertEqual(kind, call.kind.value if call else None, target)
            self.assertEqual(job_id, call.job_id if call else '')

    def test_invalid_jobs_are_refused(self):
        cases = [
            ('', {'items': [_make_item()]}),
            ('a/b', {'items': [_make_item()]}),
            ('j', {'items': []}),
            ('j', {'items': [_make_item(), _make_item()]}),
            ('j', {'items': [_make_item(str(n)) for n in range(201)]}),
            ('j', {'items': [{**_make_item(), 'body': 'a'}]}),
            ('j', {'items': [{**_make_item(), 'token_count': 'x'}]}),
            ('j', {'items': [_make_item('\u0107')]}),
            ('j', {'items': [_make_item('a\nb')]}),
            ('j', {'items': [{**_make_item(), 'path': '/a b'}]}),
            ('j', {'items': [{**_make_item(), 'headers': {'x': '\u0107'}}]}),
            ('j', {'items': [{**_make_item(), 'headers': {'x': 'a\nb'}}]}),
            ('j', {'items': [{**_make_item(), 'headers': {'x y': 'a'}}]}),
            ('j', []),
        ]
        for job_id, document in cases:
            decoded = self.wire.decode_job(
                job_id, _ROUTE, orjson.dumps(document), 0, None
            )
            self.assertIsInstance(decoded, results.Failure, document)

    def test_results_come_in_pages(self):
        job = self.wire.decode_job(
            'j',
            _ROUTE,
            orjson.dumps({'items': [_make_item(str(n)) for n in range(3)]}),
            0,
            None,
        )
        for n in range(3):
            job.results.append(
                jobs.ItemResult(str(n), jobs.ItemState.DONE, 'x' * 600_000)
            )
        first = orjson.loads(self.wire.encode_results(job, 0))
        self.assertEqual((3, 1), (first['total_count'], first['next']))
        last = orjson.loads(self.wire.encode_results(job, 3))
        self.assertEqual(([], 3), (last['results'], last['next']))

    @hypothesis.settings(derandomize=True, deadline=None, database=None)
    @hypothesis.given(strategies.binary(max_size=60))
    def test_invalid_bodies_never_raise(self, body):
        decoded = self.wire.decode_job('j', _ROUTE, body, 0, None)
        self.assertIsInstance(decoded, results.Failure)
