"""Servers that state a limit on their requests, or that they leave, on simulated time."""

import unittest

from pollenroad.boundary import RunAtServer, ServerAnswered, Tick
from pollenroad.messages import Response
from pollenroad.proxy.advertised import RateLimit
from pollenroad.proxy.boundary import CheckServer, ServerAdvertised, ServerSeen
from tests.proxy.samples import (
    attempt_answers,
    endpoint,
    events_of,
    guard_with,
    of_kind,
    send_attempt,
)

LIMIT_PER_S = 5.0
WORK_S = 0.1
SECONDS = 12.0
STEP_S = 0.005
STEPS_PER_REQUEST = 7
"""28 requests a second."""
WINDOW_S = 4.0
ALLOWED = 1.5 * WINDOW_S * LIMIT_PER_S + 5
"""Requests that such a server may get in `WINDOW_S`, by the users' rule LIMIT."""


def starts_at_limited_server() -> list[float]:
    """Send requests to a guard at a constant rate; return when each started at the server."""
    guard = guard_with(endpoint(1, slots=18))
    guard.handle(ServerAdvertised("i-1", RateLimit(LIMIT_PER_S)), 0.0)
    started, ends = [], []

    def see(actions, now: float) -> None:
        for run in of_kind(actions, RunAtServer):
            started.append(now)
            ends.append((now + WORK_S, run.attempt.attempt_id))
        if of_kind(actions, CheckServer):
            see(guard.handle(ServerSeen(is_health=True), now), now)

    for step in range(int(SECONDS / STEP_S)):
        now = step * STEP_S
        while ends and ends[0][0] <= now:
            see(guard.handle(ServerAnswered(ends.pop(0)[1], Response(200)), now), now)
        if step % STEPS_PER_REQUEST == 0:
            see(send_attempt(guard, now, number=step, usual_ms=WORK_S * 1000), now)
        see(guard.handle(Tick(), now), now)
    return started


class GuardTest(unittest.TestCase):
    @unittest.expectedFailure  # KNOWN-RED.txt 15
    def test_a_server_gets_no_more_requests_than_the_limit_that_it_states(self):
        started = starts_at_limited_server()
        most = max(sum(at <= t < at + WINDOW_S for t in started) for at in started)
        self.assertLessEqual(most, ALLOWED)

    @unittest.expectedFailure  # KNOWN-RED.txt 16
    def test_a_server_that_states_that_it_leaves_gets_no_new_requests(self):
        guard = guard_with(endpoint(1))
        actions = guard.handle(ServerAdvertised("i-1", is_leaving=True), 1.0)
        self.assertIn("server_leaving", events_of(actions))
        (refusal,) = attempt_answers(send_attempt(guard, 1.0, number=2))
        self.assertEqual((refusal.verdict, refusal.reason), ("not-run", "leaving"))


if __name__ == "__main__":
    unittest.main()
