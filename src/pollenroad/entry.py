"""The entry core: takes a call, chooses an endpoint, retries, hedges, and answers with a verdict.

No I/O: see `pollenroad.boundary`.
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
from pollenroad.calls import OpenAttempt, OpenCall, answered_record, ended_record, sent_record
from pollenroad.limits import Outcome, make_limits
from pollenroad.messages import Attempt, AttemptAnswer, CancelAttempt, LimitGrant, LoadReport
from pollenroad.models import ServiceDocument, WorkspaceDocument
from pollenroad.retries import TEACHING_REASONS, allowance_below
from pollenroad.routing import RouterPlace, make_router
from pollenroad.services import Service
from pollenroad.subsets import place_of
from pollenroad.timers import Timers
from pollenroad.verdicts import Verdict, may_retry

MIN_SPARE_SHARE = 0.25
"""Share of the known capacity that must be free for a hedge."""

MIN_DOUBT = 0.15
"""Chance of a stall from which an attempt is hedged while the hedge budget is full."""

MAX_DOUBT = 0.7
"""Chance of a stall from which an attempt is hedged while the hedge budget is nearly spent."""

WATCH_STEP = 0.2
"""Time between two looks at a late attempt, in typical latencies."""

SERVER_ERROR = 500
"""Lowest HTTP status that counts as a failure of the server."""


class Entry:
    """State of one entry: open calls, and a router for each service in use."""

    def __init__(self, incarnation: str, place: RouterPlace, rng: random.Random):
        self._incarnation = incarnation
        self._place = place
        self._rng = rng
        self._document_by_key: dict[str, ServiceDocument] = {}
        self._workspace_by_name: dict[str, WorkspaceDocument] = {}
        self._service_by_key: dict[str, Service] = {}
        self._unavailable_vms: frozenset[str] = frozenset()
        self._call_by_id: dict[str, OpenCall] = {}
        self._attempt_by_id: dict[str, OpenAttempt] = {}
        self._timers = Timers()
        self._limits = make_limits()
        self._outcomes: deque[Outcome] = deque()
        self._attempt_count = 0

    @property
    def open_calls(self) -> int:
        """Calls without an answer yet."""
        return len(self._call_by_id)

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        dues = (self._timers.next_due(), self._limits.next_due())
        return min((due for due in dues if due is not None), default=None)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event and return what is to be done."""
        return [*self._actions(event, now), *self._follow_limits(now)]

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
                self._learn(report, now)
            case AttemptUnsent(attempt_id):
                yield from self._on_unsent(attempt_id, now)
            case PeerLost(peer):
                yield from self._on_peer_lost(peer, now)
            case DocumentInForce(document):
                self._on_document(document, now)
            case MembershipChanged():
                self._on_membership(event)
            case Tick():
                yield from self._on_tick(now)

    # --- Configuration and load ---

    def _on_document(self, document, now: float) -> None:
        self._limits.configure(document, now)
        match document:
            case ServiceDocument():
                self._document_by_key[document.key] = document
                service = self._service_by_key.get(document.key)
                if service is not None:
                    service.configure(document, now)
            case WorkspaceDocument():
                self._workspace_by_name[document.key] = document

    def _on_membership(self, change: MembershipChanged) -> None:
        self._unavailable_vms = change.leaving | change.dead
        for service in self._service_by_key.values():
            service.router.exclude(self._unavailable_vms)

    def _service(self, key: str, now: float) -> Service | None:
        service = self._service_by_key.get(key)
        if service is not None:
            return service
        document = self._document_by_key.get(key)
        if document is None:
            return None
        router = make_router(document, self._place, self._rng)
        router.exclude(self._unavailable_vms)
        self._service_by_key[key] = Service(document, router, now)
        return self._service_by_key[key]

    def _learn(self, report: LoadReport, now: float) -> None:
        service = self._service_by_key.get(report.service)
        if service is not None:
            service.router.learn(report, now)

    # --- Calls ---

    def _on_call(self, call: CallArrived, now: float) -> Iterator[Action]:
        service = self._service(call.service, now)
        if service is None:
            yield AnswerCall(call.call_id, Verdict.NOT_RUN, "unknown-service")
            return
        name = call.request_class or service.document.default_class
        request_class = service.class_by_name.get(name)
        if request_class is None:
            yield AnswerCall(call.call_id, Verdict.NOT_RUN, "unknown-class")
            return
        limit_ms = min(call.deadline_ms or request_class.deadline_ms, request_class.deadline_ms)
        open_call = OpenCall(call, request_class, now, now + limit_ms / 1000)
        self._call_by_id[call.call_id] = open_call
        self._timers.set(("deadline", call.call_id), open_call.deadline)
        workspace = service.document.workspace
        self._outcomes.append(
            self._limits.ask(call.call_id, workspace, call.customer, open_call.deadline, now)
        )

    def _follow_limits(self, now: float) -> Iterator[Action]:
        """Go on with the calls that the customers' limits let through, and refuse others."""
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
        service = self._service_by_key[open_call.call.service]
        service.retry_budget.first_attempt()
        service.hedge_budget.first_attempt()
        yield from self._send_attempt(open_call, "first", now)

    def _send_attempt(self, open_call: OpenCall, role: str, now: float) -> Iterator[Action]:
        call = open_call.call
        service = self._service_by_key[call.service]
        choice = service.router.choose(open_call.tried_names, open_call.request_class.name, now)
        if choice is None:
            if not open_call.open_attempt_ids:
                yield from self._finish(open_call, Verdict.NOT_RUN, "no-endpoint", now)
            return
        attempt = self._make_attempt(open_call, service, now)
        name = choice.endpoint.name
        open_call.tried_names.add(name)
        open_call.open_attempt_ids.add(attempt.attempt_id)
        self._attempt_by_id[attempt.attempt_id] = OpenAttempt(
            attempt.attempt_id, call.call_id, choice.endpoint, now
        )
        service.router.sent(name, attempt.attempt_id, open_call.request_class.name, now)
        self._set_hedge_timer(open_call, name, now)
        yield sent_record(attempt, choice.endpoint, f"{role}:{choice.why}")
        yield SendPeer(choice.endpoint.address, attempt)

    def _make_attempt(self, open_call: OpenCall, service: Service, now: float) -> Attempt:
        call = open_call.call
        self._attempt_count += 1
        open_call.attempts += 1
        return Attempt(
            attempt_id=f"{self._incarnation}-{self._attempt_count}",
            request_id=call.request_id,
            service=call.service,
            customer=call.customer,
            request_class=open_call.request_class.name,
            idempotent=open_call.request_class.idempotent,
            remaining_ms=(open_call.deadline - now) * 1000,
            request=call.request,
            number=open_call.attempts,
            retry_budget=allowance_below(call.retry_budget, open_call.attempts),
            depth=call.depth,
            config_version=service.document.version,
            sent_ms=now * 1000,
        )

    # --- Answers ---

    def _on_answer(self, answer: AttemptAnswer, now: float) -> Iterator[Action]:
        attempt = self._attempt_by_id.pop(answer.attempt_id, None)
        if attempt is None:
            if answer.load is not None:
                self._learn(answer.load, now)
            return
        open_call = self._call_by_id[attempt.call_id]
        open_call.open_attempt_ids.discard(attempt.attempt_id)
        verdict = Verdict(answer.verdict)
        router = self._service_by_key[open_call.call.service].router
        name = attempt.endpoint.name
        if verdict is Verdict.RAN:
            ok = answer.response is not None and answer.response.status < SERVER_ERROR
            class_name = open_call.request_class.name
            router.answered(name, attempt.attempt_id, class_name, now - attempt.sent_at, ok, now)
        else:
            router.ended(name, attempt.attempt_id, verdict, now)
        if answer.load is not None:
            self._learn(answer.load, now)
        yield ended_record(open_call, attempt, verdict, answer.reason, now)
        if verdict is Verdict.RAN:
            yield from self._finish(
                open_call, verdict, "", now, answer.response, attempt.endpoint.name
            )
            return
        yield from self._after_failure(
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
        router = self._service_by_key[open_call.call.service].router
        router.ended(attempt.endpoint.name, attempt_id, verdict, now)
        router.unreachable(attempt.endpoint.address, now)
        yield ended_record(open_call, attempt, verdict, reason, now)
        yield from self._after_failure(open_call, verdict, reason, now)

    def _after_failure(
        self,
        open_call: OpenCall,
        verdict: Verdict,
        reason: str,
        now: float,
        retry_after_ms: float = 0.0,
    ) -> Iterator[Action]:
        if verdict is Verdict.UNKNOWN:
            open_call.maybe_ran = True
        if open_call.open_attempt_ids:
            return
        if self._may_try_again(open_call, verdict, reason, now):
            yield from self._send_attempt(open_call, "retry", now)
            return
        yield from self._finish(open_call, verdict, reason, now, retry_after_ms=retry_after_ms)

    def _may_try_again(
        self, open_call: OpenCall, verdict: Verdict, reason: str, now: float
    ) -> bool:
        idempotent = open_call.request_class.idempotent
        if open_call.attempts >= open_call.request_class.max_attempts:
            return False
        if now >= open_call.deadline:
            return False
        if not may_retry(verdict, idempotent) or (open_call.maybe_ran and not idempotent):
            return False
        if reason in TEACHING_REASONS:
            return True
        if open_call.call.retry_budget < open_call.retries + 1:
            return False
        service = self._service_by_key[open_call.call.service]
        if not service.retry_budget.spend(now):
            return False
        open_call.retries += 1
        return True

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
        if verdict is Verdict.NOT_RUN and open_call.maybe_ran:
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
        router = self._service_by_key[open_call.call.service].router
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
        for service in self._service_by_key.values():
            service.router.unreachable(peer, now)

    # --- Time ---

    def _set_hedge_timer(self, open_call: OpenCall, name: str, now: float) -> None:
        request_class = open_call.request_class
        if not (request_class.hedge and request_class.idempotent):
            return
        router = self._service_by_key[open_call.call.service].router
        due = now + router.watch_after_s(name, request_class.name)
        if due < open_call.deadline and open_call.attempts < request_class.max_attempts:
            self._timers.set(("hedge", open_call.call.call_id), due)

    def _on_tick(self, now: float) -> Iterator[Action]:
        self._outcomes.append(self._limits.tick(now))
        for kind, call_id in self._timers.pop_due(now):
            open_call = self._call_by_id[call_id]
            if kind == "hedge":
                yield from self._hedge(open_call, now)
                continue
            verdict = Verdict.UNKNOWN if open_call.open_attempt_ids else Verdict.NOT_RUN
            yield from self._finish(open_call, verdict, "deadline", now)

    def _hedge(self, open_call: OpenCall, now: float) -> Iterator[Action]:
        service = self._service_by_key[open_call.call.service]
        if len(open_call.open_attempt_ids) != 1 or open_call.call.retry_budget < 1:
            return
        (attempt_id,) = open_call.open_attempt_ids
        name = self._attempt_by_id[attempt_id].endpoint.name
        class_name = open_call.request_class.name
        fullness = service.hedge_budget.fullness(now)
        least_doubt = MAX_DOUBT - (MAX_DOUBT - MIN_DOUBT) * fullness
        if service.router.doubt(name, class_name, now) < least_doubt:
            pause_s = WATCH_STEP * service.router.typical_s(class_name)
            self._timers.set(("hedge", open_call.call.call_id), now + pause_s)
            return
        if service.router.spare_share(now) < MIN_SPARE_SHARE:
            return
        if service.hedge_budget.spend(now):
            yield from self._send_attempt(open_call, "hedge", now)


def make_entry(
    incarnation: str,
    failure_domain: str,
    rng: random.Random,
    vm: str = "",
) -> Entry:
    """Make an entry.

    Args:
        incarnation: Prefix of attempt ids, unique over daemons and restarts.
        failure_domain: Failure domain of this daemon.
        rng: Source of randomness.
        vm: Name of the VM, by which its subset of a large service is chosen.
    """
    place = RouterPlace(failure_domain, place_of(vm or incarnation))
    return Entry(incarnation, place, rng)
