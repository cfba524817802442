"""The entry core: selects endpoints for calls, retries and hedges, and answers with a verdict.

Its events and actions are defined in `pollenroad.boundary`.
"""

import random
from collections import deque
from collections.abc import Iterator

from pollenroad.boundary import (
    Action,
    AnswerCall,
    AttemptUnsent,
    CallAbandoned,
    CallArrived,
    DocumentInForce,
    Event,
    MembershipChanged,
    PeerLost,
    PeerReceived,
    SendPeer,
    Tick,
)
from pollenroad.entry.calls import (
    OpenAttempt,
    OpenCall,
    answered_record,
    ended_record,
    make_attempt,
    sent_record,
)
from pollenroad.entry.routing import Location
from pollenroad.entry.services import Services
from pollenroad.entry.subsets import ring_position
from pollenroad.limit_messages import LimitGrant
from pollenroad.limits.limits import Outcome, make_limits
from pollenroad.messages import AttemptAnswer, CancelAttempt, LoadReport
from pollenroad.models import Document, ServiceDocument
from pollenroad.timers import Timers
from pollenroad.verdicts import Verdict

SERVER_ERROR = 500
"""Lowest HTTP status that counts as a server failure."""

LATE_TICK_S = 0.02
"""Delay of a tick, in seconds, above which this process is taken to have been paused."""

CATCH_UP_S = 0.005
"""Time in seconds to read the answers buffered in sockets while the process was paused."""


