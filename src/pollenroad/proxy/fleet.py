"""What an entry knows of each endpoint, and which endpoint it chooses. No I/O.

An entry expects of each endpoint the time that a request would take there: the usual work, times
the slowdown that its guard reported, plus the wait for a slot. It takes the least, and leaves its
own failure domain only where that saves more than `REMOTE_COST_SHARE` of the latency objective.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from pollenroad.messages import LoadReport
from pollenroad.proxy.health import COLD_FACTOR, SLOW_FACTOR
from pollenroad.published import RegisteredEndpoint

REMOTE_COST_SHARE = 0.2
"""Expected saving that a request must have in another failure domain, as a share of its latency
objective. Bytes between failure domains are the dearest resource of the users' deployments."""

CLOSE_SHARE = 0.08
"""Endpoints whose cost is within this share of the least are chosen among at random, so that
entries with the same reports do not all choose the same endpoint."""

FULLNESS_COST = 0.5
"""Share by which work is slower at an endpoint whose slots are all in use."""

FAILURE_COST_S = 1.0
"""Cost of an endpoint all of whose recent attempts failed, in seconds."""

FAILURE_WEIGHT = 0.25
"""Weight of the newest outcome in the average of failures."""

FAILURE_FADE_S = 3.0
"""Time in which a bad average halves while nothing is tried, in seconds."""

SHUN_S = 0.4
"""First time without new work after an endpoint could not be reached, in seconds."""

MAX_SHUN_S = 3.0
"""Longest such time; it doubles with each failed trial."""

SLOW_MEMORY_S = 1.2
"""Age of a report after which the slowdown in it no longer counts, in seconds: guards repeat the
report of a slow server more often than that."""

DOUBTFUL_COST_S = 0.5
"""Cost of an endpoint whose lease ran out, in seconds."""

OUT_STATES = frozenset({"draining", "out", "down"})
"""States of a report in which an endpoint takes no new work."""

OUT_S = 1.0
"""Time for which such a report counts, in seconds, where nothing newer is heard."""


@dataclass(slots=True)
class EndpointView:
    """One endpoint as an entry sees it."""

    endpoint: RegisteredEndpoint
    own_open: int = 0
    """Attempts of this entry that are open there."""
    sent_since_report: int = 0
    reported: int = 0
    """Requests there, running and waiting, as last reported."""
    bound: int = 0
    """Requests that its guard lets run at once; 0 if not reported."""
    slowdown: float = 1.0
    state: str = "serving"
    sequence: int = -1
    reported_at: float = float("-inf")
    failure: float = 0.0
    failed_at: float = float("-inf")
    shun_until: float = float("-inf")
    shun_s: float = 0.0

    def learn(self, report: LoadReport, now: float) -> bool:
        """Take a load report; tell whether it was newer than the last one."""
        is_late = report.sequence <= self.sequence and now - self.reported_at < SLOW_MEMORY_S
        if is_late:
            return False
        self.sequence = report.sequence
        self.reported = report.in_flight + report.queued
        self.bound = report.bound
        self.slowdown = max(1.0, report.slowdown)
        self.state = report.state
        self.reported_at = now
        self.sent_since_report = 0
        if report.state not in OUT_STATES:
            self.shun_until, self.shun_s = float("-inf"), 0.0
        return True

    def in_flight(self) -> int:
        """Estimate the requests there, of all entries."""
        return max(self.own_open, self.reported + self.sent_since_report)

    def current_slowdown(self, now: float) -> float:
        """Return the slowdown that was last reported, while the report is fresh."""
        if now - self.reported_at >= SLOW_MEMORY_S:
            return 1.0
        return max(self.slowdown, COLD_FACTOR if self.state == "cold" else 1.0)

    def expected_s(self, work_s: float, now: float) -> float:
        """Return the time that a request of `work_s` seconds would take there, in seconds."""
        slots = max(1, self.bound or self.endpoint.slots)
        in_flight = self.in_flight()
        waiting = max(0, in_flight + 1 - slots)
        busy = work_s * (1 + FULLNESS_COST * min(1.0, in_flight / slots) ** 2)
        return self.current_slowdown(now) * (busy + work_s * waiting / slots)

    def failure_share(self, now: float) -> float:
        """Return the average of recent failures, which fades while nothing is tried."""
        return self.failure * 0.5 ** ((now - self.failed_at) / FAILURE_FADE_S)

    def is_shunned(self, now: float) -> bool:
        """Tell whether the endpoint gets no new work for now."""
        is_out = self.state in OUT_STATES and now - self.reported_at < OUT_S
        return is_out or now < self.shun_until

    def succeeded(self, now: float) -> None:
        """Count an answer."""
        self.failure = self.failure_share(now) * (1 - FAILURE_WEIGHT)
        self.failed_at = now
        self.shun_until, self.shun_s = float("-inf"), 0.0

    def failed(self, now: float) -> None:
        """Count an attempt that failed at the endpoint."""
        share = self.failure_share(now)
        self.failure = share + FAILURE_WEIGHT * (1 - share)
        self.failed_at = now

    def unreachable(self, now: float) -> None:
        """Give the endpoint no new work for a while."""
        if now < self.shun_until:
            return
        self.shun_s = min(MAX_SHUN_S, max(SHUN_S, 2 * self.shun_s))
        self.shun_until = now + self.shun_s


