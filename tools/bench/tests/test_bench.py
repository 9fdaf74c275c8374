"""Tests of the summaries and of the sources of batch items."""

import pathlib
import tempfile

import orjson
import testtools
import trio

from siskinmount import relay
from siskinmount import results
from standins import engine
from standins import faults
from standins.tests import http_harness
from tools import bench
from tools import load

_SETTING = bench.SETTINGS['roadhaven']()


def _create_result(
    arm,
    round_number=0,
    first_token_ms=(),
    online_tokens=0,
    batch_tokens=0,
    batch_items=0,
    generated=None,
    prefilled=0,
):
    online = load.LoadReport()
    for latency_ms in first_token_ms:
        online.first_token.record(latency_ms / 1000)
        online.outcomes[load.Outcome.RIGHT] += 1
    online.window_token_count = online_tokens
    batch = bench.BatchProgress()
    batch.kept_tokens = batch_tokens
    batch.done_items = batch_items
    if generated is None:
        generated = online_tokens + batch_tokens
    return bench.ArmResult(
        arm=arm,
        round_number=round_number,
        online=online,
        batch=batch,
        measured_s=10.0,
        generated_tokens=generated,
        prefilled_tokens=prefilled,
        log_appends=20,
        cpu_cores={'sidecar-0': 0.1},
    )


def _summarize(*arm_results):
    summaries = bench.summarize(_SETTING, list(arm_results))
    return {summary.arm: summary for summary in summaries}


class SummaryTest(testtools.TestCase):

    def test_latency_ratio_compares_with_same_round_of_online_alone(self):
        summaries = _summarize(
            _create_result(bench.Arm.ONLINE_ALONE, 0, [100.0]),
            _create_result(bench.Arm.ONLINE_ALONE, 1, [200.0]),
            _create_result(bench.Arm.ONLINE_FIRST, 0, [150.0]),
            _create_result(bench.Arm.ONLINE_FIRST, 1, [240.0]),
        )
        ratio = summaries[bench.Arm.ONLINE_FIRST].latency_ratio
        p99 = ratio['first_token']['p99']
        self.assertAlmostEqual(1.2, p99.value, places=2)
        self.assertAlmostEqual(1.2, p99.low, places=2)
        self.assertAlmostEqual(1.5, p99.high, places=2)
        alone = summaries[bench.Arm.ONLINE_ALONE].latency_ratio
        self.assertEqual(1.0, alone['first_token']['p50'].value)

    def test_idle_capacity_excludes_online_engine_time(self):
        for online_tokens, batch_tokens, expected in (
            (0, 1000, 1.0),
            (500, 500, 1.0),
            (500, 250, 0.5),
        ):
            summaries = _summarize(
                _create_result(bench.Arm.ONLINE_ALONE, online_tokens=500),
                _create_result(
                    bench.Arm.BATCH_ALONE, batch_tokens=1000, batch_items=10
                ),
                _create_result(
                    bench.Arm.ONLINE_FIRST,
                    online_tokens=online_tokens,
                    batch_tokens=batch_tokens,
                    batch_items=batch_tokens // 100,
                ),
            )
            summary = summaries[bench.Arm.ONLINE_FIRST]
            self.assertAlmostEqual(expected, summary.idle_tokens_share.value)
            self.assertAlmostEqual(
                expected, summary.idle_items_share.value, delta=0.11
            )

    def test_online_tokens_are_weighted_by_engine_time(self):
        # A decoded token costs 12/16 + 0.8 = 1.55 ms; 13 prompt tokens for
        # each batch token cost 13 * 0.12 = 1.56 ms more.
        summaries = _summarize(
            _create_result(bench.Arm.ONLINE_ALONE, online_tokens=500),
            _create_result(
                bench.Arm.BATCH_ALONE, batch_tokens=1000, prefilled=13_000
            ),
            _create_result(
                bench.Arm.ONLINE_FIRST, online_tokens=1000, batch_tokens=100
            ),
        )
        share = summaries[bench.Arm.ONLINE_FIRST].idle_tokens_share.value
        self.assertAlmostEqual(0.1 / (1 - 1.55 / 3.11), share, places=3)

    def test_wasted_share_counts_tokens_not_kept(self):
        summaries = _summarize(
            _create_result(
                bench.Arm.PASS_THROUGH,
                online_tokens=40,
                batch_tokens=40,
                generated=100,
            )
        )
        summary = summaries[bench.Arm.PASS_THROUGH]
        self.assertAlmostEqual(0.2, summary.wasted_share.value)
        self.assertIsNone(summary.idle_tokens_share)

    def test_summaries_are_compared_with_earlier_results_file(self):
        arm_results = [
            _create_result(bench.Arm.ONLINE_ALONE, 0, [100.0]),
            _create_result(bench.Arm.ONLINE_FIRST, 0, [150.0]),
        ]
        summaries = bench.summarize(_SETTING, arm_results)
        plan = bench.BenchPlan(rounds=1, warm_up_s=0.0, measured_s=10.0, seed=1)
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory) / 'sub' / 'roadhaven.json'
            experiment = bench.Experiment()
            experiment.results = arm_results
            bench.write_results(path, _SETTING, plan, experiment, summaries)
            lines = bench.compare_with_earlier(path, summaries)
            document = orjson.loads(path.read_bytes())
        self.assertIn('  first_token p99 ratio: 1.500 -> 1.500', lines)
        self.assertEqual(2, len(document['runs']))
        self.assertTrue(bench.format_summaries(summaries))


