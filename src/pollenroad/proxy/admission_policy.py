"""Admission policy of a guard: when a waiting attempt may start at the server."""

import random
from dataclasses import dataclass

from pollenroad.guard.admission import AdmissionQueue, WaitingAttempt
from pollenroad.messages import Attempt
from pollenroad.models import RequestClass
from pollenroad.proxy import refusals
from pollenroad.proxy.calls import FINISH_SHARE
from pollenroad.proxy.cold_rate import ColdBound
from pollenroad.proxy.concurrency import ConcurrencyBound, uncontended_slots
from pollenroad.proxy.health import SLOW_FACTOR, ServerHealth
from pollenroad.proxy.overload import cannot_start, return_after_limit_s, return_after_s
from pollenroad.proxy.recovery.guard_recovery import GuardRecovery
from pollenroad.proxy.request_rate import RequestRate
from pollenroad.proxy.service_times import ServiceTimes

PUSHBACK_FACTOR = 2.0
"""Slowdown, as a multiple of the assumed one, from which an attempt is pushed back to its entry."""

WAIT_SHARE = 0.25
"""Share of its remaining time that an attempt may wait for a slot even if it misses its latency
objective. It can then still run, or be refused early enough for another endpoint."""

SERVICE_RESERVE_FACTOR = 1.3
"""Time reserved for an attempt's service before its latency objective, as a multiple of its usual
service time. Waiting for the rest of the time until the objective costs the caller nothing."""

LIMIT_RESERVE_FACTOR = 1.6
"""Replaces `SERVICE_RESERVE_FACTOR` for attempts that wait because of a stated limit: they all wait
about as long as is allowed, and the service times of many are above the usual one."""

TOKEN_WAIT_MARGIN_S = 0.05
"""Wait for room within the server's stated limit from which an attempt is pushed back, in seconds
beyond the wait that the entry assumed."""

MIN_WAIT_S = 0.03
"""Time in seconds that an attempt may always wait, unless its deadline leaves less."""


@dataclass(frozen=True, slots=True)
class _StartConditions:
    """Conditions at the server when an attempt was started there."""

    slowdown: float
    """Expected slowdown, as a multiple of the usual service time."""
    is_contended: bool
    """Whether all uncontended slots were in use."""


