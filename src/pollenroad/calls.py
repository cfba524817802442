"""Open calls and attempts of an entry."""

from dataclasses import dataclass, field

from pollenroad.boundary import CallArrived, Record
from pollenroad.messages import Attempt
from pollenroad.models import Endpoint, RequestClass
from pollenroad.verdicts import Verdict


@dataclass(slots=True)
class OpenCall:
    """A call without an answer yet."""

    call: CallArrived
    request_class: RequestClass
    arrived_at: float
    deadline: float
    """Monotonic time after which the call has failed."""
    attempts: int = 0
    retries: int = 0
    """Attempts beyond the first that took from the retry budget."""
    maybe_ran: bool = False
    """Whether an attempt ended with an unknown verdict."""
    tried_names: set[str] = field(default_factory=set)
    open_attempt_ids: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt that was handed over and has not ended."""

    attempt_id: str
    call_id: str
    endpoint: Endpoint
    sent_at: float


def sent_record(attempt: Attempt, endpoint: Endpoint, why: str) -> Record:
    """Make the record of an attempt that is handed over, with the reason for its endpoint."""
    fields = (
        ("request_id", attempt.request_id),
        ("attempt_id", attempt.attempt_id),
        ("endpoint", endpoint.name),
        ("number", attempt.number),
        ("why", why),
    )
    return Record("attempt_sent", fields)


def ended_record(
    open_call: OpenCall, attempt: OpenAttempt, verdict: Verdict, reason: str, now: float
) -> Record:
    """Make the record of an attempt that ended, with its time in milliseconds."""
    fields = (
        ("request_id", open_call.call.request_id),
        ("attempt_id", attempt.attempt_id),
        ("endpoint", attempt.endpoint.name),
        ("verdict", verdict.value),
        ("reason", reason),
        ("ms", round((now - attempt.sent_at) * 1000, 3)),
    )
    return Record("attempt_ended", fields)


def answered_record(
    open_call: OpenCall, verdict: Verdict, reason: str, endpoint: str, now: float
) -> Record:
    """Make the record of a call that is answered, with its time in milliseconds."""
    fields = (
        ("request_id", open_call.call.request_id),
        ("service", open_call.call.service),
        ("endpoint", endpoint),
        ("verdict", verdict.value),
        ("reason", reason),
        ("attempts", open_call.attempts),
        ("ms", round((now - open_call.arrived_at) * 1000, 3)),
    )
    return Record("call_answered", fields)
