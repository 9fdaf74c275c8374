"""Tests of batch jobs when daemons, engines or the store fail."""

import testtools
import trio

from siskinmount import transport
from siskinmount.gateway.tests import gateway_harness
from standins import event_engine
from standins import faults as faults_module

_FAULT = event_engine.AnswerFault


def _make_items(count, prefix='i'):
    return [gateway_harness.make_item(f'{prefix}{n}') for n in range(count)]


class JobTest(testtools.TestCase):

    def _run(self, check, **options):
        gateway_harness.run_fleet(check, **options)

    def _assert_complete(self, document, count, prefix='i'):
        self.assertEqual(count, document['total_count'])
        self.assertEqual(count, document['next'])
        outputs = {row['id']: row['output'] for row in document['results']}
        expected = {
            f'{prefix}{n}': gateway_harness.make_output(f'{prefix}{n}')
            for n in range(count)
        }
        self.assertEqual(expected, outputs)

    def test_each_daemon_returns_the_same_results(self):
        seen = []

        async def check(fleet):
            answer = await fleet.submit(0, 'j1', _make_items(7))
            seen.append(answer.status)
            first = await fleet.wait_results(0, 'j1', 7)
            second = await fleet.wait_results(1, 'j1', 7)
            again = await fleet.submit(1, 'j1', _make_items(7))
            seen.extend([first, second, again.status])

        self._run(check, gateway_count=2, engines=('e1', 'e2'))
        self.assertEqual(202, seen[0])
        self._assert_complete(seen[1], 7)
        self.assertEqual(seen[1], seen[2])
        self.assertEqual(202, seen[3])

    def test_jobs_are_refused_first_when_the_memory_for_clients_is_short(self):
        statuses = []

        async def check(fleet):
            for pressure in (0.81, 0.79):
                self.patch(transport.ByteBudget, 'pressure', pressure)
                answer = await fleet.submit(0, 'j1', _make_items(1))
                statuses.append(answer.status)
                call = await fleet.call(
                    0, 'POST', '/stream/x', x_request_id=f'q{pressure}'
                )
                statuses.append(call.status)

        self._run(check)
        self.assertEqual([503, 200, 202, 200], statuses)

    def test_item_whose_unframed_stream_is_broken_off_is_not_listed_as_done(
        self,
    ):
        for fault in (_FAULT.CUT_BEFORE_EVENTS, _FAULT.CUT_MIDWAY):
            seen = []

            async def check(fleet, fault=fault, seen=seen):
                fleet.engines['e1'].omits_framing = True
                fleet.engines['e1'].answer_faults = [fault]
                await fleet.submit(0, 'j1', _make_items(1))
                seen.append(await fleet.wait_results(0, 'j1', 1))

            self._run(check)
            self._assert_complete(seen[0], 1)

    def test_body_larger_than_a_store_call_is_kept_complete(self):
        seen = []
        body = bytes(range(256)) * 800

        async def check(fleet):
            fleet.engines['e1'].event_interval_ms = 10_000
            items = [gateway_harness.make_item('big', body=body)]
            answer = await fleet.submit(0, 'j1', items)
            seen.append(answer.status)
            target = '/siskinmount/items/j1?id=big'
            while True:
                answer = await fleet.call(1, 'GET', target, x_request_id='r')
                if answer.status == 200:
                    break
                await trio.sleep(gateway_harness.POLL_S)
            seen.append(answer.body)
            await gateway_harness.wait_until(lambda: fleet.engines['e1'].runs)
            seen.append(fleet.engines['e1'].runs[0].body)

        self._run(check, gateway_count=2)
        self.assertEqual([202, body, body], seen)

    def test_unknown_job_is_not_found_or_unavailable(self):
        seen = []

        async def check(fleet):
            seen.append((await fleet.read_results(0, 'none')).status)
            fleet.store_faults.begin_outage(
                faults_module.FaultMode.REFUSE, 60_000
            )
            seen.append((await fleet.read_results(0, 'none')).status)

        self._run(check)
        self.assertEqual([404, 503], seen)

    def test_items_that_fail(self):
        cases = [
            # Faults of the engine's first responses, state, runs.
            ([_FAULT.IMPOSSIBLE], 'dead_letter', 1),
            ([_FAULT.FAILED] * 5, 'dead_letter', 3),
            ([_FAULT.FAILED], 'completed', 2),
            ([_FAULT.CUT_MIDWAY], 'completed', 2),
            ([_FAULT.RUN_AND_CLOSE], 'completed', 2),
            ([_FAULT.NOT_RUN], 'completed', 1),
            ([_FAULT.FOREIGN], 'completed', 2),
        ]
        for faults, state, run_count in cases:
            seen = []

            async def check(fleet, faults=faults, seen=seen):
                fleet.engines['e1'].answer_faults = list(faults)
                await fleet.submit(0, 'j1', _make_items(1))
                document = await fleet.wait_results(0, 'j1', 1)
                seen.append(document['results'][0])
                seen.append(len(fleet.engines['e1'].runs))

            self._run(check)
            self.assertEqual(state, seen[0]['state'], faults)
            self.assertEqual(run_count, seen[1], faults)
            if state == 'completed':
                expected = gateway_harness.make_output('i0')
                self.assertEqual(expected, seen[0]['output'], faults)

    def test_item_runs_elsewhere_when_the_body_of_a_refusal_does_not_come(self):
        # Guards against a claim on the item that lasts as long as the silence.
        seen = []

        async def check(fleet):
            for engine in fleet.engines.values():
                engine.answer_faults = [_FAULT.NOT_RUN_WITHOUT_BODY]
            await fleet.submit(0, 'j1', _make_items(1))
            seen.append(await fleet.wait_results(0, 'j1', 1))

        self._run(check, gateway_count=2, engines=('e1', 'e2'))
        self._assert_complete(seen[0], 1)

    def test_quota_counts_what_all_daemons_accepted(self):
        seen = []

        async def check(fleet):
            for engine in fleet.engines.values():
                engine.event_interval_ms = 10_000
            statuses = []

            async def submit(number):
                items = [gateway_harness.make_item(f'q{number}', tokens=300)]
                answer = await fleet.submit(number % 2, f'j{number}', items)
                statuses.append(answer.status)

            async with trio.open_nursery() as nursery:
                for number in range(8):
                    nursery.start_soon(submit, number)
            seen.extend(sorted(statuses))

        self._run(check, gateway_count=2)
        self.assertEqual([202] * 3 + [429] * 5, seen)

    def test_ended_job_stops_at_all_daemons(self):
        seen = []

        async def check(fleet):
            engine = fleet.engines['e1']
            engine.event_interval_ms = 50
            engine.event_count = 1000
            await fleet.submit(0, 'j1', _make_items(20))
            await gateway_harness.wait_until(lambda: len(engine.runs) >= 7)
            target = '/siskinmount/lots/j1'
            for number in (1, 0):
                answer = await fleet.call(
                    number, 'DELETE', target, x_request_id='d'
                )
                seen.append(answer.status)
            await trio.sleep(0.5)
            before = len(engine.runs)
            await trio.sleep(1.0)
            seen.append(len(engine.runs) - before)
            seen.append(any(run.is_finished for run in engine.runs))

        self._run(check, gateway_count=2)
        self.assertEqual([200, 200, 0, False], seen)

    def test_lost_and_late_appends_change_nothing(self):
        seen = []

        async def check(fleet):
            fleet.store_faults.lose_answers(faults_module.FaultMode.CLOSE, 2)
            seen.append((await fleet.submit(0, 'j1', _make_items(5))).status)
            fleet.store.late_delay_ms = 700
            fleet.store.late_appends_left = 3
            await fleet.wait_results(1, 'j1', 5)
            await trio.sleep(1.0)
            seen.append(await fleet.wait_results(0, 'j1', 5))
            values = fleet.store.read_newest_values(gateway_harness.JOBS_TOPIC)
            seen.append(sorted(key for key in values if 'result' in key))

        self._run(check, gateway_count=2)
        self.assertEqual(202, seen[0])
        self._assert_complete(seen[1], 5)
        self.assertEqual([f'result/j1/{n}' for n in range(5)], seen[2])

    def test_submission_without_a_store_response_is_not_refused(self):
        seen = []

        async def check(fleet):
            fleet.store_faults.lose_answers(faults_module.FaultMode.SILENT, 99)
            answer = await fleet.submit(0, 'j1', _make_items(1))
            seen.append(answer.status)

        self._run(check)
        self.assertIn(seen[0], (202, 504))

    def test_accepted_job_survives_a_killed_daemon(self):
        seen = []

        async def check(fleet):
            for engine in fleet.engines.values():
                engine.event_interval_ms = 60
            seen.append((await fleet.submit(0, 'j1', _make_items(9))).status)
            fleet.gateways[0].kill()
            seen.append(await fleet.wait_results(1, 'j1', 9))

        self._run(check, gateway_count=2, engines=('e1', 'e2'))
        self.assertEqual(202, seen[0])
        self._assert_complete(seen[1], 9)

    def test_new_daemon_continues_after_all_daemons_are_killed(self):
        seen = []

        async def check(fleet):
            seen.append((await fleet.submit(0, 'j1', _make_items(4))).status)
            before = await fleet.wait_results(1, 'j1', 1)
            for running in list(fleet.gateways):
                running.kill()
                await running.ended.wait()
            fleet.store.drop_history()
            fleet.gateways.clear()
            await fleet.wait_ready(await fleet.start_gateway(0))
            after = await fleet.wait_results(0, 'j1', 4)
            seen.append(after)
            seen.append(before['results'] == after['results'][: before['next']])

        self._run(check, gateway_count=2)
        self.assertEqual(202, seen[0])
        self._assert_complete(seen[1], 4)
        self.assertTrue(seen[2])

    def test_results_wait_for_an_unreachable_store(self):
        seen = []

        async def check(fleet):
            for engine in fleet.engines.values():
                engine.event_interval_ms = 60
            await fleet.submit(0, 'j1', _make_items(3))
            await gateway_harness.wait_until(lambda: fleet.engines['e1'].runs)
            fleet.store_faults.begin_outage(
                faults_module.FaultMode.SILENT, 5000
            )
            await trio.sleep(1)
            refused = await fleet.submit(0, 'j2', _make_items(1, 'k'))
            seen.append(refused.status)
            seen.append(await fleet.wait_results(0, 'j1', 3))
            runs = [run.request_id for run in fleet.engines['e1'].runs]
            seen.append(sorted(runs))

        self._run(check)
        self.assertIn(seen[0], (503, 504))
        self._assert_complete(seen[1], 3)
        self.assertEqual(['i0', 'i1', 'i2'], seen[2])

    def test_log_is_reloaded_after_its_history_is_dropped(self):
        seen = []

        async def check(fleet):
            await fleet.submit(0, 'j1', _make_items(2))
            await fleet.wait_results(1, 'j1', 2)
            fleet.store_faults.begin_outage(faults_module.FaultMode.CLOSE, 300)
            fleet.store.put(gateway_harness.JOBS_TOPIC, 'odd/key', b'x')
            fleet.store.drop_history()
            await trio.sleep(0.5)
            # A daemon that cannot reach the store yet refuses, and its caller
            # retries.
            while True:
                answer = await fleet.submit(1, 'j2', _make_items(2))
                if answer.status != 503:
                    break
                await trio.sleep(gateway_harness.POLL_S)
            seen.append(answer.status)
            seen.append(await fleet.wait_results(0, 'j2', 2))
            seen.append(await fleet.wait_results(0, 'j1', 2))

        self._run(check, gateway_count=2)
        self.assertEqual(202, seen[0])
        self._assert_complete(seen[1], 2)
        self._assert_complete(seen[2], 2)

    def test_closed_jobs_are_dropped_after_their_retention(self):
        seen = []

        async def check(fleet):
            fleet.gateways[0].kill()
            await fleet.gateways[0].ended.wait()
            fleet.gateways.clear()
            fleet.results_kept_s = 0.4
            await fleet.wait_ready(await fleet.start_gateway(0))
            body = bytes(range(256)) * 200
            await fleet.submit(
                0, 'j1', [gateway_harness.make_item('i0', body=body)]
            )
            await fleet.wait_results(0, 'j1', 1)

            def read_values():
                return fleet.store.read_newest_values(
                    gateway_harness.JOBS_TOPIC
                )

            seen.append(len(read_values()) > 2)
            await gateway_harness.wait_until(lambda: not read_values())
            seen.append((await fleet.read_results(0, 'j1')).status)

        self._run(check)
        self.assertEqual([True, 404], seen)


