"""Tests of responses that end with their connection."""

import itertools

import testtools
import trio

from siskinmount.gateway.tests import gateway_harness
from standins import event_engine

HEARTBEAT_S = 0.2
_EXIT = event_engine.AnswerFault.EXIT_MIDWAY


def _expected_stream(request_id, last=6):
    return b''.join(
        event_engine.make_event(request_id, number)
        for number in range(1, last + 1)
    )


def _omit_framing(fleet):
    for engine in fleet.engines.values():
        engine.omits_framing = True


async def _send_heartbeats(fleet, engine_id, service='model'):
    for seq_no in itertools.count():
        address = fleet.addresses[engine_id]
        fleet.list_engine(engine_id, service, address, seq_no=seq_no)
        await trio.sleep(HEARTBEAT_S)


async def _call_until_crash(fleet, target):
    """Repeats a request until the faulty engine has crashed; the last answer."""
    number = 0
    while True:
        number += 1
        answer = await fleet.call(
            0, 'POST', target, b'prompt %d' % number, x_request_id=f'q{number}'
        )
        if fleet.crashed:
            return f'q{number}', answer


class ExitedUpstreamTest(testtools.TestCase):
    """Guards against taking what a process sent before its exit for all of it.

    Each first answer of `e1`, or `p1`, is broken off as its process exits.
    """

    def _run(self, check, **parts):
        async def main(fleet):
            _omit_framing(fleet)
            for engine_id in ('e1', 'p1'):
                if engine_id in fleet.engines:
                    fleet.engines[engine_id].answer_faults = [_EXIT]
            await check(fleet)

        gateway_harness.run_fleet(main, **parts)

    def test_items_are_completed_elsewhere(self):
        seen = []

        async def check(fleet):
            items = [gateway_harness.make_item(f'i{n}') for n in range(8)]
            await fleet.submit(0, 'j1', items)
            document = await fleet.wait_results(0, 'j1', 8)
            self.assertEqual(['e1'], fleet.crashed)
            seen.extend(document['results'])

        self._run(check, engines=('e1', 'e2'))
        for result in seen:
            self.assertEqual(
                gateway_harness.make_output(result['id']), result['output']
            )

    def test_stream_is_resumed_elsewhere(self):
        seen = []

        async def check(fleet):
            seen.extend(await _call_until_crash(fleet, '/stream/x'))
            seen.append(fleet.engines['e2'].runs[-1].first_event)

        self._run(check, engines=('e1', 'e2'))
        request_id, answer, first_event = seen
        self.assertTrue(answer.is_whole)
        self.assertEqual(_expected_stream(request_id), answer.body)
        self.assertGreater(first_event, 1)

    def test_stream_that_may_not_repeat_is_not_ended_properly(self):
        seen = []

        async def check(fleet):
            seen.extend(await _call_until_crash(fleet, '/once/x'))

        self._run(check, engines=('e1', 'e2'))
        self.assertFalse(seen[1].is_whole)

    def test_response_that_may_repeat_comes_from_elsewhere(self):
        seen = []

        async def check(fleet):
            seen.extend(await _call_until_crash(fleet, '/plain/x'))

        self._run(check, engines=(), plain=('p1', 'p2'))
        self.assertEqual(200, seen[1].status)
        self.assertIn(b'answer to prompt', seen[1].body)

    def test_response_that_may_not_repeat_is_not_passed_on(self):
        seen = []

        async def check(fleet):
            seen.extend(await _call_until_crash(fleet, '/booking/x'))

        self._run(check, engines=(), plain=('p1', 'p2'))
        self.assertEqual(502, seen[1].status)

    def test_fleet_that_exits_at_once_leaves_no_short_output(self):
        seen = []

        async def check(fleet):
            fleet.engines['e2'].answer_faults = [_EXIT]
            items = [gateway_harness.make_item(f'i{n}') for n in range(4)]
            await fleet.submit(0, 'j1', items)
            await gateway_harness.wait_until(lambda: len(fleet.crashed) == 2)
            await fleet.start_engine('e3', 'model', True)
            document = await fleet.wait_results(0, 'j1', 4)
            seen.extend(document['results'])

        self._run(check, engines=('e1', 'e2'))
        for result in seen:
            self.assertEqual(
                gateway_harness.make_output(result['id']), result['output']
            )


class SoundUpstreamTest(testtools.TestCase):
    """Guards against costs for upstreams all of whose answers end like that."""

    def test_nothing_runs_twice(self):
        async def check(fleet):
            _omit_framing(fleet)
            items = [gateway_harness.make_item(f'i{n}') for n in range(20)]
            await fleet.submit(0, 'j1', items)
            await fleet.wait_results(0, 'j1', 20)
            for number in range(20):
                answer = await fleet.call(
                    0, 'POST', '/stream/x', b's', x_request_id=f's{number}'
                )
                self.assertEqual(_expected_stream(f's{number}'), answer.body)
                answer = await fleet.call(
                    0, 'POST', '/booking/x', b'b', x_request_id=f'b{number}'
                )
                self.assertEqual(b'answer to b', answer.body)
            runs = {}
            for engine_id, engine in fleet.engines.items():
                runs[engine_id] = len(engine.runs)
            self.assertEqual(60, sum(runs.values()))

        gateway_harness.run_fleet(check, engines=('e1', 'e2'), plain=('p1',))

    def test_upstream_that_closes_idle_connections_loses_nothing(self):
        # Its idle connections end while it streams, which shows nothing.
        async def check(fleet):
            engine = await fleet.start_engine(
                'e1', 'model', True, idle_timeout_ms=130
            )
            engine.omits_framing = True
            engine.event_interval_ms = 50
            items = [gateway_harness.make_item(f'i{n}') for n in range(16)]
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_send_heartbeats, fleet, 'e1')
                await fleet.submit(0, 'j1', items)
                await fleet.wait_results(0, 'j1', 16)
                nursery.cancel_scope.cancel()
            self.assertEqual(16, len(engine.runs))

        gateway_harness.run_fleet(check, engines=())

    def test_callers_of_an_upstream_that_closes_idle_connections(self):
        # A booking was answered 502 though it was made, and a stream was
        # continued elsewhere after its end.
        answers = []

        async def check(fleet):
            idle = {'idle_timeout_ms': 130}
            engine = await fleet.start_engine('e1', 'model', True, **idle)
            engine.event_interval_ms = 50
            plain = await fleet.start_engine('p1', 'plain', False, **idle)
            _omit_framing(fleet)

            async def call(target, number):
                answers.append(
                    await fleet.call(
                        0, 'POST', target, b'x', x_request_id=f'{number}-q'
                    )
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(_send_heartbeats, fleet, 'e1')
                nursery.start_soon(_send_heartbeats, fleet, 'p1', 'plain')
                async with trio.open_nursery() as callers:
                    for number in range(8):
                        callers.start_soon(call, '/once/x', number)
                        callers.start_soon(call, '/booking/x', f'b{number}')
                        await trio.sleep(0.05)
                nursery.cancel_scope.cancel()
            self.assertEqual(8, len(engine.runs))
            self.assertEqual(8, len(plain.runs))

        gateway_harness.run_fleet(check, engines=())
        for answer in answers:
            self.assertEqual(200, answer.status)
            self.assertTrue(answer.is_whole)
