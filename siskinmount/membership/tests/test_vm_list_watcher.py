"""Tests of the VM list watcher."""

import testtools
import trio
import trio.testing

from siskinmount import backing_services
from siskinmount import membership
from siskinmount import results
from siskinmount.membership.tests import sample_members


class _VmList:

    def __init__(self, answers):
        self._answers = answers

    async def fetch(self):
        return self._answers.pop(0) if self._answers else []


class _Observer:

    def describe_self(self):
        return sample_members.create_member('e9')


def _list_vm(
    vm, role, state=backing_services.VmState.LIVE, address='127.0.0.1:9'
):
    return backing_services.VmEntry(
        vm=vm,
        role=role,
        peers_address='127.0.0.1:8',
        control_address=address,
        state=state,
    )


class VmListWatcherTest(testtools.TestCase):

    def test_list_updates_table_and_sender(self):
        async def main():
            table = membership.create_member_table()
            sender = membership.create_heartbeat_sender(table, _Observer(), [])
            source = _VmList(
                [
                    results.Failure(
                        results.ResultCode.VM_LIST_UNAVAILABLE, 'down'
                    ),
                    [
                        _list_vm('e1', 'entry'),
                        _list_vm('e2', 'entry', address='nowhere'),
                        _list_vm(
                            's1', 'sidecar', backing_services.VmState.LEAVING
                        ),
                    ],
                ]
            )
            watcher = membership.create_vm_list_watcher(source, table, sender)
            async with trio.open_nursery() as nursery:
                await nursery.start(watcher.run)
                await trio.sleep(1)
                table.apply_heartbeat(sample_members.create_member('s1'))
                self.assertIs(
                    membership.MemberState.LIVE, table.find('s1').state
                )
                await trio.sleep(1.5)
                self.assertIs(
                    membership.MemberState.LEAVING, table.find('s1').state
                )
                self.assertEqual(
                    ['127.0.0.1:9'],
                    [str(address) for address in sender.choose_peers()],
                )
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
