"""Tests of retry budgets."""

import hypothesis
from hypothesis import strategies
import testtools

from siskinmount import routing
from siskinmount.membership.tests import sample_members


class RetryBudgetsTest(testtools.TestCase):

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 300),
                strategies.integers(0, 300),
                strategies.floats(0, 20),
            ),
            max_size=10,
        )
    )
    def test_retries_stay_within_share(self, rounds):
        clock = sample_members.FakeClock()
        budgets = routing.create_retry_budgets(clock)
        started_s = clock.now_s
        requests = 0
        retries = 0
        for request_count, retry_count, pause_s in rounds:
            for _ in range(request_count):
                budgets.earn('a')
                requests += 1
            for _ in range(retry_count):
                if budgets.take('a'):
                    retries += 1
            clock.now_s += pause_s
            elapsed_s = clock.now_s - started_s
            self.assertTrue(retries <= 100 + requests * 0.1 + elapsed_s + 1e-6)

    def test_retry_is_available_after_the_wait(self):
        clock = sample_members.FakeClock()
        budgets = routing.create_retry_budgets(clock)
        for _ in range(100):
            self.assertEqual(0, budgets.wait_ms('a'))
            self.assertTrue(budgets.take('a'))
        self.assertFalse(budgets.take('a'))
        clock.now_s += (budgets.wait_ms('a') + 1) / 1000
        self.assertTrue(budgets.take('a'))

    def test_each_service_has_its_own_budget(self):
        budgets = routing.create_retry_budgets(sample_members.FakeClock())
        taken = [budgets.take('a') for _ in range(101)]
        self.assertFalse(taken[-1])
        self.assertTrue(budgets.take('b'))
