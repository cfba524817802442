"""Attempts, retries, hedges and answers of the entry core."""

import unittest

from pollenroad.boundary import AttemptUnsent, CallAbandoned, PeerLost, PeerReceived, SendPeer, Tick
from pollenroad.messages import AttemptAnswer, CancelAttempt, Request
from pollenroad.proxy.boundary import (
    DirectoryChanged,
    DrainExpired,
    LoadHeard,
    RequestAdmitted,
    RequestArrived,
)
from pollenroad.proxy.budgets import BudgetRules
from pollenroad.proxy.calls import DEFER_SHARE, LOST_ANSWER_WAIT_S, PEER_LOST
from pollenroad.proxy.refusals import SLOW
from pollenroad.proxy.selection import MAX_PUSHBACK_BODY_BYTES, MAX_PUSHBACKS
from pollenroad.verdicts import Verdict
from tests.proxy.samples import (
    NO_RETRIES,
    RETRIES,
    admitted,
    answer,
    answers,
    configuration,
    endpoint,
    entry_with,
    report,
    route,
    run_until,
    sent,
)


def ended(attempt, verdict: str, reason: str = "", **changes) -> PeerReceived:
    return PeerReceived("", AttemptAnswer(attempt.attempt_id, verdict, reason, **changes))


def guard_of(attempt) -> str:
    """Return the peer address of the guard that an attempt was sent to."""
    return f"127.0.0.{attempt.incarnation.removeprefix('i-')}:7000"


class RequestTest(unittest.TestCase):
    def test_a_caller_gets_one_answer(self):
        entry = entry_with(endpoint(1))
        (first,) = sent(entry.handle(admitted(), 0.0))
        (reply,) = answers(entry.handle(PeerReceived("", answer(first)), 0.1))
        self.assertEqual((reply.call_id, reply.response.status), ("c1", 200))
        self.assertEqual(answers(entry.handle(PeerReceived("", answer(first)), 0.2)), [])
        self.assertEqual(answers(run_until(entry, 0.2, 10.0)), [])

    def test_an_attempt_states_the_remaining_time(self):
        """All that is left: a server that got less was cut off before the route's timeout."""
        for deadline_s, remaining_ms in ((0.4, 400.0), (5.0, 1000.0)):
            (first,) = sent(entry_with(endpoint(1)).handle(admitted(deadline_s=deadline_s), 0.0))
            self.assertEqual(first.remaining_ms, remaining_ms)

    def test_a_request_is_answered_at_the_timeout_of_its_route(self):
        entry = entry_with(endpoint(1))
        (first,) = sent(entry.handle(admitted(name="bind"), 0.0))
        actions = run_until(entry, 0.0, 1.0)
        (reply,) = answers(actions)
        self.assertEqual((reply.verdict, reply.reason), (Verdict.UNKNOWN, "timeout"))
        self.assertIn(SendPeer("127.0.0.1:7000", CancelAttempt(first.attempt_id)), actions)

    def test_a_request_that_no_server_runs_is_refused_before_its_deadline(self):
        entry = entry_with()
        entry.handle(admitted(name="bind", deadline_s=0.05), 0.0)
        (reply,) = answers(run_until(entry, 0.0, 0.03))
        self.assertEqual((reply.verdict, reply.reason), (Verdict.NOT_RUN, "timeout"))

    def test_a_request_at_work_is_not_ended_before_the_deadline_of_its_caller(self):
        """The time for the way back was taken from the server, which was cut off at work."""
        entry = entry_with(endpoint(1))
        (first,) = sent(entry.handle(admitted(name="bind", deadline_s=0.5), 0.0))
        self.assertEqual(answers(run_until(entry, 0.0, 0.499)), [])
        (reply,) = answers(run_until(entry, 0.499, 0.5))
        self.assertEqual((reply.verdict, reply.reason), (Verdict.UNKNOWN, "timeout"))
        self.assertEqual(answers(entry.handle(PeerReceived("", answer(first)), 0.51)), [])

    def test_a_server_without_an_answer_in_time_counts_as_failing(self):
        """Also if its caller gives up first; the next request would go to it again."""
        for event, at in ((Tick(), 0.5), (CallAbandoned("c1"), 0.48)):
            with self.subTest(event=event):
                entry = entry_with(endpoint(1))
                (first,) = sent(entry.handle(admitted(name="bind", deadline_s=0.5), 0.0))
                view = entry._open_attempts[first.attempt_id].view
                run_until(entry, 0.0, at - 0.001)
                self.assertEqual(view.failure_share(at), 0)
                entry.handle(event, at)
                self.assertGreater(view.failure_share(at), 0)

    def test_an_abandoned_request_is_cancelled_at_the_guard(self):
        entry = entry_with(endpoint(1))
        (first,) = sent(entry.handle(admitted(), 0.0))
        actions = entry.handle(CallAbandoned("c1"), 0.1)
        self.assertIn(SendPeer("127.0.0.1:7000", CancelAttempt(first.attempt_id)), actions)
        self.assertEqual(entry.open_calls, 0)

    def test_at_the_end_of_a_drain_each_request_gets_its_verdict(self):
        entry = entry_with(endpoint(1))
        (lookup,) = sent(entry.handle(admitted(1), 0.0))
        (bind,) = sent(entry.handle(admitted(2, "bind"), 0.0))
        actions = entry.handle(DrainExpired(), 0.5)
        verdicts = {reply.call_id: reply.verdict for reply in answers(actions)}
        self.assertEqual(verdicts, {"c1": Verdict.UNKNOWN, "c2": Verdict.UNKNOWN})
        cancelled = [a.message for a in actions if isinstance(a, SendPeer)]
        self.assertEqual(cancelled, [CancelAttempt(lookup.attempt_id)])
        self.assertEqual(entry.handle(PeerReceived("", answer(bind)), 0.6), [])

    def test_a_request_is_deferred_until_an_endpoint_is_available(self):
        entry = entry_with()
        self.assertEqual(answers(entry.handle(admitted(), 0.0)), [])
        entry._directory.handle(DirectoryChanged(11, (endpoint(1),)), 0.01)
        self.assertEqual(len(sent(run_until(entry, 0.01, 0.05))), 1)

    def test_a_request_without_an_endpoint_is_refused_early_as_not_run(self):
        entry = entry_with()
        entry.handle(admitted(), 0.0)
        (reply,) = answers(run_until(entry, 0.0, DEFER_SHARE * 0.5 + 0.001))
        self.assertEqual((reply.verdict, reply.reason), (Verdict.NOT_RUN, "no-endpoint"))
        self.assertGreater(reply.retry_after_ms, 0)


