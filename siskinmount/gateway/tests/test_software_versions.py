"""Tests that no stream or item joins output of two software versions."""

import testtools
import trio

from siskinmount.gateway.tests import gateway_harness
from standins import event_engine
from standins import faults as faults_module

_FAULT = event_engine.AnswerFault
_BODY = b'prompt'
_EVENTS = 6


def _make_events(request_id, first, last=_EVENTS):
    return b''.join(
        event_engine.make_event(request_id, number)
        for number in range(first, last + 1)
    )


async def _call(fleet, number, request_id, body=_BODY, **headers):
    return await fleet.call(
        number, 'POST', '/stream/x', body, x_request_id=request_id, **headers
    )


async def _restart_gateways(fleet):
    """Kills all gateways at once and starts them again."""
    killed = list(fleet.gateways)
    fleet.gateways.clear()
    for running in killed:
        running.kill()
    for running in killed:
        await running.ended.wait()
    for number in range(len(killed)):
        await fleet.wait_ready(await fleet.start_gateway(number))


class OneAnswerTest(testtools.TestCase):
    """A stream that its engine breaks off, within one answer."""

    def _run_broken_stream(self, versions):
        """Has engine e1, of v1, break off a stream after two events.

        Args:
            versions: Versions of the other engines, by id.

        Returns:
            The answer, and the runs of the other engines by id.
        """
        seen = {}

        async def check(fleet):
            fleet.engines['e1'].answer_faults = [_FAULT.CUT_MIDWAY]
            seen['answer'] = None
            await fleet.start_gateway(0)
            await fleet.wait_ready(fleet.gateways[0])
            # Alone, e1 gets the request; the others are listed meanwhile.
            fleet.engines['e1'].event_interval_ms = 150
            async with trio.open_nursery() as nursery:

                async def send():
                    seen['answer'] = await _call(fleet, 0, 'q1')

                nursery.start_soon(send)
                await gateway_harness.wait_until(
                    lambda: fleet.engines['e1'].runs
                )
                for engine_id, version in versions.items():
                    await fleet.start_engine(engine_id, 'model', True, version)
            seen['runs'] = {
                engine_id: fleet.engines[engine_id].runs
                for engine_id in versions
            }

        gateway_harness.run_fleet(check, gateway_count=0, engines=('e1',))
        return seen['answer'], seen['runs']

    def test_stream_is_not_joined_from_two_versions_within_one_answer(self):
        answer, runs = self._run_broken_stream({'e2': 'v2'})
        self.assertEqual([], runs['e2'])
        self.assertIn(
            answer.body, [_make_events('q1', 1), _make_events('q1', 1, 2)]
        )

    def test_stream_goes_on_at_an_engine_of_its_version(self):
        answer, runs = self._run_broken_stream(
            {'e2': 'v2', 'e3': 'v1', 'e4': 'v2'}
        )
        self.assertTrue(answer.is_whole)
        self.assertEqual(_make_events('q1', 1), answer.body)
        self.assertEqual([], runs['e2'] + runs['e4'])

    def test_stream_of_an_engine_that_became_another_version_is_cut(self):
        # It may have begun at the process before or after the restart.
        seen = []

        async def check(fleet):
            fleet.engines['e1'].answer_faults = [_FAULT.CUT_BETWEEN_EVENTS]
            fleet.engines['e1'].event_interval_ms = 300
            async with trio.open_nursery() as nursery:

                async def send():
                    seen.append(await _call(fleet, 0, 'q1'))

                nursery.start_soon(send)
                await gateway_harness.wait_until(
                    lambda: fleet.engines['e1'].runs
                )
                fleet.list_engine(
                    'e1', 'model', fleet.addresses['e1'], version='v2', born=2
                )
                await fleet.start_engine('e3', 'model', True, 'v1')
            self.assertEqual([], fleet.engines['e3'].runs)
            self.assertEqual(1, len(fleet.engines['e1'].runs))

        gateway_harness.run_fleet(check, engines=('e1',))
        self.assertFalse(seen[0].is_whole)

    def test_stream_does_not_go_on_at_an_engine_whose_restart_is_not_listed(
        self,
    ):
        # Its entry could not be written, as the store is silent; that it ended
        # its connections is all that shows the restart.
        bodies = []

        async def check(fleet):
            for engine in fleet.engines.values():
                engine.version = 'v1'
            while not all(engine.runs for engine in fleet.engines.values()):
                await _call(fleet, 0, 'warm')
            fleet.store_faults.begin_outage(
                faults_module.FaultMode.SILENT, 60_000
            )
            restarted = await fleet.restart_engine('e2')
            restarted.version = 'v2'
            fleet.engines['e1'].answer_faults = [_FAULT.CUT_MIDWAY] * 4
            for number in range(30):
                answer = await _call(fleet, 0, f'q{number}')
                bodies.append(answer.body)
            self.assertLess(len(fleet.engines['e1'].answer_faults), 4)

        gateway_harness.run_fleet(check, engines=('e1', 'e2'))
        for body in bodies:
            self.assertFalse(b'@v1' in body and b'@v2' in body, body)


