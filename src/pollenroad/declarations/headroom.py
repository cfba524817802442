"""Warnings about changes that leave a service too little capacity.

Capacity is the number of slots of the endpoints in service. It is compared with the stated peak
(`peak_in_flight`) or, if none is stated, with the capacity before the change.
"""

from collections import Counter
from collections.abc import Iterator

from pollenroad.declarations.endpoint_changes import endpoints_in_service
from pollenroad.declarations.phrases import count, requests, servers
from pollenroad.declarations.problems import Problem, Severity
from pollenroad.models import Document, ServiceDocument

REMAINING_SHARE = 0.5
"""Share of the capacity before a change that must remain if no peak is stated."""

_OUT_PATH = "$.out_of_service"
_ENDPOINTS_PATH = "$.endpoints"


def _warn(path: str, reason: str, hint: str) -> Problem:
    return Problem(path, reason, hint, Severity.WARNING)


def _slots(document: ServiceDocument) -> int:
    return len(endpoints_in_service(document)) * document.slots


def _largest_domain(document: ServiceDocument) -> tuple[str, int]:
    count_by_domain = Counter(e.failure_domain for e in endpoints_in_service(document))
    domain, endpoint_count = count_by_domain.most_common(1)[0]
    return domain, endpoint_count * document.slots


def _peak_warnings(new: ServiceDocument, slots: int) -> Iterator[Problem]:
    peak = new.peak_in_flight
    left = f"the {new.service} can work on {requests(slots)} at once"
    if slots < peak:
        reason = f"{left}, which is less than the {peak} of its busiest time"
        yield _warn(_OUT_PATH, reason, "bring servers back into service, or add some first")
        return
    domain, domain_slots = _largest_domain(new)
    if slots - domain_slots < peak:
        reason = (
            f"{left}, but {slots - domain_slots} without failure domain {domain}, and needs {peak}"
        )
        hint = "the loss of one more failure domain would leave too little; add servers elsewhere"
        yield _warn(_ENDPOINTS_PATH, reason, hint)


def _shrink_warnings(old: ServiceDocument, new: ServiceDocument, slots: int) -> Iterator[Problem]:
    before = _slots(old)
    if slots < before * REMAINING_SHARE:
        reason = (
            f"the {new.service} can work on {requests(slots)} at once after this change, "
            f"instead of {before}"
        )
        yield _warn(_OUT_PATH, reason, "state peak_in_flight to have this checked against need")


def capacity_warnings(old: Document | None, new: Document) -> list[Problem]:
    """Return warnings that `new` leaves too little capacity.

    Args:
        old: The document before the change, or None if there was none.
        new: The document after the change.

    Returns:
        Warnings with paths within `new`; empty for enough capacity, or a workspace document.
    """
    if not isinstance(new, ServiceDocument):
        return []
    slots = _slots(new)
    if slots == 0:
        total = servers(len(new.endpoints))
        reason = f"every server of the {new.service} ({total}) is out of service"
        return [_warn(_OUT_PATH, reason, "all its requests will be refused")]
    if new.peak_in_flight:
        return list(_peak_warnings(new, slots))
    if isinstance(old, ServiceDocument):
        return list(_shrink_warnings(old, new, slots))
    return []


def describe_capacity(document: ServiceDocument) -> str:
    """Return the capacity of a service that is in service, such as `3 of 5 servers, 60 slots`."""
    in_service = len(endpoints_in_service(document))
    return (
        f"{in_service} of {servers(len(document.endpoints))}, "
        f"{count(in_service * document.slots, 'slot')}"
    )
