"""Tests of requests that come late in a planned stop."""

import testtools
import trio

from siskinmount import transport
from siskinmount.gateway.tests import gateway_harness
from standins import event_engine

_FAULT = event_engine.AnswerFault


class LateRequestsTest(testtools.TestCase):

    def _run_late(self, path, body=b'late', **headers):
        """Returns the answer to a request late in a stop, and its runs.

        It comes on a connection whose stream has begun before the stop.
        """
        seen = []

        async def check(fleet):
            engine = fleet.engines['e1']
            engine.event_interval_ms = 650
            for other in fleet.engines.values():
                other.answer_faults = [_FAULT.RUN_AND_SILENT] * 4
            engine.answer_faults = []
            running = fleet.gateways[0]
            client = transport.create_http_client(running.address)

            async def call(target, request_id, **more):
                pairs = [
                    (name.replace('_', '-').encode(), value.encode())
                    for name, value in more.items()
                ]
                exchange = await client.send(
                    transport.ClientRequest(
                        'POST',
                        target,
                        [(b'x-request-id', request_id.encode()), *pairs],
                        body,
                        gateway_harness.HOST.encode(),
                    )
                )
                with exchange:
                    await exchange.read_body(1 << 20)
                return exchange

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call, '/once/x', 'early')
                await gateway_harness.wait_until(lambda: engine.runs)
                running.signals.stop.set()
            engine.answer_faults = [_FAULT.RUN_AND_SILENT] * 4
            seen.append(await call(path, 'late', **headers))
            seen.append(
                [
                    run
                    for each in fleet.engines.values()
                    for run in each.runs
                    if run.request_id == 'late'
                ]
            )
            await running.ended.wait()

        gateway_harness.run_fleet(check, engines=('e1',), plain=('p1',))
        return seen

    def test_request_that_may_outlive_the_process_is_refused_as_not_run(self):
        for path in ('/booking/x', '/once/x', '/plain/x', '/stream/x'):
            answer, runs = self._run_late(path)
            self.assertEqual((503, []), (answer.status, runs), path)
            self.assertIsNotNone(answer.find_header(b'retry-after'))

    def test_request_that_ends_before_the_process_is_answered(self):
        answer, runs = self._run_late('/booking/x', x_deadline_ms='300')
        self.assertEqual((504, 1), (answer.status, len(runs)))

    def test_requests_are_answered_before_the_process_ends(self):
        # Those that were taken before the stop, and whose upstream is silent.
        statuses = {}

        async def check(fleet):
            for engine in fleet.engines.values():
                engine.answer_faults = [_FAULT.RUN_AND_SILENT] * 9
            running = fleet.gateways[0]

            async def call(path):
                answer = await fleet.call(
                    0, 'POST', path, b'p', x_request_id=path[1:]
                )
                statuses[path] = answer and answer.status

            async with trio.open_nursery() as nursery:
                for path in ('/booking/x', '/once/x'):
                    nursery.start_soon(call, path)
                await gateway_harness.wait_until(
                    lambda: sum(
                        len(each.runs) for each in fleet.engines.values()
                    )
                    == 2
                )
                running.settings.stop_grace_s = 1.5
                running.signals.stop.set()
            await running.ended.wait()

        gateway_harness.run_fleet(check, engines=('e1',), plain=('p1',))
        self.assertEqual({'/booking/x': 502, '/once/x': 502}, statuses)