class CallersTriesTest(testtools.TestCase):
    """Streams that callers take up again."""

    def _run(self, check, gateway_count=2, engines=('old',)):
        gateway_harness.run_fleet(
            check, gateway_count=gateway_count, engines=engines
        )

    async def _begin(self, fleet, number, request_id, engine_id):
        """Sends a request until a given engine begins its stream."""
        attempt = 0
        while True:
            attempt += 1
            name = f'{request_id}-{attempt}'
            fleet.engines[engine_id].answer_faults = [_FAULT.CUT_BETWEEN_EVENTS]
            await _call(fleet, number, name, name.encode())
            fleet.engines[engine_id].answer_faults = []
            if any(r.request_id == name for r in fleet.engines[engine_id].runs):
                return name

    def test_take_up_after_all_gateways_were_lost_is_not_joined(self):
        # The version that began the stream has left meanwhile.
        async def check(fleet):
            name = await self._begin(fleet, 0, 'q', 'old')
            await fleet.start_engine('new', 'model', True, 'v2')
            fleet.store.put('keyed.servers', 'old', b'')
            await _restart_gateways(fleet)
            await trio.sleep(0.5)
            answer = await _call(
                fleet,
                1,
                'again',
                name.encode(),
                last_event_id=3,
                resumes=name,
            )
            self.assertEqual(503, answer.status)
            self.assertEqual([], fleet.engines['new'].runs)

        self._run(check)

    def test_take_up_after_all_gateways_were_lost_goes_on_at_its_version(self):
        async def check(fleet):
            name = await self._begin(fleet, 0, 'q', 'old')
            await fleet.start_engine('new', 'model', True, 'v2')
            await _restart_gateways(fleet)
            await trio.sleep(0.5)
            for number in range(6):
                answer = await _call(
                    fleet,
                    number % 2,
                    f'again-{number}',
                    name.encode(),
                    last_event_id=3,
                    resumes=name,
                )
                self.assertEqual(200, answer.status)
                self.assertEqual(
                    _make_events(f'again-{number}', 4), answer.body
                )
            self.assertEqual([], fleet.engines['new'].runs)

        self._run(check)

    def test_streams_of_two_versions_go_on_at_theirs_after_all_were_lost(self):
        async def check(fleet):
            await fleet.start_engine('new', 'model', True, 'v2')
            await trio.sleep(0.5)
            names = {}
            for engine_id in ('old', 'new'):
                names[engine_id] = await self._begin(
                    fleet, 0, f'q-{engine_id}', engine_id
                )
            await _restart_gateways(fleet)
            await trio.sleep(0.5)
            for engine_id, name in names.items():
                for number in range(4):
                    answer = await _call(
                        fleet,
                        number % 2,
                        f'again-{engine_id}-{number}',
                        name.encode(),
                        last_event_id=3,
                        resumes=name,
                    )
                    self.assertEqual(200, answer.status)
            for engine_id, engine in fleet.engines.items():
                for run in engine.runs:
                    if run.request_id.startswith('again-'):
                        self.assertIn(f'-{engine_id}-', run.request_id)

        self._run(check)

    def test_take_up_does_not_reach_an_engine_that_has_changed_its_version(
        self,
    ):
        async def check(fleet):
            name = await self._begin(fleet, 0, 'q', 'old')
            begun = len(fleet.engines['old'].runs)
            # The next read of the list is put off for a moment after two.
            for _ in range(2):
                fleet.list_engine('old', 'model', fleet.addresses['old'])
                await trio.sleep(0.02)
            fleet.list_engine(
                'old', 'model', fleet.addresses['old'], version='v2', born=2
            )
            answer = await _call(
                fleet,
                0,
                'again',
                name.encode(),
                last_event_id=3,
                resumes=name,
            )
            self.assertEqual(503, answer.status)
            self.assertEqual(begun, len(fleet.engines['old'].runs))

        self._run(check)

    def test_take_up_of_a_take_up_names_the_first_attempt(self):
        async def check(fleet):
            await fleet.start_engine('new', 'model', True, 'v2')
            await trio.sleep(0.5)
            name = await self._begin(fleet, 0, 'q', 'new')
            for number in range(4):
                # The second of each pair is broken off as well.
                await _restart_gateways(fleet)
                answer = await _call(
                    fleet,
                    number % 2,
                    f'again-{number}',
                    name.encode(),
                    last_event_id=2 + number % 2,
                    resumes=name,
                )
                self.assertEqual(200, answer.status)
            for run in fleet.engines['old'].runs:
                self.assertFalse(run.request_id.startswith('again-'))

        self._run(check)

    def test_take_up_that_names_nothing_sound_is_not_joined(self):
        async def check(fleet):
            await fleet.start_engine('new', 'model', True, 'v2')
            await trio.sleep(0.5)
            name = await self._begin(fleet, 0, 'q', 'new')
            other = await self._begin(fleet, 0, 'other', 'old')
            await _restart_gateways(fleet)
            for number, resumes in enumerate((None, 'a b', 'x' * 300, 'z')):
                headers = {'resumes': resumes} if resumes else {}
                answer = await _call(
                    fleet,
                    number % 2,
                    f'again-{number}',
                    name.encode(),
                    last_event_id=3,
                    **headers,
                )
                self.assertEqual(503, answer.status, resumes)
            # The request of another caller, which began at the other version.
            answer = await _call(
                fleet,
                0,
                'again-o',
                name.encode(),
                last_event_id=3,
                resumes=other,
            )
            for run in fleet.engines['old'].runs:
                self.assertFalse(run.request_id.startswith('again-'))

        self._run(check)

    def test_take_up_while_the_store_is_silent_asks_the_member_that_knows(self):
        async def check(fleet):
            await fleet.start_engine('new', 'model', True, 'v2')
            await trio.sleep(0.5)
            names = {}
            for engine_id in ('old', 'new'):
                names[engine_id] = await self._begin(
                    fleet, 0, f'q-{engine_id}', engine_id
                )
            fleet.store_faults.begin_outage(
                faults_module.FaultMode.SILENT, 60_000
            )
            await trio.sleep(0.5)
            for engine_id, name in names.items():
                answer = await _call(
                    fleet,
                    1,
                    f'again-{engine_id}',
                    name.encode(),
                    last_event_id=3,
                    resumes=name,
                )
                self.assertEqual(200, answer.status)
                self.assertIn(
                    f'again-{engine_id}',
                    [run.request_id for run in fleet.engines[engine_id].runs],
                )

        self._run(check)

    def test_new_streams_keep_to_the_assumed_version_without_the_store(self):
        async def check(fleet):
            await fleet.start_engine('new', 'model', True, 'v2')
            await trio.sleep(0.5)
            fleet.store_faults.begin_outage(
                faults_module.FaultMode.SILENT, 60_000
            )
            # The first one at each gateway may be one that cannot be recorded.
            failed = 0
            for number in range(12):
                answer = await _call(fleet, number % 2, f'q{number}')
                failed += answer.status != 200
            self.assertLessEqual(failed, 2)
            for number in range(12):
                answer = await _call(fleet, number % 2, f'r{number}')
                self.assertEqual(200, answer.status)
                self.assertTrue(answer.is_whole)
            ids = [run.request_id for run in fleet.engines['old'].runs]
            for number in range(12):
                self.assertIn(f'r{number}', ids)

        self._run(check)

    def test_stream_of_an_engine_without_a_version_goes_on_there_alone(self):
        for version in (None, 7):

            async def check(fleet, version=version):
                await fleet.start_engine('odd', 'model', True, version)
                await fleet.start_engine('odd2', 'model', True, version)
                await trio.sleep(0.5)
                name = await self._begin(fleet, 0, 'q', 'odd')
                await _restart_gateways(fleet)
                answer = await _call(
                    fleet,
                    0,
                    'again',
                    name.encode(),
                    last_event_id=3,
                    resumes=name,
                )
                self.assertEqual(200, answer.status)
                self.assertEqual(
                    'again', fleet.engines['odd'].runs[-1].request_id
                )

            self._run(check)


