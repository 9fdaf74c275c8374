"""Tests of one batch owner with an in-memory log."""

import testtools
import trio

from siskinmount import batch
from siskinmount import results
from siskinmount.backing_services.tests import fake_log
from siskinmount.batch.tests import batch_fixtures
from siskinmount.state.tests import stream_fixtures


class BatchOwnerTest(testtools.TestCase):

    def run_with_log(self, check):
        batch_fixtures.run_with_log(check, fake_log.FakeLog)

    async def results_of(self, owner, job='job', limit=7):
        collected = []
        after = -1
        while True:
            page = await owner.batch.results_page(job, 'swapnest', after, limit)
            collected.extend(page.results)
            after = page.next_after
            if not page.has_more:
                return collected

    def test_job_runs_to_completion(self):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            status = await owner.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(25)
            )
            self.assertIs(batch.JobState.RUNNING, status.state)
            done = await batch_fixtures.finish_all(owner)
            self.assertEqual(list(range(25)), sorted(done))
            status = owner.batch.status('job', 'swapnest')
            self.assertIs(batch.JobState.FINISHED, status.state)
            self.assertEqual(25, status.done_count)
            collected = await self.results_of(owner)
            self.assertEqual(
                list(range(25)), [result.index for result in collected]
            )
            self.assertIn(b'item 7', collected[7].output)

        self.run_with_log(check)

    def test_job_is_hidden_from_other_callers(self):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            await owner.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(1)
            )
            other = owner.batch.status('job', 'roadhaven')
            self.assertEqual(results.ResultCode.NO_SUCH_JOB, other.code)

        self.run_with_log(check)

    def test_repeated_submission_returns_the_same_job(self):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            for bodies, expected in (
                (batch_fixtures.bodies(3), None),
                (batch_fixtures.bodies(3), None),
                (
                    batch_fixtures.bodies(4),
                    results.ResultCode.IDEMPOTENCY_KEY_REUSED,
                ),
            ):
                status = await owner.batch.submit(
                    batch_fixtures.request(), bodies
                )
                if expected is None:
                    self.assertEqual(3, status.item_count)
                else:
                    self.assertEqual(expected, status.code)
            done = await batch_fixtures.finish_all(owner)
            self.assertEqual([0, 1, 2], done)

        self.run_with_log(check)

    def test_new_owner_restores_jobs_and_results(self):
        async def check(log, nursery):
            first = await batch_fixtures.start_owner(log, nursery)
            await first.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(20)
            )
            reply = await first.batch.pull(batch_fixtures.pull(8))
            for item in reply.items:
                await first.batch.report(batch_fixtures.report(item))
            first.stream.resign()
            await first.ended.wait()
            second = await batch_fixtures.start_owner(log, nursery, 'vm-b')
            await trio.sleep(20)
            done = await batch_fixtures.finish_all(second)
            self.assertEqual(list(range(8, 20)), done)
            self.assertEqual(20, len(await self.results_of(second)))

        self.run_with_log(check)

    def test_new_owner_waits_for_renewals_of_dispatched_items(self):
        async def check(log, nursery):
            first = await batch_fixtures.start_owner(log, nursery)
            await first.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(600)
            )
            held = (await first.batch.pull(batch_fixtures.pull(300))).items
            await trio.sleep(1)
            first.stream.resign()
            await first.ended.wait()
            second = await batch_fixtures.start_owner(log, nursery, 'vm-b')
            early = (await second.batch.pull(batch_fixtures.pull(600))).items
            self.assertEqual(
                list(range(512, 600)), [item.index for item in early]
            )
            kept = [
                batch.LeaseName('job', item.index, item.lease)
                for item in held[:200]
            ]
            renewed = second.batch.renew(batch.RenewRequest('vm-s', 1, kept))
            self.assertEqual([], renewed.cancelled)
            await trio.sleep(20)
            later = (await second.batch.pull(batch_fixtures.pull(600))).items
            self.assertEqual(
                list(range(200, 512)), [item.index for item in later]
            )

        self.run_with_log(check)

    def test_cancellation_stops_items_and_waits_for_sidecars(self):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            await owner.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(10)
            )
            held, late = (await owner.batch.pull(batch_fixtures.pull(2))).items
            answer_times_s = []

            async def cancel():
                status = await owner.batch.cancel('job', 'swapnest')
                self.assertIs(batch.JobState.CANCELLED, status.state)
                answer_times_s.append(trio.current_time())

            started_s = trio.current_time()
            nursery.start_soon(cancel)
            await trio.sleep(1)
            reply = await owner.batch.pull(batch_fixtures.pull())
            self.assertEqual([], reply.items)
            renewed = owner.batch.renew(
                batch.RenewRequest(
                    'vm-s', 1, [batch.LeaseName('job', held.index, held.lease)]
                )
            )
            self.assertEqual(1, len(renewed.cancelled))
            self.assertEqual([], answer_times_s)
            reported = await owner.batch.report(batch_fixtures.report(late))
            self.assertEqual(1, len(reported.cancelled))
            await trio.sleep(0.1)
            self.assertEqual(1, len(answer_times_s))
            self.assertTrue(answer_times_s[0] - started_s < 2)
            status = owner.batch.status('job', 'swapnest')
            self.assertEqual(0, status.done_count)

        self.run_with_log(check)

    def test_item_with_expired_lease_is_retried_and_first_result_counts(self):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            await owner.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(1)
            )
            [first] = (await owner.batch.pull(batch_fixtures.pull())).items
            await trio.sleep(60)
            [second] = (
                await owner.batch.pull(batch_fixtures.pull(vm='vm-t'))
            ).items
            self.assertEqual(2, second.attempt)
            for item, text in ((first, 'early'), (second, 'late')):
                await owner.batch.report(
                    batch_fixtures.report(item, output={'text': text})
                )
            [result] = await self.results_of(owner)
            self.assertIn(b'early', result.output)
            self.assertEqual(
                1, owner.batch.status('job', 'swapnest').done_count
            )

        self.run_with_log(check)

    def test_failing_item_ends_and_does_not_block_others(self):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            await owner.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(5)
            )
            attempts = 0
            while owner.batch.status('job', 'swapnest').finished_at_ms == 0:
                reply = await owner.batch.pull(batch_fixtures.pull(1))
                for item in reply.items:
                    if item.index != 0:
                        await owner.batch.report(batch_fixtures.report(item))
                        continue
                    attempts += 1
                    await owner.batch.report(
                        batch_fixtures.report(
                            item,
                            batch.ReportedOutcome.FAILED,
                            code=int(results.ResultCode.UPSTREAM_ERROR),
                            reason='no',
                        )
                    )
                if not reply.items:
                    await trio.sleep(1)
            status = owner.batch.status('job', 'swapnest')
            self.assertEqual(3, attempts)
            self.assertEqual(4, status.done_count)
            self.assertEqual(1, status.failed_count)

        self.run_with_log(check)

    def test_yielded_item_keeps_its_tokens_and_counts_no_attempt(self):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            await owner.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(1)
            )
            for _ in range(20):
                [item] = (await owner.batch.pull(batch_fixtures.pull())).items
                self.assertEqual(1, item.attempt)
                await owner.batch.report(
                    batch_fixtures.report(
                        item,
                        batch.ReportedOutcome.YIELDED,
                        output={
                            'resume_tokens': ['a', 'b'],
                            'resume_version': 'v1',
                        },
                    )
                )
            [item] = (await owner.batch.pull(batch_fixtures.pull())).items
            self.assertEqual(['a', 'b'], item.body['resume_tokens'])
            self.assertEqual('v1', item.body['resume_version'])

        self.run_with_log(check)

    def test_outage_buffers_results_and_bounds_dispatch(self):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(
                log,
                nursery,
                stream_limits=stream_fixtures.limits(max_queued_bytes=2000),
            )
            await owner.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(100)
            )
            (await owner.batch.pull(batch_fixtures.pull(1)))
            log.is_down = True
            reported = 0
            while True:
                reply = await owner.batch.pull(batch_fixtures.pull(5))
                if not reply.items:
                    break
                for item in reply.items:
                    answer = await owner.batch.report(
                        batch_fixtures.report(item)
                    )
                    self.assertEqual([False], answer.accepted)
                    reported += 1
            self.assertTrue(5 <= reported < 100, reported)
            refused = await owner.batch.submit(
                batch_fixtures.request('other'), batch_fixtures.bodies(1)
            )
            self.assertIs(results.RunState.NOT_RUN, refused.run_state)
            log.is_down = False
            await trio.sleep(60)
            status = owner.batch.status('job', 'swapnest')
            self.assertTrue(status.done_count >= reported - 5)
            await batch_fixtures.finish_all(owner)
            await trio.sleep(120)
            await batch_fixtures.finish_all(owner)
            self.assertEqual(
                100, owner.batch.status('job', 'swapnest').done_count
            )

        self.run_with_log(check)

    def test_late_renewal_does_not_claim_an_item_that_was_returned(self):
        async def check(log, nursery):
            for number, (outcome, fields) in enumerate(
                (
                    (batch.ReportedOutcome.YIELDED, {}),
                    (
                        batch.ReportedOutcome.FAILED,
                        {'code': int(results.ResultCode.UPSTREAM_LOST)},
                    ),
                    (batch.ReportedOutcome.UNKNOWN, {}),
                )
            ):
                job = f'job-{number}'
                owner = await batch_fixtures.start_owner(
                    log, nursery, f'vm-{number}'
                )
                await owner.batch.submit(
                    batch_fixtures.request(job), batch_fixtures.bodies(1)
                )
                [item] = (await owner.batch.pull(batch_fixtures.pull())).items
                reported = await owner.batch.report(
                    batch_fixtures.report(item, outcome, **fields)
                )
                self.assertEqual([True], reported.accepted)
                renewal = batch.RenewRequest(
                    'vm-s', 1, [batch.LeaseName(job, 0, item.lease)]
                )
                for _ in range(2):
                    renewed = owner.batch.renew(renewal)
                    self.assertEqual(1, len(renewed.cancelled))
                await trio.sleep(2)
                [again] = (
                    await owner.batch.pull(batch_fixtures.pull(vm='vm-t'))
                ).items
                owner.batch.renew(renewal)
                await owner.batch.report(batch_fixtures.report(again))
                status = owner.batch.status(job, 'swapnest')
                self.assertEqual(1, status.done_count)
                owner.stream.resign()
                await owner.ended.wait()

        self.run_with_log(check)

    def test_late_renewal_at_a_new_owner_does_not_claim_a_returned_item(self):
        async def check(log, nursery):
            for number, is_adopted in enumerate((False, True)):
                job = f'job-{number}'
                first = await batch_fixtures.start_owner(
                    log, nursery, f'vm-{number}'
                )
                await first.batch.submit(
                    batch_fixtures.request(job), batch_fixtures.bodies(1)
                )
                [item] = (await first.batch.pull(batch_fixtures.pull())).items
                first.stream.resign()
                await first.ended.wait()
                second = await batch_fixtures.start_owner(
                    log, nursery, f'vm-{number}-successor'
                )
                renewal = batch.RenewRequest(
                    'vm-s', 1, [batch.LeaseName(job, 0, item.lease)]
                )
                if is_adopted:
                    renewed = second.batch.renew(renewal)
                    self.assertEqual([], renewed.cancelled)
                reported = await second.batch.report(
                    batch_fixtures.report(item, batch.ReportedOutcome.YIELDED)
                )
                self.assertEqual([True], reported.accepted)
                renewed = second.batch.renew(renewal)
                self.assertEqual(1, len(renewed.cancelled))
                await trio.sleep(20)
                [again] = (
                    await second.batch.pull(batch_fixtures.pull(vm='vm-t'))
                ).items
                self.assertEqual(1, again.attempt)
                await second.batch.report(batch_fixtures.report(again))
                second.stream.resign()
                await second.ended.wait()

        self.run_with_log(check)

    def test_renewal_keeps_an_item_whose_holder_was_taken_for_lost(self):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            await owner.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(1)
            )
            [item] = (await owner.batch.pull(batch_fixtures.pull())).items
            owner.batch.drop_holder('vm-s', 1)
            for _ in range(2):
                renewed = owner.batch.renew(
                    batch.RenewRequest(
                        'vm-s', 1, [batch.LeaseName('job', 0, item.lease)]
                    )
                )
                self.assertEqual([], renewed.cancelled)
            await trio.sleep(5)
            reply = await owner.batch.pull(batch_fixtures.pull(vm='vm-t'))
            self.assertEqual([], reply.items)

        self.run_with_log(check)

    def test_renewal_of_a_returned_lease_does_not_replace_a_later_one(self):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            await owner.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(1)
            )
            leases = []
            for _ in range(2):
                [item] = (await owner.batch.pull(batch_fixtures.pull())).items
                leases.append(item.lease)
                await owner.batch.report(
                    batch_fixtures.report(item, batch.ReportedOutcome.YIELDED)
                )
            [item] = (
                await owner.batch.pull(batch_fixtures.pull(vm='vm-t'))
            ).items
            owner.batch.drop_holder('vm-t', 1)
            for vm, lease, cancelled_count in (
                ('vm-s', leases[0], 1),
                ('vm-s', leases[1], 1),
                ('vm-t', item.lease, 0),
                ('vm-s', leases[1], 1),
            ):
                renewed = owner.batch.renew(
                    batch.RenewRequest(
                        vm, 1, [batch.LeaseName('job', 0, lease)]
                    )
                )
                self.assertEqual(cancelled_count, len(renewed.cancelled))

        self.run_with_log(check)
