"""Semantic checks of documents, beyond the types and bounds of single fields.

They are cheap and have no side effects, so a daemon checks each document before it comes into
force. A check does not stop at the first `Problem`, so an operator sees as many as possible.
"""

import ipaddress
from collections.abc import Iterable, Iterator
from itertools import chain

import msgspec

from pollenroad.declarations.problems import ROOT, Problem, index_path
from pollenroad.models import (
    Document,
    Endpoint,
    RequestClass,
    ServiceDocument,
    ServiceRules,
    WorkspaceDocument,
)

VALUE_LIMIT_BYTES = 1_000_000
"""Largest value that the platform's configuration service stores, in bytes."""

SHARE_TOLERANCE = 1e-9
"""Rounding error allowed in a sum of shares."""

SECOND_MS = 1000.0
"""Milliseconds in a second."""


def find_duplicates(path: str, values: Iterable[str], noun: str) -> Iterator[Problem]:
    """Yield a problem for each repeated value in an array.

    Args:
        path: Path of an item, with `{}` in place of its index.
        values: The values, in order.
        noun: Noun for a value in the reason, such as `address`.
    """
    first_by_value: dict[str, int] = {}
    for index, value in enumerate(values):
        first = first_by_value.setdefault(value, index)
        if first != index:
            first_path = path.format(first)
            reason = f"{noun} {value!r} is used twice"
            yield Problem(path.format(index), reason, f"the first is at {first_path}")


def check_address(path: str, address: str) -> Iterator[Problem]:
    """Yield the problems of an address that must be the IP number and port of one daemon."""
    host, _, port = address.rpartition(":")
    hint = "write IP number and port, such as 10.0.0.7:7100 or [fd00::7]:7100"
    if not 1 <= int(port) <= 65535:
        yield Problem(path, f"port {port} of address {address!r} is not in 1 to 65535", hint)
    try:
        number = ipaddress.ip_address(host.strip("[]"))
    except ValueError:
        yield Problem(path, f"{host!r} of address {address!r} is not an IP number", hint)
        return
    if number.version == 6 and not (host.startswith("[") and host.endswith("]")):
        yield Problem(path, f"address {address!r} needs brackets round its IP number", hint)
    if number.is_unspecified or number.is_multicast:
        yield Problem(path, f"address {address!r} is not the address of one VM", hint)


def check_endpoints(path: str, endpoints: tuple[Endpoint, ...]) -> Iterator[Problem]:
    """Yield the problems of the array of endpoints at `path`."""
    if not endpoints:
        hint = "name at least one endpoint, or drop the service"
        yield Problem(path, "a service without endpoints can answer nothing", hint)
    item = path + "[{}]"
    yield from find_duplicates(item + ".name", (e.name for e in endpoints), "endpoint name")
    yield from find_duplicates(item + ".vm", (e.vm for e in endpoints), "VM")
    yield from find_duplicates(item + ".address", (e.address for e in endpoints), "address")
    for index, endpoint in enumerate(endpoints):
        yield from check_address(f"{index_path(path, index)}.address", endpoint.address)


def _check_class(path: str, request_class: RequestClass, drain_s: float) -> Iterator[Problem]:
    if request_class.hedge and not request_class.idempotent:
        reason = "hedge may run a request twice, and this class is not idempotent"
        yield Problem(f"{path}.hedge", reason, "set hedge to false, or idempotent to true")
    if request_class.hedge and request_class.max_attempts < 2:
        reason = "hedge needs a second attempt, and max_attempts is 1"
        yield Problem(f"{path}.hedge", reason, "set hedge to false, or max_attempts to 2 or more")
    deadline_s = request_class.deadline_ms / SECOND_MS
    if deadline_s > drain_s:
        reason = (
            f"deadline of {deadline_s:g} s is longer than drain_s of {drain_s:g} s, "
            "so a graceful shutdown would cut off requests in flight"
        )
        hint = f"set drain_s to {deadline_s:g} or more, or shorten the deadline"
        yield Problem(f"{path}.deadline_ms", reason, hint)


