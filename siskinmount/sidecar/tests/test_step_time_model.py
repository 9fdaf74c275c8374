"""Tests of the model of the time between tokens."""

import hypothesis
from hypothesis import strategies
import testtools

from siskinmount.sidecar import _step_time_model


def _create_model(points, samples=20):
    model = _step_time_model.StepTimeModel()
    for running, time_ms in points:
        for _ in range(samples):
            model.add(running, time_ms)
    return model


class StepTimeModelTest(testtools.TestCase):

    def test_allowed_beside_online(self):
        line = [(n, 12 + 0.8 * n) for n in range(1, 17)]
        for points, online, slowdown, expected in (
            # Without samples, one is allowed.
            ([], 1, 1.3, 1),
            # One more than the highest sampled concurrency is allowed.
            ([(1, 12.8), (2, 13.6)], 1, 1.5, 2),
            ([(4, 20.0)], 1, 1.3, 4),
            # 0.3 * 12.8 ms / 0.8 ms.
            (line, 1, 1.3, 4),
            (line, 4, 1.3, 5),
            (line, 1, 2.0, 16),
            (line, 1, 1.05, 0),
            # The engine does not slow down at all.
            ([(1, 12.0), (2, 12.0)], 1, 1.3, 2),
        ):
            model = _create_model(points)
            self.assertEqual(
                expected,
                model.count_allowed_batch(online, slowdown, 16),
                (points[:2], online, slowdown),
            )

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        base_ms=strategies.floats(5, 50),
        rise_ms=strategies.floats(0.1, 5),
        outliers=strategies.lists(strategies.floats(1, 5000), max_size=3),
    )
    def test_line_is_found_in_spite_of_outliers(
        self, base_ms, rise_ms, outliers
    ):
        model = _create_model(
            [(n, base_ms + rise_ms * n) for n in (1, 4, 8)], 50
        )
        for outlier in outliers:
            model.add(4, outlier)
        for _ in range(100):
            model.add(4, base_ms + rise_ms * 4)
        expected = base_ms + rise_ms * 6
        self.assertAlmostEqual(expected, model.estimate_ms(6), 1)

    def test_too_few_samples_give_no_estimate(self):
        model = _create_model([(1, 12.0), (2, 14.0)], 5)
        self.assertIsNone(model.estimate_ms(3))
