"""The guard core: the only door to the server on its VM.

Everything that protects the server is decided here, because an entry's view is always old. The
guard composes the parts: what the server bears (`capacity`), who goes next (`admission`), repeated
and late hand-over (`handover`), and load reports (`measuring`). No I/O: see `pollenroad.boundary`.
"""

from msgspec.structs import replace

from pollenroad.admission import AdmissionQueue, SlotShares, Waiting, make_waiting
from pollenroad.atserver import AtServer
from pollenroad.boundary import (
    Action,
    CancelAtServer,
    DocumentInForce,
    Event,
    MembershipChanged,
    PeerReceived,
    Record,
    RunAtServer,
    SendPeer,
    ServerAnswered,
    ServerFailed,
    ServerProbed,
    ServerShed,
    StopRequested,
    Tick,
)
from pollenroad.capacity import Capacity, incarnation_of
from pollenroad.guardstate import GuardView
from pollenroad.handover import HandOverAges, SeenAttempts
from pollenroad.measuring import MeasuringShare
from pollenroad.messages import (
    Attempt,
    AttemptAnswer,
    CancelAttempt,
    Leaving,
    LoadReport,
    Response,
)
from pollenroad.models import Endpoint, RequestClass, ServiceDocument
from pollenroad.refusals import Refusals
from pollenroad.reporting import Reporting
from pollenroad.timers import Timers
from pollenroad.verdicts import Verdict

BEAT_S = 0.1
"""Time between two looks at reports, probes and the clock, in seconds."""

PAUSE_S = 0.25
"""Lateness of a beat from which this process is taken to have been paused, in seconds."""


