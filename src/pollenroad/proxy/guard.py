"""The guard core of transparent HTTP: all requests to the server on its VM pass through it.

A request that waits here has not run, so that it can be refused as such and retried at another
endpoint. A request that was sent to the server may have run, unless the server states otherwise.
"""

import random
from collections.abc import Callable, Iterator

from msgspec.structs import replace

from pollenroad.addresses import host_of
from pollenroad.boundary import (
    Action,
    CancelAtServer,
    PeerReceived,
    RunAtServer,
    SendPeer,
    ServerAnswered,
    ServerFailed,
    ServerShed,
    StopRequested,
    Tick,
)
from pollenroad.guard.admission import AdmissionQueue, SlotShares, WaitingAttempt
from pollenroad.guard.availability import LEAVING, NOT_HERE
from pollenroad.guard.running_attempts import RunningAttempt, RunningAttempts
from pollenroad.messages import Attempt, AttemptAnswer, CancelAttempt, LoadReport
from pollenroad.proxy import records
from pollenroad.proxy.admission.guard_shedding import GuardShedding
from pollenroad.proxy.admission_policy import AdmissionPolicy
from pollenroad.proxy.answers import answer_of, is_success
from pollenroad.proxy.arrivals import Arrivals
from pollenroad.proxy.boundary import (
    DirectoryChanged,
    DirectoryRead,
    EntryLost,
    Event,
    ServerAdvertised,
    ServerSeen,
    ServerSilent,
)
from pollenroad.proxy.cold_rate import NO_COLD_BOUND, ColdBound
from pollenroad.proxy.directory import Directory
from pollenroad.proxy.health import BEAT_S, CHECK_GAP_S
from pollenroad.proxy.load_reporting import LoadReporter
from pollenroad.proxy.local_server import LocalServer
from pollenroad.proxy.recovery.guard_recovery import GuardRecovery
from pollenroad.proxy.refusals import DISPLACED, OVERLOADED, SLOW
from pollenroad.proxy.server_status import ServerStatus
from pollenroad.timers import Timers
from pollenroad.verdicts import Verdict