class RetryTest(unittest.TestCase):
    def _second(self, name: str, verdict: str, budget=RETRIES, **changes):
        """End a first attempt with `verdict`; return the entry and the actions that follow."""
        entry = entry_with(endpoint(1), endpoint(2), budget=budget)
        (first,) = sent(entry.handle(admitted(name=name), 0.0))
        return entry, entry.handle(ended(first, verdict, "x", **changes), 0.05)

    def test_what_may_have_run_is_retried_only_if_idempotent(self):
        _, actions = self._second("bind", "unknown")
        self.assertEqual(sent(actions), [])
        self.assertEqual(answers(actions)[0].verdict, Verdict.UNKNOWN)
        _, actions = self._second("lookup", "unknown")
        self.assertEqual(len(sent(actions)), 1)

    def test_a_refusal_by_the_guard_is_retried_without_a_budget(self):
        _, actions = self._second("bind", "not-run", NO_RETRIES)
        self.assertEqual(len(sent(actions)), 1)

    def test_a_retry_at_a_second_server_takes_a_token_of_the_budget(self):
        for verdict, reached in (("unknown", True), ("not-run", True)):
            entry, actions = self._second("lookup", verdict, reached_server=reached)
            self.assertEqual(len(sent(actions)), 1)
            entry, actions = self._second("lookup", verdict, NO_RETRIES, reached_server=reached)
            entry.budgets.of("registry", 0.0).tokens = 0.0
        entry = entry_with(endpoint(1), endpoint(2), budget=NO_RETRIES)
        entry.budgets.of("registry", 0.0).tokens = 0.0
        (first,) = sent(entry.handle(admitted(), 0.0))
        actions = entry.handle(ended(first, "unknown", reached_server=True), 0.05)
        self.assertEqual(sent(actions), [])
        self.assertEqual(answers(actions)[0].verdict, Verdict.UNKNOWN)

    def test_all_entries_together_keep_the_bound_on_retries(self):
        rules = BudgetRules(ratio=0.2, slack=204.0, window_s=10.0)
        for count in (1, 9, 82, 300):
            endpoints = [endpoint(n, guard=f"127.0.{n}.1:7000") for n in range(1, count + 1)]
            entry = entry_with(*endpoints, budget=rules)
            requests = spent = 0
            budget = entry.budgets.of("registry", 0.0)
            budget.tokens = budget.capacity
            for step in range(1000):
                now = step / 100
                if step % 20 == 0:
                    budget.deposit()
                    requests += 1
                spent += budget.try_spend(now)
            entries = max(count, 1)
            allowed = 0.2 * requests * entries + 204.0
            self.assertLessEqual(spent * entries, max(allowed, 1.0 * entries), count)

    def test_a_request_reaches_no_more_servers_than_max_attempts(self):
        entry, actions = self._second("lookup", "unknown")
        (second,) = sent(actions)
        actions = entry.handle(ended(second, "unknown", "x", reached_server=True), 0.1)
        self.assertEqual(sent(actions), [])

    def test_shedding_by_a_server_counts_as_an_attempt(self):
        entry, actions = self._second("bind", "not-run", reached_server=True)
        (second,) = sent(actions)
        actions = entry.handle(ended(second, "not-run", "shed", reached_server=True), 0.1)
        self.assertEqual(sent(actions), [])
        self.assertEqual(answers(actions)[0].verdict, Verdict.NOT_RUN)

    # A second refusal by a server could be a copy of its first one, while the request runs.
    def test_a_request_that_must_not_repeat_is_sent_once_to_a_server_that_refused_it(self):
        for name, is_sent_again in (("bind", False), ("lookup", True)):
            entry, actions = self._second(name, "not-run", reached_server=True)
            (second,) = sent(actions)
            actions = entry.handle(AttemptUnsent(second.attempt_id), 0.05)
            actions += run_until(entry, 0.05, 0.3)
            first = {"i-1": "i-2", "i-2": "i-1"}[second.incarnation]
            self.assertEqual(first in {a.incarnation for a in sent(actions)}, is_sent_again, name)

    def test_a_refusal_after_an_unknown_attempt_is_answered_as_unknown(self):
        entry, actions = self._second("lookup", "unknown")
        (second,) = sent(actions)
        actions = entry.handle(ended(second, "not-run", "shed", reached_server=True), 0.1)
        self.assertEqual(answers(actions)[0].verdict, Verdict.UNKNOWN)

    def test_a_server_error_is_kept_while_another_server_is_tried(self):
        entry = entry_with(endpoint(1), endpoint(2))
        (first,) = sent(entry.handle(admitted(), 0.0))
        (second,) = sent(entry.handle(PeerReceived("", answer(first, 500)), 0.1))
        actions = entry.handle(ended(second, "unknown", "reset", reached_server=True), 0.2)
        self.assertEqual(answers(actions)[0].response.status, 500)

    def test_a_server_error_of_a_non_idempotent_request_is_final(self):
        entry = entry_with(endpoint(1), endpoint(2))
        (first,) = sent(entry.handle(admitted(name="bind"), 0.0))
        actions = entry.handle(PeerReceived("", answer(first, 500)), 0.1)
        self.assertEqual((len(sent(actions)), answers(actions)[0].response.status), (0, 500))

    def test_an_endpoint_with_an_unreachable_guard_is_ejected(self):
        entry = entry_with(endpoint(1), endpoint(2))
        (first,) = sent(entry.handle(admitted(name="bind"), 0.0))
        (second,) = sent(entry.handle(AttemptUnsent(first.attempt_id), 0.01))
        self.assertNotEqual(first.incarnation, second.incarnation)
        for number in range(2, 8):
            (other,) = sent(entry.handle(admitted(number), 0.02))
            self.assertEqual(other.incarnation, second.incarnation)

    def test_attempts_on_a_lost_connection_may_have_run(self):
        slow = configuration(routes=(route("bind", timeout_s=9.0),))
        entry = entry_with(endpoint(1), endpoint(2), config=slow)
        (bind,) = sent(entry.handle(admitted(1, "bind", 9.0, timeout_s=9.0), 0.0))
        actions = entry.handle(PeerLost(guard_of(bind)), 0.1)
        self.assertEqual(sent(actions + run_until(entry, 0.1, 9.0)), [])
        (reply,) = answers(actions)
        self.assertEqual((reply.verdict, reply.reason), (Verdict.UNKNOWN, "peer-lost"))


