"""Semantic checks of templates and parameters, and of the documents rendered from them.

A problem in a rendered document is reported at the path in the parameters that states the value,
or, if the template states it, at the path of the override that would replace it.
"""

import re
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import replace

from msgspec import UNSET

from pollenroad.declarations.checks import (
    VALUE_LIMIT_BYTES,
    check_document,
    check_rules,
    find_duplicates,
)
from pollenroad.declarations.problems import ROOT, Problem
from pollenroad.declarations.templates import (
    Parameters,
    ServiceParameters,
    Template,
    encode_document,
    render,
)
from pollenroad.models import Document, ServiceDocument

_CLASS_PATH = re.compile(r"^\$\.classes\[(?P<index>[0-9]+)\]\.(?P<field>\w+)$")
_FIELD_PATH = re.compile(r"^\$\.(?P<path>\w+(?:\.\w+)?)")


def _undeclared(path: str, noun: str, name: str, known: Iterable[str]) -> Problem:
    names = sorted(known)
    hint = f"known: {', '.join(names[:8])}" if names else "none is declared"
    return Problem(path, f"{noun} {name!r} is not declared", hint)


def _check_names(
    path: str, noun: str, names: Iterable[str], known: Iterable[str]
) -> Iterator[Problem]:
    names = list(names)
    yield from find_duplicates(path + "[{}]", names, noun)
    for index, name in enumerate(names):
        if name not in known:
            yield _undeclared(f"{path}[{index}]", noun, name, known)


def _check_unique_in_workspace(parameters: Parameters, field: str, noun: str) -> Iterator[Problem]:
    """Yield a problem for each VM or address that two services use."""
    first_by_value: dict[str, tuple[str, str]] = {}
    for service, declared in parameters.services.items():
        for index, endpoint in enumerate(declared.endpoints):
            value = getattr(endpoint, field)
            path = f"$.services.{service}.endpoints[{index}].{field}"
            first_service, first_path = first_by_value.setdefault(value, (service, path))
            if first_service != service:
                reason = f"{noun} {value!r} is used twice, and holds one server only"
                yield Problem(path, reason, f"the first is at {first_path}")


def _check_service(
    path: str,
    service: ServiceParameters,
    parameters: Parameters,
    template_by_name: Mapping[str, Template],
) -> Iterator[Problem]:
    for index, endpoint in enumerate(service.endpoints):
        domain = endpoint.failure_domain
        if domain not in parameters.failure_domains:
            domain_path = f"{path}.endpoints[{index}].failure_domain"
            yield _undeclared(domain_path, "failure domain", domain, parameters.failure_domains)
    template = template_by_name.get(service.template)
    if template is None:
        yield _undeclared(f"{path}.template", "template", service.template, template_by_name)
        return
    known = [c.name for c in template.classes]
    for name in service.overrides.classes or {}:
        if name not in known:
            yield _undeclared(f"{path}.overrides.classes.{name}", "request class", name, known)


def _check_parameters(
    parameters: Parameters, template_by_name: Mapping[str, Template]
) -> Iterator[Problem]:
    yield from find_duplicates(
        "$.failure_domains[{}]", parameters.failure_domains, "failure domain"
    )
    if not parameters.services:
        yield Problem("$.services", "a workspace without services serves nobody", "declare one")
    for name, service in parameters.services.items():
        yield from _check_service(f"$.services.{name}", service, parameters, template_by_name)
    yield from _check_unique_in_workspace(parameters, "vm", "VM")
    yield from _check_unique_in_workspace(parameters, "address", "address")
    vms = {e.vm for s in parameters.services.values() for e in s.endpoints}
    out = parameters.out_of_service
    domains = parameters.failure_domains
    yield from _check_names(
        "$.out_of_service.failure_domains", "failure domain", out.failure_domains, domains
    )
    yield from _check_names("$.out_of_service.vms", "VM", out.vms, vms)
    yield from _check_names("$.limit_owner_vms", "VM", parameters.limit_owner_vms, vms)


def check_template(template: Template) -> list[Problem]:
    """Return every semantic error of a template by itself."""
    return list(check_rules(template))


def _is_set(overrides: object, path: str) -> bool:
    value = overrides
    for key in path.split("."):
        value = getattr(value, key, UNSET)
    return value is not UNSET


def _is_class_field_overridden(service: ServiceParameters, name: str, field: str) -> bool:
    override = (service.overrides.classes or {}).get(name)
    return override is not None and _is_set(override, field)


def _declared_path(path: str, document: ServiceDocument, service: ServiceParameters) -> str:
    """Return the path in the parameters that states the value at `path` of a rendered document.

    Empty if only the template states the value.
    """
    base = f"$.services.{document.service}"
    if path.startswith("$.endpoints"):
        return base + path[1:]
    request_class = _CLASS_PATH.match(path)
    if request_class:
        name = document.classes[int(request_class["index"])].name
        field = request_class["field"]
        if _is_class_field_overridden(service, name, field):
            return f"{base}.overrides.classes.{name}.{field}"
        return ""
    field_path = _FIELD_PATH.match(path)
    if field_path and _is_set(service.overrides, field_path["path"]):
        return f"{base}.overrides.{field_path['path']}"
    return ""


def _locate(problem: Problem, document: ServiceDocument, parameters: Parameters) -> Problem:
    service = parameters.services[document.service]
    path = _declared_path(problem.path, document, service)
    if path:
        return replace(problem, path=path)
    reason = f"{problem.reason} (from template {service.template!r})"
    path = f"$.services.{document.service}.overrides{problem.path[1:]}"
    return replace(problem, path=path, reason=reason)


def _can_render(parameters: Parameters, template_by_name: Mapping[str, Template]) -> bool:
    vms = {e.vm for s in parameters.services.values() for e in s.endpoints}
    known = all(s.template in template_by_name for s in parameters.services.values())
    return known and vms.issuperset(parameters.limit_owner_vms)


def _check_rendered(
    document: Document, parameters: Parameters, template_by_name: Mapping[str, Template]
) -> Iterator[Problem]:
    size = len(encode_document(document))
    if size > VALUE_LIMIT_BYTES:
        reason = f"{document.key} renders to {size} bytes, the platform holds {VALUE_LIMIT_BYTES}"
        yield Problem(ROOT, reason, "split the service, or the workspace")
    match document:
        case ServiceDocument():
            template = template_by_name[parameters.services[document.service].template]
            inherited = {(p.path, p.reason) for p in check_template(template)}
            for problem in check_document(document):
                if (problem.path, problem.reason) not in inherited and problem.path != ROOT:
                    yield _locate(problem, document, parameters)


def check_parameters(
    parameters: Parameters, template_by_name: Mapping[str, Template]
) -> list[Problem]:
    """Return every semantic error of a workspace's parameters.

    Args:
        parameters: The parameters.
        template_by_name: The templates by name.

    Returns:
        The errors with paths within the parameters. The rendered documents are checked too if
        they can be rendered; errors that `check_template` reports are not repeated.
    """
    problems = list(_check_parameters(parameters, template_by_name))
    if _can_render(parameters, template_by_name):
        for document in render(parameters, template_by_name):
            problems += _check_rendered(document, parameters, template_by_name)
    return problems