class Guard:
    """State of one guard: its endpoint, what runs at its server, and what it has seen."""

    def __init__(self, service: str, vm: str):
        self._service = service
        self._vm = vm
        self._document: ServiceDocument | None = None
        self._endpoint: Endpoint | None = None
        self._class_by_name: dict[str, RequestClass] = {}
        self._longest_s = 0.0
        self._capacity: Capacity | None = None
        shares = SlotShares()
        self._queue = AdmissionQueue(shares)
        self._at_server = AtServer(shares)
        self._seen = SeenAttempts()
        self._ages = HandOverAges()
        self._reporting = Reporting()
        self._refusals = Refusals(service)
        self._timers = Timers()
        self._stopping = False
        self._vm_leaving = False
        self._now = 0.0
        self._recorded_state = ""

    # --- What the shell and `status` read ---

    @property
    def in_flight(self) -> int:
        """Requests at the server now, with a probe if there is one."""
        return len(self._at_server) + self._reporting.is_probing

    @property
    def queued(self) -> int:
        """Attempts that wait for a slot."""
        return len(self._queue)

    @property
    def bound(self) -> int:
        """Requests that may be in flight at the server, as of the last event."""
        return 0 if self._closed() else self._capacity.bound(self._now)

    @property
    def measuring(self) -> MeasuringShare:
        """What this guard may spend on measuring, and what it spent."""
        return self._reporting.share

    @property
    def state(self) -> str:
        """`out`, `draining`, `drained`, `down`, `cold` or `serving`."""
        return self._view().state

    @property
    def why(self) -> str:
        """The state in one plain sentence, as of the last event."""
        return self._view().why(self._now)

    def _view(self) -> GuardView:
        slots = self._document.slots if self._document else 0
        return GuardView(self._closed(), self.in_flight, slots, self._capacity)

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        return self._timers.next_due()

    # --- Events ---

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event and return what is to be done."""
        if self._now and now - self._now > BEAT_S + PAUSE_S:
            self._ages.paused(now - self._now, now)
        self._now = now
        actions = self._dispatch(event, now)
        actions += self._fill(now)
        actions += self._record_state()
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
            case DocumentInForce(ServiceDocument() as document):
                return self._on_document(document, now)
            case MembershipChanged(leaving):
                self._vm_leaving = self._vm in leaving
                return self._close(now)
            case StopRequested():
                self._stopping = True
                return self._close(now)
            case Tick():
                return self._on_tick(now)
        return []

    def _on_document(self, document: ServiceDocument, now: float) -> list[Action]:
        if document.key != self._service:
            return []
        was_closed = bool(self._closed())
        self._document = document
        self._endpoint = next((e for e in document.endpoints if e.vm == self._vm), None)
        self._class_by_name = {c.name: c for c in document.classes}
        self._longest_s = max((c.deadline_ms / 1000 for c in document.classes), default=0.0)
        self.measuring.configure(document, self._endpoint is not None, now)
        if self._capacity is None:
            self._capacity = Capacity(document, now)
            self._timers.set(("beat", ""), now + BEAT_S)
        elif was_closed and not self._closed():
            self._capacity.turn_cold("return to service", now)
        self._capacity.configure(document)
        return self._close(now)

    # --- Closing to new work ---

    def _closed(self) -> str:
        """Return the reason for which this guard takes no new work, or an empty string."""
        if self._stopping or self._vm_leaving:
            return "leaving"
        if self._document is None or self._endpoint is None:
            return "not-here"
        out = self._document.out_of_service
        if self._endpoint.failure_domain in out.failure_domains or self._vm in out.vms:
            return "out-of-service"
        return ""

    def _close(self, now: float) -> list[Action]:
        """Refuse what waits if there is no new work, so that the entries try elsewhere."""
        reason = self._closed()
        if not reason:
            return []
        actions = self._refuse_all(self._queue.clear(), reason)
        if reason == "leaving":
            peers = self._reporting.subscribers.recent(now)
            actions += [SendPeer(peer, Leaving(self._vm)) for peer in peers]
        return actions

    # --- Attempts ---

    def _on_attempt(self, peer: str, attempt: Attempt, now: float) -> list[Action]:
        age_ms = self._ages.age_s(attempt, now) * 1000
        self._reporting.subscribers.attempted(peer, now)
        if attempt.attempt_id in self._seen:
            return []
        attempt = replace(attempt, remaining_ms=attempt.remaining_ms - age_ms)
        request_class = self._class_by_name.get(attempt.request_class)
        waiting = make_waiting(peer, attempt, request_class, now, self._service_s())
        if refusal := self._refusal(waiting):
            self._seen.add(attempt.attempt_id, self._longest_s, now)
            return self._refuse(waiting, refusal)
        self._seen.add(attempt.attempt_id, self._longest_s, now)
        self._queue.add(waiting)
        self._timers.set(("start", attempt.attempt_id), waiting.start_by)
        return []

    def _refusal(self, waiting: Waiting) -> str:
        if waiting.attempt.service != self._service:
            return "not-here"
        if reason := self._closed():
            return reason
        if waiting.request_class is None:
            return "unknown-class"
        if waiting.attempt.remaining_ms <= 0:
            return "deadline"
        if self._seen.is_full:
            return "overloaded"
        if self.bound == 0:
            return "server-down"
        return ""

    def _service_s(self) -> float:
        return self._capacity.times.median_s if self._capacity else 0.0

    def _refuse_all(self, refused: list[Waiting], reason: str) -> list[Action]:
        return [action for waiting in refused for action in self._refuse(waiting, reason)]

    def _refuse(self, waiting: Waiting, reason: str) -> list[Action]:
        attempt_id = waiting.attempt.attempt_id
        self._timers.cancel(("start", attempt_id))
        retry_after_ms = self._retry_after_s(reason) * 1000
        answer = AttemptAnswer(
            attempt_id, Verdict.NOT_RUN.value, reason, retry_after_ms=retry_after_ms
        )
        return [self._refusals.refused(waiting.attempt, reason), self._send(waiting.peer, answer)]

    def _retry_after_s(self, reason: str) -> float:
        match reason:
            case "overloaded":
                waves = (1 + self.queued) / max(1, self.bound)
                return max(1.0, waves) * self._service_s()
            case "server-down":
                return self._capacity.hold_remaining_s(self._now)
        return 0.0

    def _fill(self, now: float) -> list[Action]:
        """Start what waits while there are slots, and refuse what cannot start in time."""
        if not self._queue:
            return []
        if self.bound == 0:
            return self._refuse_all(self._queue.clear(), "server-down")
        actions = []
        while self.in_flight < self.bound and (waiting := self._queue.take(self.bound, now)):
            actions += self._start(waiting, now)
        unservable = self._queue.trim(self.bound, self._service_s(), now)
        return actions + self._refuse_all(unservable, "overloaded")

    def _start(self, waiting: Waiting, now: float) -> list[Action]:
        if now >= waiting.deadline:
            return self._refuse(waiting, "deadline")
        attempt_id = waiting.attempt.attempt_id
        self._timers.cancel(("start", attempt_id))
        self._timers.set(("deadline", attempt_id), waiting.deadline)
        self._at_server.start(waiting, now)
        self._capacity.used(now)
        return [RunAtServer(waiting.attempt, waiting.deadline - now)]

    def _on_cancel(self, attempt_id: str, now: float) -> list[Action]:
        self._seen.add(attempt_id, self._longest_s, now)
        if self._queue.remove(attempt_id):
            self._timers.cancel(("start", attempt_id))
            return []
        running = self._at_server.get(attempt_id)
        if running is None or not running.is_wanted:
            return []
        self._timers.cancel(("deadline", attempt_id))
        running.is_wanted = False
        return [CancelAtServer(attempt_id)]

    # --- The server ---

    def _on_answered(self, attempt_id: str, response: Response, now: float) -> list[Action]:
        running = self._at_server.get(attempt_id)
        if running is None:
            return []
        self._reporting.served(now)
        name = running.waiting.request_class.name
        incarnation = incarnation_of(response)
        sign = self._capacity.served(name, running.started, incarnation, self.in_flight, now)
        answer = AttemptAnswer(attempt_id, Verdict.RAN.value, response=response)
        return self._record_cold(sign) + self._end(answer, now)

    def _on_failed(self, attempt_id: str, reached: bool, reason: str, now: float) -> list[Action]:
        running = self._at_server.get(attempt_id)
        if running is None:
            return []
        sign = self._capacity.failed(reason, now) if running.is_wanted else ""
        verdict = Verdict.UNKNOWN if reached else Verdict.NOT_RUN
        answer = AttemptAnswer(attempt_id, verdict.value, reason)
        return self._record_cold(sign) + self._end(answer, now)

    def _on_shed(self, attempt_id: str, draining: bool, now: float) -> list[Action]:
        if self._at_server.get(attempt_id) is None:
            return []
        sign = self._capacity.shed(self.in_flight - 1, draining, now)
        answer = AttemptAnswer(attempt_id, Verdict.NOT_RUN.value, "shed")
        return self._record_cold(sign) + self._end(answer, now)

    def _on_probed(self, event: ServerProbed, now: float) -> list[Action]:
        if not self._reporting.is_probing:
            return []
        self._reporting.is_probing = False
        sign = self._capacity.probed(event.succeeded, event.incarnation, event.draining, now)
        return self._record_cold(sign)

    def _end(self, answer: AttemptAnswer, now: float) -> list[Action]:
        running = self._at_server.end(answer.attempt_id, now)
        self._timers.cancel(("deadline", answer.attempt_id))
        return [self._send(running.waiting.peer, answer)] if running.is_wanted else []

    def _send(self, peer: str, answer: AttemptAnswer) -> Action:
        """Answer an attempt, with the load of this endpoint."""
        return self._reporting.answer(peer, answer, self._report())

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
        running = self._at_server.get(attempt_id)
        running.is_wanted = False
        self._capacity.overdue(running.waiting.request_class.name, running.started, now)
        answer = AttemptAnswer(attempt_id, Verdict.UNKNOWN.value, "deadline")
        return [CancelAtServer(attempt_id), self._send(running.waiting.peer, answer)]

    def _on_beat(self, now: float) -> list[Action]:
        self._timers.set(("beat", ""), now + BEAT_S)
        actions = self._refusals.summary(now)
        actions += self._reporting.probe(self.in_flight < self.bound, now)
        return actions + self._reporting.push(self._report(), now)

    def _report(self) -> LoadReport:
        return LoadReport(
            service=self._service,
            endpoint=self._endpoint.name if self._endpoint else "",
            in_flight=self.in_flight,
            queued=self.queued,
            bound=self.bound,
            state=self.state,
            service_ms=self._service_s() * 1000,
            sequence=self._reporting.next_sequence(),
        )

    # --- Records ---

    def _record_cold(self, sign: str) -> list[Action]:
        if not sign:
            return []
        return [Record("server_fell_cold", (("service", self._service), ("sign", sign)))]

    def _record_state(self) -> list[Action]:
        state = self.state
        if state == self._recorded_state:
            return []
        self._recorded_state = state
        return [Record(f"guard_{state}", (("service", self._service), ("why", self.why)))]


def make_guard(service: str, vm: str) -> Guard:
    """Make the guard of the server of `service` on `vm`."""
    return Guard(service, vm)
