"""The guard core: the only door to the server on its VM.

Everything that protects the server is decided here, because an entry's view is always old.
No I/O: see `pollenroad.boundary`.
"""

from collections import OrderedDict
from dataclasses import dataclass

from pollenroad.boundary import (
    Action,
    CancelAtServer,
    DocumentInForce,
    Event,
    PeerReceived,
    RunAtServer,
    SendPeer,
    ServerAnswered,
    ServerFailed,
    ServerShed,
    StopRequested,
    Tick,
)
from pollenroad.messages import Attempt, AttemptAnswer, CancelAttempt, LoadReport
from pollenroad.models import Endpoint, ServiceDocument
from pollenroad.timers import Timers
from pollenroad.verdicts import Verdict

SEEN_ATTEMPTS = 20_000
"""Attempt ids remembered, so that a repeated or late hand-over is recognised."""


@dataclass(slots=True)
class _Running:
    entry: str
    attempt: Attempt


class Guard:
    """State of one guard: its endpoint, what runs at its server, and what it has seen."""

    def __init__(self, service: str, vm: str):
        self._service = service
        self._vm = vm
        self._document: ServiceDocument | None = None
        self._endpoint: Endpoint | None = None
        self._running_by_id: dict[str, _Running] = {}
        self._seen_ids: OrderedDict[str, None] = OrderedDict()
        self._timers = Timers()
        self._stopping = False
        self._sequence = 0

    @property
    def in_flight(self) -> int:
        """Requests at the server now."""
        return len(self._running_by_id)

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        return self._timers.next_due()

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event and return what is to be done."""
        match event:
            case PeerReceived(peer, Attempt() as attempt):
                return self._on_attempt(peer, attempt, now)
            case PeerReceived(_, CancelAttempt(attempt_id)):
                return self._cancel(attempt_id)
            case ServerAnswered(attempt_id, response):
                return self._end(attempt_id, Verdict.RAN, "", now, response)
            case ServerFailed(attempt_id, reached, reason):
                verdict = Verdict.UNKNOWN if reached else Verdict.NOT_RUN
                return self._end(attempt_id, verdict, reason, now)
            case ServerShed(attempt_id):
                return self._end(attempt_id, Verdict.NOT_RUN, "shed", now)
            case DocumentInForce(ServiceDocument() as document):
                self._on_document(document)
            case StopRequested():
                self._stopping = True
            case Tick():
                return self._on_tick(now)
        return []

    def _on_document(self, document: ServiceDocument) -> None:
        if document.key != self._service:
            return
        self._document = document
        self._endpoint = next((e for e in document.endpoints if e.vm == self._vm), None)

    def _refusal(self, attempt: Attempt) -> str:
        if attempt.attempt_id in self._seen_ids:
            return "duplicate"
        if self._document is None or attempt.service != self._service:
            return "not-here"
        if self._endpoint is None:
            return "not-here"
        if self._stopping:
            return "leaving"
        out = self._document.out_of_service
        if self._endpoint.failure_domain in out.failure_domains or self._vm in out.vms:
            return "out-of-service"
        if attempt.remaining_ms <= 0:
            return "deadline"
        if self.in_flight >= self._document.slots:
            return "busy"
        return ""

    def _on_attempt(self, peer: str, attempt: Attempt, now: float) -> list[Action]:
        refusal = self._refusal(attempt)
        if refusal == "duplicate":
            return []
        self._remember(attempt.attempt_id)
        if refusal:
            answer = AttemptAnswer(
                attempt.attempt_id, Verdict.NOT_RUN.value, refusal, load=self._report()
            )
            return [SendPeer(peer, answer)]
        self._running_by_id[attempt.attempt_id] = _Running(peer, attempt)
        timeout_s = attempt.remaining_ms / 1000
        self._timers.set(("deadline", attempt.attempt_id), now + timeout_s)
        return [RunAtServer(attempt, timeout_s)]

    def _remember(self, attempt_id: str) -> None:
        self._seen_ids[attempt_id] = None
        if len(self._seen_ids) > SEEN_ATTEMPTS:
            self._seen_ids.popitem(last=False)

    def _cancel(self, attempt_id: str) -> list[Action]:
        self._remember(attempt_id)
        if self._running_by_id.pop(attempt_id, None) is None:
            return []
        self._timers.cancel(("deadline", attempt_id))
        return [CancelAtServer(attempt_id)]

    def _end(
        self, attempt_id: str, verdict: Verdict, reason: str, now: float, response=None
    ) -> list[Action]:
        running = self._running_by_id.pop(attempt_id, None)
        if running is None:
            return []
        self._timers.cancel(("deadline", attempt_id))
        answer = AttemptAnswer(
            attempt_id, verdict.value, reason, response=response, load=self._report()
        )
        return [SendPeer(running.entry, answer)]

    def _on_tick(self, now: float) -> list[Action]:
        actions = []
        for _, attempt_id in self._timers.pop_due(now):
            actions.append(CancelAtServer(attempt_id))
            actions += self._end(attempt_id, Verdict.UNKNOWN, "deadline", now)
        return actions

    def _report(self) -> LoadReport:
        self._sequence += 1
        document = self._document
        return LoadReport(
            service=self._service,
            endpoint=self._endpoint.name if self._endpoint else "",
            in_flight=self.in_flight,
            queued=0,
            bound=document.slots if document else 0,
            state="draining" if self._stopping else "serving",
            sequence=self._sequence,
        )


def make_guard(service: str, vm: str) -> Guard:
    """Make the guard of the server of `service` on `vm`."""
    return Guard(service, vm)
