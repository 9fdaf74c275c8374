"""Tests of the assignment of streams to entries."""

import testtools
import trio
import trio.testing

from siskinmount import results
from siskinmount import state
from siskinmount.backing_services.tests import fake_log
from siskinmount.state.tests import stream_fixtures

STREAMS = state.state_stream_names(6)


class _Shard:

    def __init__(self, name, log, writer, is_live):
        self.stream = state.create_state_stream(
            name,
            log,
            writer,
            stream_fixtures.limits(),
            is_live,
            stream_fixtures.clock_ms,
        )
        self.runs = 0

    async def run(self):
        self.runs += 1
        await trio.sleep_forever()


class OwnershipManagerTest(testtools.TestCase):

    def run_with_members(self, check):
        async def main():
            self.log = fake_log.FakeLog()
            self.live = ['vm-a', 'vm-b', 'vm-c']
            async with trio.open_nursery() as nursery:
                self.managers = {
                    vm: self.create_manager(vm) for vm in self.live
                }
                for manager in self.managers.values():
                    nursery.start_soon(manager.run)
                await trio.sleep(20)
                await check()
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def create_manager(self, vm):
        writer = stream_fixtures.new_writer(vm)
        return state.create_ownership_manager(
            STREAMS,
            vm,
            lambda: list(self.live),
            lambda name: _Shard(
                name, self.log, writer, lambda other: other in self.live
            ),
        )

    def owners(self):
        return {
            name: [
                vm
                for vm, manager in self.managers.items()
                if not isinstance(manager.find_shard(name), results.Failure)
            ]
            for name in STREAMS
        }

    def assert_owned_by_rendezvous(self):
        for name, owners in self.owners().items():
            self.assertEqual([state.owner_of(name, self.live)], owners)

    def test_each_stream_has_the_owner_known_to_all_entries(self):
        async def check():
            self.assert_owned_by_rendezvous()
            for name in STREAMS:
                owner = state.owner_of(name, self.live)
                other = next(vm for vm in self.live if vm != owner)
                failure = self.managers[other].find_shard(name)
                self.assertEqual(results.ResultCode.NOT_OWNER, failure.code)
                self.assertEqual(owner, self.managers[other].owner_vm(name))

        self.run_with_members(check)

    def test_membership_changes_reassign_streams(self):
        async def check():
            before = self.owners()
            self.live.remove('vm-a')
            await trio.sleep(20)
            self.assert_owned_by_rendezvous()
            for name, owners in self.owners().items():
                if before[name] != ['vm-a']:
                    self.assertEqual(before[name], owners)
            self.live.append('vm-a')
            await trio.sleep(20)
            self.assert_owned_by_rendezvous()

        self.run_with_members(check)

    def test_stopping_entry_releases_its_streams(self):
        async def check():
            stopping = self.managers['vm-b']
            self.live.remove('vm-b')
            stopping.stop()
            await trio.sleep(20)
            self.assertEqual([], stopping.owned_shards())
            del self.managers['vm-b']
            self.assert_owned_by_rendezvous()

        self.run_with_members(check)

    def test_stop_returns_while_the_log_is_down(self):
        async def main():
            self.log = fake_log.FakeLog()
            self.live = ['vm-a']
            manager = self.create_manager('vm-a')
            async with trio.open_nursery() as nursery:
                nursery.start_soon(manager.run)
                await trio.sleep(5)
                self.log.is_down = True
                manager.stop()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