def _check_classes(document: ServiceRules) -> Iterator[Problem]:
    names = [c.name for c in document.classes]
    yield from find_duplicates("$.classes[{}].name", names, "request class")
    for index, request_class in enumerate(document.classes):
        yield from _check_class(f"$.classes[{index}]", request_class, document.drain_s)
    if document.default_class not in names:
        hint = f"name one of: {', '.join(names) or 'no class is declared'}"
        reason = f"request class {document.default_class!r} is not declared"
        yield Problem("$.default_class", reason, hint)
    total = sum(c.guaranteed_share for c in document.classes)
    if total > 1 + SHARE_TOLERANCE:
        reason = f"guaranteed shares add up to {total:g}, which is more than the whole"
        yield Problem("$.classes", reason, "lower guaranteed_share so that the sum is at most 1")


def _check_bounds(document: ServiceRules) -> Iterator[Problem]:
    if document.connections < document.slots:
        reason = f"{document.connections} connections cannot carry {document.slots} slots"
        yield Problem("$.connections", reason, "set connections to at least slots")
    bound = document.cold_start.bound
    if bound > document.slots:
        reason = f"cold bound {bound} is above the {document.slots} slots of a warm server"
        yield Problem("$.cold_start.bound", reason, f"set bound to at most {document.slots}")


def _check_measuring(document: ServiceRules) -> Iterator[Problem]:
    budget = document.measuring
    path = "$.measuring.server_ms_per_s"
    if budget.server_ms_per_s > 0 and budget.probe_cost_ms == 0:
        reason = "there is a budget for probes, but probe_cost_ms says that servers offer none"
        yield Problem(path, reason, "set it to 0, or state the cost of a probe in probe_cost_ms")
    if 0 < budget.server_ms_per_s < budget.probe_cost_ms:
        reason = f"one probe of {budget.probe_cost_ms:g} ms does not fit into the budget"
        yield Problem(path, reason, "set it to 0 to forbid probes, or to the cost of one or more")


def _check_probe_time(document: ServiceDocument) -> Iterator[Problem]:
    budget = document.measuring
    path = "$.measuring.server_ms_per_s"
    slots = len(document.endpoints) * document.slots
    if slots and budget.server_ms_per_s > slots * SECOND_MS:
        reason = f"the {slots} slots together have only {slots * SECOND_MS:g} ms in a second"
        yield Problem(path, reason, "the unit is milliseconds of server time in each second")


def _check_out_of_service(document: ServiceDocument) -> Iterator[Problem]:
    out = document.out_of_service
    known_by_key = {
        "failure_domains": {e.failure_domain for e in document.endpoints},
        "vms": {e.vm for e in document.endpoints},
    }
    nouns = (("failure_domains", "failure domain"), ("vms", "VM"))
    for key, noun in nouns:
        names = getattr(out, key)
        path = f"$.out_of_service.{key}" + "[{}]"
        yield from find_duplicates(path, names, noun)
        for index, name in enumerate(names):
            if name not in known_by_key[key]:
                reason = f"{noun} {name!r} holds no endpoint of this service"
                yield Problem(path.format(index), reason, "correct the name, or drop it")


def _check_size(document: Document) -> Iterator[Problem]:
    size = len(msgspec.json.encode(document))
    if size > VALUE_LIMIT_BYTES:
        reason = f"{size} bytes are more than the {VALUE_LIMIT_BYTES} that the platform holds"
        yield Problem(ROOT, reason, "split the service, or the workspace")


def check_rules(rules: ServiceRules) -> Iterator[Problem]:
    """Yield the errors in the rules, which templates and service documents have in common."""
    yield from _check_classes(rules)
    yield from _check_bounds(rules)
    yield from _check_measuring(rules)


def _check_service(document: ServiceDocument) -> Iterator[Problem]:
    return chain(
        check_endpoints("$.endpoints", document.endpoints),
        check_rules(document),
        _check_probe_time(document),
        _check_out_of_service(document),
        _check_size(document),
    )


def _check_workspace(document: WorkspaceDocument) -> Iterator[Problem]:
    names = (c.name for c in document.customers)
    yield from find_duplicates("$.customers[{}].name", names, "customer")
    yield from find_duplicates("$.limit_owners[{}]", document.limit_owners, "address")
    for index, address in enumerate(document.limit_owners):
        yield from check_address(f"$.limit_owners[{index}]", address)
    yield from _check_size(document)


def check_document(document: Document) -> list[Problem]:
    """Return every semantic error of a document whose types and bounds are valid.

    Args:
        document: The decoded document, from the platform or a peer.

    Returns:
        The errors with paths within the document; empty if it may come into force.
    """
    match document:
        case ServiceDocument():
            found = _check_service(document)
        case WorkspaceDocument():
            found = _check_workspace(document)
    return list(found)
