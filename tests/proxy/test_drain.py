"""Which requests a stopping daemon accepts, and which of them it may cut off."""

import itertools
import unittest

from pollenroad.proxy.boundary import RequestAdmitted
from pollenroad.proxy.dialect import OWN_DIALECT
from pollenroad.proxy.directory import make_directory
from pollenroad.proxy.drain import make_drain_plan
from pollenroad.proxy.workspaces.gate import RequestGate
from pollenroad.verdicts import Verdict
from tests.proxy.samples import (
    answers,
    arrived,
    configuration,
    directory_with,
    endpoint,
    read,
    route,
)

GRACES_S = (0.2, 1.0, 2.0, 3.0, 4.0, 6.0, 6.7, 8.0, 10.0, 15.0, 30.0, 120.0)
"""Times between SIGTERM and SIGKILL, in seconds."""

EXCUSED_S = 3.0
"""Time after a SIGTERM in which callers may still send requests that take longer than the stop."""

LAST_SIXTH = 5 / 6


class DrainPlanTest(unittest.TestCase):
    def test_a_request_that_may_be_cut_off_was_sent_early_and_is_cut_late(self):
        """With a grace above 6.7 s, requests accepted after 3 s were cut off at 0.9 of it."""
        times_s = [step / 10 for step in range(300)]
        for grace_s, longest_s in itertools.product(GRACES_S, (0.1, 0.5, 1.5, 6.0, 30.0)):
            plan = make_drain_plan(100.0, grace_s)
            self.assertGreaterEqual(plan.cut_at, 100.0 + LAST_SIXTH * grace_s)
            for after_s in times_s:
                is_cut = 100.0 + after_s + longest_s > plan.cut_at
                if is_cut and plan.accepts(longest_s, 100.0 + after_s):
                    self.assertLess(after_s, EXCUSED_S, (grace_s, longest_s))

    def test_the_last_answers_are_sent_before_the_process_is_killed(self):
        """With a grace below 4 s, the process was killed while it answered."""
        for grace_s in GRACES_S:
            plan = make_drain_plan(100.0, grace_s)
            self.assertGreater(plan.last_answers_s(plan.cut_at), 0.0)
            self.assertLess(plan.cut_at + plan.last_answers_s(plan.cut_at), 100.0 + grace_s)

    def test_requests_that_can_end_in_time_are_accepted_as_long_as_there_are_any(self):
        plan = make_drain_plan(100.0, 10.0)
        self.assertTrue(plan.accepts(1.5, 107.0))
        self.assertFalse(plan.accepts(1.5, 108.0))


class GateTest(unittest.TestCase):
    def _gate(self):
        routes = (route(timeout_s=6.0), route("bind", timeout_s=1.5))
        config = configuration(routes=routes)
        return RequestGate(directory_with(endpoint(1), config=config), OWN_DIALECT)

    def _admitted(self, gate, request, now: float) -> bool:
        *_, last = gate.handle(request, now)
        return isinstance(last, RequestAdmitted)

    def test_a_stopping_daemon_refuses_what_it_may_cut_off(self):
        gate = self._gate()
        self.assertTrue(self._admitted(gate, arrived(1, deadline_s=12.0), 104.0))
        gate.drain_plan = make_drain_plan(100.0, 10.0)
        self.assertTrue(self._admitted(gate, arrived(2, deadline_s=12.0), 102.0))
        (refusal,) = answers(gate.handle(arrived(3, deadline_s=12.0), 104.0))
        self.assertEqual((refusal.verdict, refusal.reason), (Verdict.NOT_RUN, "leaving"))
        self.assertGreater(refusal.retry_after_ms, 0)

    def test_the_timeout_and_the_deadline_decide_whether_a_request_can_end_in_time(self):
        gate = self._gate()
        gate.drain_plan = make_drain_plan(100.0, 10.0)
        self.assertTrue(self._admitted(gate, arrived(1, "bind", deadline_s=12.0), 104.0))
        self.assertTrue(self._admitted(gate, arrived(2, deadline_s=2.0), 104.0))

    def test_a_request_that_waited_for_a_configuration_is_refused_if_it_has_no_time_left(self):
        directory = make_directory()
        gate = RequestGate(directory, OWN_DIALECT)
        gate.drain_plan = make_drain_plan(100.0, 10.0)
        self.assertEqual(gate.handle(arrived(deadline_s=12.0), 102.6), [])
        event = read(endpoint(1), config=configuration(routes=(route(timeout_s=6.8),)))
        directory.handle(event, 102.9)
        (refusal,) = answers(gate.handle(event, 102.9))
        self.assertEqual((refusal.verdict, refusal.reason), (Verdict.NOT_RUN, "leaving"))


if __name__ == "__main__":
    unittest.main()
