"""Tests of what an entry knows of an endpoint."""

import unittest

from pollenroad.entry.latencies import Latencies
from pollenroad.entry.loads import make_endpoint_load
from tests.entry_samples import make_endpoint, make_report

TYPICAL_S = 0.02


class EndpointLoadTest(unittest.TestCase):
    def setUp(self):
        self.load = make_endpoint_load(make_endpoint(1), slots=10)
        self.latencies = Latencies()
        for number in range(100):
            self.latencies.add(TYPICAL_S + number * 0.0001)

    def test_an_open_attempt_that_grows_old_counts_before_its_answer_comes(self):
        self.load.sent("a", self.latencies, 0.0)
        self.assertLess(self.load.stall_chance(0.01), 0.2)
        self.assertGreater(self.load.stall_chance(0.04), 0.8)
        self.load.answered("a", 0.06, TYPICAL_S, 0.06)
        self.assertLess(self.load.stall_chance(0.06), 0.1)

    def test_two_attempts_that_are_open_together_raise_suspicion_sooner_than_one(self):
        self.load.sent("a", self.latencies, 0.0)
        one = self.load.stall_chance(0.021)
        self.load.sent("b", self.latencies, 0.0)
        self.assertGreater(self.load.stall_chance(0.021), one)

    def test_giving_up_a_late_attempt_does_not_clear_the_endpoint(self):
        self.load.sent("a", self.latencies, 0.0)
        self.load.cancelled("a", TYPICAL_S, 0.06)
        self.assertGreater(self.load.stall_chance(0.1), 0.8)
        self.assertLess(self.load.stall_chance(0.2), 0.2)

    def test_an_endpoint_that_answered_just_now_is_trusted_most(self):
        self.load.answered("a", TYPICAL_S, TYPICAL_S, 1.0)
        self.assertLess(self.load.stall_chance(1.001), self.load.stall_chance(1.2))

    def test_an_older_report_is_ignored_but_not_that_of_a_restarted_guard(self):
        self.load.learn(make_report("booking-1", sequence=9, bound=8), 1.0)
        self.assertFalse(self.load.learn(make_report("booking-1", sequence=8, bound=2), 1.1))
        self.assertEqual(self.load.bound, 8)
        self.load.unreachable(1.2)
        self.assertTrue(self.load.learn(make_report("booking-1", sequence=1, bound=2), 1.3))
        self.assertEqual(self.load.bound, 2)

    def test_what_others_have_in_flight_falls_back_to_its_average(self):
        self.load.answered("a", TYPICAL_S, TYPICAL_S, 0.0)
        self.load.learn(make_report("booking-1", in_flight=9), 0.0)
        self.assertAlmostEqual(self.load.in_flight(0.0), 9.0)
        self.assertLess(self.load.in_flight(0.1), 1.0)

    def test_a_leaving_endpoint_gets_a_trial_only_after_silence(self):
        self.load.learn(make_report("booking-1", state="draining"), 0.0)
        self.assertTrue(self.load.is_out(4.9))
        self.assertFalse(self.load.is_out(5.1))

    def test_a_straggler_that_stays_slow_is_forgotten_more_slowly(self):
        for now in (0.0, 2.0, 6.0):
            self.load.answered("a", 0.1, TYPICAL_S, now)
        after_three = self.load.expected_s(TYPICAL_S, 8.0)
        once = make_endpoint_load(make_endpoint(1), slots=10)
        once.answered("a", 0.1, TYPICAL_S, 6.0)
        self.assertGreater(after_three, once.expected_s(TYPICAL_S, 8.0))

    def test_failures_count_however_fast_they_are(self):
        for number in range(5):
            self.load.failed("a", number * 0.01)
        self.assertGreater(self.load.failure_share(0.05), 0.7)
        self.assertEqual(self.load.latency_s, 0.0)