class Entry:
    """State of one entry: open calls and attempts, and a router for each service in use."""

    def __init__(self, incarnation: str, location: Location, rng: random.Random):
        self._incarnation = incarnation
        self._services = Services(location, rng)
        self._call_by_id: dict[str, OpenCall] = {}
        self._attempt_by_id: dict[str, OpenAttempt] = {}
        self._timers = Timers()
        self._limits = make_limits()
        self._outcomes: deque[Outcome] = deque()
        self._attempt_count = 0

    @property
    def open_calls(self) -> int:
        """Number of calls not answered yet."""
        return len(self._call_by_id)

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        dues = (self._timers.next_due(), self._limits.next_due())
        return min((due for due in dues if due is not None), default=None)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process one event and return the resulting actions."""
        return [*self._actions(event, now), *self._apply_limit_outcomes(now)]

    def _actions(self, event: Event, now: float) -> Iterator[Action]:
        match event:
            case CallArrived():
                yield from self._on_call(event, now)
            case CallAbandoned(call_id):
                yield from self._abandon(call_id, now)
            case PeerReceived(_, AttemptAnswer() as answer):
                yield from self._on_answer(answer, now)
            case PeerReceived(_, LimitGrant() as grant):
                self._outcomes.append(self._limits.on_grant(grant, now))
            case PeerReceived(_, LoadReport() as report):
                self._services.learn(report, now)
            case AttemptUnsent(attempt_id):
                yield from self._on_unsent(attempt_id, now)
            case PeerLost(peer):
                yield from self._on_peer_lost(peer, now)
            case DocumentInForce(document):
                self._on_document(document, now)
            case MembershipChanged():
                self._services.exclude(event.leaving | event.dead)
            case Tick():
                yield from self._on_tick(now)

    def _on_document(self, document: Document, now: float) -> None:
        self._limits.configure(document, now)
        if isinstance(document, ServiceDocument):
            self._services.configure(document, now)

    # --- Calls ---

    def _on_call(self, call: CallArrived, now: float) -> Iterator[Action]:
        service = self._services.get_or_create(call.service, now)
        if service is None:
            yield AnswerCall(call.call_id, Verdict.NOT_RUN, "unknown-service")
            return
        name = call.request_class or service.document.default_class
        request_class = service.class_by_name.get(name)
        if request_class is None:
            yield AnswerCall(call.call_id, Verdict.NOT_RUN, "unknown-class")
            return
        if len(call.request.body) > service.document.max_body_bytes:
            detail = f"the body may have {service.document.max_body_bytes} bytes"
            yield AnswerCall(call.call_id, Verdict.NOT_RUN, "body-too-large", detail=detail)
            return
        limit_ms = min(call.deadline_ms or request_class.deadline_ms, request_class.deadline_ms)
        open_call = OpenCall(call, request_class, now, now + limit_ms / 1000)
        self._call_by_id[call.call_id] = open_call
        self._timers.set(("deadline", call.call_id), open_call.deadline)
        workspace = service.document.workspace
        self._outcomes.append(
            self._limits.admit(call.call_id, workspace, call.customer, open_call.deadline, now)
        )

    def _apply_limit_outcomes(self, now: float) -> Iterator[Action]:
        """Send the calls admitted by the customer limits and refuse the others."""
        while self._outcomes:
            outcome = self._outcomes.popleft()
            yield from outcome.actions
            for call_id in outcome.admitted:
                if call_id in self._call_by_id:
                    yield from self._send_first_attempt(self._call_by_id[call_id], now)
            for refusal in outcome.refused:
                open_call = self._call_by_id.get(refusal.call_id)
                if open_call is None:
                    continue
                yield from self._finish(
                    open_call,
                    Verdict.NOT_RUN,
                    refusal.reason,
                    now,
                    retry_after_ms=refusal.retry_after_ms,
                    detail=refusal.detail,
                )

    def _send_first_attempt(self, open_call: OpenCall, now: float) -> Iterator[Action]:
        service = self._services[open_call.call.service]
        service.record_first_attempt(open_call.allowance)
        yield from self._send_attempt(open_call, "first", now)

    def _send_attempt(self, open_call: OpenCall, role: str, now: float) -> Iterator[Action]:
        call = open_call.call
        service = self._services[call.service]
        selection = service.router.select(open_call.tried_names, open_call.request_class.name, now)
        if selection is None:
            if not open_call.open_attempt_ids:
                yield from self._finish(open_call, Verdict.NOT_RUN, "no-endpoint", now)
            return
        self._attempt_count += 1
        attempt_id = f"{self._incarnation}-{self._attempt_count}"
        attempt = make_attempt(open_call, attempt_id, service.document.version, now)
        name = selection.endpoint.name
        open_call.tried_names.add(name)
        open_call.open_attempt_ids.add(attempt.attempt_id)
        self._attempt_by_id[attempt.attempt_id] = OpenAttempt(
            attempt.attempt_id, call.call_id, selection.endpoint, now
        )
        service.router.sent(name, attempt.attempt_id, open_call.request_class.name, now)
        self._schedule_hedge_check(open_call, name, now, now)
        yield sent_record(attempt, selection.endpoint, f"{role}:{selection.reason}")
        yield SendPeer(selection.endpoint.address, attempt)

    # --- Answers ---

    def _on_answer(self, answer: AttemptAnswer, now: float) -> Iterator[Action]:
        attempt = self._attempt_by_id.pop(answer.attempt_id, None)
        if attempt is None:
            if answer.load is not None:
                self._services.learn(answer.load, now)
            return
        open_call = self._call_by_id[attempt.call_id]
        open_call.open_attempt_ids.discard(attempt.attempt_id)
        verdict = Verdict(answer.verdict)
        router = self._services[open_call.call.service].router
        name = attempt.endpoint.name
        if verdict is Verdict.RAN:
            ok = answer.response is not None and answer.response.status < SERVER_ERROR
            class_name = open_call.request_class.name
            router.answered(name, attempt.attempt_id, class_name, now - attempt.sent_at, ok, now)
        else:
            router.ended(name, attempt.attempt_id, verdict, answer.reason, now)
        if answer.load is not None:
            self._services.learn(answer.load, now)
        yield ended_record(open_call, attempt, verdict, answer.reason, now)
        if verdict is Verdict.RAN:
            yield from self._finish(
                open_call, verdict, "", now, answer.response, attempt.endpoint.name
            )
            return
        yield from self._retry_or_finish(
            open_call, verdict, answer.reason, now, answer.retry_after_ms
        )

    def _end_without_answer(
        self, attempt_id: str, verdict: Verdict, reason: str, now: float
    ) -> Iterator[Action]:
        attempt = self._attempt_by_id.pop(attempt_id, None)
        if attempt is None:
            return
        open_call = self._call_by_id[attempt.call_id]
        open_call.open_attempt_ids.discard(attempt_id)
        router = self._services[open_call.call.service].router
        router.ended(attempt.endpoint.name, attempt_id, verdict, reason, now)
        router.unreachable(attempt.endpoint.address, now)
        yield ended_record(open_call, attempt, verdict, reason, now)
        yield from self._retry_or_finish(open_call, verdict, reason, now)

    def _retry_or_finish(
        self,
        open_call: OpenCall,
        verdict: Verdict,
        reason: str,
        now: float,
        retry_after_ms: float = 0.0,
    ) -> Iterator[Action]:
        if verdict is Verdict.UNKNOWN:
            open_call.may_have_run = True
        if open_call.open_attempt_ids:
            return
        service = self._services[open_call.call.service]
        if service.try_acquire_retry(open_call, verdict, reason, now):
            yield from self._send_attempt(open_call, "retry", now)
            return
        yield from self._finish(open_call, verdict, reason, now, retry_after_ms=retry_after_ms)

    def _finish(
        self,
        open_call: OpenCall,
        verdict: Verdict,
        reason: str,
        now: float,
        response=None,
        endpoint: str = "",
        retry_after_ms: float = 0.0,
        detail: str = "",
    ) -> Iterator[Action]:
        call_id = open_call.call.call_id
        if verdict is Verdict.NOT_RUN and open_call.may_have_run:
            verdict = Verdict.UNKNOWN
        yield from self._close(open_call, now)
        yield answered_record(open_call, verdict, reason, endpoint, now)
        yield AnswerCall(
            call_id, verdict, reason, response, open_call.attempts, endpoint, retry_after_ms, detail
        )

    def _close(self, open_call: OpenCall, now: float) -> Iterator[Action]:
        call_id = open_call.call.call_id
        del self._call_by_id[call_id]
        self._outcomes.append(self._limits.ended(call_id, now))
        self._timers.cancel(("deadline", call_id))
        self._timers.cancel(("hedge", call_id))
        router = self._services[open_call.call.service].router
        for attempt_id in sorted(open_call.open_attempt_ids):
            attempt = self._attempt_by_id.pop(attempt_id)
            router.cancelled(attempt.endpoint.name, attempt_id, open_call.request_class.name, now)
            yield SendPeer(attempt.endpoint.address, CancelAttempt(attempt_id))

    def _abandon(self, call_id: str, now: float) -> Iterator[Action]:
        open_call = self._call_by_id.get(call_id)
        if open_call is not None:
            yield from self._close(open_call, now)

    # --- Links ---

    def _on_unsent(self, attempt_id: str, now: float) -> Iterator[Action]:
        yield from self._end_without_answer(attempt_id, Verdict.NOT_RUN, "unreachable", now)

    def _on_peer_lost(self, peer: str, now: float) -> Iterator[Action]:
        self._outcomes.append(self._limits.peer_lost(peer, now))
        lost = [a.attempt_id for a in self._attempt_by_id.values() if a.endpoint.address == peer]
        for attempt_id in lost:
            yield from self._end_without_answer(attempt_id, Verdict.UNKNOWN, "peer-lost", now)
        self._services.unreachable(peer, now)

    # --- Time ---

    def _schedule_hedge_check(
        self, open_call: OpenCall, name: str, sent_at: float, now: float
    ) -> None:
        if not open_call.can_hedge:
            return
        hedge_policy = self._services[open_call.call.service].hedge_policy
        due = hedge_policy.next_check(name, open_call.request_class.name, sent_at, now)
        if due < open_call.deadline:
            self._timers.set(("hedge", open_call.call.call_id), due)

    def _on_tick(self, now: float) -> Iterator[Action]:
        self._outcomes.append(self._limits.tick(now))
        due = self._timers.next_due()
        was_paused = due is not None and now - due > LATE_TICK_S
        for kind, call_id in self._timers.pop_due(now):
            open_call = self._call_by_id[call_id]
            if kind == "hedge" and was_paused:
                self._timers.set((kind, call_id), now + CATCH_UP_S)
                continue
            if kind == "hedge":
                yield from self._hedge(open_call, now)
                continue
            verdict = Verdict.UNKNOWN if open_call.open_attempt_ids else Verdict.NOT_RUN
            yield from self._finish(open_call, verdict, "deadline", now)

    def _hedge(self, open_call: OpenCall, now: float) -> Iterator[Action]:
        if len(open_call.open_attempt_ids) != 1 or not open_call.can_hedge:
            return
        (attempt_id,) = open_call.open_attempt_ids
        attempt = self._attempt_by_id[attempt_id]
        name = attempt.endpoint.name
        hedge_policy = self._services[open_call.call.service].hedge_policy
        if not hedge_policy.should_hedge(name, open_call.request_class.name, now):
            self._schedule_hedge_check(open_call, name, attempt.sent_at, now)
            return
        if hedge_policy.try_spend(now):
            open_call.may_rerun_downstream = True
            yield from self._send_attempt(open_call, "hedge", now)


def make_entry(
    incarnation: str,
    failure_domain: str,
    rng: random.Random,
    vm: str = "",
) -> Entry:
    """Create an entry.

    Args:
        incarnation: Prefix of attempt ids, unique across daemons and restarts.
        failure_domain: Failure domain of this daemon.
        rng: Random number generator.
        vm: Name of the VM, which determines its subset of a large service's endpoints.
    """
    location = Location(failure_domain, ring_position(vm or incarnation))
    return Entry(incarnation, location, rng)
