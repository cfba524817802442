"""`pollenroad render`: render the published documents from templates and parameters."""

import sys
from pathlib import Path

from returns.result import Failure, Success

from pollenroad.declarations.declarations import RENDERED_DIRECTORY, load_workspace
from pollenroad.declarations.render_plan import (
    RenderPlan,
    make_render_plan,
    stale_files,
    write_documents,
)


def _report_stale(plan: RenderPlan, directory: Path) -> int:
    stale = stale_files(plan, directory)
    for path in stale:
        print(f"{path}: not what templates and parameters give")
    return 1 if stale else 0


def _write(plan: RenderPlan, directory: Path) -> int:
    touched = write_documents(plan, directory)
    for path in touched:
        print(f"{'wrote' if path.exists() else 'removed'} {path}")
    if not touched:
        print("nothing to write: every document is up to date")
    return 0


def run(workspace: str, templates: str = "", out: str = "", check: bool = False) -> int:
    """Render the documents of a workspace.

    Nothing is written if there is any error. A document whose content is unchanged keeps its
    version; changed documents get the version of the parameters.

    Args:
        workspace: Directory with parameters.json, or a file of parameters.
        templates: Directory of templates; by default `templates` beside the parameters.
        out: Directory of the documents; by default `rendered` beside the parameters.
        check: Write nothing; list the files that would change, and return 1 if there are any.

    Returns:
        0 if done, 1 if refused.
    """
    path = Path(workspace)
    base = path if path.is_dir() else path.parent
    directory = Path(out) if out else base / RENDERED_DIRECTORY
    loaded = load_workspace(path, Path(templates) if templates else None, directory)
    match make_render_plan(loaded):
        case Failure(problems):
            for problem in problems:
                print(problem, file=sys.stderr)
            return 1
        case Success(plan):
            for warning in plan.warnings:
                print(warning, file=sys.stderr)
            return (_report_stale if check else _write)(plan, directory)
    return 1
