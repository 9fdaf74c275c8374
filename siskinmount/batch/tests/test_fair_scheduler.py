"""Tests of fair scheduling between callers and jobs."""

import testtools
import trio

from siskinmount.backing_services.tests import fake_log
from siskinmount.batch.tests import batch_fixtures
from siskinmount.state.tests import stream_fixtures


class FairSchedulerTest(testtools.TestCase):

    def run_with_jobs(self, jobs, check, weights=None):
        async def main(log, nursery):
            owner = await batch_fixtures.start_owner(
                log,
                nursery,
                weight_of=lambda caller: (weights or {}).get(caller, 1),
            )
            for name, caller, due_s, count in jobs:
                due_at_ms = stream_fixtures.clock_ms() + due_s * 1000
                await owner.batch.submit(
                    batch_fixtures.request(name, caller, due_at_ms=due_at_ms),
                    batch_fixtures.bodies(count),
                )
            await check(owner)

        batch_fixtures.run_with_log(main, fake_log.FakeLog)

    async def pulled(self, owner, credit):
        reply = await owner.batch.pull(batch_fixtures.pull(credit))
        return [item.job for item in reply.items]

    def test_earliest_latest_start_first_within_a_caller(self):
        async def check(owner):
            jobs = await self.pulled(owner, 5)
            self.assertEqual(['soon'] * 3 + ['later'] * 2, jobs)

        self.run_with_jobs(
            (('later', 'c', 9000, 10), ('soon', 'c', 3600, 3)), check
        )

    def test_callers_share_by_weight(self):
        async def check(owner):
            jobs = await self.pulled(owner, 40)
            self.assertEqual(10, jobs.count('small'))
            self.assertEqual(30, jobs.count('big'))

        self.run_with_jobs(
            (('small', 'a', 3600, 100), ('big', 'b', 36000, 100)),
            check,
            {'b': 3},
        )

    def test_idle_caller_gets_no_credit_for_idle_time(self):
        async def check(owner):
            await self.pulled(owner, 60)
            await owner.batch.submit(
                batch_fixtures.request('new', 'b'), batch_fixtures.bodies(50)
            )
            jobs = await self.pulled(owner, 20)
            self.assertTrue(9 <= jobs.count('new') <= 11, jobs)

        self.run_with_jobs((('old', 'a', 3600, 100),), check)

    def test_job_at_risk_gets_a_larger_share_without_starving_others(self):
        async def check(owner):
            await trio.sleep(11)
            jobs = await self.pulled(owner, 50)
            self.assertEqual(40, jobs.count('late'))
            self.assertEqual(10, jobs.count('other'))
            self.assertTrue(owner.batch.status('late', 'a').at_risk)
            self.assertFalse(owner.batch.status('other', 'b').at_risk)

        self.run_with_jobs(
            (('late', 'a', 10, 100), ('other', 'b', 36000, 100)), check
        )
