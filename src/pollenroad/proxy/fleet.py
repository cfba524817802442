"""Load and failures of each endpoint as an entry knows them, and the cost of each for a request.

The cost of an endpoint starts from the expected time of a request there: the usual service time,
with the wait for a slot, times the slowdown that its guard reported. An entry selects the lowest
cost, and leaves its own failure domain only where that saves more than `REMOTE_COST_SHARE` of the
latency objective.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from pollenroad.messages import LoadReport
from pollenroad.proxy.endpoint_states import COLD, LEAVING, OUT_STATES, SERVING
from pollenroad.proxy.health import COLD_FACTOR, SLOW_FACTOR
from pollenroad.proxy.request_rate import MIN_PER_S
from pollenroad.published import RegisteredEndpoint

REMOTE_COST_SHARE = 0.2
"""Time that another failure domain must save a request, as a share of its latency objective.
Traffic between failure domains is the most expensive resource of the users' deployments."""

TIE_MARGIN_SHARE = 0.08
"""Difference from the lowest cost, as a share of it, within which endpoints count as equal: one of
them is selected at random, so that entries with the same reports do not all select the same one."""

UTILIZATION_COST = 0.5
"""Share by which a request takes longer at an endpoint whose slots are all in use."""

FAILURE_COST_S = 1.0
"""Added cost of an endpoint whose recent attempts all failed, in seconds."""

REJECTION_COST_SHARE = 0.5
"""Added cost of an endpoint that rejects all requests although it has capacity, as a share of the
latency objective: a rejected request takes a token of the retry budget or fails."""

FAILURE_WEIGHT = 0.25
"""Weight of the newest outcome in the moving average of failures."""

FAILURE_HALF_LIFE_S = 3.0
"""Time in which the failure share halves while no attempt ends there, in seconds."""

FIRST_EJECTION_S = 0.4
"""Length of the first ejection of an endpoint that could not be reached, in seconds."""

MAX_EJECTION_S = 3.0
"""Longest ejection, in seconds; the time doubles with each consecutive failure to reach the
endpoint."""

REPORT_TTL_S = 1.2
"""Age of a report from which its slowdown is ignored, in seconds. Guards repeat the report of a
slow server more often than that."""

LAPSED_COST_S = 0.5
"""Added cost of an endpoint whose lease has lapsed, in seconds."""

UNKNOWN_LIMIT_WAIT_S = 0.3
"""Longest wait that is assumed at an endpoint whose limit is known from an old report, in seconds:
in a large fleet an entry rarely has a recent one, and endpoints without a limit come first."""

OUT_REPORT_TTL_S = 1.0
"""Age from which a report that an endpoint accepts no new work is ignored, in seconds. That its
server leaves is remembered for longer."""

NEVER = float("-inf")
"""Time of an event that has not happened, in monotonic seconds."""


