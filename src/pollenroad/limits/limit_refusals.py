"""What a caller is told when a limit of its customer is reached."""

import math
from dataclasses import dataclass, field

from pollenroad.boundary import SendPeer
from pollenroad.limits.limit_lease import CustomerLease


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a call was refused, for its caller."""

    call_id: str
    reason: str
    """`limit-rate` or `limit-concurrency`."""
    detail: str
    retry_after_ms: float


@dataclass(slots=True)
class Outcome:
    """What a step of the limits leads to."""

    admitted: list[str] = field(default_factory=list)
    """Calls that may go on now."""
    refused: list[Refusal] = field(default_factory=list)
    actions: list[SendPeer] = field(default_factory=list)


def refuse_customer(call_id: str, customers: int, idle_s: float) -> Refusal:
    """Refuse a call since the entry already holds state of `customers` others."""
    detail = f"This entry already serves {customers} customers; come back in {idle_s:g} s."
    return Refusal(call_id, "limit-rate", detail, idle_s * 1000)


def refuse_call(lease: CustomerLease, call_id: str, wait_s: float, now: float) -> Refusal:
    """Refuse a call, naming the limit that is reached.

    Args:
        lease: What the entry holds of the customer's limit.
        call_id: The call.
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
    cause = "is reached" if lease.reachable(now) else "cannot be checked, as its owners are silent"
    detail = (
        f"The limit of {limit.rate_per_s:g} requests a second of {whose} {cause}; "
        f"come back in {math.ceil(retry_after_s * 1000) / 1000:g} s."
    )
    return Refusal(call_id, "limit-rate", detail, round(retry_after_s * 1000, 1))
