"""Warnings about documents that are valid, but probably not what the operator wants."""

from collections.abc import Iterator

from pollenroad.declarations.problems import Problem, Severity
from pollenroad.models import Document, RequestClass, ServiceDocument

SHORT_DEADLINE_MS = 20.0
"""Deadline in milliseconds below which the value was probably meant in seconds."""

HIGH_RETRY_RATIO = 0.5
"""Retries as a share of first attempts above which they can overload a service themselves."""


def _warn(path: str, reason: str, hint: str) -> Problem:
    return Problem(path, reason, hint, Severity.WARNING)


def _class_warnings(path: str, request_class: RequestClass) -> Iterator[Problem]:
    deadline_ms = request_class.deadline_ms
    if deadline_ms < SHORT_DEADLINE_MS:
        reason = f"a deadline of {deadline_ms:g} ms leaves no time for a slow answer"
        yield _warn(f"{path}.deadline_ms", reason, "the unit is milliseconds")


def _default_class_warnings(document: ServiceDocument) -> Iterator[Problem]:
    idempotent_by_name = {c.name: c.idempotent for c in document.classes}
    if idempotent_by_name.get(document.default_class) and not all(idempotent_by_name.values()):
        reason = (
            f"a request that states no class counts as {document.default_class!r}, which may run "
            "twice, and another class must not"
        )
        yield _warn("$.default_class", reason, "name a class that is not idempotent")


def _service_warnings(document: ServiceDocument) -> Iterator[Problem]:
    yield from _default_class_warnings(document)
    for index, request_class in enumerate(document.classes):
        yield from _class_warnings(f"$.classes[{index}]", request_class)
    if document.cold_start.bound == document.slots:
        reason = "the cold bound equals slots, so a cold server gets its full load at once"
        yield _warn("$.cold_start.bound", reason, "set bound to what a cold server bears")
    ratio = document.retries.budget_ratio
    if ratio > HIGH_RETRY_RATIO:
        reason = f"retries may add {ratio * 100:g}% to the load when servers fail"
        yield _warn("$.retries.budget_ratio", reason, "0.1 is usual")
    domains = {e.failure_domain for e in document.endpoints}
    if len(domains) == 1 and len(document.endpoints) > 1:
        reason = "all endpoints lie in one failure domain"
        yield _warn("$.endpoints", reason, "spread them, so that the loss of one is survived")


def document_warnings(document: Document) -> list[Problem]:
    """Return warnings about one document by itself."""
    match document:
        case ServiceDocument():
            return list(_service_warnings(document))
    return []
