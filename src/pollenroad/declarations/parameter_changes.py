"""Sentences that describe differences between two sets of documents, or of parameters."""

from collections.abc import Iterator, Mapping

from pollenroad.declarations.changes import change_sentences
from pollenroad.declarations.templates import Parameters
from pollenroad.models import Document


def document_sentences(
    old_by_key: Mapping[str, Document], new_by_key: Mapping[str, Document]
) -> Iterator[str]:
    """Yield a sentence for each difference between two sets of documents by key."""
    for key, document in new_by_key.items():
        yield from change_sentences(old_by_key.get(key), document)
    for key in old_by_key:
        if key not in new_by_key:
            yield f"{key} is no longer declared."


def _domain_sentences(old: Parameters, new: Parameters) -> Iterator[str]:
    for domain in new.failure_domains:
        if domain not in old.failure_domains:
            yield f"Failure domain {domain} now belongs to {new.workspace}."
    for domain in old.failure_domains:
        if domain not in new.failure_domains:
            yield f"Failure domain {domain} no longer belongs to {new.workspace}."


def parameter_sentences(old: Parameters, new: Parameters) -> Iterator[str]:
    """Yield a sentence for each difference in the parameters that no rendered document shows."""
    yield from _domain_sentences(old, new)
    for name, service in new.services.items():
        before = old.services.get(name)
        if before is not None and before.template != service.template:
            yield (
                f"The {name} now follows the template {service.template}, "
                f"instead of {before.template}."
            )
    if old.version != new.version:
        yield f"What changes carries version {new.version}, instead of {old.version}."
