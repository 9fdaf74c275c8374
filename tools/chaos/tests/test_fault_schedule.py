"""Tests of the fault schedule."""

import hypothesis
from hypothesis import strategies
import testtools

from tools import chaos

SHAPE = chaos.FleetShape(['e0', 'e1'], ['m0', 'm1', 'm2'], ['p0'])


class FaultScheduleTest(testtools.TestCase):

    def describe(self, seed, seconds=60.0):
        events = chaos.create_fault_schedule(seed, seconds, SHAPE)
        return [str(event) for event in events]

    def test_same_seed_gives_same_schedule(self):
        self.assertEqual(self.describe(7), self.describe(7))
        self.assertNotEqual(self.describe(7), self.describe(8))

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(strategies.integers(0, 10_000))
    def test_one_fault_at_a_time_for_each_target(self, seed):
        free_at_s = {}
        events = chaos.create_fault_schedule(seed, 90.0, SHAPE)
        self.assertTrue(events)
        for event in events:
            self.assertTrue(event.at_s + event.duration_s <= 90.0)
            if not event.target:
                continue
            self.assertTrue(event.at_s >= free_at_s.get(event.target, 0.0))
            free_at_s[event.target] = event.at_s + event.duration_s

    def test_schedules_contain_every_kind(self):
        kinds = set()
        for seed in range(20):
            for event in chaos.create_fault_schedule(seed, 90.0, SHAPE):
                kinds.add(event.kind)
        self.assertEqual(set(chaos.FaultKind), kinds)

    def test_two_faults_can_start_at_once(self):
        together = 0
        for seed in range(10):
            events = chaos.create_fault_schedule(seed, 90.0, SHAPE)
            times = [event.at_s for event in events]
            together += len(times) - len(set(times))
        self.assertTrue(together)
