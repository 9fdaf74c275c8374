"""Tests of callers' responses when engines or the store fail."""

import orjson
import testtools
import trio

from siskinmount.gateway.tests import gateway_harness
from standins import event_engine

_FAULT = event_engine.AnswerFault


def _expected_stream(request_id, first=1, last=6):
    return b''.join(
        event_engine.make_event(request_id, number)
        for number in range(first, last + 1)
    )


class StreamTest(testtools.TestCase):

    def _run_stream(
        self,
        faults,
        path='/stream/x',
        engines=('e1', 'e2'),
        omits_framing=False,
    ):
        """Sends one streaming request; each engine starts with these faults."""
        seen = {}

        async def check(fleet):
            for engine in fleet.engines.values():
                engine.answer_faults = list(faults)
                engine.omits_framing = omits_framing
            seen['answer'] = await fleet.call(
                0, 'POST', path, b'prompt', x_request_id='q1'
            )
            seen['runs'] = [
                run for engine in fleet.engines.values() for run in engine.runs
            ]

        gateway_harness.run_fleet(check, engines=engines)
        return seen['answer'], seen['runs']

    def test_complete_stream_is_forwarded_unchanged(self):
        answer, runs = self._run_stream([])
        self.assertEqual(200, answer.status)
        self.assertTrue(answer.is_whole)
        self.assertEqual(_expected_stream('q1'), answer.body)
        self.assertIn(b'x-server-seal', answer.headers)
        self.assertEqual(1, len(runs))
        self.assertIn('x-expect-instance', runs[0].headers)
        self.assertLessEqual(int(runs[0].headers['x-deadline-ms']), 5000)

    def test_resumable_stream_resumes_at_another_engine(self):
        for fault in (
            _FAULT.CUT_MIDWAY,
            _FAULT.CUT_BETWEEN_EVENTS,
            _FAULT.STALL_MIDWAY,
        ):
            seen = []

            async def check(fleet, fault=fault, seen=seen):
                # The affinity key of the prompt decides which engine is tried
                # first: requests are repeated until it is the faulty one.
                fleet.engines['e1'].answer_faults = [fault]
                answer = None
                while not fleet.engines['e1'].runs:
                    answer = await fleet.call(
                        0, 'POST', '/stream/x', b'prompt', x_request_id='q1'
                    )
                seen.extend([answer, fleet.engines['e2'].runs[-1]])

            gateway_harness.run_fleet(check, engines=('e1', 'e2'))
            answer, last_run = seen
            self.assertEqual(200, answer.status)
            self.assertTrue(answer.is_whole, fault)
            self.assertEqual(_expected_stream('q1'), answer.body)
            self.assertGreater(last_run.first_event, 1)

    def test_stream_that_may_not_repeat_is_truncated(self):
        answer, runs = self._run_stream(
            [_FAULT.CUT_MIDWAY], '/once/x', engines=('e1',)
        )
        self.assertEqual(200, answer.status)
        self.assertFalse(answer.is_whole)
        self.assertEqual(1, len(runs))

    def test_unframed_stream_is_forwarded_unchanged(self):
        answer, runs = self._run_stream([], omits_framing=True)
        self.assertEqual(200, answer.status)
        self.assertTrue(answer.is_whole)
        self.assertEqual(_expected_stream('q1'), answer.body)
        self.assertEqual(1, len(runs))

    def test_unframed_stream_that_ends_within_an_event_is_not_complete(self):
        answer, runs = self._run_stream(
            [_FAULT.CUT_MIDWAY], '/once/x', omits_framing=True
        )
        self.assertFalse(answer.is_whole)
        self.assertEqual(_expected_stream('q1', 1, 2), answer.body)
        self.assertEqual(1, len(runs))

    def test_unframed_stream_that_ends_within_an_event_is_resumed(self):
        # Each engine breaks off its first stream, the next one is complete.
        answer, runs = self._run_stream(
            [_FAULT.CUT_MIDWAY], engines=('e1',), omits_framing=True
        )
        self.assertTrue(answer.is_whole)
        self.assertEqual(_expected_stream('q1'), answer.body)
        self.assertEqual([1, 3], [run.first_event for run in runs])

    def test_stream_that_may_not_repeat_runs_once(self):
        for fault in (_FAULT.RUN_AND_CLOSE, _FAULT.FOREIGN):
            answer, runs = self._run_stream([fault], '/once/x')
            self.assertEqual(502, answer.status, fault)
            self.assertEqual(1, len(runs), fault)

    def test_request_that_did_not_run_is_sent_to_another_engine(self):
        for fault in (_FAULT.NOT_RUN, _FAULT.OTHER_PROCESS):
            for path in ('/stream/x', '/once/x'):
                answer, runs = self._run_stream([fault], path)
                self.assertEqual(503 if not runs else 200, answer.status)
                self.assertLessEqual(len(runs), 1)

    def test_request_moves_on_when_the_body_of_a_refusal_does_not_come(self):
        # Guards against a wait until the caller's deadline.
        answer, runs = self._run_stream(
            [_FAULT.NOT_RUN_WITHOUT_BODY] * 2, '/once/x'
        )
        self.assertEqual((200, 1), (answer.status, len(runs)))

    def test_request_that_all_engines_refuse_gets_503(self):
        answer, runs = self._run_stream([_FAULT.NOT_RUN] * 20, '/once/x')
        self.assertEqual(503, answer.status)
        self.assertIn(b'retry-after', answer.headers)
        self.assertEqual([], runs)

    def test_attempts_are_bounded(self):
        answer, runs = self._run_stream(
            [_FAULT.RUN_AND_CLOSE] * 9, engines=('e1', 'e2', 'e3')
        )
        self.assertEqual(502, answer.status)
        self.assertEqual(2, len(runs))

    def test_no_upstream_is_refused_at_once(self):
        answer, _ = self._run_stream([], engines=())
        self.assertEqual(503, answer.status)
        self.assertEqual('not_run', answer.json()['error']['run_state'])

    def test_caller_resumes_after_an_event(self):
        seen = []

        async def check(fleet):
            seen.append(
                await fleet.call(
                    0,
                    'POST',
                    '/stream/x',
                    b'prompt',
                    x_request_id='q1',
                    last_event_id=4,
                )
            )

        gateway_harness.run_fleet(check)
        self.assertEqual(_expected_stream('q1', 5), seen[0].body)

    def test_caller_that_disconnects_cancels_its_run(self):
        seen = []

        async def check(fleet):
            engine = fleet.engines['e1']
            engine.event_count = 100_000
            engine.event_interval_ms = 20
            with trio.move_on_after(0.5):
                await fleet.call(
                    0, 'POST', '/stream/x', b'prompt', x_request_id='q1'
                )
            before = fleet.gateways[0]
            await trio.sleep(0.5)
            seen.append((engine.runs[0].is_finished, before))
            engine.event_count = 6
            answer = await fleet.call(
                0, 'POST', '/stream/x', b'prompt', x_request_id='q2'
            )
            seen.append(answer)

        gateway_harness.run_fleet(check)
        self.assertFalse(seen[0][0])
        self.assertEqual(_expected_stream('q2'), seen[1].body)


