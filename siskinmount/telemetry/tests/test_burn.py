import testtools

from siskinmount import telemetry

_NOW_S = 1_000_000 * 3600 + 1800.0


def _snapshot(age_s, window_s, good, bad):
    start_s = int(_NOW_S - age_s) // window_s * window_s
    return telemetry.WindowSnapshot(
        service='lm',
        objective='fast',
        window_start_s=start_s,
        window_s=window_s,
        good=good,
        bad=bad,
        histogram=b'',
    )


def _window(good, bad, burn_rate):
    return telemetry.WindowBurn(
        window_s=1, good=good, bad=bad, burn_rate=burn_rate
    )


class BurnTest(testtools.TestCase):

    def test_window_burn(self):
        # Age and length of the snapshot, length of the window, and whether
        # the snapshot is counted.
        cases = [
            (0, 60, 300, True),
            (301, 60, 300, False),
            (300, 60, 300, True),
            (0, 3600, 300, False),
            (3599, 60, 3600, True),
            (3601, 60, 3600, False),
            (0, 60, 21600, False),
            (5 * 3600, 3600, 21600, True),
            (7 * 3600, 3600, 21600, False),
            (71 * 3600, 3600, 259200, True),
        ]
        for age_s, length_s, window_s, counts in cases:
            burn = telemetry.compute_window_burn(
                [_snapshot(age_s, length_s, 9, 1)], 0.9, _NOW_S, window_s
            )
            self.assertEqual(10 if counts else 0, burn.good + burn.bad, age_s)

    def test_burn_rate(self):
        snapshots = [_snapshot(0, 60, 9, 1), _snapshot(60, 60, 10, 0)]
        burn = telemetry.compute_window_burn(snapshots, 0.95, _NOW_S, 300)
        self.assertAlmostEqual(1.0, burn.burn_rate)
        self.assertIsNone(burn.p99_ms)

    def test_quantiles_of_two_daemons(self):
        snapshots = []
        for value_ms in (10, 1000):
            histograms = telemetry.create_histograms([], lambda: _NOW_S)
            for _ in range(50):
                histograms.record('lm', 'fast', value_ms)
            snapshots.extend(histograms.take_snapshots())
        burn = telemetry.compute_window_burn(snapshots, 0.95, _NOW_S, 300)
        self.assertEqual(10, round(burn.p50_ms))
        self.assertTrue(990 <= burn.p99_ms <= 1010)

    def test_budget_used(self):
        snapshots = [_snapshot(d * 86400, 3600, 9, 1) for d in range(40)]
        used = telemetry.compute_budget_used(snapshots, 0.9, _NOW_S, 28)
        self.assertAlmostEqual(1.0, used)

    def test_burn_points(self):
        snapshots = [_snapshot(0, 60, 0, 1), _snapshot(120, 60, 1, 0)]
        points = telemetry.list_burn_points(snapshots, 0.5, _NOW_S, 300)
        self.assertEqual([0, 0, 0, 0, 0, 2], [p.burn_rate for p in points])

    def test_burn_levels(self):
        level = telemetry.BurnLevel
        # Burn rates over 5 min, 1 h, 6 h and 3 d.
        cases = [
            ((0, 0, 0, 0), level.OK),
            ((20, 20, 1, 0), level.FAST_BURN),
            ((0, 20, 1, 0), level.OK),
            ((20, 0, 0, 0), level.OK),
            ((0, 7, 7, 0), level.FAST_BURN),
            ((0, 0, 1.5, 1.5), level.SLOW_BURN),
            ((0, 0, 0.5, 1.5), level.OK),
        ]
        for rates, expected in cases:
            windows = [_window(1, 1, rate) for rate in rates]
            self.assertEqual(expected, telemetry.classify_burn(windows), rates)
        windows = [_window(0, 0, 0)] * 4
        self.assertEqual(level.NO_DATA, telemetry.classify_burn(windows))
