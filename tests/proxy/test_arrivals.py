"""What is left of the time of an attempt when it arrives at a guard."""

import random
import unittest

from pollenroad.boundary import PeerReceived, RunAtServer
from pollenroad.guard.transit_times import PAUSE_S
from pollenroad.proxy.boundary import ServerSeen
from pollenroad.proxy.entry import Entry
from pollenroad.proxy.guard import make_guard
from pollenroad.proxy.health import IDLE_CHECK_INTERVAL_S
from tests.proxy.samples import (
    PEER,
    RETRIES,
    SERVICE,
    admitted,
    attempt_answers,
    directory_with,
    endpoint,
    guard_with,
    of_kind,
    run_until,
    send_attempt,
    sent,
)

PAUSE = 1.0
"""Length of a pause of the guard's process, in seconds."""


class ArrivalTest(unittest.TestCase):
    def assert_runs_for(self, expected_s: float, actions) -> None:
        """Check that one attempt starts, and how much time its server gets, in seconds."""
        (run,) = of_kind(actions, RunAtServer)
        self.assertAlmostEqual(run.timeout_s, expected_s)


def answer_checks(guard, end: float) -> float:
    """Let an idle guard check its server's health until `end`; return when it last ran."""
    now = 0.0
    while (due := guard.next_due()) <= end:
        now = due
        run_until(guard, now, now)
        guard.handle(ServerSeen(is_health=True), now)
    return now


class IdleGuardTest(ArrivalTest):
    def test_an_idle_guard_gives_the_first_attempt_of_an_entry_all_of_its_time(self):
        """Time without events was taken for a pause, and the attempt was cut off early."""
        for share in (0.5, 0.99):
            with self.subTest(share=share):
                guard = guard_with(endpoint(1))
                at = answer_checks(guard, 5.0) + share * IDLE_CHECK_INTERVAL_S
                actions = send_attempt(guard, at, sent_ms=1.0)
                actions += guard.handle(ServerSeen(is_health=True), at)
                self.assert_runs_for(1.0, actions)

    def test_a_timer_that_is_a_little_late_is_no_pause(self):
        guard = guard_with(endpoint(1))
        now = answer_checks(guard, 5.0)
        at = guard.next_due() + 0.9 * PAUSE_S
        self.assertGreater(at - now, PAUSE_S)
        actions = send_attempt(guard, at, sent_ms=1.0)
        actions += guard.handle(ServerSeen(is_health=True), at)
        self.assert_runs_for(1.0, actions)


class PauseTest(ArrivalTest):
    def _after_pause(self, remaining_ms: float) -> list:
        guard = guard_with(endpoint(1))
        at = answer_checks(guard, 5.0) + IDLE_CHECK_INTERVAL_S + PAUSE
        actions = send_attempt(guard, at, remaining_ms=remaining_ms, sent_ms=1.0)
        return actions + guard.handle(ServerSeen(is_health=True), at)

    def test_after_a_pause_an_attempt_that_may_have_expired_is_refused_as_not_run(self):
        (refusal,) = attempt_answers(self._after_pause(900.0))
        self.assertEqual((refusal.verdict, refusal.reason), ("not-run", "deadline"))

    def test_after_a_pause_the_first_attempt_of_an_entry_is_not_shortened(self):
        """It may have been sent just now; a shortened one is cut off while its server works."""
        self.assert_runs_for(2.0, self._after_pause(2_000.0))


class ClockTest(ArrivalTest):
    def _arrive(self, *arrivals: tuple[float, float]) -> list:
        """Let attempts arrive, given when each was sent and arrives; return the last actions."""
        guard = guard_with(endpoint(1))
        for number, (sent_s, arrived_s) in enumerate(arrivals):
            actions = send_attempt(guard, arrived_s, number=number, sent_ms=sent_s * 1000)
            actions += guard.handle(ServerSeen(is_health=True), arrived_s)
        return actions

    def test_a_delayed_attempt_of_a_known_entry_has_only_what_is_left(self):
        self.assert_runs_for(0.6, self._arrive((50.0, 1.0), (51.0, 2.4)))

    def test_the_drift_of_two_clocks_is_not_taken_for_transit(self):
        """An attempt after an hour without any lost what the clocks had drifted apart meanwhile."""
        self.assert_runs_for(1.0, self._arrive((50.0, 1.0), (50.0 + 3600 * 0.9995, 3601.0)))

    def test_after_a_suspension_of_its_vm_an_entry_has_all_of_its_time(self):
        """The monotonic clock stops meanwhile, so that the next attempts seemed to be delayed."""
        suspended_s = 0.0
        directory = directory_with(endpoint(1))
        guard = make_guard(endpoint(1).server, SERVICE, directory, 0.0)
        entry = Entry(
            "entry", "a", directory, RETRIES, random.Random(1), suspended_s=lambda: suspended_s
        )
        guard.handle(ServerSeen(is_health=True), 0.0)
        for number, (now, at_guard) in enumerate([(1.0, 1.0), (1.1, 6.1)]):
            suspended_s = at_guard - now
            (message,) = sent(entry.handle(admitted(number, timeout_s=1.0), now))
            actions = guard.handle(PeerReceived(PEER, message), at_guard)
            actions += guard.handle(ServerSeen(is_health=True), at_guard)
        self.assert_runs_for(message.remaining_ms / 1000, actions)

    def test_what_arrived_while_the_vm_of_the_guard_was_suspended_has_only_what_is_left(self):
        suspended_s = 0.0
        directory = directory_with(endpoint(1))
        guard = make_guard(
            endpoint(1).server, SERVICE, directory, 0.0, suspended_s=lambda: suspended_s
        )
        guard.handle(ServerSeen(is_health=True), 0.0)
        send_attempt(guard, 0.0, number=1, sent_ms=1.0)
        suspended_s = 5.0
        (refusal,) = attempt_answers(send_attempt(guard, 0.2, number=2, sent_ms=101.0))
        self.assertEqual(refusal.reason, "deadline")