class PlainTest(testtools.TestCase):

    def _run_plain(self, faults, path):
        seen = {}

        async def check(fleet):
            for engine in fleet.engines.values():
                engine.answer_faults = list(faults)
            seen['answer'] = await fleet.call(
                0, 'POST', path, b'body', x_request_id='q1'
            )
            seen['runs'] = [
                run for engine in fleet.engines.values() for run in engine.runs
            ]

        gateway_harness.run_fleet(check, engines=(), plain=('p1', 'p2', 'p3'))
        return seen['answer'], seen['runs']

    def test_outcomes(self):
        cases = [
            # Faults of each upstream's first responses, path, status, runs.
            ([], '/plain/x', 200, 1),
            ([_FAULT.RUN_AND_CLOSE] * 3, '/plain/x', 502, 2),
            ([_FAULT.RUN_AND_SILENT] * 3, '/plain/x', 504, 2),
            ([_FAULT.FOREIGN] * 3, '/plain/x', 502, 2),
            ([_FAULT.FAILED] * 3, '/plain/x', 500, 2),
            ([_FAULT.RUN_AND_CLOSE], '/booking/x', 502, 1),
            ([_FAULT.FAILED], '/booking/x', 500, 1),
            ([_FAULT.FOREIGN], '/booking/x', 502, 1),
            ([], '/nowhere/x', 404, 0),
        ]
        for faults, path, status, run_count in cases:
            answer, runs = self._run_plain(faults, path)
            self.assertEqual(status, answer.status, (faults, path))
            self.assertEqual(run_count, len(runs), (faults, path))


