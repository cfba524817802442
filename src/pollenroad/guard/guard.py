"""The guard core: the only door to the server on its VM.

Everything that protects the server is decided here, because an entry's view is always old. The
guard composes the parts: what the server bears (`capacity`), who goes next (`admission`), repeated
and late hand-over (`handover`), and load reports (`measuring`). No I/O: see `pollenroad.boundary`.
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
from pollenroad.guard.admission import AdmissionQueue, SlotShares, Waiting, make_waiting
from pollenroad.guard.atserver import AtServer
from pollenroad.guard.capacity import Capacity, incarnation_of
from pollenroad.guard.closing import LEAVING, NOT_HERE, Closing
from pollenroad.guard.coldstart import SERVER_UNREACHABLE
from pollenroad.guard.guardrecords import GuardRecords
from pollenroad.guard.guardstate import GuardView
from pollenroad.guard.handover import HandOverAges, SeenAttempts
from pollenroad.guard.measuring import MeasuringShare
from pollenroad.guard.reporting import Reporting
from pollenroad.messages import Attempt, AttemptAnswer, CancelAttempt, Leaving, LoadReport, Response
from pollenroad.models import RequestClass, ServiceDocument
from pollenroad.timers import Timers
from pollenroad.verdicts import Verdict

BEAT_S = 0.1
"""Time between two looks at reports, probes and the clock, in seconds."""


class Guard:
    """State of one guard: its endpoint, what runs at its server, and what it has seen."""

    def __init__(self, service: str, vm: str):
        self._service = service
        self._vm = vm
        self._slots = 0
        self._closing = Closing(vm)
        self._closed = self._closing.reason
        self._class_by_name: dict[str, RequestClass] = {}
        self._longest_s = 0.0
        self._capacity: Capacity | None = None
        shares = SlotShares()
        self._queue = AdmissionQueue(shares)
        self._at_server = AtServer(shares)
        self._seen = SeenAttempts()
        self._ages = HandOverAges()
        self._reporting = Reporting()
        self._records = GuardRecords(service)
        self._timers = Timers()
        self._now = 0.0

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
        return 0 if self._closed else self._capacity.bound(self._now)

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
        return GuardView(self._closed, self.in_flight, self._slots, self._capacity)

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        return self._timers.next_due()

    # --- Events ---

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event and return what is to be done."""
        if self._capacity:
            self._ages.awake(now)
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
                return self._records.fell_cold(self._capacity.failed(SERVER_UNREACHABLE, now))
            case DocumentInForce(ServiceDocument() as document):
                return self._on_document(document, now)
            case MembershipChanged(leaving):
                self._closing.vm_leaving = self._vm in leaving
                return self._reconsider(now)
            case StopRequested():
                self._closing.stopping = True
                return self._reconsider(now)
            case Tick():
                return self._on_tick(now)
        return []

    def _on_document(self, document: ServiceDocument, now: float) -> list[Action]:
        if document.key != self._service:
            return []
        self._slots = document.slots
        self._closing.configure(document)
        self._class_by_name = {c.name: c for c in document.classes}
        self._longest_s = max((c.deadline_ms / 1000 for c in document.classes), default=0.0)
        self.measuring.configure(document, self._closing.endpoint is not None, now)
        if self._capacity is None:
            self._capacity = Capacity(document, now)
            self._closed = ""
            self._ages.awake(now)
            self._timers.set(("beat", ""), now + BEAT_S)
        self._capacity.configure(document)
        return self._reconsider(now)

    def _reconsider(self, now: float) -> list[Action]:
        """Close to new work or open again; what waits is refused, to be tried elsewhere."""
        before = self._closed
        self._closed = self._closing.reason
        if not self._closed:
            if before:
                self._capacity.turn_cold("return to service", now)
            return []
        actions = self._refuse_all(self._queue.clear(), self._closed)
        if self._closed == LEAVING and before != LEAVING:
            peers = self._reporting.subscribers.recent(now)
            actions += [SendPeer(peer, Leaving(self._vm)) for peer in peers]
        return actions

    # --- Attempts ---

    def _on_attempt(self, peer: str, attempt: Attempt, now: float) -> list[Action]:
        age_ms = self._ages.age_s(attempt, now) * 1000
        self._reporting.subscribers.attempted(peer, now)
        if attempt.attempt_id in self._seen or self._seen.is_full(now):
            return []
        attempt = replace(attempt, remaining_ms=attempt.remaining_ms - age_ms)
        request_class = self._class_by_name.get(attempt.request_class)
        waiting = make_waiting(peer, attempt, request_class, now, self._service_s())
        refusal = self._refusal(waiting)
        self._seen.add(attempt.attempt_id, self._longest_s, now)
        if refusal:
            return self._refuse(waiting, refusal)
        self._queue.add(waiting)
        self._timers.set(("start", attempt.attempt_id), waiting.start_by)
        return []

    def _refusal(self, waiting: Waiting) -> str:
        if waiting.attempt.service != self._service:
            return NOT_HERE
        if self._closed:
            return self._closed
        if waiting.request_class is None:
            return "unknown-class"
        if waiting.attempt.remaining_ms <= 0:
            return "deadline"
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
        later_s = (
            self._capacity.retry_after_s(reason, self.queued, self._now) if self._capacity else 0
        )
        answer = AttemptAnswer(
            attempt_id, Verdict.NOT_RUN.value, reason, retry_after_ms=later_s * 1000
        )
        return [self._records.refused(waiting.attempt, reason), self._send(waiting.peer, answer)]

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
        return self._records.fell_cold(sign) + self._end(answer, now)

    def _on_failed(self, attempt_id: str, reached: bool, reason: str, now: float) -> list[Action]:
        running = self._at_server.get(attempt_id)
        if running is None:
            return []
        sign = self._capacity.failed(reason, now) if running.is_wanted else ""
        verdict = Verdict.UNKNOWN if reached else Verdict.NOT_RUN
        answer = AttemptAnswer(attempt_id, verdict.value, reason)
        return self._records.fell_cold(sign) + self._end(answer, now)

    def _on_shed(self, attempt_id: str, draining: bool, now: float) -> list[Action]:
        if self._at_server.get(attempt_id) is None:
            return []
        sign = self._capacity.shed(self.in_flight - 1, draining, now)
        answer = AttemptAnswer(attempt_id, Verdict.NOT_RUN.value, "shed")
        return self._records.fell_cold(sign) + self._end(answer, now)

    def _on_probed(self, event: ServerProbed, now: float) -> list[Action]:
        if not self._reporting.is_probing:
            return []
        self._reporting.is_probing = False
        sign = self._capacity.probed(event.succeeded, event.incarnation, event.draining, now)
        return self._records.fell_cold(sign)

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
        actions = self._records.refusals(now)
        actions += self._reporting.probe(self.in_flight < self.bound, now)
        return actions + self._reporting.push(self._report(), now)

    def _report(self) -> LoadReport:
        endpoint = self._closing.endpoint
        return LoadReport(
            service=self._service,
            endpoint=endpoint.name if endpoint else "",
            in_flight=self.in_flight,
            queued=self.queued,
            bound=self.bound,
            state=self.state,
            service_ms=self._service_s() * 1000,
            sequence=self._reporting.next_sequence(),
        )


def make_guard(service: str, vm: str) -> Guard:
    """Make the guard of the server of `service` on `vm`."""
    return Guard(service, vm)
