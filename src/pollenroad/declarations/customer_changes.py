"""Sentences that describe changes of customers and their limits."""

from collections.abc import Iterator

from pollenroad.declarations.phrases import instead_of, join, requests
from pollenroad.models import CustomerLimit, WorkspaceDocument


def _limit_text(customer: CustomerLimit) -> str:
    return (
        f"it may send {requests(customer.rate_per_s)} a second "
        f"and have {requests(customer.concurrency)} open at once"
    )


def _default_sentences(old: WorkspaceDocument, new: WorkspaceDocument) -> Iterator[str]:
    subject = f"A customer of {new.workspace} that has no limit of its own"
    if old.default_rate_per_s != new.default_rate_per_s:
        before, after = requests(old.default_rate_per_s), requests(new.default_rate_per_s)
        yield f"{subject} may now send {after} a second, {instead_of(before, after)}."
    if old.default_concurrency != new.default_concurrency:
        before, after = requests(old.default_concurrency), requests(new.default_concurrency)
        yield f"{subject} may now have {after} open at once, {instead_of(before, after)}."


def _limit_sentences(old: CustomerLimit, new: CustomerLimit, workspace: str) -> Iterator[str]:
    subject = f"Customer {new.name} of {workspace}"
    if old.rate_per_s != new.rate_per_s:
        before, after = requests(old.rate_per_s), requests(new.rate_per_s)
        yield f"{subject} may now send {after} a second, {instead_of(before, after)}."
    if old.concurrency != new.concurrency:
        before, after = requests(old.concurrency), requests(new.concurrency)
        yield f"{subject} may now have {after} open at once, {instead_of(before, after)}."


def _owner_sentences(old: WorkspaceDocument, new: WorkspaceDocument) -> Iterator[str]:
    before, after = set(old.limit_owners), set(new.limit_owners)
    limits = f"the limits of the customers of {new.workspace}"
    added = sorted(after - before)
    if added:
        yield f"What counts towards {limits} is now also counted at {join(added)}."
    removed = sorted(before - after)
    if removed:
        yield f"What counts towards {limits} is no longer counted at {join(removed)}."


def customer_sentences(old: WorkspaceDocument, new: WorkspaceDocument) -> Iterator[str]:
    """Yield a sentence for each difference in a workspace's customers and their limits."""
    workspace = new.workspace
    if old.workspace != workspace:
        yield f"{old.workspace.capitalize()} is now called {workspace}."
    old_by_name = {c.name: c for c in old.customers}
    new_by_name = {c.name: c for c in new.customers}
    for name, customer in new_by_name.items():
        if name in old_by_name:
            yield from _limit_sentences(old_by_name[name], customer, workspace)
        else:
            yield f"Customer {name} of {workspace} is new: {_limit_text(customer)}."
    for name in old_by_name:
        if name not in new_by_name:
            yield f"Customer {name} of {workspace} no longer has limits of its own."
    yield from _default_sentences(old, new)
    yield from _owner_sentences(old, new)