class _YieldingSidecar:
    """Preempts each item's first attempt after two tokens."""

    def __init__(self):
        self.resumed = []

    async def handle(self, exchange):
        document = await exchange.read_json()
        tokens = engine.expected_tokens(
            document['prompt'], None, document['max_tokens']
        )
        start = len(document['resume_tokens'])
        attempt = exchange.head.find_header(relay.RelayHeader.ATTEMPT)
        await exchange.start_stream(200, [])
        end = min(len(tokens), start + 2) if attempt == '1' else len(tokens)
        frames = [
            relay.TokenFrame(index, tokens[index])
            for index in range(start, end)
        ]
        if attempt == '1':
            frames.append(
                relay.FailureFrame(
                    results.Failure(
                        results.ResultCode.BATCH_YIELDED,
                        'yielded',
                        results.RunState.RAN,
                    )
                )
            )
        else:
            self.resumed.append(start)
            frames.append(relay.EndFrame('length', 1, len(tokens)))
        for frame in frames:
            await exchange.send_chunk(relay.encode_frame(frame))
        await exchange.finish()


def create_feeder(caller, items_per_sidecar):
    return bench.BatchFeeder(
        service='lm',
        shape=load.WorkloadShape(session_share=0.0, min_answer_tokens=4),
        seed=1,
        sidecars=[caller.address],
        items_per_sidecar=items_per_sidecar,
    )


class BatchFeederTest(testtools.TestCase):

    def test_preempted_items_resume_after_their_last_token(self):
        sidecar = _YieldingSidecar()

        async def check(caller):
            feeder = create_feeder(caller, 2)
            progress = feeder.progress
            async with trio.open_nursery() as nursery:
                nursery.start_soon(feeder.run)
                await http_harness.wait_until(lambda: progress.done_items >= 5)
                nursery.cancel_scope.cancel()
            self.assertEqual({2}, set(sidecar.resumed))
            self.assertGreaterEqual(progress.yields, 5)
            self.assertEqual(0, progress.wrong_items)
            self.assertEqual(0, progress.failures)

        http_harness.run_standin(sidecar.handle, check)

    def test_refused_items_are_counted_and_retried(self):
        async def check(caller):
            await caller.call(
                'POST', '/control/outage', {'duration_ms': 60_000}
            )
            feeder = create_feeder(caller, 1)
            progress = feeder.progress
            async with trio.open_nursery() as nursery:
                nursery.start_soon(feeder.run)
                await http_harness.wait_until(lambda: progress.failures >= 2)
                nursery.cancel_scope.cancel()
            self.assertEqual(0, progress.done_items)

        http_harness.run_standin(_YieldingSidecar().handle, check)


class EngineFeederTest(testtools.TestCase):

    def test_complete_answers_are_counted(self):
        standin = engine.create_engine(
            engine.EngineSettings(time_scale=0.01), faults.Faults()
        )

        async def check(caller):
            feeder = bench.EngineFeeder(
                shape=load.WorkloadShape(session_share=0.0),
                seed=1,
                engines=[caller.address],
                items_per_engine=3,
            )
            progress = feeder.progress
            async with trio.open_nursery() as nursery:
                await nursery.start(feeder.run)
                await http_harness.wait_until(lambda: progress.done_items >= 5)
                nursery.cancel_scope.cancel()
            self.assertGreater(progress.kept_tokens, 5 * 16)
            self.assertEqual(0, progress.wrong_items)
            self.assertEqual(0, progress.failures)

        http_harness.run_standin(standin.handle, check, (standin.loop.run,))


class _JobEntry:
    """Refuses the first submission, then accepts all jobs.

    Returns one result per page, for every other item of a job; the answer of
    item 0 is incorrect.
    """

    def __init__(self):
        self.bodies = []
        self.tries = 0

    async def handle(self, exchange):
        body = await exchange.read_body()
        if exchange.head.method == 'POST':
            self.tries += 1
            if self.tries == 1:
                await exchange.send_json(503, {'error': 'no owner yet'})
                return
            self.bodies.append(body)
            await exchange.send_json(202, {'job': f'j{len(self.bodies) - 1}'})
            return
        after = int(exchange.head.query['after'])
        number = int(exchange.head.path.split('/')[3].removeprefix('j'))
        lines = self.bodies[number].splitlines()
        index = after + 2 if after >= 0 else 0
        item = orjson.loads(lines[index])
        tokens = engine.expected_tokens(
            item['prompt'], None, item['max_tokens']
        )
        output = {'text': ''.join(tokens) if index else 'wrong'}
        line = {'index': index, 'state': 'done', 'output': output}
        more = b'true' if index + 2 < len(lines) else b'false'
        await exchange.send_whole(
            200, [(b'x-has-more', more)], orjson.dumps(line)
        )


class JobSourceTest(testtools.TestCase):

    def test_results_of_all_pages_are_counted_and_checked(self):
        entry = _JobEntry()

        async def check(caller):
            source = bench.JobSource(
                service='lm',
                key='k',
                entries=[caller.address],
                shape=load.WorkloadShape(session_share=0.0),
                seed=1,
                job_count=2,
                items_per_job=5,
            )
            await source.run()
            progress = await source.read_progress()
            self.assertEqual(6, progress.done_items)
            self.assertEqual(2, progress.wrong_items)
            expected = sum(
                len(job.requests[index].find_answer())
                for job in source.jobs
                for index in (0, 2, 4)
            )
            self.assertEqual(expected, progress.kept_tokens)

        http_harness.run_standin(entry.handle, check)
