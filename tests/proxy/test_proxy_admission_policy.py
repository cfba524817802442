"""How many requests a guard starts at servers under contention and at cold servers."""

import random
import unittest

from pollenroad.boundary import (
    RunAtServer,
    ServerAnswered,
)
from pollenroad.messages import Response
from pollenroad.proxy.boundary import (
    CheckServer,
    ServerSeen,
)
from pollenroad.proxy.cold_rate import ColdBound
from pollenroad.proxy.concurrency import DECISION_SAMPLES, ConcurrencyBound
from tests.proxy.samples import (
    endpoint,
    guard_with,
    of_kind,
    run_until,
    send_attempt,
)


class ConcurrencyBoundTest(unittest.TestCase):
    def _most_at_once(self, contended_s: float) -> int:
        """Keep ten requests waiting; the server takes `contended_s` above eight of ten slots.

        Before that, five requests at once establish the usual service time.
        """
        guard, ends, now, number, most = guard_with(endpoint(1, slots=10)), {}, 0.0, 0, 0
        while now < 4.0:
            actions = guard.handle(ServerSeen(is_health=True), now)
            while guard.queued < 10 and (now > 1.0 or len(ends) + guard.queued < 5):
                number += 1
                actions += send_attempt(guard, now, number=number, remaining_ms=5000.0)
            for done in [i for i, end in ends.items() if end <= now]:
                del ends[done]
                actions += guard.handle(ServerAnswered(done, Response(200)), now)
            for run in of_kind(actions, RunAtServer):
                ends[run.attempt.attempt_id] = now + (0.1 if len(ends) < 8 else contended_s)
            most = max(most, len(ends)) if now > 3.0 else 0
            now += 0.01
        return most

    def test_a_server_that_slows_itself_down_keeps_some_slots_free(self):
        self.assertEqual(self._most_at_once(0.17), 8)

    def test_a_server_that_does_not_slow_down_uses_all_slots(self):
        self.assertEqual(self._most_at_once(0.1), 10)

    def test_service_times_that_differ_by_a_third_rarely_lower_the_bound(self):
        rng = random.Random(1)
        slowed = 0
        for _ in range(200):
            concurrency = ConcurrencyBound()
            for _ in range(DECISION_SAMPLES):
                concurrency.add(rng.lognormvariate(0.0, 0.3), 0.0)
            slowed += concurrency.bound(10) < 10
        self.assertLess(slowed, 200 * 0.05)


class ColdTest(unittest.TestCase):
    def _most_in_a_second(self, guard, cold_until: float = 0.0, seconds: float = 3.0) -> int:
        """Offer 100 requests a second; return the most that start within any one second.

        The server states in health responses whether it is cold.
        """
        starts, now, number, actions = [], 0.0, 0, []
        while now < seconds:
            number += 1
            actions += send_attempt(guard, now, number=number, remaining_ms=200.0)
            actions += run_until(guard, now, now + 0.01)
            now += 0.01
            for run in of_kind(actions, RunAtServer):
                starts.append(now)
                guard.handle(ServerAnswered(run.attempt.attempt_id, Response(200)), now)
            checks, actions = of_kind(actions, CheckServer), []
            for _ in checks:
                seen = ServerSeen(cold_s=max(0.0, cold_until - now), is_health=True)
                actions += guard.handle(seen, now)
        return max(sum(1 for s in starts if t <= s < t + 1.0) for t in starts)

    def test_a_cold_server_gets_no_more_than_its_rate(self):
        guard = guard_with(endpoint(1, cold_s=60.0))
        self.assertLessEqual(self._most_in_a_second(guard, 60.0), 10 * 1.5 + 5)

    def test_a_cold_server_gets_as_much_as_its_bound_allows(self):
        for slack in (5.0, 8.0):
            bound = ColdBound(1.5, slack)
            guard = guard_with(endpoint(1, cold_s=60.0), cold_bound=bound)
            most = self._most_in_a_second(guard, 60.0)
            self.assertTrue(10 * 1.2 <= most <= 10 * 1.5 + slack, most)
            guard = guard_with(endpoint(1), cold_bound=bound)
            self.assertLessEqual(self._most_in_a_second(guard, 60.0), 10 * 1.5 + slack)

    def test_a_server_that_reports_a_new_cold_start_is_rate_limited_at_once(self):
        guard = guard_with(endpoint(1))
        guard.handle(ServerSeen(is_health=True), 0.0)
        self.assertLessEqual(self._most_in_a_second(guard, 60.0), 10 * 1.5 + 5)

    def test_a_server_does_not_count_as_warm_by_answers_alone(self):
        guard = guard_with(endpoint(1))
        guard.handle(ServerSeen(is_health=True), 0.0)
        started = 0
        for number in range(1, 40):
            now = number / 1000
            runs = of_kind(send_attempt(guard, now, number=number), RunAtServer)
            started += len(runs)
            for run in runs:
                guard.handle(ServerSeen(), now)
                guard.handle(ServerAnswered(run.attempt.attempt_id, Response(200)), now)
        self.assertLess(started, 8)

    def test_an_idle_server_is_checked_before_it_gets_many_requests(self):
        guard = guard_with(endpoint(1, slots=50))
        guard.handle(ServerSeen(is_health=True), 0.0)
        send_attempt(guard, number=20, sent_ms=1.0)
        arrivals = (send_attempt(guard, 30.0, number=n, sent_ms=30_001.0) for n in range(1, 20))
        actions = [action for each in arrivals for action in each]
        self.assertLess(len(of_kind(actions, RunAtServer)), 8)
        self.assertEqual(len(of_kind(actions, CheckServer)), 1)
        actions = guard.handle(ServerSeen(is_health=True), 30.01)
        self.assertTrue(of_kind(actions, RunAtServer))

    def test_a_guard_that_starts_at_a_warm_server_does_not_limit_its_rate(self):
        guard = guard_with(endpoint(1, cold_s=0.0))
        self.assertGreater(self._most_in_a_second(guard), 50)

    def test_the_rate_limit_ends_with_the_cold_period(self):
        guard = guard_with(endpoint(1))
        guard.handle(ServerSeen(cold_s=1.0, is_health=True), -2.0)
        self.assertGreater(self._most_in_a_second(guard), 50)


class PriorityTest(unittest.TestCase):
    def test_a_priority_below_zero_goes_first(self):
        """A priority of -1 divided by zero, so that every attempt of the route failed."""
        guard = guard_with(endpoint(1, slots=1))
        send_attempt(guard, 0.0, number=1)
        for number, priority in ((2, 0), (3, -1), (4, -2)):
            send_attempt(guard, 0.0, number=number, priority=priority, request_class=f"r{number}")
        started = []
        for number in (1, 4, 3):
            actions = guard.handle(ServerAnswered(f"entry-{number}", Response(200)), 0.01)
            started += [run.attempt.attempt_id for run in of_kind(actions, RunAtServer)]
        self.assertEqual(started, ["entry-4", "entry-3", "entry-2"])
