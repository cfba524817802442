"""Open requests and attempts of an entry. No I/O."""

from dataclasses import dataclass, field

from pollenroad.messages import Response
from pollenroad.proxy.boundary import RequestArrived
from pollenroad.proxy.fleet import EndpointView
from pollenroad.published import Route
from pollenroad.verdicts import Verdict, may_retry

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


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt that was handed over and has not ended."""

    call_id: str
    view: EndpointView
    sent_at: float