@dataclass(frozen=True, slots=True)
class Work:
    """What a request asks for."""

    usual_s: float
    """Usual time of such requests, in seconds."""
    objective_s: float
    """Latency objective in seconds."""


class Fleet:
    """Views of all endpoints that an entry has met."""

    def __init__(self, failure_domain: str, rng: random.Random):
        self._failure_domain = failure_domain
        self._rng = rng
        self._view_by_incarnation: dict[str, EndpointView] = {}

    def view(self, endpoint: RegisteredEndpoint) -> EndpointView:
        """Return the view of an endpoint, made at its first use."""
        view = self._view_by_incarnation.get(endpoint.incarnation)
        if view is None:
            view = self._view_by_incarnation[endpoint.incarnation] = EndpointView(endpoint)
        view.endpoint = endpoint
        return view

    def get(self, incarnation: str) -> EndpointView | None:
        """Return the view of an endpoint that has been met, or None."""
        return self._view_by_incarnation.get(incarnation)

    def turned_slow(self, report: LoadReport, now: float) -> bool:
        """Take a load report; tell whether the endpoint has just become slow by it."""
        view = self.get(report.endpoint)
        if view is None:
            return False
        was_slow = view.current_slowdown(now) >= SLOW_FACTOR
        return view.learn(report, now) and not was_slow and view.slowdown >= SLOW_FACTOR

    def forget(self, known: Iterable[RegisteredEndpoint]) -> None:
        """Drop the views of endpoints that are not known any more and have no open attempt."""
        names = {endpoint.incarnation for endpoint in known}
        self._view_by_incarnation = {
            name: view
            for name, view in self._view_by_incarnation.items()
            if name in names or view.own_open
        }

    def at(self, peer: str) -> list[EndpointView]:
        """Return the views of endpoints behind a guard."""
        return [v for v in self._view_by_incarnation.values() if v.endpoint.guard == peer]

    def cost_s(self, view: EndpointView, work: Work, is_doubtful: bool, now: float) -> float:
        """Return the expected time at an endpoint with all that speaks against it, in seconds."""
        cost_s = view.expected_s(work.usual_s, now) + FAILURE_COST_S * view.failure_share(now)
        if view.endpoint.failure_domain != self._failure_domain:
            cost_s += REMOTE_COST_SHARE * work.objective_s
        return cost_s + DOUBTFUL_COST_S * is_doubtful

    def choose(
        self,
        candidates: Iterable[tuple[RegisteredEndpoint, bool]],
        tried: frozenset[str] | set[str],
        work: Work,
        now: float,
    ) -> tuple[EndpointView, float] | None:
        """Choose an endpoint for the next attempt.

        Args:
            candidates: Endpoints that take new work, each with whether it is doubtful.
            tried: Incarnations that are not chosen again.
            work: What the request asks for.
            now: Monotonic time in seconds.

        Returns:
            The view of the chosen endpoint and its cost in seconds, or None.
        """
        costs = []
        for endpoint, is_doubtful in candidates:
            view = self.view(endpoint)
            if endpoint.incarnation not in tried and not view.is_shunned(now):
                costs.append((self.cost_s(view, work, is_doubtful, now), view))
        if not costs:
            return None
        least_s = min(cost_s for cost_s, _ in costs)
        close = [pair for pair in costs if pair[0] <= least_s * (1 + CLOSE_SHARE)]
        cost_s, view = self._rng.choice(close)
        return view, cost_s


def make_fleet(failure_domain: str, rng: random.Random) -> Fleet:
    """Make the fleet as seen by an entry in `failure_domain`."""
    return Fleet(failure_domain, rng)