class AdmissionPolicy:
    """Decides how many attempts run at one server, and how long the others wait.

    Args:
        health: Last reported status of the server.
        cold_bound: Limit on the requests that a cold server gets.
        rng: Random source of the pauses of callers.
        recovery: Decisions that replace these where the configuration calls for it.
    """

    def __init__(
        self,
        health: ServerHealth,
        cold_bound: ColdBound,
        rng: random.Random,
        recovery: GuardRecovery,
    ):
        self._rng = rng
        self._recovery = recovery
        self._health = health
        self.cold_bound = cold_bound
        self._service_times = ServiceTimes()
        self._concurrency = ConcurrencyBound()
        self.request_rate = RequestRate()
        self._conditions_by_attempt: dict[str, _StartConditions] = {}

    # --- One attempt ---

    def make_waiting(
        self, peer: str, attempt: Attempt, remaining_s: float, now: float
    ) -> WaitingAttempt:
        """Return the queue item of an attempt that has just arrived, with its latest start."""
        # The queue keeps the attempts of a class in their order, so that a class has one priority.
        name = f"{attempt.request_class}/{attempt.priority}"
        request_class = RequestClass(name=name, worth=_worth(attempt.priority))
        work_s = self._usual_s(attempt)
        spare_s = attempt.objective_ms / 1000 - SERVICE_RESERVE_FACTOR * work_s
        wait_s = max(MIN_WAIT_S, WAIT_SHARE * remaining_s, spare_s)
        start_by = now + min(wait_s, remaining_s - FINISH_SHARE * work_s)
        on_time_until = now + attempt.objective_ms / 1000 - work_s
        return WaitingAttempt(
            peer, attempt, request_class, now, now + remaining_s, start_by, on_time_until, work_s
        )

    def can_finish(self, waiting: WaitingAttempt, now: float) -> bool:
        """Return whether an attempt that starts now is likely to end before its deadline."""
        work_s = self._usual_s(waiting.attempt) * self._health.expected_slowdown(now)
        return waiting.deadline - now > FINISH_SHARE * work_s

    def is_slower_than_assumed(self, attempt: Attempt) -> bool:
        """Return whether the server is much slower than the entry assumed for the attempt."""
        assumed = attempt.assumed_slowdown
        return bool(assumed) and self._health.slowdown >= PUSHBACK_FACTOR * assumed

    def _usual_s(self, attempt: Attempt) -> float:
        work_s = self._service_times.usual_s(attempt.request_class)
        return attempt.usual_ms / 1000 if work_s is None else work_s

    def refusal(
        self, waiting: WaitingAttempt, queue: AdmissionQueue, slots: int, now: float
    ) -> str:
        """Return the reason to refuse an attempt on arrival, or an empty string to queue it."""
        attempt = waiting.attempt
        if self._health.is_down and not self._conditions_by_attempt:
            return refusals.SERVER_DOWN
        if self._health.is_fresh(now) and self.is_slower_than_assumed(attempt):
            return refusals.SLOW
        bound = self.bound(slots)
        if reason := self._recovery.refusal(attempt, queue, bound, now):
            return reason
        is_full = len(self._conditions_by_attempt) + len(queue) >= bound
        if attempt.assumed_slowdown and is_full and attempt.assumed_load < bound:
            return refusals.FULL
        if attempt.assumed_slowdown and self._is_limit_assumed_wider(waiting, queue, now):
            return refusals.AT_LIMIT
        longest_wait_s = waiting.start_by - now
        is_late = cannot_start(queue.work_ahead_s(waiting, now), bound, longest_wait_s)
        return refusals.OVERLOADED if is_late else ""

    def _is_limit_assumed_wider(
        self, waiting: WaitingAttempt, queue: AdmissionQueue, now: float
    ) -> bool:
        """Return whether room within the stated limit comes later than the entry assumed."""
        if not self.request_rate.is_limited:
            return False
        token_wait_s = self.request_rate.wait_s(1 + queue.count_ahead(waiting, now), now)
        return token_wait_s > waiting.attempt.assumed_wait_ms / 1000 + TOKEN_WAIT_MARGIN_S

    def next_start(self, queue: AdmissionQueue, slots: int, now: float) -> WaitingAttempt | None:
        """Return the attempt to start next, or None if none is queued."""
        return queue.peek(slots, now, self._recovery.start_order(queue, self.bound(slots), now))

    def return_after_s(self, reason: str, queue: AdmissionQueue, slots: int, now: float) -> float:
        """Return after which pause a refused caller may return, in seconds; 0 to state none."""
        match reason:
            case refusals.OVERLOADED | refusals.CALLS_REFUSED:
                return return_after_s(queue.work_s(), self.bound(slots), self._rng)
            case refusals.LIMITED:
                token_wait_s = self.request_rate.wait_s(1 + len(queue), now)
                return return_after_limit_s(token_wait_s, self._rng)
        return 0.0

    # --- The server ---

    @property
    def is_slow(self) -> bool:
        """Whether the server is so slow that attempts wait until it is faster."""
        return self._health.slowdown >= SLOW_FACTOR

    def bound(self, slots: int) -> int:
        """Return how many requests may run at the server, of its `slots` slots."""
        return self._concurrency.bound(slots)

    def has_slot(self, slots: int, now: float) -> bool:
        """Return whether one more request may be started at the server."""
        in_flight = len(self._conditions_by_attempt)
        if in_flight < self._concurrency.bound(slots):
            return True
        contended = sum(
            conditions.is_contended for conditions in self._conditions_by_attempt.values()
        )
        return in_flight < slots and self._concurrency.is_trial_allowed(contended, now)

    def to_refuse(self, queue: AdmissionQueue, slots: int, now: float) -> dict[str, str]:
        """Return the ids of the waiting attempts to refuse, each with the reason."""
        bound = self.bound(slots)
        reason_and_beyond = (
            (refusals.LIMITED, self._beyond_rate(queue, now)),
            (refusals.CALLS_REFUSED, self._recovery.beyond_limit(queue, bound, now)),
            (refusals.OVERLOADED, self._recovery.hopeless(queue, bound, now)),
        )
        reason_by_attempt: dict[str, str] = {}
        for reason, beyond in reason_and_beyond:
            for waiting in beyond:
                reason_by_attempt.setdefault(waiting.attempt.attempt_id, reason)
        return reason_by_attempt

    def _beyond_rate(self, queue: AdmissionQueue, now: float) -> list[WaitingAttempt]:
        """Return the attempts for which the server's stated limit leaves no room in time.

        Each of them takes room from another one, so that none waits past its objective. Attempts
        of higher priority may have come after those that were let in.
        """
        if not self.request_rate.is_limited:
            return []
        late, place = [], 1
        for waiting in queue.in_order(now):
            reserve_s = (LIMIT_RESERVE_FACTOR - 1) * waiting.work_s
            on_time_until = max(waiting.on_time_until - reserve_s, waiting.arrived + MIN_WAIT_S)
            starts_at = now + self.request_rate.wait_s(place, now)
            if starts_at > min(waiting.start_by, on_time_until):
                late.append(waiting)
            else:
                place += 1
        return late

    def acquire_or_wait_s(self, attempt: Attempt, declared_per_s: float, now: float) -> float:
        """Acquire permission to start a request.

        It takes a token of the server's stated limit, and one more while the server may be cold.

        Args:
            attempt: The attempt that would start.
            declared_per_s: Requests a second that the cold server can handle; 0 for no limit.
            now: Monotonic time in seconds.

        Returns:
            0 if a request may start now, else the time until the next token, in seconds.
        """
        if wait_s := self.request_rate.wait_s(1, now):
            return wait_s
        if self._recovery.is_enabled:
            wait_s = self._recovery.cold_wait_s(attempt, self.cold_bound, declared_per_s, now)
            if not wait_s:
                self.request_rate.take()
            return wait_s
        rate_per_s = self.cold_bound.rate_per_s(declared_per_s)
        cold_limiter = self._health.cold_limiter
        if self._health.is_warm(now) or not rate_per_s or cold_limiter.try_acquire(rate_per_s, now):
            self.request_rate.take()
            return 0.0
        return cold_limiter.next_token_s(rate_per_s)

    def started(self, attempt: Attempt, slots: int, now: float) -> None:
        """Record an attempt that is started at the server."""
        self._health.started(now)
        self._recovery.started(attempt, now)
        is_contended = len(self._conditions_by_attempt) >= uncontended_slots(slots)
        slowdown = self._health.expected_slowdown(now)
        self._conditions_by_attempt[attempt.attempt_id] = _StartConditions(slowdown, is_contended)

    def ended(self, attempt: Attempt, elapsed_s: float, succeeded: bool, now: float) -> float:
        """Record the end of an attempt at the server.

        Returns:
            Its service time at the server's usual speed, in seconds, or 0 if it did not succeed.
        """
        conditions = self._conditions_by_attempt.pop(attempt.attempt_id)
        if not succeeded:
            return 0.0
        work_s = elapsed_s / conditions.slowdown
        usual_s = self._service_times.usual_s(attempt.request_class)
        if usual_s is None or not conditions.is_contended:
            self._service_times.add(attempt.request_class, work_s)
        else:
            self._concurrency.add(work_s / usual_s, now)
        return work_s


def _worth(priority: int) -> float:
    """Return the worth of a priority, of which a lower number is more urgent."""
    return 1 / (1 + priority) if priority >= 0 else 1.0 - priority
