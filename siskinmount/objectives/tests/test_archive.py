import testtools
import trio
import trio.testing

from siskinmount import objectives
from siskinmount import results
from siskinmount import telemetry
from siskinmount.backing_services.tests import fake_log
from siskinmount.telemetry.tests import manual_clock


class _Entry:

    def __init__(self, log, clock, vm, incarnation=1):
        self.histograms = telemetry.create_histograms([], clock)
        self.writer = objectives.create_archive_writer(
            log, self.histograms, vm, incarnation, clock
        )

    def count(self, good):
        for _ in range(good):
            self.histograms.record_outcome('lm', 'availability', True)


def _run(test):
    trio.run(test, clock=trio.testing.MockClock(autojump_threshold=0))


def _sum_hours(archive, live=()):
    windows = archive.list_windows(set(live))
    return sum(window.good for window in windows if window.window_s == 3600)


class ArchiveTest(testtools.TestCase):

    def setUp(self):
        super().setUp()
        self.log = fake_log.FakeLog()
        self.clock = manual_clock.ManualClock()

    async def _read(self):
        archive = await objectives.read_archive(self.log)
        self.assertIsInstance(archive, objectives.Archive)
        return archive

    def test_archived_hours_outlive_their_process(self):
        async def test():
            entry = _Entry(self.log, self.clock, 'e1')
            entry.count(3)
            await entry.writer.append_closed_hours()
            self.assertEqual(0, self.log.append_count)
            self.clock.now_s += 3600
            entry.count(4)
            await entry.writer.append_closed_hours()
            await entry.writer.append_closed_hours()
            self.assertEqual(1, self.log.append_count)
            archive = await self._read()
            self.assertEqual(3, _sum_hours(archive))
            self.assertEqual(0, _sum_hours(archive, [('e1', 1)]))

        _run(test)

    def test_planned_stop_archives_the_open_hour_and_minutes(self):
        async def test():
            entry = _Entry(self.log, self.clock, 'e1')
            entry.count(3)
            self.clock.now_s += 3600
            await entry.writer.append_closed_hours()
            entry.count(4)
            await entry.writer.append_rest()
            archive = await self._read()
            self.assertEqual(7, _sum_hours(archive))
            minutes = [w for w in archive.list_windows(set())
                       if w.window_s == 60]  # fmt: skip
            self.assertEqual([3, 4], [window.good for window in minutes])

        _run(test)

    def test_retry_after_lost_response_counts_once(self):
        async def test():
            entry = _Entry(self.log, self.clock, 'e1')
            entry.count(3)
            self.clock.now_s += 3600
            self.log.answers_lost = 1
            await entry.writer.append_closed_hours()
            await entry.writer.append_closed_hours()
            self.assertEqual(2, self.log.append_count)
            self.assertEqual(3, _sum_hours(await self._read()))

        _run(test)

    def test_hours_of_an_outage_are_appended_later(self):
        async def test():
            entry = _Entry(self.log, self.clock, 'e1')
            self.log.is_down = True
            for _ in range(5):
                entry.count(1)
                self.clock.now_s += 3600
                await entry.writer.append_closed_hours()
            failure = await objectives.read_archive(self.log)
            self.assertIsInstance(failure, results.Failure)
            self.log.is_down = False
            await entry.writer.append_closed_hours()
            self.assertEqual(5, _sum_hours(await self._read()))

        _run(test)

    def test_planned_stop_during_an_outage_times_out(self):
        async def test():
            entry = _Entry(self.log, self.clock, 'e1')
            entry.count(1)
            self.log.is_down = True
            await entry.writer.append_rest()
            self.assertEqual(0, self.log.append_count)

        _run(test)

    def test_processes_are_counted_separately(self):
        async def test():
            for vm, incarnation in (('e1', 1), ('e1', 2), ('e2', 1)):
                entry = _Entry(self.log, self.clock, vm, incarnation)
                entry.count(1)
                await entry.writer.append_rest()
            archive = await self._read()
            self.assertEqual(3, _sum_hours(archive))
            self.assertEqual(2, _sum_hours(archive, [('e1', 2)]))

        _run(test)

    def test_run_appends_closed_hours(self):
        async def test():
            entry = _Entry(self.log, self.clock, 'e1')
            entry.count(1)
            self.clock.now_s += 3600
            with trio.move_on_after(1000):
                await entry.writer.run()
            self.assertEqual(1, self.log.append_count)

        _run(test)

    def test_invalid_records_are_counted(self):
        cases = [
            b'',
            b'[]',
            b'{"vm": "a", "incarnation": 1}',
            b'{"vm": "a", "incarnation": 1, "windows": [["a", "b", 1]]}',
            b'{"vm":"a","incarnation":1,"windows":[["a","b",1,60,-1,0]]}',
        ]

        async def test():
            for data in cases:
                self.log.append_now(objectives.ARCHIVE_STREAM, data)
            archive = await self._read()
            self.assertEqual(len(cases), archive.invalid_count)
            self.assertEqual([], archive.list_windows(set()))

        _run(test)
