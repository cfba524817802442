"""The entry core: takes a call, chooses an endpoint, retries, and answers with a verdict.

No I/O: see `pollenroad.boundary`.
"""

import random
from dataclasses import dataclass, field

from pollenroad.boundary import (
    Action,
    AnswerCall,
    AttemptUnsent,
    CallAbandoned,
    CallArrived,
    DocumentInForce,
    Event,
    PeerLost,
    PeerReceived,
    SendPeer,
    Tick,
)
from pollenroad.messages import Attempt, AttemptAnswer, CancelAttempt, LoadReport
from pollenroad.models import Endpoint, RequestClass, ServiceDocument, WorkspaceDocument
from pollenroad.routing import Router, make_router
from pollenroad.timers import Timers
from pollenroad.verdicts import Verdict, may_retry


@dataclass(slots=True)
class _OpenCall:
    call: CallArrived
    request_class: RequestClass
    deadline: float
    attempts: int = 0
    maybe_ran: bool = False
    tried: set = field(default_factory=set)
    open_attempts: set = field(default_factory=set)


@dataclass(slots=True)
class _OpenAttempt:
    attempt_id: str
    call_id: str
    endpoint: Endpoint
    sent_at: float


class Entry:
    """State of one entry: open calls, and a router for each service in use."""

    def __init__(self, incarnation: str, failure_domain: str, rng: random.Random):
        self._incarnation = incarnation
        self._failure_domain = failure_domain
        self._rng = rng
        self._document_by_key: dict[str, ServiceDocument] = {}
        self._workspace_by_name: dict[str, WorkspaceDocument] = {}
        self._router_by_service: dict[str, Router] = {}
        self._call_by_id: dict[str, _OpenCall] = {}
        self._attempt_by_id: dict[str, _OpenAttempt] = {}
        self._timers = Timers()
        self._attempt_count = 0

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        return self._timers.next_due()

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event and return what is to be done."""
        match event:
            case CallArrived():
                return self._on_call(event, now)
            case CallAbandoned(call_id):
                return self._abandon(call_id)
            case PeerReceived(_, AttemptAnswer() as answer):
                return self._on_answer(answer, now)
            case PeerReceived(_, LoadReport() as report):
                self._learn(report, now)
            case AttemptUnsent(attempt_id):
                return self._end_attempt(attempt_id, Verdict.NOT_RUN, "unreachable", now)
            case PeerLost(peer):
                return self._on_peer_lost(peer, now)
            case DocumentInForce(document):
                self._on_document(document, now)
            case Tick():
                return self._on_tick(now)
        return []

    # --- Configuration and load ---

    def _on_document(self, document, now: float) -> None:
        match document:
            case ServiceDocument():
                self._document_by_key[document.key] = document
                router = self._router_by_service.get(document.key)
                if router is not None:
                    router.configure(document, now)
            case WorkspaceDocument():
                self._workspace_by_name[document.key] = document

    def _router(self, service: str, now: float) -> Router:
        router = self._router_by_service.get(service)
        if router is None:
            document = self._document_by_key[service]
            router = make_router(document, self._failure_domain, self._rng, now)
            self._router_by_service[service] = router
        return router

    def _learn(self, report: LoadReport, now: float) -> None:
        router = self._router_by_service.get(report.service)
        if router is not None:
            router.learn(report, now)

    # --- Calls ---

    def _on_call(self, call: CallArrived, now: float) -> list[Action]:
        document = self._document_by_key.get(call.service)
        if document is None:
            return [AnswerCall(call.call_id, Verdict.NOT_RUN, "unknown-service")]
        name = call.request_class or document.default_class
        request_class = next((c for c in document.classes if c.name == name), None)
        if request_class is None:
            return [AnswerCall(call.call_id, Verdict.NOT_RUN, "unknown-class")]
        limit_ms = min(call.deadline_ms or request_class.deadline_ms, request_class.deadline_ms)
        deadline = now + limit_ms / 1000
        self._call_by_id[call.call_id] = _OpenCall(call, request_class, deadline)
        self._timers.set(("deadline", call.call_id), deadline)
        return self._send_attempt(call.call_id, now)

    def _send_attempt(self, call_id: str, now: float) -> list[Action]:
        open_call = self._call_by_id[call_id]
        router = self._router(open_call.call.service, now)
        endpoint = router.choose(frozenset(open_call.tried), now)
        if endpoint is None:
            return self._finish(call_id, Verdict.NOT_RUN, "no-endpoint")
        self._attempt_count += 1
        attempt_id = f"{self._incarnation}-{self._attempt_count}"
        open_call.attempts += 1
        open_call.tried.add(endpoint.name)
        open_call.open_attempts.add(attempt_id)
        self._attempt_by_id[attempt_id] = _OpenAttempt(attempt_id, call_id, endpoint, now)
        router.sent(endpoint.name, now)
        call = open_call.call
        attempt = Attempt(
            attempt_id=attempt_id,
            request_id=call.request_id,
            service=call.service,
            customer=call.customer,
            request_class=open_call.request_class.name,
            idempotent=open_call.request_class.idempotent,
            remaining_ms=(open_call.deadline - now) * 1000,
            request=call.request,
            number=open_call.attempts,
            retry_budget=call.retry_budget,
            depth=call.depth,
            config_version=self._document_by_key[call.service].version,
            sent_ms=now * 1000,
        )
        return [SendPeer(endpoint.address, attempt)]

    def _on_answer(self, answer: AttemptAnswer, now: float) -> list[Action]:
        if answer.load is not None:
            self._learn(answer.load, now)
        verdict = Verdict(answer.verdict)
        return self._end_attempt(answer.attempt_id, verdict, answer.reason, now, answer)

    def _end_attempt(
        self,
        attempt_id: str,
        verdict: Verdict,
        reason: str,
        now: float,
        answer: AttemptAnswer | None = None,
    ) -> list[Action]:
        attempt = self._attempt_by_id.pop(attempt_id, None)
        if attempt is None:
            return []
        open_call = self._call_by_id[attempt.call_id]
        open_call.open_attempts.discard(attempt_id)
        router = self._router(open_call.call.service, now)
        router.ended(attempt.endpoint.name, verdict, now - attempt.sent_at, now)
        if verdict is Verdict.RAN:
            return self._finish(
                attempt.call_id, verdict, "", answer.response, attempt.endpoint.name
            )
        if verdict is Verdict.UNKNOWN:
            open_call.maybe_ran = True
        if self._may_try_again(open_call, verdict, now):
            return self._send_attempt(attempt.call_id, now)
        retry_after_ms = answer.retry_after_ms if answer else 0.0
        return self._finish(attempt.call_id, verdict, reason, retry_after_ms=retry_after_ms)

    def _may_try_again(self, open_call: _OpenCall, verdict: Verdict, now: float) -> bool:
        if open_call.attempts >= open_call.request_class.max_attempts:
            return False
        if now >= open_call.deadline:
            return False
        return may_retry(verdict, open_call.request_class.idempotent)

    def _finish(
        self,
        call_id: str,
        verdict: Verdict,
        reason: str,
        response=None,
        endpoint: str = "",
        retry_after_ms: float = 0.0,
    ) -> list[Action]:
        open_call = self._call_by_id.pop(call_id)
        self._timers.cancel(("deadline", call_id))
        if verdict is Verdict.NOT_RUN and open_call.maybe_ran:
            verdict = Verdict.UNKNOWN
        actions = self._cancel_attempts(open_call)
        answer = AnswerCall(
            call_id, verdict, reason, response, open_call.attempts, endpoint, retry_after_ms
        )
        return [*actions, answer]

    def _cancel_attempts(self, open_call: _OpenCall) -> list[Action]:
        actions = []
        for attempt_id in sorted(open_call.open_attempts):
            attempt = self._attempt_by_id.pop(attempt_id)
            router = self._router_by_service[open_call.call.service]
            router.forget(attempt.endpoint.name)
            actions.append(SendPeer(attempt.endpoint.address, CancelAttempt(attempt_id)))
        return actions

    def _abandon(self, call_id: str) -> list[Action]:
        open_call = self._call_by_id.pop(call_id, None)
        if open_call is None:
            return []
        self._timers.cancel(("deadline", call_id))
        return self._cancel_attempts(open_call)

    def _on_peer_lost(self, peer: str, now: float) -> list[Action]:
        lost = [a.attempt_id for a in self._attempt_by_id.values() if a.endpoint.address == peer]
        actions = []
        for attempt_id in lost:
            actions += self._end_attempt(attempt_id, Verdict.UNKNOWN, "peer-lost", now)
        return actions

    def _on_tick(self, now: float) -> list[Action]:
        actions = []
        for _, call_id in self._timers.pop_due(now):
            open_call = self._call_by_id[call_id]
            verdict = Verdict.UNKNOWN if open_call.open_attempts else Verdict.NOT_RUN
            actions += self._finish(call_id, verdict, "deadline")
        return actions


def make_entry(incarnation: str, failure_domain: str, rng: random.Random) -> Entry:
    """Make an entry.

    Args:
        incarnation: Prefix of attempt ids, unique over daemons and restarts.
        failure_domain: Failure domain of this daemon.
        rng: Source of randomness.
    """
    return Entry(incarnation, failure_domain, rng)
