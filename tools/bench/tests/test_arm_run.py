"""Runs one short arm with real processes."""

import testtools
import trio

from tools import bench
from tools import load


class ArmRunTest(testtools.TestCase):

    def test_arm_run_measures_online_and_batch_work(self):
        plan = bench.BenchPlan(
            rounds=1,
            warm_up_s=0.5,
            measured_s=2.0,
            seed=3,
            batch_source=bench.BatchSourceKind.FEEDER,
        )
        setting = bench.SETTINGS['swapnest']()
        setting.online_pattern.rate_per_s = 10.0

        async def main():
            with trio.fail_after(120):
                return await bench.run_arm(
                    setting, plan, bench.Arm.ONLINE_FIRST, 0
                )

        result = trio.run(main)
        self.assertGreater(result.online.outcomes[load.Outcome.RIGHT], 0)
        self.assertEqual(0, result.online.outcomes[load.Outcome.WRONG])
        self.assertGreater(result.batch.kept_tokens, 0)
        self.assertEqual(0, result.batch.wrong_items)
        self.assertGreater(result.generated_tokens, 0)
        self.assertEqual(6, len(result.cpu_cores))
