"""Plan for rendering a workspace: which documents change, and with which version.

A document that stays the same byte for byte keeps its version. Each changed document gets the
version of the parameters, which must be above every version rendered before: daemons refuse an
older document, and a different document of the same version.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from returns.result import Failure, Result, Success

from pollenroad.declarations.advice import document_warnings
from pollenroad.declarations.declarations import Workspace, document_path, is_up_to_date
from pollenroad.declarations.headroom import capacity_warnings
from pollenroad.declarations.problems import Problem, errors_of, with_source
from pollenroad.declarations.templates import encode_document
from pollenroad.models import Document


@dataclass(frozen=True, slots=True)
class RenderPlan:
    """The rendered documents of a workspace, compared with those rendered before."""

    document_by_key: dict[str, Document]
    changed_keys: tuple[str, ...]
    """Keys whose document is new, or not the same byte for byte as before."""
    removed_keys: tuple[str, ...]
    """Keys that were rendered before and are no longer declared."""
    warnings: tuple[Problem, ...]


def _version_problems(
    version: int, previous_by_key: dict[str, Document], changed: bool
) -> Iterator[Problem]:
    newest = max((d.version for d in previous_by_key.values()), default=0)
    if changed and version <= newest:
        reason = f"documents change, and version {version} is not above {newest}, rendered before"
        yield Problem("$.version", reason, f"set version to {newest + 1} or more")


def _warnings(document: Document, previous: Document | None) -> list[Problem]:
    found = [*capacity_warnings(previous, document), *document_warnings(document)]
    return with_source(found, document.key)


def make_render_plan(workspace: Workspace) -> Result[RenderPlan, list[Problem]]:
    """Render a workspace in memory.

    Args:
        workspace: As `load_workspace` returns it.

    Returns:
        The documents that would be written, or the errors that prevent it.
    """
    if not workspace.is_valid:
        return Failure(errors_of(workspace.problems))
    previous_by_key = workspace.previous_by_key
    document_by_key = {d.key: d for d in workspace.documents()}
    kept_by_key = workspace.canonical_by_key
    changed = [k for k, d in document_by_key.items() if kept_by_key.get(k) != d]
    removed = [k for k in previous_by_key if k not in document_by_key]
    version = workspace.parameters.version
    problems = list(_version_problems(version, previous_by_key, bool(changed or removed)))
    if problems:
        return Failure(with_source(problems, str(workspace.source)))
    warnings = [
        warning
        for key, document in document_by_key.items()
        for warning in _warnings(document, previous_by_key.get(key))
    ]
    return Success(RenderPlan(document_by_key, tuple(changed), tuple(removed), tuple(warnings)))


def stale_files(plan: RenderPlan, directory: Path) -> list[Path]:
    """Return the files that are missing, differ from the rendered documents, or must be removed."""
    stale = [
        document_path(directory, key)
        for key, document in plan.document_by_key.items()
        if not is_up_to_date(document, directory)
    ]
    return stale + [document_path(directory, key) for key in plan.removed_keys]


def write_documents(plan: RenderPlan, directory: Path) -> list[Path]:
    """Write stale documents, delete removed ones, and return the paths of both."""
    stale = stale_files(plan, directory)
    for key, document in plan.document_by_key.items():
        path = document_path(directory, key)
        if path in stale:
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_bytes(encode_document(document))
    for key in plan.removed_keys:
        document_path(directory, key).unlink(missing_ok=True)
    return stale
