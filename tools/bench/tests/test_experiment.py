"""Tests of the order of arms, of repeats and of failed arms."""

import testtools

from tools import bench
from tools import load
from tools.bench import _arm_run


class ExperimentTest(testtools.TestCase):

    def run_with_lags(self, send_lags_ms, arms, rounds=1):
        """Runs an experiment whose arms give these send lags in turn."""
        lags = iter(send_lags_ms)
        turns = []

        async def run_arm(setting, plan, arm, round_number):
            turns.append((round_number, arm))
            lag_ms = next(lags)
            if lag_ms is None:
                raise bench.JobError('not accepted')
            result = bench.ArmResult(
                arm=arm,
                round_number=round_number,
                online=load.LoadReport(),
                batch=bench.BatchProgress(),
                measured_s=1.0,
                generated_tokens=0,
                prefilled_tokens=0,
                log_appends=0,
                cpu_cores={},
            )
            result.online.send_lag.record(lag_ms / 1000)
            return result

        self.patch(_arm_run, 'run_arm', run_arm)
        plan = bench.BenchPlan(
            rounds=rounds, warm_up_s=0.0, measured_s=1.0, seed=3
        )
        setting = bench.SETTINGS['swapnest']()
        return bench.run_experiment(setting, plan, arms), turns

    def test_every_arm_has_its_turn_in_each_round(self):
        arms = list(bench.Arm)
        experiment, turns = self.run_with_lags([1.0] * 20, arms, rounds=4)
        self.assertTrue(experiment.finished)
        for number in range(4):
            in_round = [arm for turn, arm in turns if turn == number]
            self.assertEqual(set(arms), set(in_round))
            self.assertEqual(5, len(in_round))
        orders = {tuple(turns[n * 5 : n * 5 + 5]) for n in range(4)}
        self.assertGreater(len(orders), 1)

    def test_arm_is_run_again_while_sending_lags(self):
        for lags_ms, kept_ms, disturbed_count in (
            ([5.0], 5, 0),
            ([50.0, 5.0], 5, 1),
            ([50.0, 60.0, 70.0], 70, 2),
            ([50.0, None], 50, 0),
        ):
            experiment, turns = self.run_with_lags(
                lags_ms, [bench.Arm.ONLINE_ALONE]
            )
            self.assertEqual(len(lags_ms), len(turns))
            self.assertEqual(disturbed_count, len(experiment.disturbed))
            lag = experiment.results[0].online.send_lag
            self.assertAlmostEqual(kept_ms, lag.find_percentile_ms(99), 0)

    def test_failed_arm_is_noted_and_others_go_on(self):
        experiment, turns = self.run_with_lags(
            [None, 5.0], [bench.Arm.ONLINE_ALONE], rounds=2
        )
        self.assertTrue(experiment.finished)
        self.assertEqual(2, len(turns))
        self.assertEqual(1, len(experiment.results))
        self.assertEqual(1, len(experiment.failures))
        self.assertIn('not accepted', experiment.failures[0])
