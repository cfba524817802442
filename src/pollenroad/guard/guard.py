"""The guard core: it alone sends requests to the server on its VM.

All decisions that protect the server are made here, because an entry's information is always out of
date. Its parts are the capacity of the server (`capacity`), the order of attempts (`admission`),
repeated and delayed attempts (`transit_times`), and load reports (`load_reporting`). Its events and
actions are defined in `pollenroad.boundary`.
"""

from msgspec.structs import replace

from pollenroad.boundary import (
    Action,
    CancelAtServer,
    DocumentInForce,
    Event,
    MembershipChanged,
    PeerReceived,
    RunAtServer,
    SendPeer,
    ServerAnswered,
    ServerFailed,
    ServerLost,
    ServerProbed,
    ServerShed,
    StopRequested,
    Tick,
)
from pollenroad.guard.admission import AdmissionQueue, SlotShares, WaitingAttempt, make_waiting
from pollenroad.guard.availability import LEAVING, NOT_HERE, Availability
from pollenroad.guard.capacity import Capacity, incarnation_of
from pollenroad.guard.coldstart import SERVER_UNREACHABLE
from pollenroad.guard.load_reporting import LoadReporter
from pollenroad.guard.measuring_budget import BudgetShare
from pollenroad.guard.records import GuardRecords
from pollenroad.guard.running_attempts import RunningAttempts
from pollenroad.guard.state import GuardView
from pollenroad.guard.transit_times import SeenAttempts, TransitTimes
from pollenroad.messages import Attempt, AttemptAnswer, CancelAttempt, Leaving, LoadReport, Response
from pollenroad.models import RequestClass, ServiceDocument
from pollenroad.timers import Timers
from pollenroad.verdicts import Verdict

BEAT_S = 0.1
"""Interval of the timer for load reports, probes, refusal summaries and pauses, in seconds."""


