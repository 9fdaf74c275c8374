"""Which member may begin batch items."""

import testtools
import trio
import trio.testing

from siskinmount import keyed_log
from siskinmount import peering
from siskinmount import placement
from siskinmount.gateway import _member_duties

#: In which the end of a job must be in force at each member.
_END_OF_JOB_S = 3.0


class _Log:
    """A log whose reads go silent when told, or take long for their bytes."""

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


class MemberDutiesTest(testtools.TestCase):

    def _run(self, check, prepare=lambda log: None):
        async def main():
            evidence = placement.create_crash_evidence()
            directory = peering.create_peer_directory(
                'm',
                placement.create_load_table(),
                evidence,
                placement.create_upstream_health(evidence),
            )
            log = _Log()
            prepare(log)
            follower = keyed_log.create_log_follower(
                'jobs', log, lambda record: None
            )
            duties = _member_duties.create_member_duties(
                'm', directory, follower
            )
            duties.note_started()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(follower.run)
                await check(duties, log)
                nursery.cancel_scope.cancel()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_member_that_reads_a_quiet_log_has_duties_all_the_time(self):
        async def check(duties, log):
            await trio.sleep(_member_duties.BATCH_AFTER_START_S + 0.1)
            for _ in range(100):
                self.assertTrue(duties.knows_jobs())
                await trio.sleep(0.1)

        self._run(check)

    def test_member_whose_read_is_silent_begins_nothing_for_an_ended_job(self):
        async def check(duties, log):
            await trio.sleep(10)
            log.is_silent = True
            # The read that is under way is still answered.
            await trio.sleep(1.5)
            await trio.sleep(_END_OF_JOB_S - 0.5)
            self.assertFalse(duties.knows_jobs())

        self._run(check)

    def test_member_that_reads_for_long_is_behind_until_it_has_read_on(self):
        # Found by a hunt on the grown deployment: a member that had started on
        # a slow link had read all jobs after 3.8 s, and began an item 4.3 s
        # after the end of its job had been acknowledged.
        def prepare(log):
            log.load_s = 3.0
            for offset in range(3):
                log.backlog.append(
                    keyed_log.KeyedRecord('k', b'x' * 50_000, offset)
                )

        async def check(duties, log):
            await trio.sleep(3.1)
            # All was read, as it was three seconds ago.
            self.assertFalse(duties.knows_jobs())
            await trio.sleep(3.0)
            # What had come meanwhile is here, and was as long on the way.
            self.assertFalse(duties.knows_jobs())
            await trio.sleep(1.5)
            self.assertTrue(duties.knows_jobs())

        self._run(check, prepare)

    def test_first_moments_and_a_planned_stop(self):
        async def check(duties, log):
            await trio.sleep(_member_duties.BATCH_AFTER_START_S / 2)
            self.assertFalse(duties.knows_jobs())
            await trio.sleep(_member_duties.BATCH_AFTER_START_S)
            self.assertTrue(duties.knows_jobs())
            duties.is_leaving = True
            self.assertFalse(duties.knows_jobs())

        self._run(check)
