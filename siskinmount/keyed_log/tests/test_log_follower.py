"""Pace of reads, and records that cannot be applied."""

import testtools
import trio
import trio.testing

from siskinmount import keyed_log


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
