"""The entry core of the HTTP proxy: endpoint selection, retries, hedges and verdicts.

Requests come from the gate (`pollenroad.proxy.workspaces.gate`), with their route. A request gets
exactly one answer, at its route's timeout at the latest. It is sent again only if it did not run or
is idempotent. Each attempt after one that may have reached a server takes a token
from a budget (`pollenroad.entry.retries`), so that retries stay within the fleet's bound.
"""

import random
from collections.abc import Callable, Iterator

from pollenroad.boundary import (
    Action,
    AttemptUnsent,
    CallAbandoned,
    PeerLost,
    PeerReceived,
    SendPeer,
    Tick,
)
from pollenroad.messages import AttemptAnswer, Response
from pollenroad.proxy.admission.activation import Activation
from pollenroad.proxy.admission.retry_policy import RetryPolicy
from pollenroad.proxy.answers import DAEMON_FAULTS, answer_to, is_success
from pollenroad.proxy.boundary import (
    DrainExpired,
    Event,
    KeysChanged,
    LoadHeard,
    RequestAdmitted,
)
from pollenroad.proxy.budgets import BudgetRules, Budgets
from pollenroad.proxy.calls import (
    LOST_ANSWER_WAIT_S,
    PEER_LOST,
    RECHECK_S,
    OpenAttempt,
    OpenCall,
    make_open_call,
)
from pollenroad.proxy.dialect import OWN_DIALECT, Dialect
from pollenroad.proxy.directory import Directory
from pollenroad.proxy.fleet import EndpointView
from pollenroad.proxy.load_learning import learn_from_answer, learn_from_datagram
from pollenroad.proxy.open_attempts import OpenAttempts
from pollenroad.proxy.records import attempt_ended, attempt_sent, call_answered
from pollenroad.proxy.recovery.repeat_gate import RepeatGate
from pollenroad.proxy.refusals import LIMITED
from pollenroad.proxy.routes import Splitter
from pollenroad.proxy.selection import EndpointSelector
from pollenroad.proxy.workspaces.keys import UNKNOWN_KEY, recheck
from pollenroad.timers import Timers
from pollenroad.verdicts import Verdict


