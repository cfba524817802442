"""Open requests and attempts of an entry. No I/O."""

from dataclasses import dataclass, field

from pollenroad.messages import Response
from pollenroad.proxy.boundary import RequestArrived
from pollenroad.proxy.fleet import EndpointView
from pollenroad.published import Route
from pollenroad.verdicts import Verdict, may_retry

PEER_LOST = "peer-lost"
"""Reason where the link to the guard broke while it had the attempt."""

SLOW = "slow"
"""Reason of refusals where the server is slower than the entry assumed."""

FULL = "full"
"""Reason of refusals where no slot is free, before the attempt has waited."""

HAND_BACKS = frozenset({SLOW, FULL})
"""Refusals by which a guard tells the entry what it did not know yet."""

FINISH_SHARE = 0.8
"""Share of its expected time at a server that a request must have left: one that is cut off at its
deadline has used a slot for nothing."""

GIVE_UP_MARGIN_S = 0.04
"""Time before its caller's deadline at which a request is answered, in seconds, so that the answer
is there before the caller gives up: the way there and back, of 8 ms each, and some delay."""

RETRY_AFTER_S = 0.3
"""Advice to callers where no guard gives any, in seconds."""


@dataclass(slots=True)
class OpenCall:
    """A request without an answer yet."""

    arrived: RequestArrived
    route: Route
    service: str
    started: float
    ends: float
    """Monotonic time at which the request is answered whatever has happened."""
    sends: int = 0
    """Attempts that are open or have reached a server."""
    refusals: int = 0
    hand_backs: int = 0
    maybe_ran: bool = False
    tried: set[str] = field(default_factory=set)
    open_attempt_ids: set[str] = field(default_factory=set)
    failure: Response | None = None
    """A server's own failure, kept while another server is tried."""
    retry_after_s: float = RETRY_AFTER_S

    def refused(self, reason: str, endpoint: str) -> None:
        """Count a refusal by an endpoint; one that was handed back may try it again."""
        if reason in HAND_BACKS:
            self.hand_backs += 1
            self.tried.discard(endpoint)
        else:
            self.refusals += 1

    def may_be_sent(self, work_s: float, now: float) -> bool:
        """Tell whether another attempt is allowed, and could finish work of `work_s` seconds."""
        return self.sends < self.route.max_attempts and now + FINISH_SHARE * work_s < self.ends

    def may_send_again(self, verdict: Verdict, work_s: float, now: float) -> bool:
        """Tell whether the request may go to another server after one has had it.

        Args:
            verdict: What is known of the attempt that ended last.
            work_s: Usual work of such a request, in seconds.
            now: Monotonic time in seconds.
        """
        if self.sends >= self.route.max_attempts:
            return False
        if self.route.idempotent:
            return now + work_s / 2 < self.ends
        return may_retry(verdict, False) and not self.maybe_ran


def open_call(arrived: RequestArrived, route: Route, service: str, now: float) -> OpenCall:
    """Return the state of a request that has just arrived."""
    patience_s = max(arrived.deadline_s / 2, arrived.deadline_s - GIVE_UP_MARGIN_S)
    return OpenCall(arrived, route, service, now, now + min(route.timeout_s, patience_s))


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt that was handed over and has not ended."""

    call_id: str
    view: EndpointView
    sent_at: float
