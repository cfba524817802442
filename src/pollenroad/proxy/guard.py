"""The guard core of transparent HTTP: the only way to the server on its VM. No I/O.

A request that waits here has not run, so that it can be refused as such and tried elsewhere; what
was handed to the server counts as run until the server says otherwise.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from msgspec.structs import replace

from pollenroad.addresses import host_of
from pollenroad.boundary import (
    Action,
    CancelAtServer,
    PeerReceived,
    Record,
    RunAtServer,
    SendPeer,
    ServerAnswered,
    ServerFailed,
    ServerShed,
    StopRequested,
    Tick,
)
from pollenroad.guard.admission import AdmissionQueue, SlotShares, Waiting
from pollenroad.guard.atserver import AtServer
from pollenroad.guard.closing import LEAVING, NOT_HERE, OUT_OF_SERVICE
from pollenroad.guard.handover import HandOverAges, SeenAttempts
from pollenroad.messages import Attempt, AttemptAnswer, CancelAttempt, LoadReport
from pollenroad.models import RequestClass
from pollenroad.proxy.boundary import (
    CheckServer,
    EntryLost,
    Event,
    ServerSeen,
    ServerSilent,
    TellLoad,
)
from pollenroad.proxy.calls import age_ms
from pollenroad.proxy.crowding import Crowding, calm_slots
from pollenroad.proxy.directory import Directory
from pollenroad.proxy.health import MIN_CHECK_S, SILENT_CHECKS, ServerHealth
from pollenroad.proxy.pacing import NO_COLD_BOUND, ColdBound
from pollenroad.proxy.telling import Telling
from pollenroad.proxy.worktimes import WorkTimes
from pollenroad.published import RegisteredEndpoint, ServiceRules
from pollenroad.timers import Timers
from pollenroad.verdicts import Verdict

SERVER_ERROR = 500
"""Lowest HTTP status that counts as a failure of the server."""

SLOW = "slow"
"""Reason of refusals where the server is slower than the entry assumed."""

FULL = "full"
"""Reason of refusals where no slot is free, before the attempt has waited."""

HAND_BACK_FACTOR = 2.0
"""Slowdown, as a multiple of the assumed one, from which an attempt is handed back."""

SLOW_FACTOR = 2.5
"""Slowdown from which attempts rather wait: what starts now stays slow, and the VM may be quick
again in half a second."""

BEAT_S = 0.1
"""Time between two looks at the server's state, in seconds."""

SMALL_FLEET = 16
"""Endpoints up to which all entries are told of the load, not only those that sent attempts."""

CHECK_TIMEOUT_S = 1.0
"""Time for a health check in seconds."""

WAIT_SHARE = 0.25
"""Share of its remaining time that an attempt may wait for a slot in any case, so that it can still
run, or be refused in time for another endpoint."""

ROOM_FACTOR = 1.3
"""Room for its run that an attempt needs before the latency objective, as a multiple of the usual
time: while there is more, waiting costs its caller nothing."""

MIN_WAIT_S = 0.03
"""Shortest time in seconds that an attempt may wait."""

FINISH_SHARE = 0.8
"""Share of its expected time at the server that an attempt must have left at its start: one that
is cut off at its deadline has used a slot for nothing."""

SEEN_S = 15.0
"""Longest time left of any attempt, for which its id must be remembered, in seconds."""

DEFAULT_SLOTS = 8
"""Slots of a server that has not registered yet."""


@dataclass(frozen=True, slots=True)
class _Start:
    """The server's state when an attempt was handed over."""

    slowdown: float
    is_crowded: bool
    """Whether more than the calm share of the slots was in use."""


