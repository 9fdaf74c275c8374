"""Tests a short soak with a fixed seed, and the schedule of faults."""

import pathlib
import tempfile

import testtools
import trio

from tools.soak import _checker
from tools.soak import _schedule
from tools.soak import _soak_run

_SEED = 1
_SECONDS = 8.0


class SoakTest(testtools.TestCase):

    def test_schedule_follows_from_the_seed(self):
        first = [str(event) for event in _schedule.create_schedule(7, 30)]
        again = [str(event) for event in _schedule.create_schedule(7, 30)]
        other = [str(event) for event in _schedule.create_schedule(8, 30)]
        self.assertEqual(first, again)
        self.assertNotEqual(first, other)

    def test_no_fault_begins_near_the_end(self):
        for seed in range(50):
            for event in _schedule.create_schedule(seed, 20):
                self.assertLess(event.at_s, 15.0)

    def test_short_run_has_no_violation(self):
        with tempfile.TemporaryDirectory() as directory:
            observed = trio.run(
                _soak_run.run_soak, _SEED, _SECONDS, pathlib.Path(directory)
            )
        self.assertEqual([], _checker.find_violations(observed))
        whole = [call for call in observed.calls if call.is_whole]
        self.assertGreater(len(whole), 20)
        self.assertTrue(any(job.accepted_at_s for job in observed.jobs))
