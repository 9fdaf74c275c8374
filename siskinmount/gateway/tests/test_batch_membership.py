"""Tests of which member may start batch items."""

import testtools
import trio
import trio.testing

from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import placement
from siskinmount.gateway import _batch_membership
from siskinmount.gateway.tests import members as members_module

#: Time within which each member must stop the items of an ended job.
_END_OF_JOB_S = 3.0


class _Log:
    """A fake log whose reads can hang, or take `load_s` to transfer records."""

    def __init__(self):
        self.is_silent = False
        self.load_s = 0.0
        self.backlog = []

    async def read(self, offset, wait_ms):
        if self.is_silent:
            await trio.sleep_forever()
        if offset < len(self.backlog):
            await trio.sleep(self.load_s)
            return keyed_log.LogPage(self.backlog[offset:], len(self.backlog))
        await trio.sleep(wait_ms / 1000)
        return keyed_log.LogPage([], offset)

    async def read_newest(self):
        await trio.sleep(self.load_s)
        return keyed_log.LogPage([], 0)


class BatchMembershipTest(testtools.TestCase):

    def _run(self, check, prepare=lambda log: None):
        async def main():
            crash_tracker = placement.create_crash_tracker()
            directory = peering.create_peer_directory(
                'm',
                placement.create_load_table(),
                crash_tracker,
                placement.create_upstream_health(crash_tracker),
            )
            log = _Log()
            prepare(log)
            follower = keyed_log.create_log_follower(
                'jobs', log, lambda record: None
            )
            membership = _batch_membership.create_batch_membership(
                'm', directory, follower
            )
            membership.mark_started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                await check(membership, log)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_member_that_reads_an_idle_log_always_has_current_jobs(self):
        async def check(membership, log):
            await trio.sleep(_batch_membership.BATCH_AFTER_START_S + 0.1)
            for _ in range(100):
                self.assertTrue(membership.has_current_jobs())
                await trio.sleep(0.1)

        self._run(check)

    def test_member_whose_read_hangs_starts_no_item_of_an_ended_job(self):
        async def check(membership, log):
            await trio.sleep(10)
            log.is_silent = True
            # The read in progress is still answered.
            await trio.sleep(1.5)
            await trio.sleep(_END_OF_JOB_S - 0.5)
            self.assertFalse(membership.has_current_jobs())

        self._run(check)

    def test_member_that_loads_slowly_is_behind_until_the_next_read(self):
        # Guards against starting an item of an ended job: a member on a slow
        # link had loaded all jobs after 3.8 s, and started an item 4.3 s after
        # the end of its job had been acknowledged.
        def prepare(log):
            log.load_s = 3.0
            for offset in range(3):
                log.backlog.append(
                    keyed_log.KeyedRecord('k', b'x' * 50_000, offset)
                )

        async def check(membership, log):
            await trio.sleep(3.1)
            # All has been read, but the data is three seconds old.
            self.assertFalse(membership.has_current_jobs())
            await trio.sleep(3.0)
            # The records written meanwhile have arrived, but are as old.
            self.assertFalse(membership.has_current_jobs())
            await trio.sleep(1.5)
            self.assertTrue(membership.has_current_jobs())

        self._run(check, prepare)

    def test_start_delay_and_graceful_shutdown(self):
        async def check(membership, log):
            await trio.sleep(_batch_membership.BATCH_AFTER_START_S / 2)
            self.assertFalse(membership.has_current_jobs())
            await trio.sleep(_batch_membership.BATCH_AFTER_START_S)
            self.assertTrue(membership.has_current_jobs())
            membership.is_leaving = True
            self.assertFalse(membership.has_current_jobs())

        self._run(check)

    def test_obstacle_says_why_there_are_no_current_jobs(self):
        async def check(membership, log):
            obstacle = _batch_membership.Obstacle
            self.assertIs(obstacle.STARTING, membership.find_obstacle())
            self.assertIsNone(membership.get_view_age_ms())
            await trio.sleep(_batch_membership.BATCH_AFTER_START_S + 0.1)
            self.assertIsNone(membership.find_obstacle())
            log.is_silent = True
            await trio.sleep(5)
            self.assertIs(obstacle.VIEW_TOO_OLD, membership.find_obstacle())
            self.assertGreater(membership.get_view_age_ms(), 2200)
            membership.is_leaving = True
            self.assertIs(obstacle.LEAVING, membership.find_obstacle())

        self._run(check)

    def test_member_that_stays_ineligible_hands_its_output_over(self):
        # Guards against output that is kept by a member that may start nothing.
        def load(follower):
            follower.is_loaded = False

        def lose(follower):
            follower.is_reachable = False

        def let_view_age(follower):
            follower.current_at_s = float('-inf')

        for make_ineligible in (load, lose, let_view_age):

            async def main(make_ineligible=make_ineligible):
                members = members_module.Members()
                members.membership.mark_started()
                await trio.sleep(_batch_membership.BATCH_AFTER_START_S + 0.1)
                members.follower.current_at_s = trio.current_time()
                members.hear('p')
                self.assertFalse(members.membership.must_hand_over())
                make_ineligible(members.follower)
                self.assertFalse(members.membership.must_hand_over())
                for _ in range(6):
                    await trio.sleep(0.5)
                    members.hear('p')
                    must_hand_over = members.membership.must_hand_over()
                self.assertTrue(must_hand_over, make_ineligible)

            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_items_start_when_others_know_that_the_member_is_eligible(self):
        # Guards against two members that both start an item.
        async def main():
            members = members_module.Members()
            members.directory.message_delay_s = 0.15
            members.membership.mark_started()
            found = []
            for _ in range(3):
                await trio.sleep(
                    _batch_membership.BATCH_AFTER_START_S if not found else 0.35
                )
                members.follower.current_at_s = trio.current_time()
                await trio.sleep(0.01)
                found.append(
                    (
                        members.membership.has_current_jobs(),
                        members.membership.may_start_items(),
                    )
                )
            self.assertEqual(
                [(True, False), (True, False), (True, True)], found
            )

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
