"""Open requests and attempts of an entry."""

from dataclasses import dataclass, field

from pollenroad.messages import AttemptAnswer, Response
from pollenroad.proxy.boundary import RequestAdmitted, RequestArrived
from pollenroad.proxy.fleet import EndpointView
from pollenroad.proxy.refusals import LIMITED, PUSHBACK_REASONS
from pollenroad.published import Route, Workspace
from pollenroad.verdicts import Verdict, is_retry_safe

PEER_LOST = "peer-lost"
"""Reason of attempts that were open when the connection to their guard broke."""

LOST_ANSWER_WAIT_S = 3.0
"""Time for which a request that must not run twice waits for its answer after its guard fell silent
and the link broke, in seconds. The guard may finish the request, and sends the answer over a new
link; nobody else may run it meanwhile."""

FINISH_SHARE = 0.8
"""Time that a request must have left to be started, as a share of its expected service time: one
that is cut off at its deadline has used a slot for nothing."""

GIVE_UP_MARGIN_S = 0.04
"""Time before its caller's deadline at which a request that no server runs is refused, in seconds,
so that the refusal arrives before the caller gives up: a network delay of 8 ms in each direction,
and some reserve."""

DEFER_SHARE = 0.11
"""Longest wait of a request for an available endpoint, as a share of its latency objective."""

DEFER_STEP_S = 0.04
"""Interval at which a deferred request retries endpoint selection, in seconds."""

MAX_REFUSALS = 6
"""Refusals by guards after which a request fails, so that it does not circulate between them."""

RECHECK_S = 0.1
"""Interval at which the hedge check of a late attempt is repeated, in seconds."""

RETRY_AFTER_S = 0.3
"""Retry-After value for callers where no guard states one, in seconds."""


@dataclass(slots=True)
class OpenCall:
    """A request without an answer yet."""

    arrived: RequestArrived
    route: Route
    service: str
    started: float
    deadline: float
    """Monotonic time at which the request is answered if no server is at work on it."""
    work_until: float
    """Monotonic time until which a server may work on the request: that of the route's timeout, or
    of the caller's deadline if that is sooner."""
    attempts: int = 0
    """Attempts that are open or have reached a server."""
    refusals: int = 0
    """Attempts that did not run, without pushbacks."""
    pushbacks: int = 0
    may_have_run: bool = False
    """Whether an attempt ended with an unknown verdict."""
    tried: set[str] = field(default_factory=set)
    """Incarnations of endpoints that are not selected again."""
    refused_by_server: set[str] = field(default_factory=set)
    """Incarnations of the servers that refused this request, if it must not run twice. A second
    refusal of one of them could be a copy of the first while the request runs."""
    open_attempt_ids: set[str] = field(default_factory=set)
    error_response: Response | None = None
    """Error response of a server, kept while another server is tried."""
    stated_retry_s: float | None = None
    """Shortest pause of the caller that a guard stated, in seconds; None if none did."""
    refused_wait_s: float = float("inf")
    """Wait for room within a server's stated limit that was too long for this request, in seconds;
    infinite if none was."""
    workspace: Workspace | None = None
    """Workspace of the request's key; None on a public route, or without workspaces."""
    is_revoked: bool = False
    """Whether the request's key was removed, so that no further attempt is made."""

    @property
    def priority(self) -> int:
        """Priority under overload: that of the workspace if it states one, else of the route."""
        stated = self.workspace.priority if self.workspace else None
        return self.route.priority if stated is None else stated

    @property
    def rank(self) -> int:
        """Rank under overload; 0 is the highest."""
        return self.route.priority

    @property
    def retry_after_s(self) -> float:
        """Pause that is stated to the caller if the request has not run, in seconds."""
        return RETRY_AFTER_S if self.stated_retry_s is None else self.stated_retry_s

    @property
    def is_limited(self) -> bool:
        """Whether a guard refused this request for the limit that its server states."""
        return self.refused_wait_s < float("inf")

    def is_worked_on(self, now: float) -> bool:
        """Return whether a server may be at work on the request, and may go on."""
        return bool(self.open_attempt_ids) and now < self.work_until

    def learn_room(self, answer: AttemptAnswer, view: EndpointView, now: float) -> None:
        """Record when a guard that refused an attempt expects to have room."""
        if answer.retry_after_ms:
            pauses_s = (self.stated_retry_s, answer.retry_after_ms / 1000)
            self.stated_retry_s = min(pause_s for pause_s in pauses_s if pause_s is not None)
        if answer.reason == LIMITED:
            self.refused_wait_s = min(self.refused_wait_s, view.limit_wait_s(now))

    def refused(self, reason: str, endpoint: str, reached_server: bool) -> None:
        """Count a refusal by an endpoint; after a pushback the endpoint may be selected again.

        Args:
            reason: Reason code.
            endpoint: Incarnation; empty if the request was not sent.
            reached_server: Whether the server, not its guard, refused the request.
        """
        if reached_server and not self.route.idempotent:
            self.refused_by_server.add(endpoint)
        if reason in PUSHBACK_REASONS:
            self.pushbacks += 1
            self.tried.discard(endpoint)
        else:
            self.refusals += 1

    def forget_tried(self) -> None:
        """Allow another attempt at the endpoints that were tried, as far as that is safe."""
        self.tried = set(self.refused_by_server)

    def can_send(self, work_s: float, now: float) -> bool:
        """Return whether another attempt is allowed and has time for work of `work_s` seconds."""
        is_allowed = self.refusals < MAX_REFUSALS and self.attempts < self.route.max_attempts
        return is_allowed and not self.is_revoked and now + FINISH_SHARE * work_s < self.deadline

    def next_selection_at(self, now: float) -> float | None:
        """Return when to select an endpoint again if none is available now, or None to give up."""
        until = self.started + DEFER_SHARE * self.route.objective_s
        if now >= until or self.refusals >= MAX_REFUSALS or self.is_limited:
            return None
        return min(now + DEFER_STEP_S, until)

    def can_retry(self, verdict: Verdict, work_s: float, now: float) -> bool:
        """Return whether the request may go to another server after one that may have received it.

        Args:
            verdict: Verdict on the attempt that ended last.
            work_s: Usual service time of such a request, in seconds.
            now: Monotonic time in seconds.
        """
        if self.attempts >= self.route.max_attempts or self.is_revoked:
            return False
        if self.route.idempotent:
            return now + work_s / 2 < self.deadline
        return is_retry_safe(verdict, False) and not self.may_have_run


def make_open_call(admitted: RequestAdmitted, service: str, now: float) -> OpenCall:
    """Return the state of a request that has just been admitted."""
    arrived, route, started = admitted.arrived, admitted.route, now - admitted.waited_s
    work_until = started + min(route.timeout_s, arrived.deadline_s)
    caller_wait_s = max(arrived.deadline_s / 2, arrived.deadline_s - GIVE_UP_MARGIN_S)
    deadline = min(work_until, started + caller_wait_s)
    return OpenCall(
        arrived, route, service, started, deadline, work_until, workspace=admitted.workspace
    )


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt that was sent to a guard and has not ended."""

    call_id: str
    view: EndpointView
    sent_at: float