@dataclass(slots=True)
class EndpointView:
    """Load and failures of one endpoint as an entry knows them."""

    endpoint: RegisteredEndpoint
    own_in_flight: int = 0
    """Open attempts of this entry there."""
    sent_since_report: int = 0
    """Attempts of this entry since the last report."""
    reported: int = 0
    """Running and waiting requests there, as last reported."""
    bound: int = 0
    """Concurrency limit of its guard; 0 if not reported."""
    slowdown: float = 1.0
    limit_per_s: float | None = None
    """Requests a second that the server takes, as last reported; None if it states no limit."""
    reported_limit_wait_s: float = 0.0
    """Wait for room within that limit, as last reported, in seconds; may be negative."""
    state: str = SERVING
    is_leaving: bool = False
    """Whether the server leaves, until a guard that it has answered reports otherwise."""
    sequence: int = -1
    """Sequence number of the last report."""
    cold_registration: tuple[str, int, int] = ("", 0, 0)
    """Incarnation, start and revision of the last registration that was looked at."""
    registered_cold_until: float = NEVER
    """End of the cold time by that registration, in monotonic seconds. Without it, each entry would
    learn by a pushback of every server that all are cold after a power loss."""
    reported_rejection_share: float = 0.0
    """Share of the requests that the server rejects although it has capacity, as last reported."""
    reported_at: float = float("-inf")
    last_failure_share: float = 0.0
    """Moving average of failures at `last_outcome_at`."""
    last_outcome_at: float = float("-inf")
    ejected_until: float = float("-inf")
    ejection_s: float = 0.0
    """Length of the last ejection, in seconds; 0 if the endpoint was reached since."""

    def learn(self, report: LoadReport, now: float) -> bool:
        """Apply a load report unless a newer one is still valid; return whether it was applied."""
        is_late = report.sequence <= self.sequence and now - self.reported_at < REPORT_TTL_S
        if is_late:
            return False
        self.sequence = report.sequence
        self.reported = report.in_flight + report.queued
        self.bound = report.bound
        self.slowdown = max(1.0, report.slowdown)
        self.limit_per_s = report.limit_per_s
        self.reported_limit_wait_s = report.limit_wait_ms / 1000
        self.reported_rejection_share = min(1.0, max(0.0, report.rejection_share))
        self.state = report.state
        self.is_leaving = report.state == LEAVING or (
            self.is_leaving and report.state not in (SERVING, COLD)
        )
        self.reported_at = now
        self.sent_since_report = 0
        if report.state not in OUT_STATES:
            self.ejected_until, self.ejection_s = float("-inf"), 0.0
        return True

    def in_flight(self) -> int:
        """Return an estimate of the requests there from all entries."""
        return max(self.own_in_flight, self.reported + self.sent_since_report)

    def register(self, endpoint: RegisteredEndpoint, now: float) -> None:
        """Note until when the endpoint is cold, if its registration is a new one."""
        registration = (endpoint.incarnation, endpoint.born_ms, endpoint.revision)
        if registration != self.cold_registration:
            self.cold_registration = registration
            self.registered_cold_until = now + endpoint.cold_s if endpoint.cold_s else NEVER

    def current_slowdown(self, now: float) -> float:
        """Return the last reported slowdown, or more if cold.

        If the report is too old, it is 1, or that of a cold server by its registration.
        """
        if now - self.reported_at >= REPORT_TTL_S:
            return COLD_FACTOR if now < self.registered_cold_until else 1.0
        return max(self.slowdown, COLD_FACTOR if self.state == COLD else 1.0)

    def rejection_share(self, now: float) -> float:
        """Return the last reported share of rejections; 0 if the report is too old."""
        is_old = now - self.reported_at >= REPORT_TTL_S
        return 0.0 if is_old else self.reported_rejection_share

    def limit_wait_s(self, now: float) -> float:
        """Return the expected wait for room within the stated limit, in seconds.

        It is as long as reported until the report is too old, and 0 then: other entries take the
        room that comes meanwhile.
        """
        if self.limit_per_s is None or now - self.reported_at >= REPORT_TTL_S:
            return 0.0
        own_s = self.sent_since_report / max(self.limit_per_s, MIN_PER_S)
        return max(0.0, self.reported_limit_wait_s + own_s)

    def expected_s(self, work_s: float, now: float) -> float:
        """Return the expected time there, in seconds, of a request that usually takes `work_s`."""
        slots = max(1, self.bound or self.endpoint.slots)
        in_flight = self.in_flight()
        waiting = max(0, in_flight + 1 - slots)
        service_s = work_s * (1 + UTILIZATION_COST * min(1.0, in_flight / slots) ** 2)
        busy_s = self.current_slowdown(now) * (service_s + work_s * waiting / slots)
        if self.limit_per_s is not None and now - self.reported_at >= REPORT_TTL_S:
            return busy_s + min(UNKNOWN_LIMIT_WAIT_S, 1 / max(self.limit_per_s, MIN_PER_S))
        return busy_s + self.limit_wait_s(now)

    def failure_share(self, now: float) -> float:
        """Return the moving average of failures, which decays while no attempt ends there."""
        return self.last_failure_share * 0.5 ** ((now - self.last_outcome_at) / FAILURE_HALF_LIFE_S)

    def is_unavailable(self, now: float) -> bool:
        """Return whether the endpoint leaves, is ejected or reported as accepting no new work."""
        is_out = self.state in OUT_STATES and now - self.reported_at < OUT_REPORT_TTL_S
        return self.is_leaving or is_out or now < self.ejected_until

    def succeeded(self, now: float) -> None:
        """Count a successful attempt, and end an ejection."""
        self.last_failure_share = self.failure_share(now) * (1 - FAILURE_WEIGHT)
        self.last_outcome_at = now
        self.ejected_until, self.ejection_s = float("-inf"), 0.0

    def failed(self, now: float) -> None:
        """Count an attempt that failed at the endpoint."""
        share = self.failure_share(now)
        self.last_failure_share = share + FAILURE_WEIGHT * (1 - share)
        self.last_outcome_at = now

    def unreachable(self, now: float) -> None:
        """Eject the endpoint for a while, after a failure to reach it."""
        if now < self.ejected_until:
            return
        self.ejection_s = min(MAX_EJECTION_S, max(FIRST_EJECTION_S, 2 * self.ejection_s))
        self.ejected_until = now + self.ejection_s


