"""Templates and parameters, which operators keep in version control, rendered to documents.

A template states the rules of one kind of service. The parameters of a workspace name its
services, each with its template, endpoints and overrides, its failure domains and customers, and
what is out of service. `render` is a pure function: equal input gives equal documents.
"""

from collections.abc import Iterator, Mapping
from typing import Annotated

import msgspec
from msgspec import UNSET, Meta, UnsetType

from pollenroad.models import (
    CustomerLimit,
    Declared,
    Document,
    Endpoint,
    Name,
    OutOfService,
    Positive,
    RequestClass,
    ServiceDocument,
    ServiceRules,
    WorkspaceDocument,
)


class Template(ServiceRules, kw_only=True, tag_field="kind", tag="template"):
    """Rules for every server of one kind of service."""

    name: Name
    """Name by which parameters refer to this template."""


BASE_BY_OVERRIDE_NAME: dict[str, type] = {}
"""Struct whose fields an override makes optional, by the name of the override's Struct."""

_OVERRIDE_TYPE_BY_FIELD: dict[str, type] = {}
"""Type of the override of a field that holds Structs, by field name."""


def _make_override(struct: type, name: str, doc: str, skipped: tuple[str, ...] = ()) -> type:
    """Make a Struct with the fields of `struct` except `skipped`, all of them optional."""
    fields = [
        (field.name, _OVERRIDE_TYPE_BY_FIELD.get(field.name, field.type) | UnsetType, UNSET)
        for field in msgspec.structs.fields(struct)
        if field.name not in skipped
    ]
    namespace = {"__doc__": doc}
    BASE_BY_OVERRIDE_NAME[name] = struct
    return msgspec.defstruct(
        name, fields, bases=(Declared,), namespace=namespace, module=__name__, kw_only=True
    )


ClassOverride = _make_override(
    RequestClass, "ClassOverride", "Settings of a request class that differ.", ("name",)
)
for _field in msgspec.structs.fields(ServiceRules):
    if isinstance(_field.type, type) and issubclass(_field.type, msgspec.Struct):
        _OVERRIDE_TYPE_BY_FIELD[_field.name] = _make_override(
            _field.type,
            f"{_field.type.__name__}Override",
            f"Settings of {_field.name} that differ.",
        )
_OVERRIDE_TYPE_BY_FIELD["classes"] = dict[Name, ClassOverride]

Overrides = _make_override(
    ServiceRules, "Overrides", "What differs from the template; classes are keyed by name."
)


class ServiceParameters(Declared, kw_only=True):
    """One service of a workspace."""

    template: Name
    """Name of the template."""
    endpoints: tuple[Endpoint, ...]
    overrides: Overrides = Overrides()
    """What differs from the template for this service."""


class CustomerParameters(Declared, kw_only=True):
    """Limits of one customer."""

    rate_per_s: Annotated[float, Meta(gt=0)]
    """Most requests per second."""
    concurrency: Positive
    """Most requests open at once."""


class Parameters(Declared, kw_only=True, tag_field="kind", tag="parameters"):
    """The parameters of one workspace."""

    workspace: Name
    version: Positive
    """Must be raised with every change; each changed document gets it."""
    failure_domains: tuple[Name, ...]
    """Every failure domain that holds a VM of the workspace."""
    services: dict[Name, ServiceParameters]
    customers: dict[Name, CustomerParameters] = {}
    default_rate_per_s: Annotated[float, Meta(gt=0)] = 100.0
    """Most requests per second of a customer that is not named."""
    default_concurrency: Positive = 50
    """Most requests open at once of a customer that is not named."""
    out_of_service: OutOfService = OutOfService()
    limit_owner_vms: tuple[Name, ...] = ()
    """VMs from which the owners of customers' limits are selected; empty for all of them."""


def _apply_classes(classes: tuple[RequestClass, ...], override_by_name: Mapping) -> Iterator:
    for request_class in classes:
        override = override_by_name.get(request_class.name)
        yield apply_overrides(request_class, override) if override else request_class


