"""Open requests and attempts of an entry, and the records of their ends. No I/O."""

from dataclasses import dataclass, field

from pollenroad.boundary import Record
from pollenroad.messages import Response
from pollenroad.proxy.boundary import RequestArrived
from pollenroad.proxy.fleet import EndpointView
from pollenroad.published import Route
from pollenroad.verdicts import Verdict

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


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt that was handed over and has not ended."""

    call_id: str
    view: EndpointView
    sent_at: float


def age_ms(age_s: float) -> int | None:
    """Return an age in milliseconds for a record, or None where nothing was ever heard."""
    return None if age_s == float("inf") else round(age_s * 1000)


def request_refused(arrived: RequestArrived, reason: str) -> Record:
    """Return the record of a request that is not taken."""
    fields = (
        ("request_id", arrived.request_id),
        ("host", arrived.host),
        ("path", arrived.request.path[:64]),
        ("reason", reason),
    )
    return Record("request_refused", fields)


def attempt_ended(
    call: OpenCall,
    attempt_id: str,
    attempt: OpenAttempt,
    verdict: Verdict,
    reason: str,
    now: float,
) -> Record:
    """Return the record of an attempt's end."""
    fields = (
        ("request_id", call.arrived.request_id),
        ("attempt_id", attempt_id),
        ("endpoint", attempt.view.endpoint.incarnation),
        ("verdict", verdict.value),
        ("reason", reason),
        ("ms", round((now - attempt.sent_at) * 1000, 1)),
    )
    return Record("attempt_ended", fields)


def call_answered(
    call: OpenCall, verdict: Verdict, reason: str, endpoint: str, now: float
) -> Record:
    """Return the record of a request's answer."""
    fields = (
        ("request_id", call.arrived.request_id),
        ("route", call.route.name),
        ("service", call.service),
        ("endpoint", endpoint),
        ("verdict", verdict.value),
        ("reason", reason),
        ("attempts", call.sends),
        ("ms", round((now - call.started) * 1000, 1)),
    )
    return Record("call_answered", fields)
