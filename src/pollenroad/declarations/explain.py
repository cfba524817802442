"""Every change of configuration as one plain sentence, for `diff` and the audit trail."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from itertools import chain

import msgspec

from pollenroad.declarations.explain_customers import customer_sentences
from pollenroad.declarations.explain_servers import endpoint_sentences, out_of_service_sentences
from pollenroad.declarations.wording import (
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
    sentence,
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
class _Phrase:
    """How a changed value is told."""

    text: str
    """Sentence with `{of}`, `{new}` and `{instead}`."""
    wording: Callable[[float], str]
    """Puts a value into words."""
    zero: str = ""
    """Sentence with `{of}` and `{old}` for the value 0, if that means something of its own."""

    def tell(self, of: str, old, new) -> str:
        before, after = self.wording(old), self.wording(new)
        text = self.zero if self.zero and not new else self.text
        instead = instead_of(before, after)
        return sentence(text.format(of=of, old=before, new=after, instead=instead))


_ROUTING_WORDING = {
    "least-time": "by the time that it is expected to take there",
    "random": "by chance",
    "round-robin": "in turn",
    "least-in-flight": "by who has the fewest requests of the asking VM",
    "two-choices": "as the less busy of two drawn by chance",
}

_SERVICE_PHRASE_BY_FIELD = {
    "slots": _Phrase(
        "each server of the {of} now works on at most {new} at once, {instead}.", requests
    ),
    "connections": _Phrase(
        "each server of the {of} now holds at most {new}, {instead}.", connections
    ),
    "default_class": _Phrase(
        "a request to the {of} that does not state its kind is now treated as {new}, " "{instead}.",
        str,
    ),
    "drain_s": _Phrase(
        "a server of the {of} that is to stop now has {new} to finish the requests that it has, "
        "{instead}.",
        seconds,
        "a server of the {of} that is to stop now stops at once, instead of after at most {old}.",
    ),
    "routing": _Phrase(
        "a server of the {of} is now chosen for a request {new}, {instead}.",
        _ROUTING_WORDING.__getitem__,
    ),
    "subset_size": _Phrase(
        "each VM that passes requests on to the {of} now spreads them over at most {new}, "
        "{instead}.",
        servers,
    ),
    "max_body_bytes": _Phrase(
        "the {of} now takes requests with a content of at most {new}, {instead}.", size
    ),
    "peak_in_flight": _Phrase(
        "the {of} is now expected to work on {new} at once when it is busiest, {instead}.",
        expected_requests,
        "it is no longer stated how many requests the {of} works on when it is busiest, "
        "which was {old}.",
    ),
}

_COLD_START_PHRASE_BY_FIELD = {
    "bound": _Phrase(
        "a server of the {of} that has just started now gets at most {new} at once, " "{instead}.",
        requests,
    ),
    "cold_s": _Phrase(
        "a server of the {of} that has just started is now spared for {new}, {instead}.",
        seconds,
        "a server of the {of} that has just started is no longer spared at first, "
        "which lasted {old}.",
    ),
    "ramp_s": _Phrase(
        "a server of the {of} that was spared after its start now gets more and more for {new} "
        "until it has its full share, {instead}.",
        seconds,
        "a server of the {of} that was spared after its start now gets its full share at once, "
        "instead of over {old}.",
    ),
    "idle_s": _Phrase(
        "a server of the {of} is now treated as just started after {new} without a request, "
        "{instead}.",
        seconds_or_never,
        "a server of the {of} is no longer treated as just started after a time without requests, "
        "which was {old}.",
    ),
}

_MEASURING_PHRASE_BY_FIELD = {
    "messages_per_s": _Phrase(
        "finding out how busy the servers of the {of} are may now cost {new} a second in all, "
        "{instead}.",
        messages,
    ),
    "server_ms_per_s": _Phrase(
        "test requests that find out how busy the servers of the {of} are may now take {new} of "
        "their time in each second, {instead}.",
        milliseconds,
        "no test requests are sent any more to find out how busy the servers of the {of} are; "
        "they were allowed {old} in each second.",
    ),
    "probe_cost_ms": _Phrase(
        "one test request that finds out how busy a server of the {of} is now counts as {new} of "
        "its time, {instead}.",
        milliseconds,
        "the servers of the {of} no longer offer test requests that find out how busy they are; "
        "one counted as {old} of their time.",
    ),
}

_RETRIES_PHRASE_BY_FIELD = {
    "budget_ratio": _Phrase(
        "for every 100 requests to the {of}, at most {new} after a failure may now be made, "
        "{instead}.",
        repeats_of_100,
    ),
    "hedge_ratio": _Phrase(
        "for every 100 requests to the {of}, at most {new} of late ones may now be made, "
        "{instead}.",
        repeats_of_100,
    ),
    "min_per_s": _Phrase(
        "each VM that passes requests on to the {of} may now always make {new} a second, "
        "{instead}.",
        repeats,
    ),
}

_CLASS_PHRASE_BY_FIELD = {
    "worth": _Phrase(
        "an answer to a request {of} is now worth {new} when there is too much to do, {instead}.",
        number,
    ),
    "idempotent": _Phrase(
        "it now does no harm to run a request {of} twice, so it may be tried again when no "
        "answer came.",
        str,
        "running a request {of} twice now does harm, so it is tried again only if it surely did "
        "not run.",
    ),
    "deadline_ms": _Phrase(
        "the answer to a request {of} must now come within {new}, {instead}.", milliseconds
    ),
    "max_attempts": _Phrase("a request {of} is now tried at most {new}, {instead}.", times),
    "hedge": _Phrase(
        "when the answer to a request {of} is late, a second server may now be asked as well.",
        str,
        "when the answer to a request {of} is late, no second server is asked any more.",
    ),
    "guaranteed_share": _Phrase(
        "when there is too much to do, {new} of each server is now kept for requests {of}, "
        "{instead}.",
        percent,
        "when there is too much to do, nothing is kept any more for requests {of}, which had "
        "{old} of each server.",
    ),
}


def _phrase_sentences(
    phrase_by_field: dict[str, _Phrase], of: str, old: object, new: object
) -> Iterator[str]:
    for field, phrase in phrase_by_field.items():
        before, after = getattr(old, field), getattr(new, field)
        if before != after:
            yield phrase.tell(of, before, after)


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
        yield from _phrase_sentences(_CLASS_PHRASE_BY_FIELD, of, old_by_name[name], request_class)
    for name in old_by_name:
        if name not in new_by_name:
            yield f"The {service} no longer takes requests of the kind {name}."


def _name_sentences(old: ServiceDocument, new: ServiceDocument) -> Iterator[str]:
    if old.workspace != new.workspace:
        yield f"The {new.service} now belongs to {new.workspace}, instead of {old.workspace}."
    if old.service != new.service:
        yield f"The {old.service} is now called {new.service}."


def _service_changes(old: ServiceDocument, new: ServiceDocument) -> Iterator[str]:
    service = new.service
    return chain(
        _name_sentences(old, new),
        out_of_service_sentences(old, new),
        endpoint_sentences(old, new),
        _phrase_sentences(_SERVICE_PHRASE_BY_FIELD, service, old, new),
        _class_sentences(old, new),
        _phrase_sentences(_COLD_START_PHRASE_BY_FIELD, service, old.cold_start, new.cold_start),
        _phrase_sentences(_MEASURING_PHRASE_BY_FIELD, service, old.measuring, new.measuring),
        _phrase_sentences(_RETRIES_PHRASE_BY_FIELD, service, old.retries, new.retries),
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
        f"{sentence(new.workspace)} is new, with {count(len(new.customers), 'customer')}; a "
        f"customer that is not named may send {requests(new.default_rate_per_s)} a second and "
        f"have {requests(new.default_concurrency)} open at once."
    )
    yield from customer_sentences(msgspec.structs.replace(new, customers=(), limit_owners=()), new)


def _without_order(value: object) -> object:
    match value:
        case msgspec.Struct():
            fields = type(value).__struct_fields__
            return tuple(_without_order(getattr(value, f)) for f in fields if f != "version")
        case tuple():
            return frozenset(_without_order(item) for item in value)
    return value


def _other_sentences(old: Document, new: Document) -> Iterator[str]:
    """Tell that documents differ where no sentence about a parameter does."""
    if old == new:
        return
    if _without_order(old) != _without_order(new):
        yield f"Something of {new.key} changed for which there is no sentence yet."
    elif old.version == new.version:
        yield f"Only the order of the entries of {new.key} changed, which means nothing."
    else:
        yield f"Only the version of {new.key} changed, from {old.version} to {new.version}."


def _changes(old: Document | None, new: Document) -> Iterator[str]:
    match old, new:
        case ServiceDocument(), ServiceDocument():
            yield from _service_changes(old, new)
        case WorkspaceDocument(), WorkspaceDocument():
            yield from customer_sentences(old, new)
        case _, ServiceDocument():
            yield from _new_service_sentences(new)
        case _, WorkspaceDocument():
            yield from _new_workspace_sentences(new)


def sentences(old: Document | None, new: Document) -> Iterator[str]:
    """Tell each difference between two documents of one key as a plain sentence.

    Args:
        old: The document before, or None if there was none.
        new: The document after.

    Yields:
        One sentence a change; none if the documents are equal. A change of the version is told
        only where nothing else changed.
    """
    told = False
    for text in _changes(old, new):
        told = True
        yield text
    if not told and old is not None:
        yield from _other_sentences(old, new)