class Guard:
    """State of one guard: its endpoint, what waits, and what runs at its server."""

    def __init__(
        self, server: str, service: str, directory: Directory, cold_bound: ColdBound, now: float
    ):
        self.server = server
        """Address of the server beside this guard."""
        self.service = service
        self._directory = directory
        shares = SlotShares()
        self._queue = AdmissionQueue(shares)
        self._at_server = AtServer(shares)
        self._seen = SeenAttempts()
        self._ages = HandOverAges()
        self._cold_bound = cold_bound
        self._health = ServerHealth(now)
        self._work = WorkTimes()
        self._telling = Telling()
        self._timers = Timers()
        self._is_stopping = False
        self._attempted_at = now
        self._start_by_attempt: dict[str, _Start] = {}
        self._crowding = Crowding()
        self._sequence = 0
        self._state = ""
        self._start_seen = ("", 0)
        self._timers.set(("beat", ""), now)

    # --- What the shell reads ---

    @property
    def in_flight(self) -> int:
        """Requests at the server now."""
        return len(self._at_server)

    @property
    def queued(self) -> int:
        """Attempts that wait for a slot."""
        return len(self._queue)

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        return self._timers.next_due()

    def endpoint(self) -> RegisteredEndpoint | None:
        """Return the endpoint beside this guard, if it has registered."""
        return self._directory.at_server(self.server)

    def closed_reason(self) -> str:
        """Return why no new work is taken, or an empty string."""
        endpoint = self.endpoint()
        if self._is_stopping:
            return LEAVING
        if endpoint is None:
            return NOT_HERE
        if endpoint.is_leaving:
            return LEAVING
        if endpoint.failure_domain in self._directory.out_domains:
            return OUT_OF_SERVICE
        return ""

    def _rules(self) -> ServiceRules | None:
        configuration = self._directory.configuration
        return configuration.service_by_name.get(self.service) if configuration else None

    def _slots(self) -> int:
        endpoint = self.endpoint()
        return endpoint.slots if endpoint and endpoint.slots > 0 else DEFAULT_SLOTS

    def _has_room(self, now: float) -> bool:
        """Tell whether one more request may be handed to the server."""
        slots, in_flight = self._slots(), self.in_flight
        if in_flight < self._crowding.bound(slots):
            return True
        crowded = sum(start.is_crowded for start in self._start_by_attempt.values())
        return in_flight < slots and self._crowding.may_try(crowded, now)

    # --- Events ---

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event and return what is to be done."""
        self._ages.awake(now)
        noted = self._note_incarnation(now)
        return [*noted, *self._actions(event, now), *self._fill(now), *self._tell(now)]

    def _actions(self, event: Event, now: float) -> Iterator[Action]:
        match event:
            case PeerReceived(peer, Attempt() as attempt):
                yield from self._on_attempt(peer, attempt, now)
            case PeerReceived(_, CancelAttempt(attempt_id)):
                yield from self._on_cancel(attempt_id, now)
            case EntryLost(peer):
                yield from self._on_entry_lost(peer)
            case ServerAnswered(attempt_id, response):
                answer = AttemptAnswer(attempt_id, Verdict.RAN.value, response=response)
                yield from self._end(replace(answer, reached_server=True), now)
            case ServerFailed(attempt_id, reached, reason):
                verdict = Verdict.UNKNOWN if reached else Verdict.NOT_RUN
                answer = AttemptAnswer(attempt_id, verdict.value, reason, reached_server=reached)
                yield from self._end(answer, now)
            case ServerShed(attempt_id):
                answer = AttemptAnswer(attempt_id, Verdict.NOT_RUN.value, "shed")
                yield from self._end(replace(answer, reached_server=True), now)
            case ServerSeen():
                yield from self._on_seen(event, now)
            case ServerSilent(reason):
                yield from self._on_silent(reason)
            case StopRequested():
                self._is_stopping = True
            case Tick():
                yield from self._on_tick(now)
        if self._queue and (reason := self.closed_reason()):
            yield from self._refuse_all(reason, now)

    # --- Attempts ---

    def _on_attempt(self, peer: str, attempt: Attempt, now: float) -> Iterator[Action]:
        if attempt.attempt_id in self._seen or self._seen.is_full(now):
            return
        self._seen.add(attempt.attempt_id, SEEN_S, now)
        self._telling.attempted(host_of(peer), now)
        self._attempted_at = now
        remaining_s = attempt.remaining_ms / 1000 - self._ages.age_s(attempt, now)
        waiting = self._waiting(peer, attempt, remaining_s, now)
        reason = self._refusal(attempt, remaining_s, now)
        if reason:
            yield from self._refuse(waiting, reason, now)
            return
        self._queue.add(waiting)
        self._timers.set(("start", attempt.attempt_id), waiting.start_by)

    def _waiting(self, peer: str, attempt: Attempt, remaining_s: float, now: float) -> Waiting:
        rank = RequestClass(name=attempt.request_class, worth=1 / (1 + attempt.priority))
        work_s = self._usual_s(attempt)
        room_s = attempt.objective_ms / 1000 - ROOM_FACTOR * work_s
        wait_s = max(MIN_WAIT_S, WAIT_SHARE * remaining_s, room_s)
        start_by = now + min(wait_s, remaining_s - FINISH_SHARE * work_s)
        on_time_until = now + attempt.objective_ms / 1000 - work_s
        return Waiting(peer, attempt, rank, now, now + remaining_s, start_by, on_time_until)

    def _usual_s(self, attempt: Attempt) -> float:
        work_s = self._work.usual_s(attempt.request_class)
        return attempt.usual_ms / 1000 if work_s is None else work_s

    def _refusal(self, attempt: Attempt, remaining_s: float, now: float) -> str:
        if reason := self.closed_reason():
            return reason
        if attempt.incarnation and attempt.incarnation != self.endpoint().incarnation:
            return NOT_HERE
        if remaining_s <= 0:
            return "deadline"
        if self._health.is_down and not self.in_flight:
            return "server-down"
        if self._health.is_fresh(now) and self._is_slower_than_assumed(attempt):
            return SLOW
        slots = self._slots()
        if (
            attempt.assumed_slowdown
            and attempt.assumed_load < slots <= self.in_flight + self.queued
        ):
            return FULL
        return ""

    def _is_slower_than_assumed(self, attempt: Attempt) -> bool:
        assumed = attempt.assumed_slowdown
        return bool(assumed) and self._health.slowdown >= HAND_BACK_FACTOR * assumed

    def _refuse_all(self, reason: str, now: float) -> Iterator[Action]:
        for waiting in self._queue.clear():
            yield from self._refuse(waiting, reason, now)

    def _refuse(self, waiting: Waiting, reason: str, now: float) -> Iterator[Action]:
        attempt = waiting.attempt
        self._timers.cancel(("start", attempt.attempt_id))
        fields = (
            ("request_id", attempt.request_id),
            ("attempt_id", attempt.attempt_id),
            ("reason", reason),
            ("waited_ms", round((now - waiting.arrived) * 1000)),
            ("in_flight", self.in_flight),
            ("queued", self.queued),
            ("slowdown", round(self._health.slowdown, 2)),
            ("seen_age_ms", age_ms(self._health.age_s(now))),
            ("revision", self._directory.revision),
        )
        yield Record("attempt_refused", fields)
        answer = AttemptAnswer(attempt.attempt_id, Verdict.NOT_RUN.value, reason)
        yield self._send(waiting.peer, answer, now)

    def _fill(self, now: float) -> Iterator[Action]:
        """Start what waits, while there are slots, the server is quick, and it is not spared."""
        while self._queue and self._has_room(now):
            if self._health.needs_word(now):
                yield from self._check(now)
                self._timers.set(("fill", ""), self._health.answer_due())
                return
            if self._health.slowdown >= SLOW_FACTOR:
                yield from self._wait_until_quick(now)
                return
            waiting = self._queue.peek(self._slots(), now)
            if self._can_finish(waiting, now) and not self._take_turn(now):
                yield from self._check(now)
                return
            self._queue.remove(waiting.attempt.attempt_id)
            yield from self._start(waiting, now)
            yield from self._check(now)

    def _can_finish(self, waiting: Waiting, now: float) -> bool:
        work_s = self._usual_s(waiting.attempt) * self._health.expected_slowdown(now)
        return waiting.deadline - now > FINISH_SHARE * work_s

    def _take_turn(self, now: float) -> bool:
        """Tell whether a request may start now, and use up the token of a server that is spared."""
        rules = self._rules()
        rate_per_s = self._cold_bound.rate_per_s(rules.cold_per_s) if rules else 0.0
        if self._health.is_warm(now) or not rate_per_s:
            return True
        pace = self._health.pace
        if pace.take(rate_per_s, now):
            return True
        self._timers.set(("fill", ""), now + pace.next_token_s(rate_per_s))
        return False

    def _wait_until_quick(self, now: float) -> Iterator[Action]:
        """Hand back what its entry would have sent elsewhere, and ask again soon for the rest."""
        for waiting in self._queue.remove_if(self._is_slower_than_assumed):
            yield from self._refuse(waiting, SLOW, now)
        if self._queue:
            self._timers.set(("fill", ""), now + MIN_CHECK_S)

    def _start(self, waiting: Waiting, now: float) -> Iterator[Action]:
        attempt = waiting.attempt
        remaining_s = waiting.deadline - now
        self._timers.cancel(("start", attempt.attempt_id))
        if not self._can_finish(waiting, now):
            yield from self._refuse(waiting, "deadline", now)
            return
        self._timers.set(("deadline", attempt.attempt_id), waiting.deadline)
        self._at_server.start(waiting, now)
        self._health.started()
        self._start_by_attempt[attempt.attempt_id] = _Start(
            self._health.expected_slowdown(now), self.in_flight > calm_slots(self._slots())
        )
        fields = (
            ("request_id", attempt.request_id),
            ("attempt_id", attempt.attempt_id),
            ("waited_ms", round((now - waiting.arrived) * 1000)),
            ("remaining_ms", round(remaining_s * 1000)),
            ("in_flight", self.in_flight),
            ("slowdown", round(self._health.slowdown, 2)),
            ("seen_age_ms", age_ms(self._health.age_s(now))),
            ("cold", self._health.is_cold(now)),
        )
        yield Record("attempt_started", fields)
        yield RunAtServer(attempt, remaining_s)

    def _on_cancel(self, attempt_id: str, now: float) -> Iterator[Action]:
        self._seen.add(attempt_id, SEEN_S, now)
        if self._queue.remove(attempt_id):
            self._timers.cancel(("start", attempt_id))
            return
        running = self._at_server.get(attempt_id)
        if running is not None and running.is_wanted:
            running.is_wanted = False
            self._timers.cancel(("deadline", attempt_id))
            yield CancelAtServer(attempt_id)

    def _on_entry_lost(self, peer: str) -> Iterator[Action]:
        """Stop idempotent work whose answer nobody takes; other work is better finished."""
        for attempt_id, running in self._at_server.items():
            waiting = running.waiting
            if waiting.peer == peer and waiting.attempt.idempotent and running.is_wanted:
                running.is_wanted = False
                self._timers.cancel(("deadline", attempt_id))
                yield CancelAtServer(attempt_id)

    def _end(self, answer: AttemptAnswer, now: float) -> Iterator[Action]:
        attempt_id = answer.attempt_id
        if self._at_server.get(attempt_id) is None:
            return
        running = self._at_server.end(attempt_id, now)
        self._timers.cancel(("deadline", attempt_id))
        start = self._start_by_attempt.pop(attempt_id)
        if answer.response is not None and answer.response.status < SERVER_ERROR:
            work_s = (now - running.started) / start.slowdown
            self._learn(running.waiting.attempt.request_class, work_s, start.is_crowded, now)
            answer = replace(answer, work_ms=work_s * 1000)
        status = answer.response.status if answer.response else 0
        fields = (
            ("request_id", running.waiting.attempt.request_id),
            ("attempt_id", attempt_id),
            ("verdict", answer.verdict),
            ("reason", answer.reason),
            ("status", status),
            ("ms", round((now - running.started) * 1000, 1)),
            ("wanted", running.is_wanted),
        )
        yield Record("attempt_done", fields)
        if running.is_wanted:
            yield self._send(running.waiting.peer, answer, now)

    def _learn(self, request_class: str, work_s: float, is_crowded: bool, now: float) -> None:
        usual_s = self._work.usual_s(request_class)
        if not is_crowded:
            self._work.add(request_class, work_s)
        elif usual_s:
            self._crowding.add(work_s / usual_s, now)

    def _send(self, peer: str, answer: AttemptAnswer, now: float) -> Action:
        return SendPeer(peer, replace(answer, load=self._report(now)))

    # --- The server ---

    def _on_seen(self, seen: ServerSeen, now: float) -> Iterator[Action]:
        if self._health.seen(seen, now):
            yield Record("server_cold", (("cold_s", seen.cold_s), ("source", "server")))

    def _on_silent(self, reason: str) -> Iterator[Action]:
        if self._health.silent():
            yield Record("server_silent", (("reason", reason), ("checks", SILENT_CHECKS)))

    def _note_incarnation(self, now: float) -> Iterator[Action]:
        endpoint = self.endpoint()
        if endpoint is None or (endpoint.incarnation, endpoint.born_ms) == self._start_seen:
            return
        self._start_seen = (endpoint.incarnation, endpoint.born_ms)
        if self._health.restarted(endpoint.cold_s, now):
            yield Record("server_cold", (("cold_s", endpoint.cold_s), ("source", "registration")))

    # --- Time ---

    def _on_tick(self, now: float) -> Iterator[Action]:
        for kind, key in list(self._timers.pop_due(now)):
            match kind:
                case "start":
                    if waiting := self._queue.remove(key):
                        yield from self._start_last(waiting, now)
                case "deadline":
                    yield from self._on_deadline(key, now)
                case "beat":
                    self._timers.set(("beat", ""), now + BEAT_S)
                    yield from self._check(now)

    def _start_last(self, waiting: Waiting, now: float) -> Iterator[Action]:
        """Start an attempt that cannot wait longer, or refuse it."""
        is_slow = self._health.slowdown >= SLOW_FACTOR
        if is_slow and self._has_room(now) and self._take_turn(now):
            yield from self._start(waiting, now)
            return
        yield from self._refuse(waiting, "overloaded", now)

    def _on_deadline(self, attempt_id: str, now: float) -> Iterator[Action]:
        running = self._at_server.get(attempt_id)
        if running is None or not running.is_wanted:
            return
        running.is_wanted = False
        answer = AttemptAnswer(attempt_id, Verdict.UNKNOWN.value, "deadline", reached_server=True)
        yield CancelAtServer(attempt_id)
        yield self._send(running.waiting.peer, answer, now)

    def _check(self, now: float) -> Iterator[Action]:
        rules = self._rules()
        has_waiting = bool(self._queue)
        if rules is None or not self._health.is_check_due(now, self._attempted_at, has_waiting):
            return
        self._health.asked(now)
        yield CheckServer(rules.health_path, CHECK_TIMEOUT_S)

    # --- Load ---

    def _report(self, now: float) -> LoadReport:
        endpoint = self.endpoint()
        self._sequence += 1
        return LoadReport(
            service=self.service,
            endpoint=endpoint.incarnation if endpoint else "",
            in_flight=self.in_flight,
            queued=self.queued,
            bound=self._crowding.bound(self._slots()),
            state=self._report_state(now),
            sequence=self._sequence,
            slowdown=self._health.slowdown,
        )

    def _report_state(self, now: float) -> str:
        match self.closed_reason():
            case "":
                pass
            case reason:
                return "draining" if reason == LEAVING else "out"
        if self._health.is_down:
            return "down"
        return "cold" if self._health.is_cold(now) else "serving"

    def _tell(self, now: float) -> Iterator[Action]:
        report = self._report(now)
        if report.state != self._state:
            fields = (
                ("state", report.state),
                ("before", self._state),
                ("reason", self.closed_reason()),
                ("endpoint", report.endpoint),
                ("revision", self._directory.revision),
            )
            self._state = report.state
            yield Record("guard_state", fields)
        if self._telling.is_news(report, now):
            hosts = self._hosts_to_tell(now)
            if hosts:
                yield TellLoad(hosts, report)

    def _hosts_to_tell(self, now: float) -> tuple[str, ...]:
        hosts = {host_of(endpoint.guard) for endpoint in self._directory.all_endpoints()}
        return tuple(sorted(hosts)) if len(hosts) <= SMALL_FLEET else self._telling.hosts(now)


def make_guard(
    server: str,
    service: str,
    directory: Directory,
    now: float,
    cold_bound: ColdBound = NO_COLD_BOUND,
) -> Guard:
    """Make the guard of the server of `service` at the address `server`."""
    return Guard(server, service, directory, cold_bound, now)
