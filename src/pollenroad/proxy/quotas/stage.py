"""The stage between gate and entry: requests of workspaces with a quota, until they are decided.

Handles every request with a workspace, a few thousand a second at most; each is here for 0.1 s at
most. A request takes one token, before an endpoint is selected. Its retries and hedges take none,
and a request that no endpoint then runs does not give its token back.
"""

from collections.abc import Iterator
from dataclasses import replace

from pollenroad.boundary import AnswerCall, CallAbandoned, PeerLost, PeerReceived, Record, Tick
from pollenroad.limit_messages import LimitGrant, LimitRequest, LimitReturn
from pollenroad.proxy.answers import refuse
from pollenroad.proxy.boundary import Action, DrainExpired, Event, RequestAdmitted
from pollenroad.proxy.directory import Directory
from pollenroad.proxy.quotas.core import QuotaCore
from pollenroad.proxy.quotas.outcome import Outcome, Refusal
from pollenroad.proxy.workspaces.keys import workspace_of
from pollenroad.published import Configuration
from pollenroad.verdicts import Verdict

StageAction = Action | RequestAdmitted


class QuotaStage:
    """Requests that wait for a token of their workspace's quota."""

    def __init__(self, core: QuotaCore, directory: Directory):
        self.core = core
        self._directory = directory
        self._waiting_by_id: dict[str, tuple[RequestAdmitted, float]] = {}
        """Waiting requests, and when each began to wait."""
        self._configuration: Configuration | None = None
        """Configuration whose quotas are in force."""

    @property
    def open_calls(self) -> int:
        """Number of requests that wait here."""
        return len(self._waiting_by_id)

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        return self.core.next_due()

    def update(self, now: float) -> None:
        """Apply the configuration and the endpoints in force.

        The daemon of an endpoint that is leaving yields its shares while it can still be asked to.
        """
        endpoints = list(self._directory.all_endpoints())
        staying = [endpoint for endpoint in endpoints if not endpoint.is_leaving]
        self.core.endpoints_changed(staying or endpoints, now)
        configuration = self._directory.configuration
        if configuration is not self._configuration:
            self._configuration = configuration
            self.core.configure(set(configuration.workspace_by_key.values()), now)

    def handle(self, event: Event, now: float) -> list[StageAction]:
        """Process one event; return actions, and the requests to pass on to the entry, in order."""
        return list(self._actions(event, now))

    def _actions(self, event: Event, now: float) -> Iterator[StageAction]:
        match event:
            case RequestAdmitted(workspace=None):
                yield event
            case RequestAdmitted(arrived, _, workspace):
                self._waiting_by_id[arrived.call_id] = (event, now)
                yield from self._apply(self.core.admit(arrived.call_id, workspace, now), now)
            case PeerReceived(_, LimitRequest() | LimitGrant() | LimitReturn()):
                yield from self._apply(self.core.handle(event, now), now)
            case PeerLost() | Tick():
                yield from self._apply(self.core.handle(event, now), now)
            case CallAbandoned(call_id):
                if self._waiting_by_id.pop(call_id, None):
                    self.core.forget(call_id)
            case DrainExpired():
                for call_id in list(self._waiting_by_id):
                    self.core.forget(call_id)
                    yield from refuse(self._waiting_by_id.pop(call_id)[0].arrived, "leaving")

    def _apply(self, outcome: Outcome, now: float) -> Iterator[StageAction]:
        for call_id in outcome.admitted:
            yield from self._pass_on(*self._waiting_by_id.pop(call_id), now)
        for refusal in outcome.refused:
            yield from _refuse(self._waiting_by_id.pop(refusal.call_id)[0], refusal)
        yield from outcome.actions

    def _pass_on(
        self, admitted: RequestAdmitted, since: float, now: float
    ) -> Iterator[StageAction]:
        """Pass on a request, unless its key was removed while it waited."""
        if now == since:
            yield admitted
            return
        arrived, configuration = admitted.arrived, self._directory.configuration
        workspace, reason = workspace_of(configuration, admitted.route, arrived.workspace_key)
        if reason:
            yield from refuse(arrived, reason, retry_after_s=0.0)
            return
        waited_s = admitted.waited_s + now - since
        yield replace(admitted, workspace=workspace, waited_s=waited_s)


def _refuse(admitted: RequestAdmitted, refusal: Refusal) -> Iterator[Action]:
    arrived, retry_after_ms = admitted.arrived, round(refusal.retry_after_s * 1000, 1)
    fields = (
        ("request_id", arrived.request_id),
        ("host", arrived.host),
        ("path", arrived.request.path[:64]),
        ("reason", refusal.reason),
        ("retry_after_ms", retry_after_ms),
        *refusal.details,
    )
    yield Record("quota_refused", fields)
    yield AnswerCall(
        arrived.call_id, Verdict.NOT_RUN, refusal.reason, retry_after_ms=retry_after_ms
    )
