"""Tests of the order of arms, repeated runs and failed arms."""

import testtools

from tools import bench
from tools import load
from tools.bench import _arm_run


class ExperimentTest(testtools.TestCase):

    def run_with_send_lags(self, send_lags_ms, arms, rounds=1):
        """Runs an experiment with one send lag per run; None fails the run."""
        lags = iter(send_lags_ms)
        runs_started = []

        async def run_arm(setting, plan, arm, round_number):
            runs_started.append((round_number, arm))
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
        return bench.run_experiment(setting, plan, arms), runs_started

    def test_every_arm_runs_once_per_round_in_varying_order(self):
        arms = list(bench.Arm)
        experiment, runs_started = self.run_with_send_lags(
            [1.0] * 20, arms, rounds=4
        )
        self.assertTrue(experiment.finished)
        for number in range(4):
            in_round = [arm for r, arm in runs_started if r == number]
            self.assertEqual(set(arms), set(in_round))
            self.assertEqual(5, len(in_round))
        orders = {tuple(runs_started[n * 5 : n * 5 + 5]) for n in range(4)}
        self.assertGreater(len(orders), 1)

    def test_arm_is_repeated_while_send_lag_is_too_large(self):
        for lags_ms, kept_ms, disturbed_count in (
            ([5.0], 5, 0),
            ([50.0, 5.0], 5, 1),
            ([50.0, 60.0, 70.0], 70, 2),
            ([50.0, None], 50, 0),
        ):
            experiment, runs_started = self.run_with_send_lags(
                lags_ms, [bench.Arm.ONLINE_ALONE]
            )
            self.assertEqual(len(lags_ms), len(runs_started))
            self.assertEqual(disturbed_count, len(experiment.disturbed))
            lag = experiment.results[0].online.send_lag
            self.assertAlmostEqual(kept_ms, lag.find_percentile_ms(99), 0)

    def test_failed_arm_is_recorded_and_later_runs_continue(self):
        experiment, runs_started = self.run_with_send_lags(
            [None, 5.0], [bench.Arm.ONLINE_ALONE], rounds=2
        )
        self.assertTrue(experiment.finished)
        self.assertEqual(2, len(runs_started))
        self.assertEqual(1, len(experiment.results))
        self.assertEqual(1, len(experiment.failures))
        self.assertIn('not accepted', experiment.failures[0])
