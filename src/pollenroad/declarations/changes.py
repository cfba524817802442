"""Sentences that describe changes of a document, for `diff` and the audit trail."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import chain

import msgspec

from pollenroad.declarations.customer_changes import customer_sentences
from pollenroad.declarations.endpoint_changes import endpoint_sentences, out_of_service_sentences
from pollenroad.declarations.phrases import (
    capitalize_first,
    connections,
    count,
    expected_requests,
    instead_of,
    join,
    messages,
    milliseconds,
    number,
    percent,
    repeats,
    repeats_of_100,
    requests,
    seconds,
    seconds_or_never,
    servers,
    size,
    times,
)
from pollenroad.models import (
    Document,
    OutOfService,
    RequestClass,
    ServiceDocument,
    WorkspaceDocument,
)


@dataclass(frozen=True, slots=True)
class _SentenceFormat:
    """Format of the sentence that describes a changed value."""

    text: str
    """Format string with `{of}`, `{new}` and `{instead}`."""
    format_value: Callable[[float], str]
    """Formats a value with its unit."""
    zero: str = ""
    """Format string with `{of}` and `{old}` for a new value of 0 or False, where that needs another
    sentence."""

    def make_sentence(self, of: str, old, new) -> str:
        before, after = self.format_value(old), self.format_value(new)
        text = self.zero if self.zero and not new else self.text
        instead = instead_of(before, after)
        return capitalize_first(text.format(of=of, old=before, new=after, instead=instead))


_ROUTING_TEXT = {
    "least-time": "by the time that it is expected to take there",
    "random": "by chance",
    "round-robin": "in turn",
    "least-in-flight": "by who has the fewest requests of the asking VM",
    "two-choices": "as the less busy of two drawn by chance",
}

_SERVICE_FORMAT_BY_FIELD = {
    "slots": _SentenceFormat(
        "each server of the {of} now works on at most {new} at once, {instead}.", requests
    ),
    "connections": _SentenceFormat(
        "each server of the {of} now holds at most {new}, {instead}.", connections
    ),
    "default_class": _SentenceFormat(
        "a request to the {of} that does not state its kind is now treated as {new}, " "{instead}.",
        str,
    ),
    "drain_s": _SentenceFormat(
        "a server of the {of} that is to stop now has {new} to finish the requests that it has, "
        "{instead}.",
        seconds,
        "a server of the {of} that is to stop now stops at once, instead of after at most {old}.",
    ),
    "routing": _SentenceFormat(
        "a server of the {of} is now chosen for a request {new}, {instead}.",
        _ROUTING_TEXT.__getitem__,
    ),
    "subset_size": _SentenceFormat(
        "each VM that passes requests on to the {of} now spreads them over at most {new}, "
        "{instead}.",
        servers,
    ),
    "max_body_bytes": _SentenceFormat(
        "the {of} now takes requests with a content of at most {new}, {instead}.", size
    ),
    "peak_in_flight": _SentenceFormat(
        "the {of} is now expected to work on {new} at once when it is busiest, {instead}.",
        expected_requests,
        "it is no longer stated how many requests the {of} works on when it is busiest, "
        "which was {old}.",
    ),
}

_COLD_START_FORMAT_BY_FIELD = {
    "bound": _SentenceFormat(
        "a server of the {of} that has just started now gets at most {new} at once, " "{instead}.",
        requests,
    ),
    "cold_s": _SentenceFormat(
        "a server of the {of} that has just started is now spared for {new}, {instead}.",
        seconds,
        "a server of the {of} that has just started is no longer spared at first, "
        "which lasted {old}.",
    ),
    "ramp_s": _SentenceFormat(
        "a server of the {of} that was spared after its start now gets more and more for {new} "
        "until it has its full share, {instead}.",
        seconds,
        "a server of the {of} that was spared after its start now gets its full share at once, "
        "instead of over {old}.",
    ),
    "idle_s": _SentenceFormat(
        "a server of the {of} is now treated as just started after {new} without a request, "
        "{instead}.",
        seconds_or_never,
        "a server of the {of} is no longer treated as just started after a time without requests, "
        "which was {old}.",
    ),
}

_MEASURING_FORMAT_BY_FIELD = {
    "messages_per_s": _SentenceFormat(
        "finding out how busy the servers of the {of} are may now cost {new} a second in all, "
        "{instead}.",
        messages,
    ),
    "server_ms_per_s": _SentenceFormat(
        "test requests that find out how busy the servers of the {of} are may now take {new} of "
        "their time in each second, {instead}.",
        milliseconds,
        "no test requests are sent any more to find out how busy the servers of the {of} are; "
        "they were allowed {old} in each second.",
    ),
    "probe_cost_ms": _SentenceFormat(
        "one test request that finds out how busy a server of the {of} is now counts as {new} of "
        "its time, {instead}.",
        milliseconds,
        "the servers of the {of} no longer offer test requests that find out how busy they are; "
        "one counted as {old} of their time.",
    ),
}

_RETRIES_FORMAT_BY_FIELD = {
    "budget_ratio": _SentenceFormat(
        "for every 100 requests to the {of}, at most {new} after a failure may now be made, "
        "{instead}.",
        repeats_of_100,
    ),
    "hedge_ratio": _SentenceFormat(
        "for every 100 requests to the {of}, at most {new} of late ones may now be made, "
        "{instead}.",
        repeats_of_100,
    ),
    "min_per_s": _SentenceFormat(
        "each VM that passes requests on to the {of} may now always make {new} a second, "
        "{instead}.",
        repeats,
    ),
}

_CLASS_FORMAT_BY_FIELD = {
    "worth": _SentenceFormat(
        "an answer to a request {of} is now worth {new} when there is too much to do, {instead}.",
        number,
    ),
    "idempotent": _SentenceFormat(
        "it now does no harm to run a request {of} twice, so it may be tried again when no "
        "answer came.",
        str,
        "running a request {of} twice now does harm, so it is tried again only if it surely did "
        "not run.",
    ),
    "deadline_ms": _SentenceFormat(
        "the answer to a request {of} must now come within {new}, {instead}.", milliseconds
    ),
    "max_attempts": _SentenceFormat("a request {of} is now tried at most {new}, {instead}.", times),
    "hedge": _SentenceFormat(
        "when the answer to a request {of} is late, a second server may now be asked as well.",
        str,
        "when the answer to a request {of} is late, no second server is asked any more.",
    ),
    "guaranteed_share": _SentenceFormat(
        "when there is too much to do, {new} of each server is now kept for requests {of}, "
        "{instead}.",
        percent,
        "when there is too much to do, nothing is kept any more for requests {of}, which had "
        "{old} of each server.",
    ),
}


def _field_sentences(
    format_by_field: dict[str, _SentenceFormat], of: str, old: object, new: object
) -> Iterator[str]:
    for field, sentence_format in format_by_field.items():
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            yield sentence_format.make_sentence(of, before, after)


def _class_summary(request_class: RequestClass) -> str:
    twice = "may be run twice" if request_class.idempotent else "is run at most once"
    return (
        f"it {twice}, is answered within {milliseconds(request_class.deadline_ms)} "
        f"and is worth {number(request_class.worth)}"
    )


def _class_sentences(old: ServiceDocument, new: ServiceDocument) -> Iterator[str]:
    service = new.service
    old_by_name = {c.name: c for c in old.classes}
    new_by_name = {c.name: c for c in new.classes}
    for name, request_class in new_by_name.items():
        if name not in old_by_name:
            summary = _class_summary(request_class)
            yield f"The {service} now takes a new kind of request, {name}: {summary}."
            continue
        of = f"of the kind {name} to the {service}"
        yield from _field_sentences(_CLASS_FORMAT_BY_FIELD, of, old_by_name[name], request_class)
    for name in old_by_name:
        if name not in new_by_name:
            yield f"The {service} no longer takes requests of the kind {name}."


def _name_sentences(old: ServiceDocument, new: ServiceDocument) -> Iterator[str]:
    if old.workspace != new.workspace:
        yield f"The {new.service} now belongs to {new.workspace}, instead of {old.workspace}."
    if old.service != new.service:
        yield f"The {old.service} is now called {new.service}."


def _service_sentences(old: ServiceDocument, new: ServiceDocument) -> Iterator[str]:
    service = new.service
    return chain(
        _name_sentences(old, new),
        out_of_service_sentences(old, new),
        endpoint_sentences(old, new),
        _field_sentences(_SERVICE_FORMAT_BY_FIELD, service, old, new),
        _class_sentences(old, new),
        _field_sentences(_COLD_START_FORMAT_BY_FIELD, service, old.cold_start, new.cold_start),
        _field_sentences(_MEASURING_FORMAT_BY_FIELD, service, old.measuring, new.measuring),
        _field_sentences(_RETRIES_FORMAT_BY_FIELD, service, old.retries, new.retries),
    )


def _new_service_sentences(new: ServiceDocument) -> Iterator[str]:
    domains = sorted({e.failure_domain for e in new.endpoints})
    kinds = join([c.name for c in new.classes])
    yield (
        f"The {new.service} of {new.workspace} is new: {servers(len(new.endpoints))} in "
        f"{count(len(domains), 'failure domain')} ({join(domains)}), each working on at most "
        f"{requests(new.slots)} at once, of the kinds {kinds}."
    )
    empty = OutOfService()
    before = msgspec.structs.replace(new, out_of_service=empty)
    yield from out_of_service_sentences(before, new)


def _new_workspace_sentences(new: WorkspaceDocument) -> Iterator[str]:
    yield (
        f"{capitalize_first(new.workspace)} is new, with {count(len(new.customers), 'customer')}; "
        f"a customer that is not named may send {requests(new.default_rate_per_s)} a second and "
        f"have {requests(new.default_concurrency)} open at once."
    )
    yield from customer_sentences(msgspec.structs.replace(new, customers=(), limit_owners=()), new)


def _without_version_and_order(value: object) -> object:
    """Return a value that is equal for documents that differ only in version and order."""
    match value:
        case msgspec.Struct():
            fields = type(value).__struct_fields__
            return tuple(
                _without_version_and_order(getattr(value, f)) for f in fields if f != "version"
            )
        case tuple():
            return frozenset(_without_version_and_order(item) for item in value)
    return value


def _fallback_sentences(old: Document, new: Document) -> Iterator[str]:
    """Yield a sentence for documents whose difference no other sentence describes."""
    if old == new:
        return
    if _without_version_and_order(old) != _without_version_and_order(new):
        yield f"Something of {new.key} changed for which there is no sentence yet."
    elif old.version == new.version:
        yield f"Only the order of the entries of {new.key} changed, which means nothing."
    else:
        yield f"Only the version of {new.key} changed, from {old.version} to {new.version}."


def _changes(old: Document | None, new: Document) -> Iterator[str]:
    match old, new:
        case ServiceDocument(), ServiceDocument():
            yield from _service_sentences(old, new)
        case WorkspaceDocument(), WorkspaceDocument():
            yield from customer_sentences(old, new)
        case _, ServiceDocument():
            yield from _new_service_sentences(new)
        case _, WorkspaceDocument():
            yield from _new_workspace_sentences(new)


def change_sentences(old: Document | None, new: Document) -> Iterator[str]:
    """Describe each difference between two documents of one key in a plain sentence.

    Args:
        old: The document before, or None if there was none.
        new: The document after.

    Yields:
        One sentence per change; none if the documents are equal. A change of the version is
        described only if nothing else changed.
    """
    has_sentences = False
    for text in _changes(old, new):
        has_sentences = True
        yield text
    if not has_sentences and old is not None:
        yield from _fallback_sentences(old, new)
