"""Open calls and attempts of an entry."""

from dataclasses import dataclass, field

from pollenroad.boundary import CallArrived, Record
from pollenroad.entry.retries import ALLOWANCE_BELOW
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
    may_run_again: bool = False
    """Whether an attempt was added that may make the calls below this one run again."""
    maybe_ran: bool = False
    """Whether an attempt ended with an unknown verdict."""
    tried_names: set[str] = field(default_factory=set)
    open_attempt_ids: set[str] = field(default_factory=set)

    @property
    def allowance(self) -> float:
        """Share from 0 to 1 with which this call pays into the retry and hedge budgets."""
        return min(1.0, self.call.retry_budget)

    @property
    def allowance_below(self) -> float:
        """Allowance of the calls that the next attempt causes."""
        return 0.0 if self.may_run_again else self.allowance * ALLOWANCE_BELOW

    @property
    def may_hedge(self) -> bool:
        """Whether a second attempt may race the one that is open."""
        request_class = self.request_class
        if not (request_class.hedge and request_class.idempotent):
            return False
        return self.attempts < request_class.max_attempts and self.allowance > 0


@dataclass(frozen=True, slots=True)
class OpenAttempt:
    """An attempt that was handed over and has not ended."""

    attempt_id: str
    call_id: str
    endpoint: Endpoint
    sent_at: float


def make_attempt(open_call: OpenCall, attempt_id: str, version: int, now: float) -> Attempt:
    """Make the next attempt of a call, and count it.

    Args:
        open_call: The call.
        attempt_id: Unique over all daemons and restarts.
        version: Version of the service's document.
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
        retry_budget=open_call.allowance_below,
        depth=call.depth,
        config_version=version,
        sent_ms=now * 1000,
    )


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
