"""`pollenroad check`: check templates, parameters, documents and settings."""

import sys
from collections.abc import Iterator
from pathlib import Path

import msgspec
from returns.result import Failure, Success

from pollenroad.declarations.advice import document_warnings
from pollenroad.declarations.declarations import (
    PARAMETERS_FILE,
    Workspace,
    check_declaration,
    find_files,
    load_workspace,
    read_declaration,
)
from pollenroad.declarations.headroom import capacity_warnings
from pollenroad.declarations.phrases import count
from pollenroad.declarations.problems import ROOT, Problem, Severity, errors_of, with_source
from pollenroad.declarations.render_plan import make_render_plan, stale_files
from pollenroad.models import ServiceDocument, WorkspaceDocument


def _check_file(path: Path) -> list[Problem]:
    match read_declaration(path):
        case Failure(problems):
            return problems
        case Success(declaration):
            found = check_declaration(declaration)
            if isinstance(declaration, ServiceDocument | WorkspaceDocument):
                found = [
                    *found,
                    *document_warnings(declaration),
                    *capacity_warnings(None, declaration),
                ]
            return with_source(found, str(path))
    return []


def _check_rendering(workspace: Workspace, rendered: Path) -> Iterator[Problem]:
    match make_render_plan(workspace):
        case Failure(problems):
            yield from problems
        case Success(plan):
            yield from plan.warnings
            for path in stale_files(plan, rendered):
                reason = "not what templates and parameters give"
                hint = "run pollenroad render, and commit what it writes"
                yield Problem(ROOT, reason, hint, Severity.WARNING, str(path))


def _check_workspace(source: Path, templates: Path | None) -> list[Problem]:
    workspace = load_workspace(source, templates, None)
    if not workspace.is_valid:
        return workspace.problems
    return list(_check_rendering(workspace, source.parent / "rendered"))


def _check(path: Path, templates: Path | None) -> Iterator[Problem]:
    for file in find_files(path):
        if file.name == PARAMETERS_FILE:
            yield from _check_workspace(file, templates)
        else:
            yield from _check_file(file)


def _print(problems: list[Problem], files: int) -> None:
    for problem in problems:
        print(problem)
    errors = len(errors_of(problems))
    warnings = count(len(problems) - errors, "warning")
    print(f"{count(files, 'file')} checked: {count(errors, 'error')}, {warnings}")


def _print_json(problems: list[Problem], files: int) -> None:
    print(msgspec.json.encode({"files": files, "problems": problems}).decode())


def run(*paths: str, templates: str = "", json: bool = False) -> int:
    """Check declarations without writing anything.

    Args:
        paths: Files or directories. Of a directory, every JSON file below it is checked; a file
            named parameters.json is checked together with its templates and rendered documents.
        templates: Directory of templates; by default `templates` beside each parameters.json.
        json: Print one JSON object in place of lines for a person.

    Returns:
        0 if there is no error (warnings are allowed), 1 otherwise.
    """
    files = [file for path in paths for file in find_files(Path(path))]
    if not files:
        print("check: no JSON file was named or found", file=sys.stderr)
        return 1
    templates_path = Path(templates) if templates else None
    found = [p for path in paths for p in _check(Path(path), templates_path)]
    problems = sorted(dict.fromkeys(found), key=lambda p: p.severity is Severity.WARNING)
    (_print_json if json else _print)(problems, len(files))
    return 1 if errors_of(problems) else 0
