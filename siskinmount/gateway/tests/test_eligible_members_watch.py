"""Lines on changes of the members that share batch items."""

import testtools
import trio
import trio.testing

from siskinmount.gateway import _batch_membership
from siskinmount.gateway import _eligible_members_watch
from siskinmount.gateway.tests import members as members_module

_LOGGER_NAME = 'siskinmount.gateway._eligible_members_watch'


class EligibleMembersWatchTest(testtools.TestCase):

    def _run(self, check):
        async def main():
            members = members_module.Members()
            members.membership.mark_started()
            members.follower.current_at_s = trio.current_time()
            watch = _eligible_members_watch.create_eligible_members_watch(
                members.membership, members.directory
            )
            await check(members, watch)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def _check(self, watch):
        """Returns the lines of one check."""
        with self.assertLogs(_LOGGER_NAME) as logs:
            watch.check()
        return logs.records

    def test_line_says_why_this_member_is_left_out(self):
        def change_leaving(members):
            members.membership.is_leaving = True

        def change_loaded(members):
            members.follower.is_loaded = False

        def change_reachable(members):
            members.follower.is_reachable = False

        def change_age(members):
            members.follower.current_at_s -= 3

        cases = [
            (change_leaving, 'leaving'),
            (change_loaded, 'jobs_log_not_loaded'),
            (change_reachable, 'jobs_log_unreachable'),
            (change_age, 'view_too_old'),
        ]
        for change, expected in cases:

            async def check(members, watch, change=change, expected=expected):
                await trio.sleep(_batch_membership.BATCH_AFTER_START_S + 0.1)
                members.follower.current_at_s = trio.current_time()
                members.hear('p')
                self._check(watch)
                await trio.sleep(1)
                members.follower.current_at_s = trio.current_time()
                members.hear('p')
                change(members)
                (line,) = self._check(watch)
                self.assertEqual('eligible_members_changed', line.message)
                self.assertEqual((2, 1), (line.before, line.after))
                self.assertEqual(['m'], line.removed)
                self.assertEqual(1, line.know_jobs)
                self.assertFalse(line.is_member)
                self.assertEqual(expected, line.obstacle)

            self._run(check)

    def test_member_that_starts_is_left_out(self):
        async def check(members, watch):
            members.hear('p')
            (line,) = self._check(watch)
            self.assertEqual(['p'], line.added)
            self.assertEqual('starting', line.obstacle)
            self.assertFalse(line.is_member)

        self._run(check)

    def test_changes_within_a_second_give_one_line_with_the_newest(self):
        async def check(members, watch):
            await trio.sleep(_batch_membership.BATCH_AFTER_START_S + 0.1)
            members.follower.current_at_s = trio.current_time()
            members.hear('p')
            self._check(watch)
            with self.assertNoLogs(_LOGGER_NAME):
                for name in ('q', 'r'):
                    await trio.sleep(0.3)
                    members.hear('p')
                    members.hear(name)
                    watch.check()
            await trio.sleep(0.5)
            members.hear('p')
            (line,) = self._check(watch)
            self.assertEqual((2, 4), (line.before, line.after))
            self.assertEqual(['q', 'r'], line.added)
            self.assertEqual(4, line.know_jobs)
            self.assertTrue(line.is_member)
            self.assertIsNone(line.obstacle)
            await trio.sleep(1)
            members.follower.current_at_s = trio.current_time()
            for name in ('p', 'q', 'r'):
                members.hear(name)
            with self.assertNoLogs(_LOGGER_NAME):
                watch.check()

        self._run(check)