@dataclass(frozen=True, slots=True)
class Work:
    """Expected work and latency objective of a request."""

    usual_s: float
    """Usual service time of such requests, in seconds."""
    objective_s: float
    """Latency objective, in seconds."""


class Fleet:
    """Views of all endpoints that an entry has considered."""

    def __init__(self, failure_domain: str, rng: random.Random):
        self._failure_domain = failure_domain
        self._rng = rng
        self._view_by_incarnation: dict[str, EndpointView] = {}
        self.uses_registered_cold = False
        """Whether an endpoint counts as cold while its registration says so."""

    def view(self, endpoint: RegisteredEndpoint) -> EndpointView:
        """Return the view of an endpoint, created at its first use."""
        view = self._view_by_incarnation.get(endpoint.incarnation)
        if view is None:
            view = self._view_by_incarnation[endpoint.incarnation] = EndpointView(endpoint)
        if endpoint.born_ms != view.endpoint.born_ms:
            view.is_leaving = False
        view.endpoint = endpoint
        return view

    def get(self, incarnation: str) -> EndpointView | None:
        """Return the view of an endpoint, or None if there is none yet."""
        return self._view_by_incarnation.get(incarnation)

    def learn(self, report: LoadReport, now: float) -> bool:
        """Apply a load report; return whether the endpoint has just become slow."""
        view = self.get(report.endpoint)
        if view is None:
            return False
        was_slow = view.current_slowdown(now) >= SLOW_FACTOR
        return view.learn(report, now) and not was_slow and view.slowdown >= SLOW_FACTOR

    def forget(self, known: Iterable[RegisteredEndpoint]) -> None:
        """Drop the views of endpoints that are not in `known` and have no open attempt."""
        incarnations = {endpoint.incarnation for endpoint in known}
        self._view_by_incarnation = {
            incarnation: view
            for incarnation, view in self._view_by_incarnation.items()
            if incarnation in incarnations or view.own_in_flight
        }

    def views_behind(self, peer: str) -> list[EndpointView]:
        """Return the views of the endpoints behind a guard."""
        return [v for v in self._view_by_incarnation.values() if v.endpoint.guard == peer]

    def cost_s(self, view: EndpointView, work: Work, is_lapsed: bool, now: float) -> float:
        """Return the expected time at an endpoint with all added costs, in seconds."""
        cost_s = view.expected_s(work.usual_s, now) + FAILURE_COST_S * view.failure_share(now)
        cost_s += REJECTION_COST_SHARE * work.objective_s * view.rejection_share(now)
        if view.endpoint.failure_domain != self._failure_domain:
            cost_s += REMOTE_COST_SHARE * work.objective_s
        return cost_s + LAPSED_COST_S * is_lapsed

    def select(
        self,
        candidates: Iterable[tuple[RegisteredEndpoint, bool]],
        tried: frozenset[str] | set[str],
        work: Work,
        now: float,
        limit_wait_bound_s: float = float("inf"),
    ) -> tuple[EndpointView, float] | None:
        """Select an endpoint for the next attempt.

        Args:
            candidates: Registered endpoints, each with whether its lease has lapsed.
            tried: Incarnations that are not selected again.
            work: Expected work of the request.
            now: Monotonic time in seconds.
            limit_wait_bound_s: Wait for room within a stated limit from which endpoints are not
                selected, in seconds; those that have room now always are.

        Returns:
            The view of the selected endpoint and its cost in seconds, or None.
        """
        costs = []
        for endpoint, is_lapsed in candidates:
            view = self.view(endpoint)
            if self.uses_registered_cold:
                view.register(endpoint, now)
            if endpoint.incarnation in tried or view.is_unavailable(now):
                continue
            wait_s = view.limit_wait_s(now)
            if not wait_s or wait_s < limit_wait_bound_s:
                costs.append((self.cost_s(view, work, is_lapsed, now), view))
        if not costs:
            return None
        lowest_s = min(cost_s for cost_s, _ in costs)
        near_best = [pair for pair in costs if pair[0] <= lowest_s * (1 + TIE_MARGIN_SHARE)]
        cost_s, view = self._rng.choice(near_best)
        return view, cost_s


def make_fleet(failure_domain: str, rng: random.Random) -> Fleet:
    """Make the empty fleet of an entry in `failure_domain`."""
    return Fleet(failure_domain, rng)
