"""Items that the result writer shows as being written or handed over."""

import testtools
import trio
import trio.testing

from siskinmount import jobs
from siskinmount.gateway import _result_writer
from siskinmount.gateway.tests import members as members_module
from siskinmount.jobs.tests import test_job_ledger


class _Table:

    def __init__(self):
        self.jobs = {'a': test_job_ledger.make_job('a', 1)}


class _Ledger:
    """A ledger whose operations never finish."""

    def submit(self, operation):
        pass

    def withdraw(self, operation):
        pass


class ResultWriterTest(testtools.TestCase):

    def test_item_given_up_is_left_to_members_that_reach_the_store(self):
        # Guards against a claim that lasts as long as the store is out of reach.
        ended = []

        async def main():
            members = members_module.Members()
            members.membership.mark_started()
            members.hear('p')
            table = _Table()
            scheduler = jobs.create_item_scheduler(
                table,
                'm',
                members.membership.list_eligible_members,
                members.membership.list_peer_items,
            )
            writer = _result_writer.create_result_writer(
                members.membership, scheduler, _Ledger(), None, 4096
            )
            job = table.jobs['a']
            next_item = jobs.NextItem(job, job.items[0])
            members.membership.is_leaving = True
            with trio.move_on_after(30):
                await writer.write_given_up(next_item, 'tag', 'status 422')
                ended.append(trio.current_time())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
        self.assertEqual(1, len(ended))

    def test_tags_of_a_cancelled_write_and_handover_are_removed(self):
        async def hand_over(tag, progress, member):
            await trio.sleep_forever()

        async def main():
            members = members_module.Members()
            table = _Table()
            scheduler = jobs.create_item_scheduler(
                table,
                'm',
                members.membership.list_eligible_members,
                members.membership.list_peer_items,
            )
            writer = _result_writer.create_result_writer(
                members.membership, scheduler, _Ledger(), hand_over, 4096
            )
            job = table.jobs['a']
            next_item = jobs.NextItem(job, job.items[0])
            tag = jobs.make_tag('a', 'i0')
            scheduler.get_progress(tag).events = ['x']
            members.membership.is_leaving = True
            async with trio.open_nursery() as nursery:
                nursery.start_soon(writer.write_complete, next_item, tag)
                await trio.sleep(0.1)
                self.assertEqual({tag}, writer.writing_tags)
                self.assertEqual(set(), writer.handing_over_tags)
                members.hear('p')
                await trio.sleep(_result_writer.WRITE_WAIT_S)
                self.assertEqual({tag}, writer.handing_over_tags)
                nursery.cancel_scope.cancel()
            self.assertEqual(set(), writer.writing_tags)
            self.assertEqual(set(), writer.handing_over_tags)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