class DocumentTest(testtools.TestCase):

    def test_newer_document_is_in_force_and_older_is_ignored(self):
        seen = []

        async def check(fleet):
            moved = {**gateway_harness.PLAIN_ROUTE, 'path_prefix': '/moved/'}
            fleet.store.put(
                'keyed.op', 'config', gateway_harness.make_document(5, [moved])
            )
            while True:
                answer = await fleet.call(
                    0, 'POST', '/moved/x', b'b', x_request_id='q'
                )
                if answer.status == 200:
                    break
                await trio.sleep(gateway_harness.POLL_S)
            fleet.store.put(
                'keyed.op', 'config', gateway_harness.make_document(3)
            )
            fleet.store.put('keyed.op', 'config', b'{"version": 9')
            await trio.sleep(0.3)
            seen.append(
                await fleet.call(0, 'POST', '/moved/x', b'b', x_request_id='r')
            )
            seen.append(
                await fleet.call(0, 'POST', '/plain/x', b'b', x_request_id='s')
            )

        gateway_harness.run_fleet(check, engines=(), plain=('p1',))
        self.assertEqual([200, 404], [answer.status for answer in seen])

    def test_draining_and_removed_engines_get_no_requests(self):
        seen = []

        async def check(fleet):
            fleet.list_engine('e1', 'model', '127.0.0.1:9', 'draining')
            fleet.store.put('keyed.servers', 'e2', b'')
            fleet.store.put('keyed.servers', 'odd', b'\xff{')
            await trio.sleep(0.3)
            for _ in range(4):
                answer = await fleet.call(
                    0, 'POST', '/stream/x', b'p', x_request_id='q'
                )
                seen.append(answer.status)
            seen.append([len(engine.runs) for engine in fleet.engines.values()])

        gateway_harness.run_fleet(check, engines=('e1', 'e2', 'e3'))
        self.assertEqual([200, 200, 200, 200, [0, 0, 4]], seen)

    def test_gateway_is_ready_during_a_store_outage(self):
        seen = []

        async def check(fleet):
            fleet.store_faults.begin_outage(
                gateway_harness.faults_module.FaultMode.REFUSE, 60_000
            )
            late = fleet.gateways[1]
            answer = await gateway_harness.call(
                late.ready_address, 'GET', '/ready'
            )
            seen.append(answer.status)

        gateway_harness.run_fleet(check, gateway_count=2, engines=())
        self.assertEqual([200], seen)


class OddEntryTest(testtools.TestCase):
    """Guards against harm by one entry that another writer has written."""

    def _run(self, key, changes, value=None):
        """Writes an odd entry; requests and items are then served as before."""
        seen = []

        async def check(fleet):
            entry = {
                'service': 'model',
                'address': str(fleet.gateways[0].ready_address),
                'zone': 'a',
                'version': 'v1',
                'slot_count': 64,
                'state': 'ready',
                'cold_left_ms': 0,
                'seq_no': 1,
                'born': 1,
                **changes,
            }
            source = orjson.dumps(entry) if value is None else value
            for service in ('model', 'plain'):
                fleet.store.put(
                    'keyed.servers',
                    (key + service.encode()).decode('utf-8', 'surrogateescape'),
                    source.replace(b'"model"', b'"%b"' % service.encode()),
                )
            await trio.sleep(0.3)
            statuses = set()
            for number in range(12):
                for path in ('/stream/x', '/once/x', '/plain/x', '/booking/x'):
                    answer = await fleet.call(
                        0, 'POST', path, b'b', x_request_id=f'q{number}'
                    )
                    statuses.add(answer.status)
            items = [gateway_harness.make_item(f'i{n}') for n in range(6)]
            await fleet.submit(0, 'j1', items)
            await fleet.wait_results(0, 'j1', 6)
            self.assertEqual({200}, statuses, (key, changes))
            seen.append(True)

        gateway_harness.run_fleet(check, plain=('p1',))
        self.assertEqual([True], seen)

    def test_unsound_field_harms_nobody(self):
        for changes in (
            {'slot_count': 10**9},
            {'slot_count': 1e300},
            {'cold_left_ms': -1},
            {'address': '127.0.0.1:99999'},
            {'address': 'no.such.host.example:80'},
            {'zone': None},
        ):
            self._run(b'odd-', changes)

    def test_id_that_is_no_text_harms_nobody(self):
        self._run(b'\xff\xfe\x81', {})
        self._run('ñ'.encode(), {})

    def test_deep_nesting_harms_nobody(self):
        self._run(b'odd-', {}, b'{"new": ' + b'[' * 50_000)
