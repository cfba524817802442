"""Which endpoint an entry sends a request to, and what it tells the guard there. No I/O."""

import random

from pollenroad.messages import Attempt
from pollenroad.proxy.calls import OpenAttempt, OpenCall
from pollenroad.proxy.directory import Directory
from pollenroad.proxy.fleet import EndpointView, Work, make_fleet
from pollenroad.proxy.health import SLOW_FACTOR
from pollenroad.proxy.routetimes import RouteTimes

MAX_HAND_BACKS = 2
"""Times that a guard may hand a request back because its server is slower than the entry knew."""

ANSWER_MARGIN_S = 0.015
"""Time kept for the way of the answer out of what a server may use, in seconds."""


class Choice:
    """The endpoints as one entry sees them, and the usual work of its routes.

    Args:
        incarnation: Identity of this start of the daemon.
        failure_domain: Where the daemon runs.
        directory: Endpoints and configuration.
        rng: Breaks ties.
    """

    def __init__(
        self, incarnation: str, failure_domain: str, directory: Directory, rng: random.Random
    ):
        self.caller = ""
        """Service of the server on this VM, where the requests begin."""
        self.fleet = make_fleet(failure_domain, rng)
        self.times = RouteTimes()
        self._incarnation = incarnation
        self._directory = directory
        self._attempt_count = 0

    def choose(self, call: OpenCall, now: float) -> tuple[EndpointView, float] | None:
        """Choose an endpoint that has not had the request; return it with its cost in seconds."""
        directory = self._directory
        candidates = (
            (endpoint, directory.is_doubtful(endpoint.incarnation))
            for endpoint in directory.endpoints(call.service)
        )
        work = Work(self.times.work_s(call.route), call.route.objective_s)
        return self.fleet.choose(candidates, call.tried, work, now)

    def is_quicker(self, call: OpenCall, attempt: OpenAttempt, cost_s: float, now: float) -> bool:
        """Tell whether an endpoint of this cost is likely to answer before the open attempt."""
        if now + cost_s > call.ends:
            return False
        work_s = self.times.work_s(call.route)
        left_s = max(work_s / 2, work_s - (now - attempt.sent_at))
        return cost_s <= left_s * max(SLOW_FACTOR, attempt.view.current_slowdown(now))

    def attempt(self, call: OpenCall, view: EndpointView, now: float) -> Attempt:
        """Return the next attempt of a request, for the guard of an endpoint."""
        self._attempt_count += 1
        route = call.route
        is_last = call.hand_backs >= MAX_HAND_BACKS
        return Attempt(
            attempt_id=f"{self._incarnation}-{self._attempt_count}",
            request_id=call.arrived.request_id,
            service=call.service,
            customer="",
            request_class=route.name,
            idempotent=route.idempotent,
            remaining_ms=(call.ends - now - ANSWER_MARGIN_S) * 1000,
            request=call.arrived.request,
            number=call.sends + 1,
            config_version=self._directory.configuration.version,
            sent_ms=now * 1000,
            incarnation=view.endpoint.incarnation,
            caller=self.caller,
            objective_ms=max(0.0, call.started + route.objective_s - now) * 1000,
            priority=route.priority,
            assumed_load=view.in_flight(),
            usual_ms=self.times.work_s(route) * 1000,
            assumed_slowdown=0.0 if is_last else max(1.0, view.current_slowdown(now)),
        )
