"""Selection of items to start, and output handed over by other members."""

import testtools
import trio
import trio.testing

from siskinmount import jobs
from siskinmount.jobs.tests import fake_table
from siskinmount.jobs.tests import test_job_ledger


class _Table(fake_table.FakeTable):
    """A table of jobs without a log."""

    def __init__(self, *names):
        super().__init__()
        for offset, name in enumerate(names):
            job = test_job_ledger.make_job(name, 4)
            job.offset = offset
            self.jobs[name] = job


class ItemSchedulerTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            check()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def _create(self, table, member='m', members=('m',), peer_items=None):
        nothing = jobs.PeerItems(set(), {})
        return jobs.create_item_scheduler(
            table, member, lambda: list(members), lambda: peer_items or nothing
        )

    def _list(self, scheduler, free):
        return [
            (found.job.job_id, found.item.item_id)
            for found in scheduler.iterate_next(lambda route: free)
        ]

    def test_members_share_the_oldest_items_without_a_gap(self):
        def check():
            table = _Table('a', 'b')
            members = ('m', 'n', 'o')
            found = []
            for member in members:
                scheduler = self._create(table, member, members)
                found.extend(self._list(scheduler, 5))
            expected = [('a', f'i{n}') for n in range(4)] + [('b', 'i0')]
            self.assertEqual(expected, sorted(found))

        self._run(check)

    def test_items_held_or_kept_by_peers_are_skipped(self):
        def check():
            table = _Table('a')
            tags = [jobs.make_tag('a', f'i{n}') for n in range(4)]
            peer_items = jobs.PeerItems({tags[0]}, {tags[1]: 'n'})
            scheduler = self._create(table, peer_items=peer_items)
            scheduler.get_progress(tags[2]).back_off(1)
            self.assertEqual([('a', 'i3')], self._list(scheduler, 9))

        self._run(check)

    def test_items_that_back_off_take_no_slot_from_later_ones(self):
        def check():
            scheduler = self._create(_Table('a'))
            for n in range(2):
                tag = jobs.make_tag('a', f'i{n}')
                scheduler.get_progress(tag).back_off(1)
            found = self._list(scheduler, 1)
            self.assertIn(('a', 'i2'), found)
            self.assertNotIn(('a', 'i3'), found)

        self._run(check)

    def test_complete_item_is_listed_without_a_free_slot(self):
        def check():
            scheduler = self._create(_Table('a'))
            progress = scheduler.get_progress(jobs.make_tag('a', 'i2'))
            progress.events = ['x']
            progress.is_complete = True
            self.assertEqual([('a', 'i2')], self._list(scheduler, 0))

        self._run(check)

    def test_member_with_output_continues_the_items(self):
        def check():
            table = _Table('a')
            scheduler = self._create(table, 'm', ('m', 'n'))
            for n in range(4):
                tag = jobs.make_tag('a', f'i{n}')
                scheduler.get_progress(tag).events = ['x']
            self.assertEqual(4, len(self._list(scheduler, 9)))

        self._run(check)

    def test_member_outside_the_live_members_starts_nothing(self):
        def check():
            scheduler = self._create(_Table('a'), 'm', ('n',))
            self.assertEqual([], self._list(scheduler, 9))

        self._run(check)

    def test_longer_output_wins_at_handover(self):
        cases = [
            # Own events, given events, whether the item runs here, result.
            (0, 3, False, 3),
            (3, 2, False, 3),
            (1, 3, True, 3),
            (3, 2, True, 3),
        ]
        for own, given, is_held, expected in cases:

            def check(own=own, given=given, is_held=is_held, expected=expected):
                scheduler = self._create(_Table('a'))
                tag = jobs.make_tag('a', 'i0')
                scheduler.get_progress(tag).events = ['x'] * own
                if is_held:
                    scheduler.held_tags.add(tag)
                handed = jobs.ItemProgress()
                handed.events = ['x'] * given
                scheduler.accept_handover(tag, handed)
                if is_held:
                    self.assertEqual(
                        own, len(scheduler.get_progress(tag).events)
                    )
                    scheduler.release(tag)
                self.assertEqual(
                    expected, len(scheduler.get_progress(tag).events)
                )

            self._run(check)

    def test_handover_returns_what_became_of_the_output(self):
        outcome = jobs.HandoverOutcome
        cases = [
            # Own events, given events, whether the item runs here, outcome.
            (0, 3, False, outcome.STORED),
            (1, 3, True, outcome.KEPT_FOR_RUNNING_ITEM),
            (3, 3, False, outcome.SHORTER_THAN_OWN),
            (3, 2, True, outcome.SHORTER_THAN_OWN),
        ]
        for own, given, is_held, expected in cases:

            def check(own=own, given=given, is_held=is_held, expected=expected):
                scheduler = self._create(_Table('a'))
                tag = jobs.make_tag('a', 'i0')
                scheduler.get_progress(tag).events = ['x'] * own
                if is_held:
                    scheduler.held_tags.add(tag)
                handed = jobs.ItemProgress()
                handed.events = ['x'] * given
                self.assertIs(expected, scheduler.accept_handover(tag, handed))

            self._run(check)

    def test_start_times_of_closed_items_are_dropped(self):
        def check():
            table = _Table('a')
            scheduler = self._create(table)
            for n in range(2):
                scheduler.started_at_s[jobs.make_tag('a', f'i{n}')] = 1.0
            del table.jobs['a'].open_items['i0']
            scheduler.forget_closed()
            self.assertEqual(
                {jobs.make_tag('a', 'i1'): 1.0}, scheduler.started_at_s
            )

        self._run(check)
