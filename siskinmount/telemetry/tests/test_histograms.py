import testtools

from siskinmount import telemetry
from siskinmount.telemetry.tests import manual_clock


def _create(clock):
    bound = telemetry.ObjectiveBound(
        name='fast', service='lm', measure='first_token', within_ms=100
    )
    return telemetry.create_histograms([bound], clock)


class HistogramsTest(testtools.TestCase):

    def test_good_and_bad(self):
        histograms = _create(manual_clock.ManualClock())
        for value_ms in (1, 100, 101):
            histograms.record('lm', 'first_token', value_ms)
        minute, hour = histograms.take_snapshots()
        self.assertEqual((2, 1, 60), (minute.good, minute.bad, minute.window_s))
        self.assertEqual((2, 1, 3600), (hour.good, hour.bad, hour.window_s))
        merged = telemetry.decode_hdr_histogram(hour.histogram)
        self.assertEqual(3, merged.total_count)

    def test_value_without_objective(self):
        histograms = _create(manual_clock.ManualClock())
        histograms.record('lm', 'whole_answer', 5)
        snapshot = histograms.take_snapshots()[0]
        self.assertEqual('whole_answer', snapshot.objective)
        self.assertEqual((0, 0), (snapshot.good, snapshot.bad))

    def test_outcomes(self):
        histograms = _create(manual_clock.ManualClock())
        histograms.record_outcome('lm', 'availability', True)
        histograms.record_outcome('lm', 'availability', False)
        snapshot = histograms.take_snapshots()[0]
        self.assertEqual((1, 1), (snapshot.good, snapshot.bad))

    def test_windows_are_retained_and_expire(self):
        clock = manual_clock.ManualClock()
        histograms = _create(clock)
        # One value a minute for 31 days.
        minute_count = 31 * 24 * 60
        for _ in range(minute_count):
            histograms.record('lm', 'first_token', 1)
            clock.now_s += 60
        snapshots = histograms.take_snapshots()
        minutes = [s for s in snapshots if s.window_s == 60]
        hours = [s for s in snapshots if s.window_s == 3600]
        self.assertEqual((70, 720), (len(minutes), len(hours)))
        self.assertEqual(720 * 60, sum(hour.good for hour in hours))
        self.assertTrue(all(len(s.histogram) < 200 for s in snapshots))

    def test_hours_and_minutes_agree(self):
        clock = manual_clock.ManualClock()
        histograms = _create(clock)
        for _ in range(60):
            histograms.record('lm', 'first_token', 1)
            clock.now_s += 60
        histograms.record('lm', 'first_token', 1)
        windows = [
            (s.window_start_s - manual_clock.START_S, s.good)
            for s in histograms.take_snapshots()
            if s.window_s == 3600
        ]
        self.assertEqual([(0, 60), (3600, 1)], windows)

    def test_clock_set_back(self):
        clock = manual_clock.ManualClock()
        histograms = _create(clock)
        histograms.record('lm', 'first_token', 1)
        clock.now_s -= 7200
        histograms.record('lm', 'first_token', 1)
        self.assertEqual([2, 2], [s.good for s in histograms.take_snapshots()])

    def test_value_above_the_histogram_range(self):
        histograms = _create(manual_clock.ManualClock())
        histograms.record('lm', 'first_token', 1e9)
        self.assertEqual(1, histograms.take_snapshots()[0].bad)

    def test_series_are_bounded(self):
        histograms = _create(manual_clock.ManualClock())
        for number in range(300):
            histograms.record(f's{number}', 'first_token', 1)
        self.assertEqual(44, histograms.dropped_count)
