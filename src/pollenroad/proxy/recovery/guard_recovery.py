"""Decisions of one guard for the recovery after a power loss.

Load: see the modules that it joins. Nothing here acts unless the configuration in force calls for
load shedding.
"""

import math
from collections.abc import Iterator

from pollenroad.boundary import Action, Record
from pollenroad.guard.admission import USUAL_ORDER, AdmissionQueue, StartOrder, WaitingAttempt
from pollenroad.guard.running_attempts import RunningAttempt
from pollenroad.messages import Attempt, AttemptAnswer
from pollenroad.proxy.admission.activation import Activation
from pollenroad.proxy.answers import is_success
from pollenroad.proxy.cold_rate import ColdBound
from pollenroad.proxy.directory import Directory
from pollenroad.proxy.health import COLD_FACTOR, ServerHealth
from pollenroad.proxy.recovery.cold_window import window_limit
from pollenroad.proxy.recovery.nested_calls import NestedCalls
from pollenroad.proxy.recovery.rank_reserve import RankReserve
from pollenroad.proxy.recovery.run_limits import RunLimits, unreserved_slots
from pollenroad.proxy.recovery.start_order import hopeless, start_order
from pollenroad.proxy.refusals import CALLS_REFUSED


class GuardRecovery:
    """What a guard decides otherwise while load shedding is enabled.

    Args:
        directory: Configuration in force.
        health: Last reported status of the server.
        now: Monotonic time in seconds.
    """

    def __init__(self, directory: Directory, health: ServerHealth, now: float):
        self._activation = Activation(directory)
        self._health = health
        self._nested_calls = NestedCalls()
        self._run_limits = RunLimits()
        self._rank_reserve = RankReserve(now)

    @property
    def is_enabled(self) -> bool:
        """Whether the configuration in force calls for these decisions."""
        return self._activation.is_enabled

    # --- What the shell reads ---

    def recent_starts(self, now: float) -> int:
        """Return how many requests were started at the server in the window of the cold bound."""
        return self._health.cold_window.count(now)

    @property
    def limited_routes(self) -> int:
        """Number of routes whose runs are limited, or were until a moment ago."""
        return len(self._run_limits)

    # --- Cold servers ---

    def arrived(self, attempt: Attempt, now: float) -> None:
        """Record an attempt that arrives."""
        self._rank_reserve.arrived(attempt.priority, now)

    def cold_wait_s(
        self, attempt: Attempt, bound: ColdBound, declared_per_s: float, now: float
    ) -> float:
        """Return the time until the cold bound lets an attempt start, in seconds; 0 for now."""
        limit = window_limit(bound, declared_per_s)
        is_cold = self._health.is_cold(now)
        if is_cold and limit != math.inf:
            limit = max(1.0, limit - self._rank_reserve.kept(attempt.priority, limit, now))
        return self._health.cold_window.wait_s(limit, is_cold, now)

    def start_order(self, queue: AdmissionQueue, bound: int, now: float) -> StartOrder:
        """Return the order in which waiting attempts start, where `bound` may run at once."""
        if not self.is_enabled or len(queue) < 2:
            return USUAL_ORDER
        return start_order(queue, self._health.expected_slowdown(now), bound, now)

    def hopeless(self, queue: AdmissionQueue, bound: int, now: float) -> list[WaitingAttempt]:
        """Return the waiting attempts of overloaded classes that cannot start in time.

        The speed is the one that lasts: a neighbour's load may end at any moment, so that what
        could start then is not refused; a server stays cold for seconds.
        """
        if not self.is_enabled or len(queue) < 2 or not self._health.is_cold(now):
            return []
        return hopeless(queue, start_order(queue, COLD_FACTOR, bound, now), bound, now)

    # --- Calls of the server ---

    def call_failed(self, route: str) -> None:
        """Record a request that failed, or was refused, in the entry of this daemon."""
        self._nested_calls.call_failed(route)

    def refusal(self, attempt: Attempt, queue: AdmissionQueue, bound: int, now: float) -> str:
        """Return the reason to refuse an attempt on arrival, or an empty string.

        Args:
            attempt: The attempt.
            queue: The waiting attempts.
            bound: Requests that may run at the server.
            now: Monotonic time in seconds.
        """
        route = attempt.request_class
        limit = self._limit(route, now)
        if limit is None or self._nested_calls.running(route) + queue.count_of(route) < limit:
            return ""
        return CALLS_REFUSED if self._excess(queue, bound) >= 0 else ""

    def _excess(self, queue: AdmissionQueue, bound: int) -> int:
        """Return by how many attempts the slots that all routes may use are exceeded."""
        return len(self._nested_calls) + len(queue) - unreserved_slots(bound)

    def beyond_limit(self, queue: AdmissionQueue, bound: int, now: float) -> list[WaitingAttempt]:
        """Return the waiting attempts that a lower limit leaves no room for."""
        excess = self._excess(queue, bound)
        if not self._run_limits or excess <= 0:
            return []
        beyond, count_by_route = [], {}
        for waiting in queue.in_order(now):
            route = waiting.attempt.request_class
            count = count_by_route.get(route, self._nested_calls.running(route)) + 1
            limit = self._limit(route, now)
            if limit is not None and count > limit:
                beyond.append(waiting)
            else:
                count_by_route[route] = count
        return beyond[-excess:]

    def started(self, attempt: Attempt, now: float) -> None:
        """Record a run that is started at the server."""
        self._rank_reserve.started(attempt.priority, now)
        self._nested_calls.started(attempt.attempt_id, attempt.request_class)

    def ended(self, run: RunningAttempt, answer: AttemptAnswer, now: float) -> Iterator[Action]:
        """Record the end of a run, and the limits that change with it."""
        route = run.waiting.attempt.request_class
        running = self._nested_calls.running(route)
        has_failed = not is_success(answer) if answer.response else None
        calls = self._nested_calls.ended(answer.attempt_id, has_failed, now)
        if not self.is_enabled:
            return
        if calls:
            was_limited = self._run_limits.limit(route, now) is not None
            self._run_limits.failed(route, run.started, running, now)
            if not was_limited:
                limit = self._run_limits.limit(route, now)
                yield _run_limit(route, limit, running, calls)
        elif has_failed is False:
            self._run_limits.succeeded(route)
        for lifted in self._run_limits.lift(now):
            yield _run_limit(lifted, None, self._nested_calls.running(lifted), ())

    def _limit(self, route: str, now: float) -> int | None:
        return self._run_limits.limit(route, now) if self.is_enabled else None


def _run_limit(route: str, limit: int | None, running: int, calls: tuple[str, ...]) -> Record:
    """Return the record of a route whose runs are limited, or no longer are."""
    fields = (("route", route), ("limit", limit), ("running", running), ("calls", ",".join(calls)))
    return Record("run_limit", fields)
