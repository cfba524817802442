"""Whether a refused request is worth an attempt at another endpoint of its service.

Load: all endpoints of a service are full, as after a power loss. A refused attempt has cost nothing
but its messages, so that an entry asks up to six other endpoints, each of which refuses it as well;
three of four attempts are then such repetitions, and the caller waits for all of them.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from pollenroad.boundary import Record
from pollenroad.proxy.admission.activation import Activation
from pollenroad.proxy.calls import RETRY_AFTER_S, OpenCall
from pollenroad.proxy.directory import Directory
from pollenroad.proxy.fleet import REPORT_TTL_S, EndpointView, Fleet
from pollenroad.proxy.recovery.run_limits import LIFT_S
from pollenroad.proxy.refusals import (
    AT_LIMIT,
    CALLS_REFUSED,
    FULL,
    LIMITED,
    OVERLOADED,
    PUSHBACK_REASONS,
)
from pollenroad.proxy.selection import MAX_PUSHBACKS

CAPACITY_REASONS = frozenset({AT_LIMIT, CALLS_REFUSED, FULL, LIMITED, OVERLOADED})
"""Reasons of refusals for want of capacity."""

HALF_LIFE_S = 1.0
"""Time in which the weight of a refusal or a start halves, in seconds: a burst lasts a few seconds,
and an entry sends a handful of attempts a second to a service."""

MIN_REFUSALS = 2.0
"""Weight of the refusals from which a service can be full: one may be due to an outdated report."""


@dataclass(slots=True)
class _Counts:
    refusals: float = 0.0
    starts: float = 0.0
    at: float = 0.0

    def add(self, refusals: int, starts: int, now: float) -> None:
        share = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.refusals = self.refusals * share + refusals
        self.starts = self.starts * share + starts
        self.at = now


class RepeatGate:
    """Refusals and starts of each service as one entry observed them.

    Args:
        directory: Endpoints and the configuration in force.
        fleet: Load of the endpoints.
    """

    def __init__(self, directory: Directory, fleet: Fleet):
        self._directory = directory
        self._fleet = fleet
        self._activation = Activation(directory)
        self._counts_by_service: dict[str, _Counts] = {}
        self._refused_at: dict[tuple[str, str], float] = {}
        """When an endpoint last refused runs of a route, since their calls are refused."""

    def started(self, service: str, now: float) -> None:
        """Record an attempt that reached a server."""
        self._counts_by_service.setdefault(service, _Counts()).add(0, 1, now)

    def is_full(self, service: str) -> bool:
        """Return whether the refusals of a service exceed its starts."""
        counts = self._counts_by_service.get(service)
        return counts is not None and counts.refusals >= max(MIN_REFUSALS, counts.starts)

    def refused(
        self, call: OpenCall, endpoint: str, reason: str, work_s: float, now: float
    ) -> Record | None:
        """Record a refusal; return a record if the request is to be refused at once, else None.

        If it is not, the endpoints without a known free slot count as tried.

        Args:
            call: The request.
            endpoint: Incarnation that refused it.
            reason: Reason code of the refusal.
            work_s: Usual service time of such a request, in seconds.
            now: Monotonic time in seconds.
        """
        if reason not in CAPACITY_REASONS or not self._activation.is_enabled:
            return None
        self._counts_by_service.setdefault(call.service, _Counts()).add(1, 0, now)
        if reason == CALLS_REFUSED:
            self._forget(now)
            self._refused_at[endpoint, call.route.name] = now
        if not self.is_full(call.service):
            return None
        views = [self._fleet.view(e) for e in self._directory.endpoints(call.service)]
        free = [v for v in views if self._has_room(call, v, now)]
        if reason in PUSHBACK_REASONS and not free:
            call.pushbacks = MAX_PUSHBACKS  # The next guard may let it wait.
            return None
        if not free and call.stated_retry_s is None:
            call.stated_retry_s = _capacity_wait_s(views, work_s, now)
        call.tried |= {v.endpoint.incarnation for v in views if v not in free}
        return None if free else self._repeat_withheld(call, reason)

    def _repeat_withheld(self, call: OpenCall, reason: str) -> Record:
        counts = self._counts_by_service[call.service]
        fields = (
            ("request_id", call.arrived.request_id),
            ("service", call.service),
            ("reason", reason),
            ("refusals", round(counts.refusals, 1)),
            ("starts", round(counts.starts, 1)),
            ("pause_ms", round(call.retry_after_s * 1000)),
        )
        return Record("repeat_withheld", fields)

    def _has_room(self, call: OpenCall, view: EndpointView, now: float) -> bool:
        """Return whether a recent report shows a free slot at an endpoint for the request."""
        incarnation = view.endpoint.incarnation
        refused_at = self._refused_at.get((incarnation, call.route.name), float("-inf"))
        if incarnation in call.tried or view.is_unavailable(now) or now < refused_at + LIFT_S:
            return False
        is_recent = now - view.reported_at < REPORT_TTL_S
        return is_recent and view.in_flight() < view.bound

    def _forget(self, now: float) -> None:
        expired = [key for key, at in self._refused_at.items() if now >= at + LIFT_S]
        for key in expired:
            del self._refused_at[key]


def _capacity_wait_s(views: Iterable[EndpointView], work_s: float, now: float) -> float:
    """Return after which pause a slot is likely to be free at one of the endpoints, in seconds."""
    waits_s = (
        work_s * view.current_slowdown(now) * (view.in_flight() + 1 - view.bound) / view.bound
        for view in views
        if view.bound and now - view.reported_at < REPORT_TTL_S
    )
    return max(RETRY_AFTER_S, min(waits_s, default=0.0))