class Guard:
    """State of one guard: its endpoint, the waiting attempts, and those running at its server."""

    def __init__(
        self,
        local: LocalServer,
        directory: Directory,
        cold_bound: ColdBound,
        suspended_s: Callable[[], float],
        now: float,
    ):
        self.local = local
        self._directory = directory
        shares = SlotShares()
        self._queue = AdmissionQueue(shares)
        self._running_attempts = RunningAttempts(shares)
        self._arrivals = Arrivals(suspended_s)
        self._status = ServerStatus(self.local, now)
        self._health = self._status.health
        self.recovery = GuardRecovery(directory, self._health, now)
        rng = random.Random(local.address)
        self.policy = AdmissionPolicy(self._health, cold_bound, rng, self.recovery)
        self._shedding = GuardShedding(directory, self.local, self.policy, self._queue)
        self._load_reporter = LoadReporter()
        self._timers = Timers()
        self._is_stopping = False
        self._timers.set(("beat", ""), now)

    # --- What the shell reads ---

    @property
    def in_flight(self) -> int:
        """Number of requests running at the server."""
        return len(self._running_attempts)

    @property
    def queued(self) -> int:
        """Number of attempts that wait for a slot."""
        return len(self._queue)

    @property
    def limit_per_s(self) -> float:
        """Requests a second that the server takes, or infinity if it states no limit."""
        limit_per_s = self._status.advertised.limit_per_s
        return float("inf") if limit_per_s is None else limit_per_s

    def use_queue(self, queue: AdmissionQueue) -> None:
        """Replace the queue before the first attempt arrives, to compare orders of attempts."""
        self._queue = self._shedding.queue = queue

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        return self._timers.next_due()

    def closed_reason(self) -> str:
        """Return the reason for which no new work is accepted, or an empty string."""
        if self._is_stopping or self._status.advertised.is_leaving:
            return LEAVING
        return self.local.closed_reason()

    # --- Events ---

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process one event and return the actions to perform."""
        self._arrivals.observe_pause(self._timers.next_due(), now)
        restarts = self._status.detect_restart(now)
        actions = [*restarts, *self._actions(event, now)]
        self.policy.request_rate.set_limit(self._status.advertised.limit_per_s, now)
        actions += self._refuse_early(now)
        return [*actions, *self._fill(now), *self._report_load(now)]

    def _actions(self, event: Event, now: float) -> Iterator[Action]:
        match event:
            case PeerReceived(peer, Attempt() as attempt):
                yield from self._on_attempt(peer, attempt, now)
            case PeerReceived(_, CancelAttempt(attempt_id)):
                yield from self._on_cancel(attempt_id, now)
            case EntryLost(peer):
                yield from self._on_entry_lost(peer)
            case ServerAnswered() | ServerShed():
                self._status.advertised.answered()
                yield from self._end(answer_of(event), now)
            case ServerFailed():
                yield from self._end(answer_of(event), now)
            case ServerSeen():
                yield from self._status.on_seen(event, now)
            case ServerAdvertised():
                yield from self._status.on_advertised(event, self.closed_reason())
            case ServerSilent(reason):
                yield from self._status.on_silent(reason)
            case DirectoryRead() | DirectoryChanged():
                for waiting in self._queue.remove_if(self.local.is_other):
                    yield from self._refuse(waiting, NOT_HERE, now)
            case StopRequested():
                self._is_stopping = True
            case Tick():
                yield from self._on_tick(now)
        if self._queue and (reason := self.closed_reason()):
            for waiting in self._queue.clear():
                yield from self._refuse(waiting, reason, now)

    # --- Attempts ---

    def _on_attempt(self, peer: str, attempt: Attempt, now: float) -> Iterator[Action]:
        arrival = self._arrivals.add(attempt, now)
        if arrival is None:
            return
        self._load_reporter.attempted(host_of(peer), now)
        self._health.attempted(now)
        self.recovery.arrived(attempt, now)
        yield from self._status.on_hint(attempt)
        waiting = self.policy.make_waiting(peer, attempt, arrival.remaining_s, now)
        waiting = self._shedding.ranked(waiting, now)
        if reason := self._refusal(waiting, arrival.is_expired, now):
            yield from self._refuse(waiting, reason, now)
            return
        self._queue.add(waiting)
        self._timers.set(("start", attempt.attempt_id), waiting.start_by)
        for displaced in self._shedding.displaced(now):
            yield records.attempt_displaced(displaced, attempt, now)
            yield from self._refuse(displaced, DISPLACED, now)

    def _refusal(self, waiting: WaitingAttempt, is_expired: bool, now: float) -> str:
        attempt = waiting.attempt
        if reason := self.closed_reason():
            return reason
        if self.local.is_other(attempt):
            return NOT_HERE
        if is_expired:
            return "deadline"
        return self.policy.refusal(waiting, self._queue, self.local.slots, now)

    def _refuse(self, waiting: WaitingAttempt, reason: str, now: float) -> Iterator[Action]:
        attempt = waiting.attempt
        self._timers.cancel(("start", attempt.attempt_id))
        revision = self._directory.revision
        yield records.attempt_refused(
            waiting, reason, self._make_report(now), self._health, revision, now
        )
        answer = AttemptAnswer(attempt.attempt_id, Verdict.NOT_RUN.value, reason)
        pause_s = self._shedding.return_after_s(waiting, reason, now)
        yield self._send(waiting.peer, replace(answer, retry_after_ms=pause_s * 1000), now)

    def _refuse_early(self, now: float) -> Iterator[Action]:
        for attempt_id, reason in self.policy.to_refuse(self._queue, self.local.slots, now).items():
            yield from self._refuse(self._queue.remove(attempt_id), reason, now)

    def _fill(self, now: float) -> Iterator[Action]:
        """Start waiting attempts while the server has a slot, is fast and within its cold rate."""
        while self._queue and self.local.is_loaded and self._has_slot(now):
            if token_wait_s := self.policy.request_rate.wait_s(1, now):
                self._timers.set(("fill", ""), now + token_wait_s)
                return
            if self.local.rules and self._health.should_await_check(now):
                yield from self._check(now)
                self._timers.set(("fill", ""), self._health.check_wait_until())
                return
            if self.policy.is_slow:
                yield from self._defer_until_fast(now)
                return
            waiting = self.policy.next_start(self._queue, self.local.slots, now)
            if self.policy.can_finish(waiting, now) and not self._try_acquire(waiting, now):
                yield from self._check(now)
                return
            self._queue.remove(waiting.attempt.attempt_id)
            yield from self._start(waiting, now)
            yield from self._check(now)

    def _has_slot(self, now: float) -> bool:
        """Return whether one more attempt may start; until the server has answered, one at most."""
        if self.in_flight and not self._status.advertised.is_known:
            return False
        return self.policy.has_slot(self.local.slots, now)

    def _try_acquire(self, waiting: WaitingAttempt, now: float) -> bool:
        """Return whether a request may start, taking a token if needed; if not, set a timer."""
        wait_s = self.policy.acquire_or_wait_s(waiting.attempt, self.local.cold_per_s, now)
        if wait_s:
            self._timers.set(("fill", ""), now + wait_s)
        return not wait_s

    def _defer_until_fast(self, now: float) -> Iterator[Action]:
        """Push back attempts that assumed a faster server; retry soon to start the others."""
        for waiting in self._queue.remove_if(self.policy.is_slower_than_assumed):
            yield from self._refuse(waiting, SLOW, now)
        if self._queue:
            self._timers.set(("fill", ""), now + CHECK_GAP_S)

    def _start(self, waiting: WaitingAttempt, now: float) -> Iterator[Action]:
        attempt = waiting.attempt
        self._timers.cancel(("start", attempt.attempt_id))
        if not self.policy.can_finish(waiting, now):
            yield from self._refuse(waiting, "deadline", now)
            return
        self._timers.set(("deadline", attempt.attempt_id), waiting.deadline)
        self._shedding.started(waiting, self.in_flight)
        self._running_attempts.start(waiting, now)
        self.policy.started(attempt, self.local.slots, now)
        limit_per_s = self._status.advertised.limit_per_s
        yield records.attempt_started(waiting, self.in_flight, self._health, limit_per_s, now)
        yield RunAtServer(attempt, waiting.deadline - now)

    def _on_cancel(self, attempt_id: str, now: float) -> Iterator[Action]:
        self._arrivals.cancel(attempt_id, now)
        if self._queue.remove(attempt_id):
            self._timers.cancel(("start", attempt_id))
            return
        if (running := self._running_attempts.get(attempt_id)) and running.has_waiting_entry:
            yield self._cancel(attempt_id, running)

    def _on_entry_lost(self, peer: str) -> Iterator[Action]:
        """Cancel the idempotent attempts of a lost entry; its others are better completed."""
        for attempt_id, running in self._running_attempts.items():
            if running.has_waiting_entry and running.is_repeatable_of(peer):
                yield self._cancel(attempt_id, running)

    def _cancel(self, attempt_id: str, running: RunningAttempt) -> Action:
        """Cancel an attempt at the server; it counts as running until the shell reports its end."""
        running.has_waiting_entry = False
        self._timers.cancel(("deadline", attempt_id))
        return CancelAtServer(attempt_id)

    def _end(self, answer: AttemptAnswer, now: float) -> Iterator[Action]:
        attempt_id = answer.attempt_id
        if self._running_attempts.get(attempt_id) is None:
            return
        running = self._running_attempts.end(attempt_id, now)
        self._timers.cancel(("deadline", attempt_id))
        attempt, elapsed_s = running.waiting.attempt, now - running.started
        work_s = self.policy.ended(attempt, elapsed_s, is_success(answer), now)
        answer = self._shedding.ended(running, replace(answer, work_ms=work_s * 1000), now)
        yield records.attempt_done(running, answer, now)
        yield from self.recovery.ended(running, answer, now)
        if running.has_waiting_entry:
            yield self._send(running.waiting.peer, answer, now)

    def _send(self, peer: str, answer: AttemptAnswer, now: float) -> Action:
        return SendPeer(peer, replace(answer, load=self._make_report(now)))

    # --- Time ---

    def _on_tick(self, now: float) -> Iterator[Action]:
        for kind, key in list(self._timers.pop_due(now)):
            match kind:
                case "start":
                    if waiting := self._queue.remove(key):
                        yield from self._on_start_due(waiting, now)
                case "deadline":
                    yield from self._on_deadline(key, now)
                case "beat":
                    yield from self._check(now)
                    next_check_at = self._health.next_check_at(now)
                    self._timers.set(("beat", ""), max(now + BEAT_S, next_check_at))

    def _on_start_due(self, waiting: WaitingAttempt, now: float) -> Iterator[Action]:
        """Start or refuse an attempt whose latest start time has come."""
        if self.policy.is_slow and self._has_slot(now) and self._try_acquire(waiting, now):
            yield from self._start(waiting, now)
            return
        yield from self._refuse(waiting, OVERLOADED, now)

    def _on_deadline(self, attempt_id: str, now: float) -> Iterator[Action]:
        running = self._running_attempts.get(attempt_id)
        if running is None or not running.has_waiting_entry:
            return
        answer = AttemptAnswer(attempt_id, Verdict.UNKNOWN.value, "deadline", reached_server=True)
        yield self._cancel(attempt_id, running)
        yield self._send(running.waiting.peer, answer, now)

    def _check(self, now: float) -> Iterator[Action]:
        yield from self._status.check(bool(self._queue), now)

    # --- Load ---

    def _make_report(self, now: float) -> LoadReport:
        state = self._status.state(self.closed_reason(), now)
        report = self._load_reporter.report(
            self.local, self.policy, self.in_flight, self.queued, state, self._health.slowdown, now
        )
        return replace(report, rejection_share=self._shedding.rejection_share(now))

    def _report_load(self, now: float) -> Iterator[Action]:
        report = self._make_report(now)
        yield from self._load_reporter.tell(report, self.closed_reason(), self._directory, now)


def make_guard(
    server: str,
    service: str,
    directory: Directory,
    now: float,
    cold_bound: ColdBound = NO_COLD_BOUND,
    suspended_s: Callable[[], float] = lambda: 0.0,
) -> Guard:
    """Return a guard for the server of `service` at the address `server`; see also `Arrivals`."""
    return Guard(LocalServer(server, service, directory), directory, cold_bound, suspended_s, now)