class LoadTest(unittest.TestCase):
    def test_a_request_that_must_not_repeat_awaits_its_answer_from_a_silent_guard(self):
        entry = entry_with(endpoint(1), endpoint(2))
        (bind,) = sent(entry.handle(admitted(2, "bind"), 0.0))
        self.assertEqual(entry.handle(PeerLost(guard_of(bind), is_silent=True), 0.2), [])
        (reply,) = answers(entry.handle(PeerReceived("", answer(bind)), 0.4))
        self.assertEqual(reply.verdict, Verdict.RAN)

    def test_that_wait_ends_with_an_unknown_verdict(self):
        slow = configuration(routes=(route("bind", timeout_s=9.0),))
        entry = entry_with(endpoint(1), config=slow)
        (bind,) = sent(entry.handle(admitted(2, "bind", 9.0, timeout_s=9.0), 0.0))
        entry.handle(PeerLost(guard_of(bind), is_silent=True), 0.2)
        (reply,) = answers(run_until(entry, 0.2, 0.2 + LOST_ANSWER_WAIT_S))
        self.assertEqual((reply.verdict, reply.reason), (Verdict.UNKNOWN, PEER_LOST))

    def test_endpoints_of_the_own_failure_domain_are_preferred(self):
        entry = entry_with(endpoint(1, "b"), endpoint(2, "a"))
        chosen = {sent(entry.handle(admitted(n), 0.0))[0].incarnation for n in range(3)}
        self.assertEqual(chosen, {"i-2"})

    def test_a_slow_server_is_avoided_in_favour_of_another_failure_domain(self):
        entry = entry_with(endpoint(1, "b"), endpoint(2, "a"))
        (first,) = sent(entry.handle(admitted(1), 0.0))
        entry.handle(PeerReceived("", answer(first)), 0.1)
        slow = report("i-2", slowdown=7.0)
        entry.handle(LoadHeard("127.0.0.2", slow), 0.2)
        (second,) = sent(entry.handle(admitted(2), 0.25))
        self.assertEqual(second.incarnation, "i-1")

    def test_an_old_report_of_a_slowdown_is_ignored(self):
        entry = entry_with(endpoint(1, "b"), endpoint(2, "a"))
        sent(entry.handle(admitted(1), 0.0))
        entry.handle(LoadHeard("127.0.0.2", report("i-2", slowdown=7.0)), 0.2)
        (second,) = sent(entry.handle(admitted(2), 5.0))
        self.assertEqual(second.incarnation, "i-2")

    def test_a_pushback_is_retried_by_the_load_that_the_guard_reported(self):
        entry = entry_with(endpoint(1), endpoint(2))
        (first,) = sent(entry.handle(admitted(1, "bind"), 0.0))
        load = report(first.incarnation, slowdown=7.0)
        (second,) = sent(entry.handle(ended(first, "not-run", SLOW, load=load), 0.01))
        self.assertNotEqual(second.incarnation, first.incarnation)

    def test_a_request_with_a_long_body_asks_for_no_pushback(self):
        entry = entry_with(endpoint(1))
        request = Request("POST", "/bind/17", body=b"x" * (MAX_PUSHBACK_BODY_BYTES + 1))
        call = RequestAdmitted(
            RequestArrived("c1", "q1", "races.example", request, 5.0), route("bind")
        )
        (message,) = sent(entry.handle(call, 0.0))
        self.assertEqual(message.assumed_slowdown, 0.0)

    def test_pushbacks_of_a_request_are_limited(self):
        entry = entry_with(endpoint(1))
        (current,) = sent(entry.handle(admitted(1), 0.0))
        for _ in range(MAX_PUSHBACKS):
            self.assertGreater(current.assumed_slowdown, 0)
            (current,) = sent(entry.handle(ended(current, "not-run", SLOW), 0.01))
        self.assertEqual(current.assumed_slowdown, 0)

    def test_a_late_idempotent_request_is_hedged_and_the_slower_attempt_cancelled(self):
        entry = entry_with(endpoint(1), endpoint(2))
        (first,) = sent(entry.handle(admitted(), 0.0))
        (second,) = sent(run_until(entry, 0.0, 0.4))
        self.assertNotEqual(first.incarnation, second.incarnation)
        actions = entry.handle(PeerReceived("", answer(second)), 0.45)
        self.assertEqual(len(answers(actions)), 1)
        cancels = [a.message for a in actions if isinstance(a, SendPeer)]
        self.assertIn(CancelAttempt(first.attempt_id), cancels)

    def test_the_hedge_check_is_repeated_while_no_endpoint_is_faster(self):
        entry = entry_with(endpoint(1), endpoint(2))
        (first,) = sent(entry.handle(admitted(), 0.0))
        other = {"i-1": "i-2", "i-2": "i-1"}[first.incarnation]
        entry.handle(admitted(2), 0.0)
        entry.fleet.view(endpoint(int(other[-1]))).learn(report(other, state="down"), 0.2)
        self.assertEqual(sent(run_until(entry, 0.2, 0.4)), [])
        entry.handle(LoadHeard("", report(other, sequence=2)), 0.45)
        self.assertEqual([a.request_id for a in sent(run_until(entry, 0.45, 0.7))][:1], ["q1"])

    def test_a_non_idempotent_request_is_never_hedged(self):
        entry = entry_with(endpoint(1), endpoint(2))
        entry.handle(admitted(name="bind"), 0.0)
        self.assertEqual(sent(run_until(entry, 0.0, 5.0)), [])

    def test_a_paused_entry_answers_requests_that_timed_out_meanwhile(self):
        entry = entry_with(endpoint(1))
        entry.handle(admitted(), 0.0)
        (reply,) = answers(entry.handle(Tick(), 30.0))
        self.assertEqual(reply.reason, "timeout")