class ItemTest(testtools.TestCase):

    def test_item_does_not_go_on_at_another_version(self):
        async def check(fleet):
            fleet.engines['old'].answer_faults = [_FAULT.CUT_BETWEEN_EVENTS]
            fleet.engines['old'].event_interval_ms = 100
            self.assertEqual(
                202,
                (
                    await fleet.submit(
                        0, 'job', [gateway_harness.make_item('i1')]
                    )
                ).status,
            )
            await gateway_harness.wait_until(lambda: fleet.engines['old'].runs)
            await fleet.start_engine('new', 'model', True, 'v2')
            fleet.store.put('keyed.servers', 'old', b'')
            document = await fleet.wait_results(0, 'job', 1)
            self.assertEqual(
                gateway_harness.make_output('i1'),
                document['results'][0]['output'],
            )
            self.assertEqual(
                [1], [run.first_event for run in fleet.engines['new'].runs]
            )

        gateway_harness.run_fleet(check, engines=('old',))

    def test_item_goes_on_if_the_only_engine_of_its_version_has_failed_it(self):
        async def check(fleet):
            fleet.engines['old'].answer_faults = [_FAULT.CUT_BETWEEN_EVENTS]
            fleet.engines['old'].event_interval_ms = 50
            await fleet.submit(0, 'job', [gateway_harness.make_item('i1')])
            await gateway_harness.wait_until(lambda: fleet.engines['old'].runs)
            await fleet.start_engine('new', 'model', True, 'v2')
            document = await fleet.wait_results(0, 'job', 1)
            self.assertEqual(
                gateway_harness.make_output('i1'),
                document['results'][0]['output'],
            )

        gateway_harness.run_fleet(check, engines=('old',))

    def test_item_does_not_go_on_at_an_engine_whose_restart_is_not_listed(self):
        seen = []

        async def check(fleet):
            for engine in fleet.engines.values():
                engine.version = 'v1'
            warm = [gateway_harness.make_item(f'w{n}') for n in range(16)]
            await fleet.submit(0, 'warm', warm)
            await fleet.wait_results(0, 'warm', 16)
            await fleet.submit(
                0, 'job', [gateway_harness.make_item(f'i{n}') for n in range(8)]
            )
            for engine in fleet.engines.values():
                engine.event_interval_ms = 200
            fleet.engines['e1'].answer_faults = [_FAULT.CUT_BETWEEN_EVENTS] * 4
            await gateway_harness.wait_until(
                lambda: len(fleet.engines['e2'].runs) > 10
            )
            fleet.store_faults.begin_outage(
                faults_module.FaultMode.SILENT, 1500
            )
            restarted = await fleet.restart_engine('e2')
            restarted.version = 'v2'
            # The store is back for almost a heartbeat before it is listed.
            await trio.sleep(2.5)
            fleet.list_engine(
                'e2', 'model', fleet.addresses['e2'], version='v2', born=2
            )
            document = await fleet.wait_results(0, 'job', 8)
            seen.extend(document['results'])

        gateway_harness.run_fleet(check, engines=('e1', 'e2'))
        for result in seen:
            output = result['output']
            self.assertFalse('@v1' in output and '@v2' in output, output)
