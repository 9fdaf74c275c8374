"""Tests of arrivals, workloads and the load generator."""

import hypothesis
from hypothesis import strategies
import orjson
import testtools

from standins import engine
from standins import faults as faults_module
from standins.tests import http_harness
from tools import load
from tools.load import _event_stream
from tools.load import _wires

_PROPERTY = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=30
)


class ArrivalsTest(testtools.TestCase):

    @_PROPERTY
    @hypothesis.given(
        strategies.floats(0.0, 50.0),
        strategies.floats(1.0, 10.0),
        strategies.sampled_from([0.0, 10.0]),
        strategies.integers(0, 1000),
    )
    def test_times_rise_within_run_and_follow_seed(
        self, rate_per_s, burst_factor, day_s, seed
    ):
        pattern = load.ArrivalPattern(
            rate_per_s=rate_per_s, burst_factor=burst_factor, day_s=day_s
        )
        arrivals = load.choose_arrivals(pattern, 20.0, seed)
        self.assertEqual(sorted(arrivals), arrivals)
        self.assertTrue(all(0 < time_s < 20 for time_s in arrivals))
        self.assertEqual(arrivals, load.choose_arrivals(pattern, 20.0, seed))

    def test_mean_rate(self):
        for pattern, low, high in (
            (load.ArrivalPattern(rate_per_s=20.0), 19_000, 21_000),
            (load.ArrivalPattern(rate_per_s=20.0, day_s=100.0), 19_000, 21_000),
            (
                load.ArrivalPattern(
                    rate_per_s=20.0, burst_factor=6.0, burst_s=1.0, quiet_s=4.0
                ),
                36_000,
                44_000,
            ),
        ):
            count = len(load.choose_arrivals(pattern, 1000.0, 3))
            self.assertTrue(low < count < high, count)

    def test_rate_is_low_at_night(self):
        pattern = load.ArrivalPattern(
            rate_per_s=50.0, day_s=100.0, night_share=0.0
        )
        arrivals = load.choose_arrivals(pattern, 100.0, 3)
        night = [time_s for time_s in arrivals if 65 < time_s < 85]
        day = [time_s for time_s in arrivals if 15 < time_s < 35]
        self.assertLess(len(night) * 5, len(day))


class WorkloadTest(testtools.TestCase):

    def create(self, seed, **shape):
        return load.create_requests(
            load.WorkloadShape(**shape),
            load.ArrivalPattern(rate_per_s=20.0),
            20.0,
            seed,
        )

    def test_seed_decides_requests(self):
        def describe(requests):
            return [
                (r.intended_s, r.prompt, r.messages, r.max_tokens)
                for r in requests
            ]

        first = describe(self.create(5))
        self.assertEqual(first, describe(self.create(5)))
        self.assertNotEqual(first, describe(self.create(6)))

    def test_turns_contain_the_expected_earlier_answers(self):
        requests = self.create(5, session_share=1.0, session_turns=3)
        later = [r for r in requests if len(r.messages) > 2]
        self.assertTrue(later)
        by_session = {}
        for request in requests:
            known = by_session.get(request.session)
            if known is not None:
                answer = ''.join(known.find_answer())
                self.assertEqual(known.messages, request.messages[:-2])
                self.assertEqual(answer, request.messages[-2]['content'])
            by_session[request.session] = request

    def test_prefixes_are_shared(self):
        requests = self.create(5, session_share=0.0, prefix_count=3)
        starts = {r.prompt.split()[2] for r in requests}
        self.assertEqual({'0', '1', '2'}, starts)


class EventStreamTest(testtools.TestCase):

    @_PROPERTY
    @hypothesis.given(strategies.lists(strategies.integers(1, 40)))
    def test_any_split_gives_the_same_events(self, cuts):
        data = b': keep-alive\n\nid: 1\ndata: {"a":1}\n\ndata: [DONE]\n\n'
        reader = _event_stream.EventStreamReader()
        events = []
        position = 0
        for cut in [*cuts, len(data)]:
            events += reader.feed(data[position : position + cut])
            position += cut
        self.assertEqual([b'{"a":1}', b'[DONE]'], events)


