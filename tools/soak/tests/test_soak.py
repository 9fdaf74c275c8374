"""Tests a short soak with a fixed seed, and the schedule of faults."""

import pathlib
import tempfile

import testtools
import trio

from tools.soak import _checker
from tools.soak import _schedule
from tools.soak import _soak_run

_SEED = 1
#: Has requests that crash engines. It failed when output at the plain service
#: cleared a part that crashes the engines of the other.
_CRASHING_SEED = 303
_CRASHING_SECONDS = 15.0
_SECONDS = 8.0
#: Has engines that name a request rate.
_LIMITED_SEED = 2
_LIMITED_SECONDS = 15.0


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

    def _run(self, seed, seconds):
        """Returns the records of a short run, which has no violation."""
        with tempfile.TemporaryDirectory() as directory:
            observed = trio.run(
                _soak_run.run_soak, seed, seconds, pathlib.Path(directory)
            )
        self.assertEqual([], _checker.find_violations(observed))
        return observed

    def test_requests_that_crash_engines_are_refused(self):
        observed = self._run(_CRASHING_SEED, _CRASHING_SECONDS)
        self.assertGreaterEqual(len(observed.part_crashes_at_s), 3)
        refused = [
            call
            for call in observed.calls
            if call.has_crashing_part and call.status == 503
        ]
        self.assertTrue(refused)

    def test_engines_that_name_a_rate_get_no_more(self):
        observed = self._run(_LIMITED_SEED, _LIMITED_SECONDS)
        self.assertTrue(observed.limits)
        refused = [
            call
            for call in observed.calls
            if b'UPSTREAM_RATE_LIMITED' in call.body
        ]
        self.assertTrue(refused)

    def test_short_run_has_no_violation(self):
        observed = self._run(_SEED, _SECONDS)
        whole = [call for call in observed.calls if call.is_whole]
        self.assertGreater(len(whole), 20)
        self.assertTrue(any(job.accepted_at_s for job in observed.jobs))
        versions = {engine.version for engine in observed.engines}
        self.assertGreater(len(versions), 1)
