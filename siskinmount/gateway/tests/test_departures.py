"""Tests of engines that say in their answers that they leave."""

import testtools
import trio

from siskinmount.gateway.tests import gateway_harness
from standins import event_engine
from standins import faults as faults_module

_FAULT = event_engine.AnswerFault
_REQUEST_COUNT = 16


async def _call_until(fleet, path, condition, number=0):
    """Sends requests to a gateway until a condition holds."""
    count = 0
    while not condition():
        count += 1
        await fleet.call(
            number, 'POST', path, b'b', x_request_id=f'{path}-{count}'
        )


async def _call_often(fleet, path, number=0):
    """Returns the statuses of further requests."""
    statuses = []
    for count in range(_REQUEST_COUNT):
        answer = await fleet.call(
            number, 'POST', path, b'b', x_request_id=f'more-{path}-{count}'
        )
        statuses.append(answer.status)
    return statuses


def _begin_outage(fleet):
    fleet.store_faults.begin_outage(faults_module.FaultMode.CLOSE, 60_000)


class DeparturesTest(testtools.TestCase):

    def test_leaving_engine_gets_no_requests_while_the_store_is_away(self):
        cases = [
            # Path, fault of the answer that says that the engine leaves.
            ('/stream/x', []),
            ('/stream/x', [_FAULT.FAILED]),
            ('/stream/x', [_FAULT.NOT_RUN]),
            ('/stream/x', [_FAULT.CUT_MIDWAY]),
            ('/plain/x', []),
            ('/plain/x', [_FAULT.FAILED]),
        ]
        for path, faults in cases:
            seen = {}

            async def check(fleet, path=path, faults=faults, seen=seen):
                name = 'e1' if path.startswith('/stream') else 'p1'
                engine = fleet.engines[name]
                _begin_outage(fleet)
                engine.is_leaving = True
                engine.answer_faults = list(faults)
                await _call_until(
                    fleet,
                    path,
                    lambda: engine.runs
                    or (faults and not engine.answer_faults),
                )
                before = len(engine.runs)
                # Longer than an upstream is avoided after a failure.
                await trio.sleep(0.6)
                seen['statuses'] = await _call_often(fleet, path)
                seen['runs'] = len(engine.runs) - before

            gateway_harness.run_fleet(
                check, engines=('e1', 'e2'), plain=('p1', 'p2')
            )
            self.assertEqual([200] * _REQUEST_COUNT, seen['statuses'])
            self.assertEqual(0, seen['runs'], (path, faults))

    def test_request_is_refused_at_once_if_all_engines_leave(self):
        seen = []

        async def check(fleet):
            _begin_outage(fleet)
            fleet.engines['e1'].is_leaving = True
            await _call_until(
                fleet, '/stream/x', lambda: fleet.engines['e1'].runs
            )
            seen.append(
                await fleet.call(
                    0, 'POST', '/stream/x', b'b', x_request_id='late'
                )
            )
            seen.append(len(fleet.engines['e1'].runs))

        gateway_harness.run_fleet(check)
        self.assertEqual(503, seen[0].status)
        self.assertIn(b'retry-after', seen[0].headers)
        self.assertEqual('not_run', seen[0].json()['error']['run_state'])
        self.assertEqual(1, seen[1])

    def test_peers_hear_of_a_leaving_engine(self):
        seen = []

        async def check(fleet):
            _begin_outage(fleet)
            engine = fleet.engines['e1']
            engine.is_leaving = True
            await _call_until(fleet, '/stream/x', lambda: engine.runs)
            before = len(engine.runs)
            await trio.sleep(0.5)
            seen.append(await _call_often(fleet, '/stream/x', 1))
            seen.append(len(engine.runs) - before)

        gateway_harness.run_fleet(check, 2, engines=('e1', 'e2'))
        self.assertEqual([[200] * _REQUEST_COUNT, 0], seen)

    def test_leaving_engine_gets_no_batch_items(self):
        seen = []

        async def check(fleet):
            engine = fleet.engines['e1']
            engine.is_leaving = True
            items = [gateway_harness.make_item(f'a{n}') for n in range(8)]
            await fleet.submit(0, 'j1', items)
            await gateway_harness.wait_until(lambda: engine.runs)
            await fleet.wait_results(0, 'j1', 8)
            before = len(engine.runs)
            items = [gateway_harness.make_item(f'b{n}') for n in range(8)]
            await fleet.submit(0, 'j2', items)
            await fleet.wait_results(0, 'j2', 8)
            seen.append(len(engine.runs) - before)
            seen.append(all(run.is_finished for run in engine.runs))

        gateway_harness.run_fleet(check, engines=('e1', 'e2'))
        self.assertEqual([0, True], seen)

    def test_engine_started_again_under_its_id_gets_requests(self):
        seen = []

        async def check(fleet):
            engine = fleet.engines['e1']
            engine.is_leaving = True
            await _call_until(fleet, '/stream/x', lambda: engine.runs)
            engine.is_leaving = False
            before = len(engine.runs)
            seen.append(await _call_often(fleet, '/stream/x'))
            seen.append(len(engine.runs) - before)
            fleet.list_engine('e1', 'model', fleet.addresses['e1'], born=2)
            await _call_until(
                fleet, '/stream/x', lambda: len(engine.runs) > before
            )

        gateway_harness.run_fleet(check, engines=('e1', 'e2'))
        self.assertEqual([[200] * _REQUEST_COUNT, 0], seen)