class WiresTest(testtools.TestCase):

    def test_caller_answers(self):
        token = {'choices': [{'text': 'a', 'finish_reason': None}]}
        chat = {'choices': [{'delta': {'content': 'b'}}]}
        end = {'choices': [{'text': '', 'finish_reason': 'length'}]}
        fail = {'error': {'code': 3003, 'reason': 'r', 'run_state': 'ran'}}
        for documents, done, texts, ended, failed in (
            ([token, chat, end], True, ['a', 'b'], True, False),
            ([token, end], False, ['a'], False, False),
            ([token], True, ['a'], False, False),
            ([token, fail], True, ['a'], False, True),
        ):
            reader = load.create_wire(load.WireKind.CALLER).create_reader()
            data = b''.join(
                b'data: %b\n\n' % orjson.dumps(d) for d in documents
            )
            item = reader.feed(data + b'data: [DONE]\n\n' * done)
            self.assertEqual(texts, item.texts)
            self.assertEqual(ended, item.ended)
            self.assertEqual(failed, item.failure is not None)

    def test_error_documents(self):
        failure = _wires.read_error(
            {'error': {'code': 2002, 'reason': 'r', 'run_state': 'not_run'}}
        )
        self.assertEqual('OVERLOADED', failure.code.name)
        self.assertEqual(
            'UPSTREAM_ERROR', _wires.read_error({'error': 'x'}).code.name
        )


class GeneratorTest(testtools.TestCase):

    def run_load(self, requests, fault=None, warm_up_s=0.0, **fault_fields):
        """Returns the report of a load on an engine with an injected fault."""
        standin = engine.create_engine(
            engine.EngineSettings(time_scale=0.02), faults_module.Faults()
        )
        reports = []

        async def check(caller):
            generator = load.create_load_generator(
                [caller.address], load.create_wire(load.WireKind.ENGINE)
            )
            if fault is not None:
                await caller.call('POST', f'/control/{fault}', fault_fields)
            await generator.run(requests, warm_up_s)
            reports.append(generator.report)

        http_harness.run_standin(
            standin.handle, check, (standin.loop.run, standin.sample_load)
        )
        return reports[0]

    def create_requests(self, count, interval_s=0.01):
        workload = load.create_workload(load.WorkloadShape(), 1)
        return [
            workload.create_request(number * interval_s)
            for number in range(count)
        ]

    def test_right_answers_are_counted(self):
        requests = self.create_requests(20)
        report = self.run_load(requests)
        self.assertEqual(20, report.outcomes[load.Outcome.RIGHT])
        tokens = sum(len(request.find_answer()) for request in requests)
        self.assertEqual(tokens, report.token_count)
        self.assertEqual(20, report.first_token.count)
        self.assertEqual(tokens - 20, report.between_tokens.count)

    def test_warm_up_is_left_out(self):
        requests = self.create_requests(4, 0.1)
        report = self.run_load(requests, warm_up_s=0.15)
        self.assertEqual(2, report.outcomes[load.Outcome.RIGHT])

    def test_report_round_trips_through_json(self):
        report = self.run_load(self.create_requests(5))
        document = orjson.loads(orjson.dumps(report.to_json()))
        self.assertEqual(document, load.read_report(document).to_json())

    def test_wrong_answers_are_counted(self):
        requests = self.create_requests(2)

        def find_other_answer():
            return ['other']

        requests[1] = _RequestWithAnswer(requests[1], find_other_answer)
        report = self.run_load(requests)
        self.assertEqual(1, report.outcomes[load.Outcome.WRONG])
        self.assertEqual(['load-1'], report.wrong_examples)

    def test_latency_counts_from_the_intended_time(self):
        # All intended times are within the freeze of the server, so each
        # request waits for the rest of the freeze.
        report = self.run_load(
            self.create_requests(10, 0.02), 'freeze', duration_ms=500
        )
        self.assertEqual(10, report.outcomes[load.Outcome.RIGHT])
        self.assertGreater(report.first_token.find_percentile_ms(1), 200)

    def test_lost_and_refused_requests_are_counted(self):
        requests = self.create_requests(1)
        report = self.run_load(requests)
        report.add(self.run_load(requests, 'lose_answer', count=1))
        report.add(self.run_load(requests, 'outage', duration_ms=60_000))
        self.assertEqual(
            {'right': 1, 'wrong': 0, 'lost': 1, 'refused': 1},
            report.to_json()['outcomes'],
        )
        self.assertEqual(
            {'UPSTREAM_LOST': 1, 'UPSTREAM_ERROR': 1}, report.refusal_codes
        )


class _RequestWithAnswer:
    """A request whose expected answer is replaced."""

    def __init__(self, request, find_answer):
        self._request = request
        self.find_answer = find_answer

    def __getattr__(self, name):
        return getattr(self._request, name)