class StopTest(testtools.TestCase):

    def test_graceful_shutdown_finishes_running_requests(self):
        seen = []

        async def check(fleet):
            engine = fleet.engines['e1']
            engine.event_count = 40
            engine.event_interval_ms = 25
            answers = []

            async def call():
                answers.append(
                    await fleet.call(
                        0, 'POST', '/once/x', b'p', x_request_id='q'
                    )
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await gateway_harness.wait_until(lambda: engine.runs)
                running = fleet.gateways[0]
                running.signals.stop.set()
                await trio.sleep(0.1)
                ready = await gateway_harness.call(
                    running.ready_address, 'GET', '/ready'
                )
                seen.append(ready.status)
            seen.append(answers[0].is_whole)
            await running.ended.wait()

        gateway_harness.run_fleet(check)
        self.assertEqual([503, True], seen)

    def test_graceful_shutdown_hands_output_over(self):
        seen = []

        async def check(fleet):
            engine = fleet.engines['e1']
            engine.event_count = 100
            engine.event_interval_ms = 60
            items = _make_items(6)
            await fleet.submit(0, 'j1', items)
            await gateway_harness.wait_until(lambda: len(engine.runs) >= 6)
            fleet.gateways[0].signals.stop.set()
            document = await fleet.wait_results(1, 'j1', 6)
            seen.extend(row['output'] for row in document['results'])
            seen.sort()
            begun_anew = [run for run in engine.runs if run.first_event == 1]
            seen.append(len(begun_anew))
            seen.append(len(engine.runs) > 6)

        gateway_harness.run_fleet(check, gateway_count=2)
        expected = sorted(
            gateway_harness.make_output(f'i{n}', 100) for n in range(6)
        )
        self.assertEqual([*expected, 6, True], seen)
