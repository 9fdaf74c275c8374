"""Runs a small fleet for a moment, with and without a mechanism."""

import testtools
import trio

from tools import chaos
from tools.chaos import _chaos_run
from tools.chaos import _workload

#: Too short for any fault.
SECONDS = 3.5
TIMEOUT_S = 150


class ChaosRunTest(testtools.TestCase):

    def run_chaos(self, omission):
        async def main():
            with trio.fail_after(TIMEOUT_S):
                return await _chaos_run.run_chaos(1, SECONDS, omission, None)

        return trio.run(main)

    def test_run_without_faults_has_no_violations(self):
        seen = self.run_chaos(_workload.Omission.NONE)
        self.assertTrue(seen.online and seen.plain and seen.jobs)
        self.assertEqual(
            [], [str(found) for found in chaos.find_violations(seen)]
        )

    def test_calls_without_keys_are_doubled(self):
        seen = self.run_chaos(_workload.Omission.IDEMPOTENCY_KEYS)
        kinds = {found.kind for found in chaos.find_violations(seen)}
        self.assertIn(chaos.ViolationKind.DOUBLED_EFFECT, kinds)
