"""Outcomes of operations on jobs when appends fail or take effect late."""

import testtools
import trio
import trio.testing

from siskinmount import jobs
from siskinmount import keyed_log
from siskinmount import results
from siskinmount.jobs.tests import scripted_log

_MAX_RECORD_BYTES = 4096
_MAX_CALL_BYTES = 16_384


def make_job(job_id, item_count=2, tokens=10, body=b'b'):
    """Returns a job with items i0, i1, and so on."""
    return jobs.Job(
        job_id=job_id,
        route_name='r',
        host='h',
        accepted_at_ms=0,
        items=[
            jobs.JobItem(f'i{n}', f'/p/{n}', [('x-a', 'b')], body, tokens)
            for n in range(item_count)
        ],
    )


class Member:
    """A ledger with its own view of a shared log."""

    def __init__(self, log):
        self.table = jobs.create_job_table()
        self.follower = keyed_log.create_log_follower(
            'jobs', log, self.table.apply_record
        )
        self.ledger = jobs.create_job_ledger(
            log, self.follower, self.table, _MAX_CALL_BYTES
        )

    async def accept(self, job, quota=0, time_s=5.0):
        """Submits a job."""
        return await self.ledger.write(
            jobs.AcceptJob(
                job, quota, _MAX_RECORD_BYTES, trio.current_time() + time_s
            )
        )

    async def list_result(self, job_id, item_id, output='o'):
        """Lists a result."""
        return await self.ledger.write(
            jobs.AppendResult(
                job_id,
                jobs.ItemResult(item_id, jobs.ItemState.DONE, output),
                _MAX_RECORD_BYTES,
            )
        )


def run_members(count, check):
    """Runs `check(log, members)` while the ledgers of all members run."""

    async def main():
        log = scripted_log.ScriptedLog()
        members = [Member(log) for _ in range(count)]
        async with trio.open_nursery() as nursery:
            for member in members:
                nursery.start_soon(member.ledger.run)
            with trio.fail_after(1000):
                await check(log, members)
            nursery.cancel_scope.cancel()

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class JobLedgerTest(testtools.TestCase):

    def test_second_submission_is_not_accepted_before_the_first(self):
        # Regression test: a caller that submitted the job again while its first
        # attempt waited for the store was told that the job was accepted.
        seen = []

        async def check(log, members):
            log.outcomes = [scripted_log.REFUSED] * 100

            async def submit(time_s):
                seen.append(
                    await members[0].accept(make_job('j'), time_s=time_s)
                )

            async with trio.open_nursery() as nursery:
                nursery.start_soon(submit, 2.0)
                await trio.sleep(0.1)
                nursery.start_soon(submit, 3.0)
            await members[0].follower.sync()
            seen.append(list(members[0].table.jobs))

        run_members(1, check)
        first, second, known = seen
        self.assertIsInstance(first, results.Failure)
        self.assertIsInstance(second, results.Failure)
        self.assertEqual(results.RunState.NOT_RUN, second.run_state)
        self.assertEqual([], known)

    def test_outcomes_of_an_acceptance(self):
        cases = [
            # Outcomes of the appends, outcome, whether the log has the job.
            ([], jobs.WriteOutcome.DONE, True),
            ([scripted_log.REFUSED], jobs.WriteOutcome.DONE, True),
            ([scripted_log.LOST], jobs.WriteOutcome.DONE, True),
            (['late'], jobs.WriteOutcome.DONE, True),
            (['late', scripted_log.LOST], jobs.WriteOutcome.DONE, True),
            ([scripted_log.REFUSED] * 99, results.RunState.NOT_RUN, False),
            (['late'] * 99, results.RunState.UNKNOWN, False),
        ]
        for outcomes, expected, is_held in cases:
            seen = []

            async def check(log, members, outcomes=outcomes, seen=seen):
                log.outcomes = list(outcomes)
                seen.append(await members[0].accept(make_job('j')))
                seen.append([record.key for record in log.records])

            run_members(1, check)
            outcome, keys = seen
            if isinstance(outcome, results.Failure):
                outcome = outcome.run_state
            self.assertEqual(expected, outcome, outcomes)
            self.assertEqual(['job/j'] if is_held else [], keys, outcomes)

    def test_late_appends_never_take_a_position_twice(self):
        seen = []

        async def check(log, members):
            await members[0].accept(make_job('j', 3))
            log.outcomes = ['late', 'late', scripted_log.LOST]
            await members[0].list_result('j', 'i0')
            await members[1].list_result('j', 'i1', 'other')
            log.apply_late()
            await members[1].list_result('j', 'i0', 'again')
            await members[0].list_result('j', 'i2')
            for member in members:
                await member.follower.sync()
                seen.append(
                    [
                        (result.item_id, result.output)
                        for result in member.table.jobs['j'].results
                    ]
                )

        run_members(2, check)
        self.assertEqual([('i0', 'o'), ('i1', 'other'), ('i2', 'o')], seen[0])
        self.assertEqual(seen[0], seen[1])

    def test_quota_holds_across_members(self):
        seen = []

        async def check(log, members):
            outcomes = []

            async def submit(number):
                outcomes.append(
                    await members[number % 3].accept(
                        make_job(f'j{number}', tokens=50), quota=350
                    )
                )

            async with trio.open_nursery() as nursery:
                for number in range(9):
                    nursery.start_soon(submit, number)
            seen.append(outcomes.count(jobs.WriteOutcome.DONE))
            await members[0].list_result('j0', 'i0')
            await members[0].list_result('j0', 'i1')
            seen.append(members[0].table.count_waiting_tokens('r'))

        run_members(3, check)
        self.assertEqual(3, seen[0])
        self.assertIn(seen[1], (200, 300))

    def test_large_job_is_split_over_several_calls(self):
        seen = []
        body = bytes(range(256)) * 400

        async def check(log, members):
            await members[0].accept(make_job('j', 1, body=body))
            await members[1].follower.sync()
            seen.append(members[1].table.jobs['j'].items[0].body)

        run_members(2, check)
        self.assertEqual(body, seen[0])

    def test_jobs_are_in_order_of_acceptance_after_a_reload(self):
        seen = []

        async def check(log, members):
            for job_id in ('c', 'a', 'b'):
                await members[0].accept(make_job(job_id))
            late = Member(log)
            await late.follower.sync()
            seen.append(list(late.table.jobs))

        run_members(1, check)
        self.assertEqual(['c', 'a', 'b'], seen[0])
