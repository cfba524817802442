"""Tests of the retry budget."""

import unittest

from pollenroad.models import RetryRules
from pollenroad.retries import allowance_below, make_hedge_budget, make_retry_budget


class BudgetTest(unittest.TestCase):
    def test_first_attempts_pay_for_a_share_of_retries(self):
        budget = make_retry_budget(RetryRules(budget_ratio=0.1, min_per_s=0.0), now=0.0)
        spent = 0
        for _ in range(1000):
            budget.first_attempt()
            spent += budget.spend(0.0)
        self.assertIn(spent, (99, 100))

    def test_a_quiet_service_may_retry_now_and_then(self):
        budget = make_retry_budget(RetryRules(budget_ratio=0.0, min_per_s=1.0), now=0.0)
        allowed = [budget.spend(now) for now in (0.0, 0.1, 1.0, 1.5, 2.0)]
        self.assertEqual(allowed, [True, False, True, False, True])

    def test_time_adds_nothing_to_what_busy_first_attempts_pay(self):
        budget = make_retry_budget(RetryRules(budget_ratio=0.1, min_per_s=1.0), now=0.0)
        spent = 0
        for number in range(10_000):
            budget.first_attempt()
            spent += budget.spend(number / 100)
        self.assertIn(spent, (1000, 1001))

    def test_an_idle_budget_does_not_grow_without_bound(self):
        budget = make_retry_budget(RetryRules(budget_ratio=0.1, min_per_s=1.0), now=0.0)
        spent = sum(budget.spend(3600.0) for _ in range(100))
        self.assertEqual(spent, 10)

    def test_a_hedge_ratio_of_zero_forbids_hedges(self):
        budget = make_hedge_budget(RetryRules(hedge_ratio=0.0), now=0.0)
        budget.first_attempt()
        self.assertFalse(budget.spend(100.0))

    def test_the_calls_below_a_retry_may_not_retry(self):
        self.assertEqual([allowance_below(1.0, number) for number in (1, 2, 3)], [1.0, 0.0, 0.0])