class Entry:
    """State of one entry: open requests, their attempts, and the load of endpoints."""

    def __init__(
        self,
        incarnation: str,
        failure_domain: str,
        directory: Directory,
        rules: BudgetRules,
        rng: random.Random,
        dialect: Dialect = OWN_DIALECT,
        suspended_s: Callable[[], float] = lambda: 0.0,
    ):
        self._selector = EndpointSelector(incarnation, failure_domain, directory, rng, suspended_s)
        self.fleet = self._selector.fleet
        self._directory = directory
        self._dialect = dialect
        self.budgets = Budgets(rules, directory)
        self._retries = RetryPolicy(self.budgets, self._selector.latencies, Activation(directory))
        self._repeats = RepeatGate(directory, self.fleet)
        self._splitter = Splitter()
        self._call_by_id: dict[str, OpenCall] = {}
        self._open_attempts = OpenAttempts()
        self._timers = Timers()
        self.on_failed_call: Callable[[str], None] = lambda route: None
        """Is called with the route of each request that fails or is refused."""

    @property
    def open_calls(self) -> int:
        """Number of requests that the gate has passed on, without an answer yet."""
        return len(self._call_by_id)

    def set_caller(self, caller: str) -> None:
        """Set the service on this VM, which is stated to servers as the origin of requests."""
        self._selector.caller = caller

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        return self._timers.next_due()

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process one event and return the resulting actions."""
        return list(self._actions(event, now))

    def _actions(self, event: Event, now: float) -> Iterator[Action]:
        match event:
            case RequestAdmitted():
                yield from self._on_admitted(event, now)
            case KeysChanged():
                yield from self._on_keys_changed(now)
            case PeerReceived(_, AttemptAnswer() as answer):
                yield from self._on_answer(answer, now)
            case LoadHeard(_, report):
                yield from learn_from_datagram(self.fleet, report, now)
            case CallAbandoned(call_id):
                yield from self._abandon(call_id, now)
            case AttemptUnsent(attempt_id):
                yield from self._on_unsent(attempt_id, now)
            case PeerLost(peer, is_silent):
                yield from self._on_peer_lost(peer, is_silent, now)
            case DrainExpired():
                yield from self._on_drain_expired(now)
            case Tick():
                yield from self._on_tick(now)

    # --- Requests ---

    def _on_admitted(self, admitted: RequestAdmitted, now: float) -> Iterator[Action]:
        call = make_open_call(admitted, self._splitter.service_of(admitted.route), now)
        call_id = admitted.arrived.call_id
        self._call_by_id[call_id] = call
        self.budgets.of(call.service, now).deposit()
        self._timers.set(("end", call_id), call.deadline)
        yield from self._send(call, "first", now)

    def _on_keys_changed(self, now: float) -> Iterator[Action]:
        """Refuse the requests whose key was removed; those with an open attempt await its end."""
        for call in list(self._call_by_id.values()):
            recheck(call, self._directory, self._dialect)
            if call.is_revoked:
                self._timers.cancel(("look", call.arrived.call_id))
                if not call.open_attempt_ids:
                    yield from self._finish(call, Verdict.NOT_RUN, UNKNOWN_KEY, now)

    def _send(self, call: OpenCall, role: str, now: float) -> Iterator[Action]:
        chosen = self._selector.select(call, now)
        if chosen is None:
            yield from self._defer(call, now)
            return
        yield from self._send_to(call, *chosen, role, now)

    def _send_to(
        self, call: OpenCall, view: EndpointView, cost_s: float, role: str, now: float
    ) -> Iterator[Action]:
        message = self._selector.make_attempt(call, view, now)
        self._open_attempts.open(call, message.attempt_id, view, now)
        self._schedule_hedge_check(call, view, now)
        yield attempt_sent(call.arrived, message, view, role, cost_s, self._directory.revision, now)
        yield SendPeer(view.endpoint.guard, message)

    def _defer(self, call: OpenCall, now: float) -> Iterator[Action]:
        """Retry endpoint selection a little later, or fail the request."""
        if call.open_attempt_ids:
            return
        if next_selection_at := call.next_selection_at(now):
            call.forget_tried()
            self._timers.set(("hold", call.arrived.call_id), next_selection_at)
            return
        reason = LIMITED if call.is_limited else "no-endpoint"
        yield from self._finish(call, Verdict.NOT_RUN, reason, now)

    # --- Ends of attempts ---

    def _close_attempt(self, attempt_id: str, now: float) -> tuple[OpenCall, OpenAttempt] | None:
        attempt = self._open_attempts.close(attempt_id)
        if attempt is None:
            return None
        call = self._call_by_id[attempt.call_id]
        call.open_attempt_ids.discard(attempt_id)
        return call, attempt

    def _on_answer(self, answer: AttemptAnswer, now: float) -> Iterator[Action]:
        closed = self._close_attempt(answer.attempt_id, now)
        if closed is None:
            return
        call, attempt = closed
        verdict = Verdict(answer.verdict)
        if answer.load is not None:
            yield from learn_from_answer(attempt.view, answer.load, now)
        yield attempt_ended(call, answer.attempt_id, attempt, verdict, answer.reason, now)
        if answer.reached_server:
            self._retries.ended(call.service, is_success(answer), now)
            self._repeats.started(call.service, now)
        match verdict:
            case Verdict.RAN:
                yield from self._on_ran(call, attempt, answer, now)
            case Verdict.UNKNOWN:
                if answer.reason not in DAEMON_FAULTS:
                    attempt.view.failed(now)
                call.may_have_run = True
                yield from self._retry_or_finish(call, verdict, answer.reason, now)
            case Verdict.NOT_RUN:
                call.learn_room(answer, attempt.view, now)
                endpoint = attempt.view.endpoint.incarnation
                reached = answer.reached_server
                yield from self._on_not_run(call, endpoint, answer.reason, reached, now)

    def _on_ran(
        self, call: OpenCall, attempt: OpenAttempt, answer: AttemptAnswer, now: float
    ) -> Iterator[Action]:
        if is_success(answer):
            attempt.view.succeeded(now)
            self._selector.latencies.add(call.route, now - attempt.sent_at, answer.work_ms / 1000)
            yield from self._finish(call, Verdict.RAN, "", now, answer.response, attempt.view)
            return
        attempt.view.failed(now)
        call.error_response = answer.response
        yield from self._retry_or_finish(call, Verdict.RAN, "server-error", now)

    def _on_not_run(
        self, call: OpenCall, endpoint: str, reason: str, reached_server: bool, now: float
    ) -> Iterator[Action]:
        call.refused(reason, endpoint, reached_server)
        if reached_server:
            yield from self._retry_or_finish(call, Verdict.NOT_RUN, reason, now)
            return
        call.attempts -= 1
        work_s = self._selector.latencies.usual_s(call.route)
        withheld = self._repeats.refused(call, endpoint, reason, work_s, now)
        if call.open_attempt_ids:
            return
        if withheld:
            yield withheld
        is_over = withheld or self._retries.is_too_late(call, reason, now)
        if is_over or not call.can_send(work_s, now):
            yield from self._finish(call, Verdict.NOT_RUN, reason, now)
            return
        yield from self._send(call, "refused", now)

    def _retry_or_finish(
        self, call: OpenCall, verdict: Verdict, reason: str, now: float
    ) -> Iterator[Action]:
        """Retry a request that may have reached a server if that is allowed, else answer it."""
        if call.open_attempt_ids:
            return
        if call.can_retry(verdict, self._selector.latencies.usual_s(call.route), now):
            chosen = self._selector.select(call, now)
            if chosen is not None and self._retries.try_retry(call, chosen[0], verdict, now):
                yield from self._send_to(call, *chosen, "retry", now)
                return
        yield from self._finish(call, verdict, reason, now)

    def _on_unsent(self, attempt_id: str, now: float) -> Iterator[Action]:
        closed = self._close_attempt(attempt_id, now)
        if closed is None:
            return
        call, attempt = closed
        attempt.view.unreachable(now)
        yield attempt_ended(call, attempt_id, attempt, Verdict.NOT_RUN, "unreachable", now)
        yield from self._on_not_run(call, "", "unreachable", False, now)

    def _on_peer_lost(self, peer: str, is_silent: bool, now: float) -> Iterator[Action]:
        for view in self.fleet.views_behind(peer):
            view.unreachable(now)
        for attempt_id in self._open_attempts.behind(peer):
            route = self._call_by_id[self._open_attempts[attempt_id].call_id].route
            if route.idempotent or not is_silent:
                yield from self._on_answer(AttemptAnswer(attempt_id, "unknown", PEER_LOST), now)
            else:
                self._timers.set(("lost", attempt_id), now + LOST_ANSWER_WAIT_S)

    # --- Ends of requests ---

    def _finish(
        self,
        call: OpenCall,
        verdict: Verdict,
        reason: str,
        now: float,
        response: Response | None = None,
        view: EndpointView | None = None,
    ) -> Iterator[Action]:
        yield from self._close(call, now)
        if reason:
            self.on_failed_call(call.route.name)
        answer = answer_to(call, verdict, reason, response, view)
        yield call_answered(call, answer.verdict, answer.reason, answer.endpoint, now)
        yield answer

    def _on_drain_expired(self, now: float) -> Iterator[Action]:
        """Answer all open requests; what a server may be running is not cancelled."""
        for call in list(self._call_by_id.values()):
            verdict = Verdict.UNKNOWN if call.open_attempt_ids else Verdict.NOT_RUN
            if not call.route.idempotent:
                for attempt_id in list(call.open_attempt_ids):
                    self._close_attempt(attempt_id, now)
            yield from self._finish(call, verdict, "leaving", now)

    def _close(self, call: OpenCall, now: float) -> Iterator[Action]:
        call_id = call.arrived.call_id
        del self._call_by_id[call_id]
        for kind in ("end", "hold", "look"):
            self._timers.cancel((kind, call_id))
        yield from self._open_attempts.cancel(call)

    def _abandon(self, call_id: str, now: float) -> Iterator[Action]:
        if call := self._call_by_id.get(call_id):
            self._open_attempts.learn_overdue(call, now)
            yield from self._close(call, now)
            yield call_answered(call, Verdict.UNKNOWN, "abandoned", "", now)

    # --- Time and load ---

    def _on_tick(self, now: float) -> Iterator[Action]:
        for kind, call_id in list(self._timers.pop_due(now)):
            if kind == "lost":  # The key is that of an attempt.
                yield from self._on_answer(AttemptAnswer(call_id, "unknown", PEER_LOST), now)
                continue
            call = self._call_by_id.get(call_id)
            if call is None:
                continue
            match kind:
                case "hold":
                    yield from self._send(call, "held", now)
                case "look":
                    yield from self._hedge(call, now)
                case "end":
                    yield from self._on_end_due(call, now)

    def _on_end_due(self, call: OpenCall, now: float) -> Iterator[Action]:
        if call.is_worked_on(now):
            self._timers.set(("end", call.arrived.call_id), call.work_until)
            return
        self._open_attempts.learn_overdue(call, now)
        is_sent = call.open_attempt_ids or call.may_have_run
        verdict = Verdict.UNKNOWN if is_sent else Verdict.NOT_RUN
        yield from self._finish(call, verdict, "timeout", now)

    def _schedule_hedge_check(self, call: OpenCall, view: EndpointView, now: float) -> None:
        if not call.route.idempotent or call.attempts >= call.route.max_attempts:
            return
        due = now + self._selector.latencies.hedge_delay_s(call.route)
        self._timers.set(("look", call.arrived.call_id), due)

    def _hedge(self, call: OpenCall, now: float) -> Iterator[Action]:
        """Send a late idempotent request to a second endpoint that is likely to answer sooner."""
        if len(call.open_attempt_ids) != 1 or call.attempts >= call.route.max_attempts:
            return
        chosen = self._selector.select(call, now)
        attempt = self._open_attempts[next(iter(call.open_attempt_ids))]
        is_better = chosen and self._selector.is_hedge_better(call, attempt, *chosen, now)
        if is_better and self._retries.try_hedge(call, chosen[0], now):
            yield from self._send_to(call, *chosen, "hedge", now)
            return
        self._timers.set(("look", call.arrived.call_id), now + RECHECK_S)
