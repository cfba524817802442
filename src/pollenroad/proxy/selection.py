"""Endpoint selection of an entry, and the attempts that it sends to guards."""

import random
from collections.abc import Callable

from pollenroad.messages import MAX_REMAINING_MS, Attempt
from pollenroad.proxy.admission.activation import Activation
from pollenroad.proxy.calls import OpenAttempt, OpenCall
from pollenroad.proxy.directory import Directory
from pollenroad.proxy.fleet import EndpointView, Work, make_fleet
from pollenroad.proxy.health import SLOW_FACTOR
from pollenroad.proxy.request_rate import MAX_WAIT_S
from pollenroad.proxy.route_latencies import RouteLatencies

MAX_PUSHBACKS = 2
"""Pushbacks of a request after which `assumed_slowdown` 0 tells guards to send no more of them."""

MAX_PUSHBACK_BODY_BYTES = 16_384
"""Longest body of a request that guards may push back, in bytes. To send a longer one again takes
longer than to wait for most servers, and fills links of few megabits per second, on which the calls
of other requests then miss their deadlines."""


class EndpointSelector:
    """Selects endpoints by their reported load and the service times of routes.

    Args:
        incarnation: Prefix of attempt ids, unique across daemons and restarts.
        failure_domain: Failure domain of the daemon.
        directory: Endpoints and configuration.
        rng: Random source that breaks ties.
        suspended_s: Returns for how long the VM was suspended so far, in seconds.
    """

    def __init__(
        self,
        incarnation: str,
        failure_domain: str,
        directory: Directory,
        rng: random.Random,
        suspended_s: Callable[[], float] = lambda: 0.0,
    ):
        self.caller = ""
        """Service of the server on this VM, the origin of the requests."""
        self.fleet = make_fleet(failure_domain, rng)
        self.latencies = RouteLatencies()
        self._incarnation = incarnation
        self._directory = directory
        self._activation = Activation(directory)
        self._attempt_count = 0
        self._suspended_s = suspended_s

    def select(self, call: OpenCall, now: float) -> tuple[EndpointView, float] | None:
        """Return an endpoint that has not been tried and its cost in seconds, or None."""
        directory = self._directory
        self.fleet.uses_registered_cold = self._activation.is_enabled
        candidates = (
            (endpoint, directory.is_lapsed(endpoint.incarnation))
            for endpoint in directory.endpoints(call.service)
        )
        work = Work(self.latencies.usual_s(call.route), call.route.objective_s)
        return self.fleet.select(candidates, call.tried, work, now, call.refused_wait_s)

    def is_hedge_better(
        self, call: OpenCall, attempt: OpenAttempt, view: EndpointView, cost_s: float, now: float
    ) -> bool:
        """Return whether an endpoint of this cost is likely to answer before the open attempt.

        One that states a limit has room for first attempts only.
        """
        if now + cost_s > call.deadline or view.limit_per_s is not None:
            return False
        work_s = self.latencies.usual_s(call.route)
        left_s = max(work_s / 2, work_s - (now - attempt.sent_at))
        return cost_s <= left_s * max(SLOW_FACTOR, attempt.view.current_slowdown(now))

    def make_attempt(self, call: OpenCall, view: EndpointView, now: float) -> Attempt:
        """Make the message for the next attempt of a request, to the guard of an endpoint."""
        self._attempt_count += 1
        route = call.route
        is_long = len(call.arrived.request.body) > MAX_PUSHBACK_BODY_BYTES
        remaining_ms = (call.work_until - now) * 1000
        accepts_pushback = call.pushbacks < MAX_PUSHBACKS and not is_long
        return Attempt(
            attempt_id=f"{self._incarnation}-{self._attempt_count}",
            request_id=call.arrived.request_id,
            service=call.service,
            customer="",
            request_class=route.name,
            idempotent=route.idempotent,
            remaining_ms=min(MAX_REMAINING_MS, remaining_ms),
            request=call.arrived.request,
            number=call.attempts + 1,
            config_version=self._directory.configuration.version,
            sent_ms=(now + self._suspended_s()) * 1000,
            incarnation=view.endpoint.incarnation,
            caller=self.caller,
            objective_ms=max(0.0, call.started + route.objective_s - now) * 1000,
            priority=call.priority,
            assumed_load=view.in_flight(),
            usual_ms=self.latencies.usual_s(route) * 1000,
            assumed_slowdown=max(1.0, view.current_slowdown(now)) if accepts_pushback else 0.0,
            assumed_wait_ms=min(MAX_WAIT_S, view.limit_wait_s(now)) * 1000,
            known_limit_per_s=view.limit_per_s,
            workspace=call.workspace.name if call.workspace else "",
            refusals=call.refusals + call.pushbacks if self._activation.is_enabled else 0,
        )