class Guard:
    """State of one guard: its endpoint, its queue, and the attempts at its server."""

    def __init__(self, service: str, vm: str):
        self._service = service
        self._vm = vm
        self._slots = 0
        self._availability = Availability(vm)
        self._closed_reason = self._availability.reason
        self._class_by_name: dict[str, RequestClass] = {}
        self._max_deadline_s = 0.0
        self._capacity: Capacity | None = None
        shares = SlotShares()
        self._queue = AdmissionQueue(shares)
        self._running_attempts = RunningAttempts(shares)
        self._seen = SeenAttempts()
        self._transit_times = TransitTimes()
        self._reporter = LoadReporter()
        self._records = GuardRecords(service)
        self._timers = Timers()
        self._now = 0.0

    # --- What the shell and `status` read ---

    @property
    def in_flight(self) -> int:
        """Number of requests at the server, including a probe if there is one."""
        return len(self._running_attempts) + self._reporter.is_probing

    @property
    def queued(self) -> int:
        """Number of attempts that wait for a slot."""
        return len(self._queue)

    @property
    def bound(self) -> int:
        """Maximum number of requests in flight at the server, as of the last event."""
        return 0 if self._closed_reason else self._capacity.bound(self._now)

    @property
    def measuring(self) -> BudgetShare:
        """This guard's share of the measuring budget, and its spending."""
        return self._reporter.share

    @property
    def state(self) -> str:
        """`out`, `draining`, `drained`, `down`, `cold` or `serving`."""
        return self._view().state

    @property
    def why(self) -> str:
        """A sentence that explains the state, as of the last event."""
        return self._view().why(self._now)

    def _view(self) -> GuardView:
        return GuardView(self._closed_reason, self.in_flight, self._slots, self._capacity)

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        return self._timers.next_due()

    # --- Events ---

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process one event and return the resulting actions."""
        if self._capacity:
            self._transit_times.observe_pause(self._timers.next_due(), now)
        self._now = now
        actions = self._dispatch(event, now)
        actions += self._fill(now)
        actions += self._records.state(self._view(), now)
        return actions

    def _dispatch(self, event: Event, now: float) -> list[Action]:
        match event:
            case PeerReceived(peer, Attempt() as attempt):
                return self._on_attempt(peer, attempt, now)
            case PeerReceived(_, CancelAttempt(attempt_id)):
                return self._on_cancel(attempt_id, now)
            case ServerAnswered(attempt_id, response):
                return self._on_answered(attempt_id, response, now)
            case ServerFailed(attempt_id, reached, reason):
                return self._on_failed(attempt_id, reached, reason, now)
            case ServerShed(attempt_id, draining):
                return self._on_shed(attempt_id, draining, now)
            case ServerProbed():
                return self._on_probed(event, now)
            case ServerLost() if self._capacity is not None:
                return self._records.cold_detected(self._capacity.failed(SERVER_UNREACHABLE, now))
            case DocumentInForce(ServiceDocument() as document):
                return self._on_document(document, now)
            case MembershipChanged(leaving):
                self._availability.is_vm_leaving = self._vm in leaving
                return self._update_availability(now)
            case StopRequested():
                self._availability.is_stopping = True
                return self._update_availability(now)
            case Tick():
                return self._on_tick(now)
        return []

    def _on_document(self, document: ServiceDocument, now: float) -> list[Action]:
        if document.key != self._service:
            return []
        self._slots = document.slots
        self._availability.configure(document)
        self._class_by_name = {c.name: c for c in document.classes}
        self._max_deadline_s = max((c.deadline_ms / 1000 for c in document.classes), default=0.0)
        self.measuring.configure(document, self._availability.endpoint is not None, now)
        if self._capacity is None:
            self._capacity = Capacity(document, now)
            self._closed_reason = ""
            self._transit_times.observe_pause(None, now)
            self._timers.set(("beat", ""), now + BEAT_S)
        self._capacity.configure(document)
        return self._update_availability(now)

    def _update_availability(self, now: float) -> list[Action]:
        """Stop or resume taking new work; waiting attempts are refused, for a retry elsewhere."""
        before = self._closed_reason
        self._closed_reason = self._availability.reason
        if not self._closed_reason:
            if before:
                self._capacity.mark_cold("return to service", now)
            return []
        actions = self._refuse_all(self._queue.clear(), self._closed_reason)
        if self._closed_reason == LEAVING and before != LEAVING:
            peers = self._reporter.subscribers.recent(now)
            actions += [SendPeer(peer, Leaving(self._vm)) for peer in peers]
        return actions

    # --- Attempts ---

    def _on_attempt(self, peer: str, attempt: Attempt, now: float) -> list[Action]:
        transit = self._transit_times.transit(attempt, now)
        self._reporter.subscribers.attempted(peer, now)
        if attempt.attempt_id in self._seen or self._seen.is_full(now):
            return []
        is_expired = attempt.remaining_ms <= transit.most_s * 1000
        attempt = replace(attempt, remaining_ms=attempt.remaining_ms - transit.least_s * 1000)
        request_class = self._class_by_name.get(attempt.request_class)
        waiting = make_waiting(peer, attempt, request_class, now, self._service_s())
        refusal = self._refusal(waiting, is_expired)
        self._seen.add(attempt.attempt_id, self._max_deadline_s, now)
        if refusal:
            return self._refuse(waiting, refusal)
        self._queue.add(waiting)
        self._timers.set(("start", attempt.attempt_id), waiting.start_by)
        return []

    def _refusal(self, waiting: WaitingAttempt, is_expired: bool) -> str:
        if waiting.attempt.service != self._service:
            return NOT_HERE
        if self._closed_reason:
            return self._closed_reason
        if waiting.request_class is None:
            return "unknown-class"
        if is_expired:
            return "deadline"
        if self.bound == 0:
            return "server-down"
        return ""

    def _service_s(self) -> float:
        return self._capacity.times.median_s if self._capacity else 0.0

    def _refuse_all(self, refused: list[WaitingAttempt], reason: str) -> list[Action]:
        return [action for waiting in refused for action in self._refuse(waiting, reason)]

    def _refuse(self, waiting: WaitingAttempt, reason: str) -> list[Action]:
        attempt_id = waiting.attempt.attempt_id
        self._timers.cancel(("start", attempt_id))
        retry_after_s = (
            self._capacity.retry_after_s(reason, self.queued, self._now) if self._capacity else 0
        )
        answer = AttemptAnswer(
            attempt_id, Verdict.NOT_RUN.value, reason, retry_after_ms=retry_after_s * 1000
        )
        return [self._records.refused(waiting.attempt, reason), self._send(waiting.peer, answer)]

    def _fill(self, now: float) -> list[Action]:
        """Start waiting attempts in free slots, and refuse those not expected to start in time."""
        if not self._queue:
            return []
        if self.bound == 0:
            return self._refuse_all(self._queue.clear(), "server-down")
        actions = []
        while self.in_flight < self.bound and (waiting := self._queue.pop(self.bound, now)):
            actions += self._start(waiting, now)
        unservable = self._queue.trim(self.bound, self._service_s(), now)
        return actions + self._refuse_all(unservable, "overloaded")

    def _start(self, waiting: WaitingAttempt, now: float) -> list[Action]:
        if now >= waiting.deadline:
            return self._refuse(waiting, "deadline")
        attempt_id = waiting.attempt.attempt_id
        self._timers.cancel(("start", attempt_id))
        self._timers.set(("deadline", attempt_id), waiting.deadline)
        self._running_attempts.start(waiting, now)
        self._capacity.record_use(now)
        return [RunAtServer(waiting.attempt, waiting.deadline - now)]

    def _on_cancel(self, attempt_id: str, now: float) -> list[Action]:
        self._seen.add(attempt_id, self._max_deadline_s, now)
        if self._queue.remove(attempt_id):
            self._timers.cancel(("start", attempt_id))
            return []
        running = self._running_attempts.get(attempt_id)
        if running is None or not running.has_waiting_entry:
            return []
        self._timers.cancel(("deadline", attempt_id))
        running.has_waiting_entry = False
        return [CancelAtServer(attempt_id)]

    # --- The server ---

    def _on_answered(self, attempt_id: str, response: Response, now: float) -> list[Action]:
        running = self._running_attempts.get(attempt_id)
        if running is None:
            return []
        self._reporter.served(now)
        name = running.waiting.request_class.name
        incarnation = incarnation_of(response)
        sign = self._capacity.served(name, running.started, incarnation, self.in_flight, now)
        answer = AttemptAnswer(attempt_id, Verdict.RAN.value, response=response)
        return self._records.cold_detected(sign) + self._end(answer, now)

    def _on_failed(self, attempt_id: str, reached: bool, reason: str, now: float) -> list[Action]:
        running = self._running_attempts.get(attempt_id)
        if running is None:
            return []
        sign = self._capacity.failed(reason, now) if running.has_waiting_entry else ""
        verdict = Verdict.UNKNOWN if reached else Verdict.NOT_RUN
        answer = AttemptAnswer(attempt_id, verdict.value, reason)
        return self._records.cold_detected(sign) + self._end(answer, now)

    def _on_shed(self, attempt_id: str, draining: bool, now: float) -> list[Action]:
        if self._running_attempts.get(attempt_id) is None:
            return []
        sign = self._capacity.shed(self.in_flight - 1, draining, now)
        answer = AttemptAnswer(attempt_id, Verdict.NOT_RUN.value, "shed")
        return self._records.cold_detected(sign) + self._end(answer, now)

    def _on_probed(self, event: ServerProbed, now: float) -> list[Action]:
        if not self._reporter.is_probing:
            return []
        self._reporter.is_probing = False
        sign = self._capacity.probed(event.succeeded, event.incarnation, event.draining, now)
        return self._records.cold_detected(sign)

    def _end(self, answer: AttemptAnswer, now: float) -> list[Action]:
        running = self._running_attempts.end(answer.attempt_id, now)
        self._timers.cancel(("deadline", answer.attempt_id))
        return [self._send(running.waiting.peer, answer)] if running.has_waiting_entry else []

    def _send(self, peer: str, answer: AttemptAnswer) -> Action:
        """Return the action that answers an attempt and reports the load of this endpoint."""
        return self._reporter.answer(peer, answer, self._report())

    # --- Time ---

    def _on_tick(self, now: float) -> list[Action]:
        actions = []
        for kind, key in self._timers.pop_due(now):
            match kind:
                case "start":
                    actions += self._refuse(self._queue.remove(key), "overloaded")
                case "deadline":
                    actions += self._on_deadline(key, now)
                case "beat":
                    actions += self._on_beat(now)
        return actions

    def _on_deadline(self, attempt_id: str, now: float) -> list[Action]:
        running = self._running_attempts.get(attempt_id)
        running.has_waiting_entry = False
        self._capacity.overdue(running.waiting.request_class.name, running.started, now)
        answer = AttemptAnswer(attempt_id, Verdict.UNKNOWN.value, "deadline")
        return [CancelAtServer(attempt_id), self._send(running.waiting.peer, answer)]

    def _on_beat(self, now: float) -> list[Action]:
        self._timers.set(("beat", ""), now + BEAT_S)
        actions = self._records.refusal_summary(now)
        actions += self._reporter.probe(self.in_flight < self.bound, now)
        return actions + self._reporter.push(self._report(), now)

    def _report(self) -> LoadReport:
        endpoint = self._availability.endpoint
        return LoadReport(
            service=self._service,
            endpoint=endpoint.name if endpoint else "",
            in_flight=self.in_flight,
            queued=self.queued,
            bound=self.bound,
            state=self.state,
            service_ms=self._service_s() * 1000,
            sequence=self._reporter.next_sequence(),
        )


def make_guard(service: str, vm: str) -> Guard:
    """Return the guard of the server of `service` on `vm`."""
    return Guard(service, vm)
