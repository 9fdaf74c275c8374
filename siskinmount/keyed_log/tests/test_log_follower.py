"""Pace of reads, and records that cannot be applied."""

import testtools
import trio
import trio.testing

from siskinmount import keyed_log
from siskinmount import results


class _GrowingLog:
    """A log that gets a record at a steady interval."""

    def __init__(self, interval_s):
        self.read_count = 0
        self._interval_s = interval_s

    def _count(self):
        return int(trio.current_time() / self._interval_s)

    async def read(self, from_offset, wait_ms):
        self.read_count += 1
        # A moment later, as the division may round down.
        await trio.sleep_until((from_offset + 1) * self._interval_s + 1e-6)
        records = [
            keyed_log.KeyedRecord(f'k{offset}', b'v', offset)
            for offset in range(from_offset, self._count())
        ]
        return keyed_log.LogPage(records, self._count())

    async def read_newest(self):
        return keyed_log.LogPage([], 0)


class LogFollowerTest(testtools.TestCase):

    def _follow(self, log, on_record, length_s, read_interval_s):
        async def main():
            follower = keyed_log.create_log_follower(
                'test', log, on_record, read_interval_s=read_interval_s
            )
            with trio.move_on_after(length_s):
                await follower.run()

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_records_of_an_interval_come_with_one_read(self):
        cases = [
            # Interval of records, interval of reads, reads in 10 s at most.
            (0.02, 0.0, 510),
            (0.02, 0.25, 43),
            # What comes seldom is read when it comes.
            (1.0, 0.25, 11),
        ]
        for record_interval_s, read_interval_s, most in cases:
            log = _GrowingLog(record_interval_s)
            ages_s = []

            def on_record(record, interval_s=record_interval_s, ages=ages_s):
                written_at_s = (record.offset + 1) * interval_s
                ages.append(trio.current_time() - written_at_s)

            self._follow(log, on_record, 10, read_interval_s)
            self.assertLessEqual(log.read_count, most)
            self.assertGreater(len(ages_s), 9 / record_interval_s - 30)
            longest_s = read_interval_s if record_interval_s < 1 else 0
            self.assertLess(
                max(ages_s), longest_s + record_interval_s / 5 + 0.01
            )

    def test_record_that_cannot_be_applied_is_passed_over(self):
        # Guards against a record that fails each member again and again, as it
        # stays in the log.
        applied = []

        def on_record(record):
            if record.offset == 3:
                raise ValueError('unexpected')
            applied.append(record.offset)

        self._follow(_GrowingLog(0.1), on_record, 1, 0.0)
        self.assertEqual([0, 1, 2, 4, 5], applied[:5])


class _FailingLog:
    """A log whose newest records cannot be read until a set time."""

    def __init__(self, works_from_s):
        self.load_count = 0
        self._works_from_s = works_from_s

    async def read(self, from_offset, wait_ms):
        await trio.sleep(wait_ms / 1000)
        return keyed_log.LogPage([], 0)

    async def read_newest(self):
        self.load_count += 1
        await trio.sleep(0.1)
        if trio.current_time() < self._works_from_s:
            return results.Failure(
                results.ResultCode.LOG_UNAVAILABLE, 'the log is away'
            )
        return keyed_log.LogPage([], 0)


class LoadTest(testtools.TestCase):

    def test_tasks_that_need_the_log_share_one_load(self):
        cases = [
            # From when on the log works, loads at most, outcomes.
            (0.0, 1, {None}),
            (9.0, 1, {'the log is away'}),
        ]
        for works_from_s, most, expected in cases:
            log = _FailingLog(works_from_s)
            reasons = set()

            async def sync(follower, delay_s, reasons=reasons):
                await trio.sleep(delay_s)
                failure = await follower.sync()
                reasons.add(failure.reason if failure else None)

            async def main(log=log, sync=sync):
                follower = keyed_log.create_log_follower(
                    'test', log, lambda record: None
                )
                async with trio.open_nursery() as nursery:
                    for number in range(20):
                        nursery.start_soon(sync, follower, number * 0.03)

            trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
            self.assertEqual(most, log.load_count)
            self.assertEqual(expected, reasons)

    def test_load_goes_on_when_the_task_that_began_it_is_cancelled(self):
        log = _FailingLog(0.0)

        async def main():
            follower = keyed_log.create_log_follower(
                'test', log, lambda record: None
            )
            async with trio.open_nursery() as nursery:

                async def give_up():
                    with trio.move_on_after(0.05):
                        await follower.sync()

                nursery.start_soon(give_up)
                await trio.sleep(0.01)
                self.assertIsNone(await follower.sync())
            self.assertTrue(follower.is_loaded)

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))

    def test_log_that_may_wait_is_not_loaded_before_others(self):
        log = _FailingLog(0.0)
        is_allowed = []

        async def main():
            follower = keyed_log.create_log_follower(
                'test',
                log,
                lambda record: None,
                may_load=lambda: bool(is_allowed),
            )
            failure = await follower.sync()
            self.assertIs(results.RunState.NOT_RUN, failure.run_state)
            self.assertEqual(0, log.load_count)
            is_allowed.append(True)
            self.assertIsNone(await follower.sync())

        trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
