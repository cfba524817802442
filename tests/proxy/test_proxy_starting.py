"""How many requests a guard lets start: crowded and cold servers."""

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
from pollenroad.proxy.crowding import TRIALS, Crowding
from pollenroad.proxy.pacing import ColdBound
from tests.proxy.samples import (
    endpoint,
    guard_with,
    hand,
    of_kind,
    run_until,
)


class CrowdingTest(unittest.TestCase):
    def _most_at_once(self, crowded_s: float) -> int:
        """Keep ten requests waiting; the server takes `crowded_s` above eight of ten slots.

        Before that, five at once show what is usual.
        """
        guard, ends, now, number, most = guard_with(endpoint(1, slots=10)), {}, 0.0, 0, 0
        while now < 4.0:
            actions = guard.handle(ServerSeen(is_health=True), now)
            while guard.queued < 10 and (now > 1.0 or len(ends) + guard.queued < 5):
                number += 1
                actions += hand(guard, now, number=number, remaining_ms=5000.0)
            for done in [i for i, end in ends.items() if end <= now]:
                del ends[done]
                actions += guard.handle(ServerAnswered(done, Response(200)), now)
            for run in of_kind(actions, RunAtServer):
                ends[run.attempt.attempt_id] = now + (0.1 if len(ends) < 8 else crowded_s)
            most = max(most, len(ends)) if now > 3.0 else 0
            now += 0.01
        return most

    def test_a_server_that_slows_itself_down_keeps_some_slots_free(self):
        self.assertEqual(self._most_at_once(0.17), 8)

    def test_a_server_that_does_not_is_used_up_to_its_slots(self):
        self.assertEqual(self._most_at_once(0.1), 10)

    def test_work_that_differs_by_a_third_does_not_mislead(self):
        rng = random.Random(1)
        slowed = 0
        for _ in range(200):
            crowding = Crowding()
            for _ in range(TRIALS):
                crowding.add(rng.lognormvariate(0.0, 0.3), 0.0)
            slowed += crowding.bound(10) < 10
        self.assertLess(slowed, 200 * 0.05)


class ColdTest(unittest.TestCase):
    def _most_in_a_second(self, guard, cold_until: float = 0.0, seconds: float = 3.0) -> int:
        """Offer 100 requests a second; the server tells in health answers whether it is cold."""
        starts, now, number, actions = [], 0.0, 0, []
        while now < seconds:
            number += 1
            actions += hand(guard, now, number=number, remaining_ms=200.0)
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

    def test_a_cold_server_gets_what_the_bound_leaves_room_for(self):
        for slack in (5.0, 8.0):
            bound = ColdBound(1.5, slack)
            guard = guard_with(endpoint(1, cold_s=60.0), cold_bound=bound)
            most = self._most_in_a_second(guard, 60.0)
            self.assertTrue(10 * 1.2 <= most <= 10 * 1.5 + slack, most)
            guard = guard_with(endpoint(1), cold_bound=bound)
            self.assertLessEqual(self._most_in_a_second(guard, 60.0), 10 * 1.5 + slack)

    def test_a_server_that_says_it_is_cold_again_is_spared_at_once(self):
        guard = guard_with(endpoint(1))
        guard.handle(ServerSeen(is_health=True), 0.0)
        self.assertLessEqual(self._most_in_a_second(guard, 60.0), 10 * 1.5 + 5)

    def test_answers_alone_do_not_tell_that_a_server_is_warm(self):
        guard = guard_with(endpoint(1))
        guard.handle(ServerSeen(is_health=True), 0.0)
        started = 0
        for number in range(1, 40):
            now = number / 1000
            runs = of_kind(hand(guard, now, number=number), RunAtServer)
            started += len(runs)
            for run in runs:
                guard.handle(ServerSeen(), now)
                guard.handle(ServerAnswered(run.attempt.attempt_id, Response(200)), now)
        self.assertLess(started, 8)

    def test_an_idle_server_is_asked_before_it_gets_many(self):
        guard = guard_with(endpoint(1, slots=50))
        guard.handle(ServerSeen(is_health=True), 0.0)
        actions = [a for n in range(1, 20) for a in hand(guard, 30.0, number=n)]
        self.assertLess(len(of_kind(actions, RunAtServer)), 8)
        self.assertEqual(len(of_kind(actions, CheckServer)), 1)
        actions = guard.handle(ServerSeen(is_health=True), 30.01)
        self.assertTrue(of_kind(actions, RunAtServer))

    def test_a_guard_that_starts_beside_a_warm_server_does_not_spare_it(self):
        guard = guard_with(endpoint(1, cold_s=0.0))
        self.assertGreater(self._most_in_a_second(guard), 50)

    def test_a_server_is_warm_again_in_time(self):
        guard = guard_with(endpoint(1))
        guard.handle(ServerSeen(cold_s=1.0, is_health=True), -2.0)
        self.assertGreater(self._most_in_a_second(guard), 50)
