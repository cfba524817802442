"""`pollenroad diff`: describe in plain sentences what a change does."""

import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from pollenroad.declarations.declarations import (
    PARAMETERS_FILE,
    load_workspace,
    read_declaration,
    read_documents,
)
from pollenroad.declarations.headroom import capacity_warnings
from pollenroad.declarations.parameter_changes import document_sentences, parameter_sentences
from pollenroad.declarations.problems import Problem, errors_of, with_source
from pollenroad.declarations.templates import Parameters
from pollenroad.models import Document


@dataclass(frozen=True, slots=True)
class _Side:
    """One side of the comparison."""

    document_by_key: dict[str, Document]
    parameters: Parameters | None = None


def _is_workspace(path: Path) -> bool:
    if path.is_dir():
        return (path / PARAMETERS_FILE).is_file()
    return isinstance(read_declaration(path).value_or(None), Parameters)


def _load(path: Path, templates: Path | None) -> Result[_Side, list[Problem]]:
    if not _is_workspace(path):
        return read_documents(path).map(_Side)
    workspace = load_workspace(path, templates, None)
    if not workspace.is_valid:
        return Failure(errors_of(workspace.problems))
    document_by_key = {d.key: d for d in workspace.documents()}
    return Success(_Side(document_by_key, workspace.parameters))


def _sentences(old: _Side, new: _Side) -> list[str]:
    changes = list(document_sentences(old.document_by_key, new.document_by_key))
    if old.parameters and new.parameters:
        changes += parameter_sentences(old.parameters, new.parameters)
    return changes


def _warnings(old: _Side, new: _Side) -> list[Problem]:
    return [
        warning
        for key, document in new.document_by_key.items()
        for warning in with_source(
            capacity_warnings(old.document_by_key.get(key), document), document.key
        )
    ]


def _print(changes: list[str], warnings: list[Problem]) -> None:
    for text in changes:
        print(text)
    if not changes:
        print("Nothing changes.")
    for warning in warnings:
        print(warning)


def _print_json(changes: list[str], warnings: list[Problem]) -> None:
    print(msgspec.json.encode({"changes": changes, "warnings": warnings}).decode())


def run(old: str, new: str, templates: str = "", json: bool = False) -> int:
    """Describe each change from OLD to NEW in one sentence, and warn of insufficient capacity.

    Args:
        old: A document, a directory of documents, or a workspace (directory or parameters).
        new: The same, after the change.
        templates: Directory of templates; by default `templates` beside the parameters.
        json: Print one JSON object in place of lines for a person.

    Returns:
        0 if both could be read, 1 if either has errors.
    """
    templates_path = Path(templates) if templates else None
    match _load(Path(old), templates_path), _load(Path(new), templates_path):
        case Success(before), Success(after):
            changes = _sentences(before, after)
            (_print_json if json else _print)(changes, _warnings(before, after))
            return 0
        case results:
            for result in results:
                for problem in result.swap().value_or([]):
                    print(problem, file=sys.stderr)
    return 1
