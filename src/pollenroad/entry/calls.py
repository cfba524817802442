"""Open calls and attempts of an entry."""

from dataclasses import dataclass, field

from pollenroad.boundary import CallArrived, Record
from pollenroad.entry.retries import DOWNSTREAM_ALLOWANCE_SHARE
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
    """Monotonic time in seconds at which the call is answered in any case."""
    attempts: int = 0
    may_rerun_downstream: bool = False
    """Whether a retry or hedge may have repeated the downstream calls of this call."""
    may_have_run: bool = False
    """Whether an attempt ended with an unknown verdict."""
    tried_names: set[str] = field(default_factory=set)
    open_attempt_ids: set[str] = field(default_factory=set)

    @property
    def allowance(self) -> float:
        """Share of a first attempt, from 0 to 1, credited to the rerun and hedge budgets."""
        return min(1.0, self.call.retry_budget)

    @property
    def downstream_allowance(self) -> float:
        """Allowance for the downstream calls of the next attempt."""
        return 0.0 if self.may_rerun_downstream else self.allowance * DOWNSTREAM_ALLOWANCE_SHARE

    @property
    def can_hedge(self) -> bool:
        """Whether the class, the attempt limit and the allowance permit a hedge."""
        request_class = self.request_class
        if not (request_class.hedge and request_class.idempotent):
            return False
        return self.attempts < request_class.max_attempts and self.allowance > 0


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt that was sent and has not ended."""

    attempt_id: str
    call_id: str
    endpoint: Endpoint
    sent_at: float


def make_attempt(open_call: OpenCall, attempt_id: str, version: int, now: float) -> Attempt:
    """Create the next attempt of a call and increment its attempt count.

    Args:
        open_call: The call.
        attempt_id: Identifier that is unique across daemons and restarts.
        version: Version of the service document.
        now: Monotonic time in seconds.
    """
    call = open_call.call
    open_call.attempts += 1
    return Attempt(
        attempt_id=attempt_id,
        request_id=call.request_id,
        service=call.service,
        customer=call.customer,
        request_class=open_call.request_class.name,
        idempotent=open_call.request_class.idempotent,
        remaining_ms=(open_call.deadline - now) * 1000,
        request=call.request,
        number=open_call.attempts,
        retry_budget=open_call.downstream_allowance,
        depth=call.depth,
        config_version=version,
        sent_ms=now * 1000,
    )


def sent_record(attempt: Attempt, endpoint: Endpoint, selection_reason: str) -> Record:
    """Create the record of a sent attempt, with the reason its endpoint was selected."""
    fields = (
        ("request_id", attempt.request_id),
        ("attempt_id", attempt.attempt_id),
        ("endpoint", endpoint.name),
        ("number", attempt.number),
        ("why", selection_reason),
    )
    return Record("attempt_sent", fields)


def ended_record(
    open_call: OpenCall, attempt: OpenAttempt, verdict: Verdict, reason: str, now: float
) -> Record:
    """Create the record of an ended attempt, with its duration in milliseconds."""
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
    """Create the record of an answered call, with its duration in milliseconds."""
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
