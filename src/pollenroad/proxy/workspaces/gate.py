"""The gate core before the entry: the route, the key and the admission of each request.

Handles every request that arrives at a daemon, a few thousand a second at most. A request that
arrives before the first configuration waits here. A refused request was never sent anywhere. Until
a request is passed on as `RequestAdmitted`, or refused, the gate alone knows it.
"""

from collections.abc import Iterator
from dataclasses import replace

from pollenroad.boundary import CallAbandoned, Tick
from pollenroad.guard.availability import LEAVING
from pollenroad.proxy.answers import refuse
from pollenroad.proxy.boundary import (
    Action,
    DirectoryRead,
    DrainExpired,
    Event,
    RequestAdmitted,
    RequestArrived,
)
from pollenroad.proxy.dialect import Dialect
from pollenroad.proxy.directory import Directory
from pollenroad.proxy.drain import DrainPlan
from pollenroad.proxy.workspaces.keys import without_key, workspace_of
from pollenroad.timers import Timers

CONFIGURATION_WAIT_S = 0.4
"""Longest wait of a request for the first configuration, in seconds: a daemon that has just started
reads it within a few hundredths of a second, unless the platform is unavailable."""

LEAVING_RETRY_S = 0.1
"""Retry-After value for callers that a stopping daemon refuses, in seconds: others take them."""

GateAction = Action | RequestAdmitted


class RequestGate:
    """Requests that have arrived and are neither refused nor passed on to the entry."""

    def __init__(self, directory: Directory, dialect: Dialect):
        self._directory = directory
        self._dialect = dialect
        self._unrouted_by_id: dict[str, RequestArrived] = {}
        self._timers = Timers()
        self.drain_plan: DrainPlan | None = None
        """Times of the planned stop; None if there is none."""

    @property
    def open_calls(self) -> int:
        """Number of requests that wait here."""
        return len(self._unrouted_by_id)

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        return self._timers.next_due()

    def handle(self, event: Event, now: float) -> list[GateAction]:
        """Process one event; return actions, and the requests to pass on to the entry, in order."""
        return list(self._actions(event, now))

    def _actions(self, event: Event, now: float) -> Iterator[GateAction]:
        match event:
            case RequestArrived() if self._directory.configuration is None:
                self._unrouted_by_id[event.call_id] = event
                self._timers.set(("unrouted", event.call_id), now + CONFIGURATION_WAIT_S)
            case RequestArrived():
                yield from self._route(event, now)
            case DirectoryRead() if self._directory.configuration is not None:
                for call_id in list(self._unrouted_by_id):
                    yield from self._route(self._pop_unrouted(call_id), now)
            case CallAbandoned(call_id):
                self._pop_unrouted(call_id)
            case DrainExpired():
                for call_id in list(self._unrouted_by_id):
                    yield from refuse(self._pop_unrouted(call_id), LEAVING)
            case Tick():
                for _, call_id in list(self._timers.pop_due(now)):
                    yield from refuse(self._unrouted_by_id.pop(call_id), "no-configuration")

    def _route(self, arrived: RequestArrived, now: float) -> Iterator[GateAction]:
        """Refuse a request without a route or a valid key, or that a stop may cut off."""
        configuration = self._directory.configuration
        route = self._directory.routes.match(arrived.host, arrived.request.path)
        if route is None:
            yield from refuse(arrived, "no-route")
            return
        workspace, reason = workspace_of(configuration, route, arrived.workspace_key)
        if reason:
            yield from refuse(arrived, reason, retry_after_s=0.0)
            return
        if not self._has_time(min(route.timeout_s, arrived.deadline_s), now):
            yield from refuse(arrived, LEAVING, LEAVING_RETRY_S)
            return
        if configuration.has_workspaces:
            arrived = replace(arrived, request=without_key(arrived.request, self._dialect))
        yield RequestAdmitted(arrived, route, workspace)

    def _has_time(self, longest_s: float, now: float) -> bool:
        return self.drain_plan is None or self.drain_plan.accepts(longest_s, now)

    def _pop_unrouted(self, call_id: str) -> RequestArrived | None:
        self._timers.cancel(("unrouted", call_id))
        return self._unrouted_by_id.pop(call_id, None)
