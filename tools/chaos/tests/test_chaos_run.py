"""Runs a fleet briefly, with idempotency keys and without them."""

import testtools
import trio

from tools import chaos
from tools.chaos import _chaos_run
from tools.chaos import _workload

#: Short enough that the schedule contains no fault.
RUN_DURATION_S = 3.5
TIMEOUT_S = 150


class ChaosRunTest(testtools.TestCase):

    def run_chaos(self, disabled_mechanism):
        async def main():
            with trio.fail_after(TIMEOUT_S):
                return await _chaos_run.run_chaos(
                    1, RUN_DURATION_S, disabled_mechanism, None
                )

        return trio.run(main)

    def test_run_without_faults_has_no_violations(self):
        observations = self.run_chaos(_workload.DisabledMechanism.NONE)
        self.assertTrue(
            observations.online and observations.plain and observations.jobs
        )
        self.assertEqual(
            [], [str(found) for found in chaos.find_violations(observations)]
        )

    def test_calls_without_idempotency_keys_run_twice(self):
        observations = self.run_chaos(
            _workload.DisabledMechanism.IDEMPOTENCY_KEYS
        )
        kinds = {found.kind for found in chaos.find_violations(observations)}
        self.assertIn(chaos.ViolationKind.DOUBLED_EFFECT, kinds)
