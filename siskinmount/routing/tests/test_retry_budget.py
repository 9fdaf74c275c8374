"""Tests of the bound on retries."""

import hypothesis
from hypothesis import strategies
import testtools

from siskinmount import results
from siskinmount import routing
from siskinmount.membership.tests import sample_members


class RetryBudgetTest(testtools.TestCase):

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
        budget = routing.create_retry_budget(clock)
        started_s = clock.now_s
        requests = 0
        retries = 0
        for request_count, retry_count, pause_s in rounds:
            for _ in range(request_count):
                budget.note_first_attempt('a')
                requests += 1
            for _ in range(retry_count):
                if budget.spend_retry('a') is None:
                    retries += 1
            clock.now_s += pause_s
            elapsed_s = clock.now_s - started_s
            self.assertTrue(retries <= 100 + requests * 0.1 + elapsed_s + 1e-6)

    def test_refusal_tells_when_a_retry_is_there(self):
        clock = sample_members.FakeClock()
        budget = routing.create_retry_budget(clock)
        for _ in range(100):
            self.assertIsNone(budget.spend_retry('a'))
        failure = budget.spend_retry('a')
        self.assertEqual(
            results.ResultCode.RETRY_BUDGET_EXHAUSTED, failure.code
        )
        clock.now_s += failure.retry_after_ms / 1000
        self.assertIsNone(budget.spend_retry('a'))

    def test_services_have_budgets_of_their_own(self):
        budget = routing.create_retry_budget(sample_members.FakeClock())
        for _ in range(101):
            refused = budget.spend_retry('a')
        self.assertIsNotNone(refused)
        self.assertIsNone(budget.spend_retry('b'))
