"""Tests of items that may run only once."""

import testtools
import trio

from siskinmount import batch
from siskinmount import results
from siskinmount.backing_services.tests import fake_log
from siskinmount.batch.tests import batch_fixtures
from siskinmount.state.tests import stream_fixtures


class NonIdempotentItemsTest(testtools.TestCase):

    def run_with_job(self, check, count=1):
        async def main(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            await owner.batch.submit(
                batch_fixtures.request(idempotent=False),
                batch_fixtures.bodies(count),
            )
            await check(log, nursery, owner)

        batch_fixtures.run_with_log(main, fake_log.FakeLog)

    def counts(self, owner):
        status = owner.batch.status('job', 'swapnest')
        return (status.done_count, status.failed_count, status.unknown_count)

    def test_start_is_recorded_before_the_item_is_dispatched(self):
        async def check(log, nursery, owner):
            log.held = trio.Event()
            reply = await owner.batch.pull(batch_fixtures.pull())
            self.assertEqual([], reply.items)
            log.held.set()
            await trio.sleep(10)
            reply = await owner.batch.pull(batch_fixtures.pull())
            self.assertEqual(1, len(reply.items))
            await owner.batch.report(batch_fixtures.report(reply.items[0]))
            self.assertEqual((1, 0, 0), self.counts(owner))

        self.run_with_job(check)

    def test_nothing_is_dispatched_while_the_log_is_down(self):
        async def check(log, nursery, owner):
            log.is_down = True
            for _ in range(3):
                reply = await owner.batch.pull(batch_fixtures.pull())
                self.assertEqual([], reply.items)
                await trio.sleep(40)
            log.is_down = False
            await trio.sleep(40)
            reply = await owner.batch.pull(batch_fixtures.pull())
            self.assertEqual(1, len(reply.items))
            self.assertEqual((0, 0, 0), self.counts(owner))

        self.run_with_job(check)

    def test_item_of_a_lost_holder_ends_as_unknown(self):
        async def expire(owner, item):
            await trio.sleep(60)

        async def restart(owner, item):
            await owner.batch.pull(batch_fixtures.pull(incarnation=2))
            await trio.sleep(1)

        async def drop(owner, item):
            owner.batch.drop_holder('vm-s', 1)
            await trio.sleep(1)

        async def report_unknown(owner, item):
            await owner.batch.report(
                batch_fixtures.report(item, batch.ReportedOutcome.UNKNOWN)
            )

        for lose in (expire, restart, drop, report_unknown):

            async def check(log, nursery, owner, lose=lose):
                [item] = (await owner.batch.pull(batch_fixtures.pull())).items
                await lose(owner, item)
                self.assertEqual((0, 0, 1), self.counts(owner))
                late = await owner.batch.report(batch_fixtures.report(item))
                self.assertEqual([True], late.accepted)
                self.assertEqual((0, 0, 1), self.counts(owner))
                page = await owner.batch.results_page('job', 'swapnest')
                self.assertEqual(
                    results.ResultCode.OUTCOME_UNKNOWN, page.results[0].code
                )

            self.run_with_job(check)

    def test_failed_item_is_not_retried(self):
        async def check(log, nursery, owner):
            [item] = (await owner.batch.pull(batch_fixtures.pull())).items
            await owner.batch.report(
                batch_fixtures.report(
                    item,
                    batch.ReportedOutcome.FAILED,
                    code=int(results.ResultCode.UPSTREAM_LOST),
                )
            )
            self.assertEqual((0, 1, 0), self.counts(owner))

        self.run_with_job(check)

    def test_item_that_did_not_start_is_dispatched_again(self):
        async def check(log, nursery, owner):
            [item] = (await owner.batch.pull(batch_fixtures.pull())).items
            await owner.batch.report(
                batch_fixtures.report(item, batch.ReportedOutcome.YIELDED)
            )
            [again] = (await owner.batch.pull(batch_fixtures.pull())).items
            self.assertNotEqual(item.lease, again.lease)
            stale = await owner.batch.report(
                batch_fixtures.report(item, batch.ReportedOutcome.YIELDED)
            )
            self.assertEqual([True], stale.accepted)
            reply = await owner.batch.pull(batch_fixtures.pull())
            self.assertEqual([], reply.items)

        self.run_with_job(check)

    def test_stopped_item_resumes_its_output_at_a_new_owner(self):
        async def check(log, nursery, owner):
            [item] = (await owner.batch.pull(batch_fixtures.pull())).items
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
            owner.stream.resign()
            await owner.ended.wait()
            successor = await batch_fixtures.start_owner(log, nursery, 'vm-b')
            [again] = (await successor.batch.pull(batch_fixtures.pull())).items
            self.assertEqual(['a', 'b'], again.body['resume_tokens'])
            self.assertEqual('v1', again.body['resume_version'])
            await successor.batch.report(batch_fixtures.report(again))
            self.assertEqual((1, 0, 0), self.counts(successor))

        self.run_with_job(check)

    def test_new_owner_waits_for_the_holder_and_accepts_its_result(self):
        async def check(log, nursery, owner):
            items = (await owner.batch.pull(batch_fixtures.pull())).items
            kept, lost = items
            owner.stream.resign()
            await owner.ended.wait()
            successor = await batch_fixtures.start_owner(log, nursery, 'vm-b')
            reply = await successor.batch.pull(batch_fixtures.pull(vm='vm-t'))
            self.assertEqual([], reply.items)
            for _ in range(5):
                await trio.sleep(10)
                renewed = successor.batch.renew(
                    batch.RenewRequest(
                        'vm-s',
                        1,
                        [batch.LeaseName('job', kept.index, kept.lease)],
                    )
                )
                self.assertEqual([], renewed.cancelled)
            await successor.batch.report(batch_fixtures.report(kept))
            self.assertEqual((1, 0, 1), self.counts(successor))
            self.assertNotEqual(kept.index, lost.index)

        self.run_with_job(check, count=2)

    def test_frozen_owner_dispatches_nothing_after_another_claim(self):
        async def main(log, nursery):
            view = stream_fixtures.FrozenView(log)
            frozen = await batch_fixtures.start_owner(view, nursery)
            await frozen.batch.submit(
                batch_fixtures.request(idempotent=False),
                batch_fixtures.bodies(1),
            )
            view.freeze()
            successor = await batch_fixtures.start_owner(log, nursery, 'vm-b')
            handed_out = []

            async def pull_late():
                reply = await frozen.batch.pull(batch_fixtures.pull(vm='vm-t'))
                handed_out.extend(reply.items)

            nursery.start_soon(pull_late)
            await trio.sleep(1)
            [item] = (await successor.batch.pull(batch_fixtures.pull())).items
            view.thaw()
            await frozen.ended.wait()
            await trio.sleep(20)
            self.assertEqual([], handed_out)
            await successor.batch.report(batch_fixtures.report(item))
            self.assertEqual((1, 0, 0), self.counts(successor))

        batch_fixtures.run_with_log(main, fake_log.FakeLog)