def _apply_value(value: object, override: object) -> object:
    match value, override:
        case msgspec.Struct(), msgspec.Struct():
            return apply_overrides(value, override)
        case tuple(), dict():
            return tuple(_apply_classes(value, override))
    return override


def apply_overrides(base: msgspec.Struct, override: msgspec.Struct) -> msgspec.Struct:
    """Return `base` with the values that `override` states in place of its own."""
    changes = {}
    for name in override.__struct_fields__:
        value = getattr(override, name)
        if value is not UNSET:
            changes[name] = _apply_value(getattr(base, name), value)
    return msgspec.structs.replace(base, **changes)


def _relevant_out_of_service(out: OutOfService, endpoints: tuple[Endpoint, ...]) -> OutOfService:
    domains = {e.failure_domain for e in endpoints}
    vms = {e.vm for e in endpoints}
    return OutOfService(
        failure_domains=tuple(d for d in out.failure_domains if d in domains),
        vms=tuple(vm for vm in out.vms if vm in vms),
    )


def _render_service(
    parameters: Parameters, name: str, service: ServiceParameters, template: Template
) -> ServiceDocument:
    rules = apply_overrides(template, service.overrides)
    shared = {field: getattr(rules, field) for field in ServiceRules.__struct_fields__}
    return ServiceDocument(
        workspace=parameters.workspace,
        service=name,
        version=parameters.version,
        endpoints=service.endpoints,
        out_of_service=_relevant_out_of_service(parameters.out_of_service, service.endpoints),
        **shared,
    )


def _render_workspace(parameters: Parameters) -> WorkspaceDocument:
    address_by_vm = {e.vm: e.address for s in parameters.services.values() for e in s.endpoints}
    customers = (
        CustomerLimit(name=name, rate_per_s=limit.rate_per_s, concurrency=limit.concurrency)
        for name, limit in parameters.customers.items()
    )
    return WorkspaceDocument(
        workspace=parameters.workspace,
        version=parameters.version,
        customers=tuple(customers),
        default_rate_per_s=parameters.default_rate_per_s,
        default_concurrency=parameters.default_concurrency,
        limit_owners=tuple(address_by_vm[vm] for vm in parameters.limit_owner_vms),
    )


def render(parameters: Parameters, template_by_name: Mapping[str, Template]) -> Iterator[Document]:
    """Yield the documents of a workspace, each with the version of the parameters.

    Args:
        parameters: Parameters in which `checks_parameters.check_parameters` found no error.
        template_by_name: The templates by name.

    Yields:
        The workspace document first, then one document per service.
    """
    yield _render_workspace(parameters)
    for name, service in parameters.services.items():
        yield _render_service(parameters, name, service, template_by_name[service.template])


def with_kept_versions(
    documents: list[Document], previous_by_key: Mapping[str, Document]
) -> Iterator[Document]:
    """Yield rendered documents; those with unchanged content keep their earlier version.

    Args:
        documents: Documents as `render` yields them.
        previous_by_key: Documents rendered before whose files hold what `encode_document` returns.
    """
    for document in documents:
        previous = previous_by_key.get(document.key)
        yield previous if previous and has_same_content(document, previous) else document


def has_same_content(one: Document, other: Document) -> bool:
    """Return whether two documents are equal except for their version."""
    if type(one) is not type(other):
        return False
    return msgspec.structs.replace(one, version=other.version) == other


_FIRST_KEYS = ("kind", "workspace", "service", "version")
"""Keys that a rendered document starts with."""


def encode_document(document: Document) -> bytes:
    """Return the text of a rendered document, with every default written out."""
    plain = msgspec.to_builtins(document)
    first = {key: plain[key] for key in _FIRST_KEYS if key in plain}
    text = msgspec.json.encode(first | plain)
    return msgspec.json.format(text, indent=2) + b"\n"
