"""Tests of change permits and of orders to the engine."""

import testtools
import trio
import trio.testing

from siskinmount import backing_services
from siskinmount import results
from siskinmount.backing_services.tests import fake_log
from siskinmount.sidecar import _change_permits
from siskinmount.sidecar import _engine_orders
from siskinmount.sidecar import _model_changer
from siskinmount.sidecar.tests import test_request_runner


class FakeVmList:

    def __init__(self, *vms):
        self.vms = list(vms)

    async def fetch(self):
        return [
            backing_services.VmEntry(
                vm=vm,
                role='sidecar',
                peers_address='127.0.0.1:1',
                control_address='127.0.0.1:2',
            )
            for vm in self.vms
        ]


class FakeEngine:
    """Engine that loads until `finish_load`; can check fencing tokens."""

    def __init__(self, fenced=False):
        self.state = _engine_orders.EngineState(
            ready=True, model='m', version='1'
        )
        self.fenced = fenced
        self.newest_fence = 0
        self.orders = []
        self.running_at_order = None
        self.gate = None

    async def get_state(self):
        return self.state

    async def load(self, fence, model, version):
        if self.fenced and fence < self.newest_fence:
            return results.Failure(results.ResultCode.STALE_ORDER, '')
        self.newest_fence = max(self.newest_fence, fence)
        self.orders.append((fence, version))
        self.running_at_order = self.gate.count_running()
        self.state = _engine_orders.EngineState(
            ready=False, model=model, version=version
        )
        return None

    def finish_load(self):
        self.state = _engine_orders.EngineState(
            ready=True, model=self.state.model, version=self.state.version
        )


class ChangerHarness:
    """A model changer with its permits, on a shared log."""

    def __init__(self, log, vm_list, vm, incarnation=1, fenced=False):
        runner = test_request_runner.RunnerHarness()
        self.monitor = runner.monitor
        self.gate = runner.gate
        self.runner = runner
        self.engine = FakeEngine(fenced)
        self.engine.gate = self.gate
        self.permits = _change_permits.create_log_change_permits(
            log=log,
            vm_list=vm_list,
            service='s',
            vm=vm,
            incarnation=incarnation,
        )
        self.changer = _model_changer.ModelChanger(
            gate=self.gate,
            monitor=self.monitor,
            engine=self.engine,
            permits=self.permits,
        )

    def want(self, version, max_changing=1):
        self.changer.set_desired(
            _model_changer.DesiredModel(
                model='m', version=version, max_changing=max_changing
            )
        )


class OrdersTest(testtools.TestCase):

    def run_harnesses(self, check, vms=('v1', 'v2', 'v3'), **keywords):
        async def main():
            log = fake_log.FakeLog()
            vm_list = FakeVmList(*vms)
            harnesses = [
                ChangerHarness(log, vm_list, vm, **keywords) for vm in vms
            ]
            async with trio.open_nursery() as nursery:
                for harness in harnesses:
                    await harness.monitor.check()
                    nursery.start_soon(harness.changer.run)
                await check(log, vm_list, harnesses)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_one_upstream_changes_at_a_time(self):
        async def check(log, vm_list, harnesses):
            for harness in harnesses:
                harness.want('2')
            changed = 0
            while changed < 3:
                await trio.sleep(5)
                loading = [b for b in harnesses if not b.engine.state.ready]
                self.assertEqual(1, len(loading))
                self.assertTrue(loading[0].gate.paused)
                loading[0].engine.finish_load()
                changed += 1
            await trio.sleep(5)
            for harness in harnesses:
                self.assertEqual('2', harness.changer.version)
                self.assertFalse(harness.gate.paused)
                self.assertEqual(1, len(harness.engine.orders))

        self.run_harnesses(check)

    def test_fencing_tokens_increase(self):
        async def check(log, vm_list, harnesses):
            for version in '234':
                harnesses[0].want(version)
                await trio.sleep(5)
                harnesses[0].engine.finish_load()
                await trio.sleep(5)
            fences = [fence for fence, _ in harnesses[0].engine.orders]
            self.assertEqual(sorted(set(fences)), fences)
            self.assertEqual(3, len(fences))

        self.run_harnesses(check, vms=('v1',))

    def test_engine_is_drained_before_the_order(self):
        async def check(log, vm_list, harnesses):
            harness = harnesses[0]
            async with trio.open_nursery() as nursery:
                running = harness.runner.registry.add(
                    test_request_runner.fakes.create_run_request('r', True, 99)
                )
                nursery.start_soon(harness.runner.runner.run, running)
                harness.want('2')
                await trio.sleep(5)
                self.assertEqual([], harness.engine.orders)
                refusal = harness.gate.find_refusal()
                self.assertIs(results.RunState.NOT_RUN, refusal.run_state)
                await running.wait_ended()
                self.assertIsNone(running.failure)
                await trio.sleep(5)
            self.assertEqual(1, len(harness.engine.orders))
            self.assertEqual(0, harness.engine.running_at_order)

        self.run_harnesses(check, vms=('v1',))

    def test_permit_of_a_superseded_process_is_not_current(self):
        async def check(log, vm_list, harnesses):
            old = harnesses[0]
            permit = await old.permits.acquire(1)
            successor = ChangerHarness(log, vm_list, 'v1', incarnation=2)
            newer = await successor.permits.acquire(1)
            self.assertGreater(newer.fence, permit.fence)
            self.assertFalse(await old.permits.is_current(permit))
            self.assertTrue(await successor.permits.is_current(newer))

        self.run_harnesses(check)

    def test_faulty_append_opens_one_request(self):
        for fault in ('answers_lost', 'appends_dropped'):

            async def check(log, vm_list, harnesses, fault=fault):
                setattr(log, fault, 1)
                permit = await harnesses[0].permits.acquire(1)
                self.assertTrue(await harnesses[0].permits.is_current(permit))
                self.assertEqual(1, log.append_count)

            self.run_harnesses(check)

    def test_log_outage_delays_changes(self):
        async def check(log, vm_list, harnesses):
            log.is_down = True
            harnesses[0].want('2')
            await trio.sleep(60)
            self.assertEqual([], harnesses[0].engine.orders)
            self.assertFalse(harnesses[0].gate.paused)
            log.is_down = False
            await trio.sleep(10)
            self.assertEqual(1, len(harnesses[0].engine.orders))

        self.run_harnesses(check)

    def test_permit_of_a_removed_vm_is_revoked(self):
        async def check(log, vm_list, harnesses):
            await harnesses[0].permits.acquire(1)
            harnesses[1].want('2')
            await trio.sleep(60)
            self.assertEqual([], harnesses[1].engine.orders)
            vm_list.vms.remove('v1')
            await trio.sleep(60)
            self.assertEqual(1, len(harnesses[1].engine.orders))

        self.run_harnesses(check)

    def test_restarted_process_releases_its_predecessors_permit(self):
        async def check(log, vm_list, harnesses):
            old = ChangerHarness(log, vm_list, 'v1', incarnation=0)
            await old.permits.acquire(1)
            harnesses[0].want('1')
            harnesses[1].want('2')
            await trio.sleep(10)
            self.assertEqual(1, len(harnesses[1].engine.orders))

        self.run_harnesses(check)

    def test_stale_order_is_retried_with_a_newer_token(self):
        async def check(log, vm_list, harnesses):
            harness = harnesses[0]
            harness.engine.newest_fence = 3
            harness.want('2')
            await trio.sleep(20)
            # Each request gets a higher token until the engine accepts one.
            self.assertEqual([(3, '2')], harness.engine.orders)

        self.run_harnesses(check, vms=('v1',), fenced=True)
