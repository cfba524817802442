"""Refusals of calls that exceed a limit of their customer."""

import math
from dataclasses import dataclass, field

from pollenroad.boundary import SendPeer
from pollenroad.limits.limit_lease import CustomerLease


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refused call, with the reason for its caller."""

    call_id: str
    reason: str
    """`limit-rate` or `limit-concurrency`."""
    detail: str
    retry_after_ms: float


@dataclass(slots=True)
class Outcome:
    """Result of a step: calls admitted and refused, and messages to send."""

    admitted: list[str] = field(default_factory=list)
    """Ids of the calls that can proceed now."""
    refused: list[Refusal] = field(default_factory=list)
    actions: list[SendPeer] = field(default_factory=list)


def refuse_customer(call_id: str, customers: int, idle_s: float) -> Refusal:
    """Refuse a call because the entry already keeps state for `customers` other customers."""
    detail = f"This entry already serves {customers} customers; come back in {idle_s:g} s."
    return Refusal(call_id, "limit-rate", detail, idle_s * 1000)


def refuse_call(lease: CustomerLease, call_id: str, wait_s: float, now: float) -> Refusal:
    """Refuse a call, naming the limit that was reached.

    Args:
        lease: The entry's lease of the customer's limit.
        call_id: Id of the call.
        wait_s: Time after which a permit may be free, in seconds.
        now: Monotonic time in seconds.
    """
    limit = lease.limit
    whose = f"customer {limit.name} in workspace {lease.workspace}"
    if lease.lacks_permits(now):
        detail = (
            f"The limit of {limit.concurrency} requests in flight of {whose} is reached; "
            f"come back when one has ended, at the soonest in {wait_s:g} s."
        )
        return Refusal(call_id, "limit-concurrency", detail, wait_s * 1000)
    retry_after_s = lease.retry_after_s(now)
    cause = (
        "is reached" if lease.is_reachable(now) else "cannot be checked, as its owners are silent"
    )
    detail = (
        f"The limit of {limit.rate_per_s:g} requests a second of {whose} {cause}; "
        f"come back in {math.ceil(retry_after_s * 1000) / 1000:g} s."
    )
    return Refusal(call_id, "limit-rate", detail, round(retry_after_s * 1000, 1))
