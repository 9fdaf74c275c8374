"""Tests of jobs that outlive the retention of log records."""

import testtools
import trio

from siskinmount import batch
from siskinmount import results
from siskinmount.backing_services.tests import fake_log
from siskinmount.batch.tests import batch_fixtures
from siskinmount.state.tests import stream_fixtures

HOUR_S = 3600
RETENTION_MS = 24 * HOUR_S * 1000


class ExpiringLog(fake_log.FakeLog):
    """Log that drops records older than the retention."""

    def __init__(self):
        super().__init__()
        self._times_s = {}

    def append_now(self, stream, data):
        self._times_s.setdefault(stream, []).append(trio.current_time())
        return super().append_now(stream, data)

    async def read(self, stream, from_offset, **options):
        limit_s = trio.current_time() - RETENTION_MS / 1000
        times_s = self._times_s.get(stream, [])
        expired = sum(1 for time_s in times_s if time_s < limit_s)
        if expired:
            self.expire_before(stream, expired + 1)
        return await super().read(stream, from_offset, **options)


class BoundedLog(fake_log.FakeLog):
    """Log that keeps only the newest records of a stream."""

    MAX_RECORDS = 60

    def append_now(self, stream, data):
        offset = super().append_now(stream, data)
        if offset > self.MAX_RECORDS:
            self.expire_before(stream, offset - self.MAX_RECORDS + 1)
        return offset


class RetentionTest(testtools.TestCase):

    def limits(self):
        return stream_fixtures.limits(
            retention_ms=RETENTION_MS, tail_wait_ms=600_000
        )

    def test_texts_and_results_outlive_log_retention(self):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(
                log, nursery, stream_limits=self.limits()
            )
            await owner.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(30)
            )
            reply = await owner.batch.pull(batch_fixtures.pull(10))
            for item in reply.items:
                await owner.batch.report(batch_fixtures.report(item))
            await trio.sleep(40 * HOUR_S)
            self.assertTrue(log._first_offsets[batch_fixtures.NAME] > 10)
            owner.stream.resign()
            await owner.ended.wait()
            successor = await batch_fixtures.start_owner(
                log, nursery, 'vm-b', stream_limits=self.limits()
            )
            await trio.sleep(60)
            done = await batch_fixtures.finish_all(successor)
            self.assertEqual(list(range(10, 30)), done)
            await trio.sleep(40 * HOUR_S)
            page = await successor.batch.results_page('job', 'swapnest')
            self.assertEqual(
                [
                    f'item {number}'.encode() in result.output
                    for number, result in enumerate(page.results)
                ],
                [True] * 30,
            )
            await trio.sleep(10 * HOUR_S)
            forgotten = successor.batch.status('job', 'swapnest')
            self.assertEqual(results.ResultCode.NO_SUCH_JOB, forgotten.code)

        batch_fixtures.run_with_log(check, ExpiringLog)

    def test_no_item_is_lost_if_the_log_limits_the_number_of_records(self):
        limits = stream_fixtures.limits(
            retention_records=BoundedLog.MAX_RECORDS
        )

        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(
                log, nursery, stream_limits=limits
            )
            await owner.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(200)
            )
            done = []
            for number in range(40):
                if number % 10 == 9:
                    owner.stream.resign()
                    await owner.ended.wait()
                    owner = await batch_fixtures.start_owner(
                        log,
                        nursery,
                        f'vm-{number}',
                        stream_limits=limits,
                    )
                await trio.sleep(20)
                reply = await owner.batch.pull(batch_fixtures.pull(5))
                for item in reply.items:
                    await owner.batch.report(batch_fixtures.report(item))
                    done.append(item.index)
            await trio.sleep(60)
            self.assertEqual(list(range(200)), sorted(done))
            self.assertTrue(log._first_offsets[batch_fixtures.NAME] > 100)
            page = await owner.batch.results_page('job', 'swapnest')
            outputs = [result.output for result in page.results]
            self.assertEqual(200, len(outputs))
            for number, output in enumerate(outputs):
                self.assertIn(f'"item {number}"'.encode(), output)

        batch_fixtures.run_with_log(check, BoundedLog)

    def test_item_whose_text_has_expired_ends_as_failed(self):
        async def check(log, nursery):
            owner = await batch_fixtures.start_owner(log, nursery)
            await owner.batch.submit(
                batch_fixtures.request(), batch_fixtures.bodies(3)
            )
            log.expire_before(
                batch_fixtures.NAME, len(log.records(batch_fixtures.NAME)) + 1
            )
            reply = await owner.batch.pull(batch_fixtures.pull())
            self.assertEqual([], reply.items)
            await trio.sleep(5)
            status = owner.batch.status('job', 'swapnest')
            self.assertIs(batch.JobState.FINISHED, status.state)
            self.assertEqual(3, status.failed_count)
            page = await owner.batch.results_page('job', 'swapnest')
            self.assertEqual(
                results.ResultCode.LOG_RECORD_EXPIRED, page.results[0].code
            )

        batch_fixtures.run_with_log(check, fake_log.FakeLog)
