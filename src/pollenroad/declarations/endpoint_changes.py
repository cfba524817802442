"""Sentences that describe changes of a service's endpoints and of what is out of service."""

from collections import Counter
from collections.abc import Iterator

from pollenroad.declarations.phrases import join, servers
from pollenroad.models import Endpoint, ServiceDocument


def endpoints_in_service(document: ServiceDocument) -> list[Endpoint]:
    """Return the endpoints of a service whose failure domain and VM are in service."""
    out = document.out_of_service
    return [
        e
        for e in document.endpoints
        if e.failure_domain not in out.failure_domains and e.vm not in out.vms
    ]


_ONE_VM_OUT = "its server gets no new requests, and finishes the ones that it has"
"""Effect of taking one VM out of service."""


def _servers_out(count: int) -> str:
    if count == 1:
        return "its 1 server gets no new requests, and finishes the ones that it has"
    return f"its {servers(count)} get no new requests, and finish the ones that they have"


def _servers_back(count: int) -> str:
    if count == 1:
        return "its 1 server gets new requests again"
    return f"its {servers(count)} get new requests again"


def _domain_sentences(old: ServiceDocument, new: ServiceDocument) -> Iterator[str]:
    before = old.out_of_service.failure_domains
    after = new.out_of_service.failure_domains
    count_by_domain = Counter(e.failure_domain for e in new.endpoints)
    in_service_by_domain = Counter(e.failure_domain for e in endpoints_in_service(new))
    for domain in after:
        if domain not in before:
            subject = f"Failure domain {domain} of the {new.service}"
            yield f"{subject} is out of service: {_servers_out(count_by_domain[domain])}."
    for domain in before:
        if domain in after or not count_by_domain[domain]:
            continue
        subject = f"Failure domain {domain} of the {new.service}"
        if in_service_by_domain[domain]:
            yield f"{subject} is back in service: {_servers_back(in_service_by_domain[domain])}."
        else:
            yield f"{subject} is back in service, but the VMs of its servers are still out."


def _vm_sentences(old: ServiceDocument, new: ServiceDocument) -> Iterator[str]:
    before = old.out_of_service.vms
    after = new.out_of_service.vms
    all_vms = {e.vm for e in new.endpoints}
    vms_in_service = {e.vm for e in endpoints_in_service(new)}
    for vm in after:
        if vm not in before:
            yield f"VM {vm} of the {new.service} is out of service: {_ONE_VM_OUT}."
    for vm in before:
        if vm in after or vm not in all_vms:
            continue
        subject = f"VM {vm} of the {new.service}"
        if vm in vms_in_service:
            yield f"{subject} is back in service: its server gets new requests again."
        else:
            yield f"{subject} is back in service, but its failure domain is still out."


def out_of_service_sentences(old: ServiceDocument, new: ServiceDocument) -> Iterator[str]:
    """Yield a sentence for each failure domain and VM that went out of service or came back.

    One that came back but no longer has an endpoint of the service gets no sentence here:
    `endpoint_sentences` describes the removed endpoints.
    """
    yield from _domain_sentences(old, new)
    yield from _vm_sentences(old, new)


def _location_changes(old: Endpoint, new: Endpoint) -> Iterator[str]:
    if old.vm != new.vm:
        yield f"is now on VM {new.vm}, instead of {old.vm}"
    if old.failure_domain != new.failure_domain:
        yield f"is now in failure domain {new.failure_domain}, instead of {old.failure_domain}"
    if old.address != new.address:
        yield f"is now reached at {new.address}, instead of {old.address}"


def endpoint_sentences(old: ServiceDocument, new: ServiceDocument) -> Iterator[str]:
    """Yield a sentence for each endpoint that was added, removed or moved."""
    old_by_name = {e.name: e for e in old.endpoints}
    new_by_name = {e.name: e for e in new.endpoints}
    for name, endpoint in new_by_name.items():
        if name not in old_by_name:
            yield (
                f"Server {name} is new at the {new.service}: on VM {endpoint.vm} in failure domain "
                f"{endpoint.failure_domain}, reached at {endpoint.address}."
            )
            continue
        changes = list(_location_changes(old_by_name[name], endpoint))
        if changes:
            yield f"Server {name} of the {new.service} {join(changes)}."
    for name in old_by_name:
        if name not in new_by_name:
            yield f"Server {name} no longer belongs to the {new.service} and gets no new requests."
