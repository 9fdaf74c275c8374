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
    """Loads at once or when told to; may check fencing numbers."""

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


class Bench:
    """One sidecar's part in changes, on a shared log."""

    def __init__(self, log, vm_list, vm, incarnation=1, fenced=False):
        runner = test_request_runner.Bench()
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
        self.changer.set_wanted(
            _model_changer.WantedModel(
                model='m', version=version, max_changing=max_changing
            )
        )


class OrdersTest(testtools.TestCase):

    def run_benches(self, check, vms=('v1', 'v2', 'v3'), **keywords):
        async def main():
            log = fake_log.FakeLog()
            vm_list = FakeVmList(*vms)
            benches = [Bench(log, vm_list, vm, **keywords) for vm in vms]
            async with trio.open_nursery() as nursery:
                for bench in benches:
                    await bench.monitor.check()
                    nursery.start_soon(bench.changer.run)
                await check(log, vm_list, benches)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_one_upstream_changes_at_a_time(self):
        async def check(log, vm_list, benches):
            for bench in benches:
                bench.want('2')
            changed = 0
            while changed < 3:
                await trio.sleep(5)
                loading = [b for b in benches if not b.engine.state.ready]
                self.assertEqual(1, len(loading))
                self.assertTrue(loading[0].gate.paused)
                loading[0].engine.finish_load()
                changed += 1
            await trio.sleep(5)
            for bench in benches:
                self.assertEqual('2', bench.changer.version)
                self.assertFalse(bench.gate.paused)
                self.assertEqual(1, len(bench.engine.orders))

        self.run_benches(check)

    def test_fencing_numbers_rise(self):
        async def check(log, vm_list, benches):
            for version in '234':
                benches[0].want(version)
                await trio.sleep(5)
                benches[0].engine.finish_load()
                await trio.sleep(5)
            fences = [fence for fence, _ in benches[0].engine.orders]
            self.assertEqual(sorted(set(fences)), fences)
            self.assertEqual(3, len(fences))

        self.run_benches(check, vms=('v1',))

    def test_engine_is_emptied_first(self):
        async def check(log, vm_list, benches):
            bench = benches[0]
            async with trio.open_nursery() as nursery:
                running = bench.runner.registry.add(
                    test_request_runner.fakes.create_run_request('r', True, 99)
                )
                nursery.start_soon(bench.runner.runner.run, running)
                bench.want('2')
                await trio.sleep(5)
                self.assertEqual([], bench.engine.orders)
                refusal = bench.gate.find_refusal()
                self.assertIs(results.RunState.NOT_RUN, refusal.run_state)
                await running.wait_ended()
                self.assertIsNone(running.failure)
                await trio.sleep(5)
            self.assertEqual(1, len(bench.engine.orders))
            self.assertEqual(0, bench.engine.running_at_order)

        self.run_benches(check, vms=('v1',))

    def test_superseded_process_gives_no_order(self):
        async def check(log, vm_list, benches):
            old = benches[0]
            permit = await old.permits.acquire(1)
            successor = Bench(log, vm_list, 'v1', incarnation=2)
            newer = await successor.permits.acquire(1)
            self.assertGreater(newer.fence, permit.fence)
            self.assertFalse(await old.permits.is_current(permit))
            self.assertTrue(await successor.permits.is_current(newer))

        self.run_benches(check)

    def test_lost_answer_of_the_log_opens_one_request(self):
        for fault in ('answers_lost', 'appends_dropped'):

            async def check(log, vm_list, benches, fault=fault):
                setattr(log, fault, 1)
                permit = await benches[0].permits.acquire(1)
                self.assertTrue(await benches[0].permits.is_current(permit))
                self.assertEqual(1, log.append_count)

            self.run_benches(check)

    def test_outage_of_the_log_holds_changes_back(self):
        async def check(log, vm_list, benches):
            log.is_down = True
            benches[0].want('2')
            await trio.sleep(60)
            self.assertEqual([], benches[0].engine.orders)
            self.assertFalse(benches[0].gate.paused)
            log.is_down = False
            await trio.sleep(10)
            self.assertEqual(1, len(benches[0].engine.orders))

        self.run_benches(check)

    def test_permit_of_a_lost_vm_is_revoked(self):
        async def check(log, vm_list, benches):
            await benches[0].permits.acquire(1)
            benches[1].want('2')
            await trio.sleep(60)
            self.assertEqual([], benches[1].engine.orders)
            vm_list.vms.remove('v1')
            await trio.sleep(60)
            self.assertEqual(1, len(benches[1].engine.orders))

        self.run_benches(check)

    def test_restarted_process_releases_its_predecessors_permit(self):
        async def check(log, vm_list, benches):
            old = Bench(log, vm_list, 'v1', incarnation=0)
            await old.permits.acquire(1)
            benches[0].want('1')
            benches[1].want('2')
            await trio.sleep(10)
            self.assertEqual(1, len(benches[1].engine.orders))

        self.run_benches(check)

    def test_stale_order_is_given_up(self):
        async def check(log, vm_list, benches):
            bench = benches[0]
            bench.engine.newest_fence = 3
            bench.want('2')
            await trio.sleep(20)
            # The numbers rise with each request until the engine accepts.
            self.assertEqual([(3, '2')], bench.engine.orders)

        self.run_benches(check, vms=('v1',), fenced=True)
