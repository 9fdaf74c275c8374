"""Items that the result writer shows as being written or handed over."""

import testtools
import trio
import trio.testing

from siskinmount import jobs
from siskinmount.gateway import _batch_membership
from siskinmount.gateway import _result_writer
from siskinmount.gateway.tests import members as members_module
from siskinmount.jobs.tests import fake_table
from siskinmount.jobs.tests import test_job_ledger


class _Table(fake_table.FakeTable):

    def __init__(self):
        super().__init__(test_job_ledger.make_job('a', 1))


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

    def _hand_over_two(self, hand_over, check):
        """Hands the output of two items over, with `m` left out."""

        async def main():
            members = members_module.Members()
            scheduler = jobs.create_item_scheduler(
                _Table(),
                'm',
                members.membership.list_eligible_members,
                members.membership.list_peer_items,
            )
            writer = _result_writer.create_result_writer(
                members.membership,
                scheduler,
                _Ledger(),
                lambda *args: hand_over(members, *args),
                4096,
            )
            for tag in ('a', 'b'):
                scheduler.get_progress(tag).events = ['x']
            members.membership.is_leaving = True
            members.hear('p')
            await check(writer, scheduler)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_output_is_kept_once_the_member_is_eligible_again(self):
        async def hand_over(members, tag, progress, member):
            members.membership.is_leaving = False
            members.membership.mark_started()
            await trio.sleep(_batch_membership.BATCH_AFTER_START_S + 0.1)
            members.follower.current_at_s = trio.current_time()
            members.hear('p')
            return True

        async def check(writer, scheduler):
            await writer.hand_over_pending()
            self.assertEqual(1, len(scheduler.list_kept_tags()))

        self._hand_over_two(hand_over, check)

    def test_handover_that_raises_gives_up_its_claim(self):
        async def hand_over(members, tag, progress, member):
            raise ValueError('a fault of the program')

        async def check(writer, scheduler):
            with self.assertRaises(ValueError):
                await writer.hand_over_pending()
            self.assertEqual(set(), scheduler.held_tags)

        self._hand_over_two(hand_over, check)
