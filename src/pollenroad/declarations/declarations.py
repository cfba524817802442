"""Files of declarations: reading, decoding by kind and checks.

A workspace is a directory:

    parameters.json                   what operators change
    templates/*.json                  one template per kind of service
    rendered/WORKSPACE.json           document of the workspace, written by `pollenroad render`
    rendered/WORKSPACE/SERVICE.json   document of a service, written by `pollenroad render`

The key of a document is the path of its file below `rendered`, without `.json`.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
from returns.result import Failure, Result, Success

from pollenroad.declarations.checks import check_document
from pollenroad.declarations.checks_parameters import check_parameters, check_template
from pollenroad.declarations.checks_settings import check_settings
from pollenroad.declarations.problems import ROOT, Problem, errors_of, key_path, with_source
from pollenroad.declarations.strict_json import TAG_KEY, convert_strictly, parse_json
from pollenroad.declarations.templates import (
    Parameters,
    Template,
    encode_document,
    render,
    with_kept_versions,
)
from pollenroad.models import Document, ServiceDocument, WorkspaceDocument
from pollenroad.settings import Settings

PARAMETERS_FILE = "parameters.json"
TEMPLATES_DIRECTORY = "templates"
RENDERED_DIRECTORY = "rendered"

Declaration = Template | Parameters | ServiceDocument | WorkspaceDocument | Settings

_STRUCT_BY_KIND = {
    struct.__struct_config__.tag: struct
    for struct in (Template, Parameters, ServiceDocument, WorkspaceDocument)
}


def _looks_like_settings(value: dict) -> bool:
    known = {f.encode_name for f in msgspec.structs.fields(Settings)}
    return len(known & value.keys()) * 2 > len(value)


def _struct_of(value: object) -> Result[type, list[Problem]]:
    kinds = ", ".join(_STRUCT_BY_KIND)
    path = key_path(ROOT, TAG_KEY)
    if not isinstance(value, dict):
        return Failure([Problem(ROOT, "the file holds no object", f"start with kind: {kinds}")])
    if TAG_KEY not in value:
        if _looks_like_settings(value):
            return Success(Settings)
        return Failure([Problem(path, "key 'kind' is missing", f"one of: {kinds}")])
    struct = _STRUCT_BY_KIND.get(str(value[TAG_KEY]))
    if struct is None:
        reason = f"unknown kind {value[TAG_KEY]!r}"
        return Failure([Problem(path, reason, f"one of: {kinds}")])
    return Success(struct)


def decode_declaration(data: bytes) -> Result[Declaration, list[Problem]]:
    """Decode the text of a file as the kind of declaration that its key `kind` names.

    Returns:
        The declaration, or every problem of its keys, types and bounds. A file without `kind` is
        decoded as a daemon's settings if most of its keys are keys of settings.
    """
    return parse_json(data).bind(
        lambda value: _struct_of(value).bind(lambda struct: convert_strictly(value, struct))
    )


def read_declaration(path: Path) -> Result[Declaration, list[Problem]]:
    """Read and decode one file; problems name it as their source."""
    try:
        data = path.read_bytes()
    except OSError as error:
        reason = f"cannot be read: {error.strerror}"
        return Failure(
            [Problem(ROOT, reason, "check the path and its permissions", source=str(path))]
        )
    return decode_declaration(data).alt(lambda problems: with_source(problems, str(path)))


def check_declaration(declaration: Declaration) -> list[Problem]:
    """Return the semantic errors of one declaration by itself."""
    match declaration:
        case ServiceDocument() | WorkspaceDocument():
            return check_document(declaration)
        case Template():
            return check_template(declaration)
        case Settings():
            return check_settings(declaration)
    return []


def find_files(path: Path) -> Iterator[Path]:
    """Yield `path`, or, if it is a directory, every JSON file below it in sorted order."""
    if path.is_dir():
        yield from sorted(p for p in path.rglob("*.json") if p.is_file())
    else:
        yield path


@dataclass(slots=True)
class Workspace:
    """The declarations of a workspace that could be read, and the problems that were found."""

    source: Path
    """File of the parameters."""
    parameters: Parameters | None = None
    template_by_name: dict[str, Template] = field(default_factory=dict)
    previous_by_key: dict[str, Document] = field(default_factory=dict)
    """Documents rendered before, as read from their files."""
    canonical_by_key: dict[str, Document] = field(default_factory=dict)
    """Those of `previous_by_key` whose files are byte for byte what `encode_document` returns."""
    problems: list[Problem] = field(default_factory=list)

    @property
    def is_valid(self) -> bool:
        """Whether it can be rendered: the parameters were read and no error was found."""
        return self.parameters is not None and not errors_of(self.problems)

    def documents(self) -> list[Document]:
        """Render the documents of a valid workspace; unchanged ones keep their version."""
        rendered = list(render(self.parameters, self.template_by_name))
        return list(with_kept_versions(rendered, self.canonical_by_key))


def _load_templates(workspace: Workspace, directory: Path) -> None:
    for path in find_files(directory) if directory.is_dir() else ():
        match read_declaration(path):
            case Success(Template() as template):
                workspace.problems += with_source(check_template(template), str(path))
                _add_template(workspace, template, path)
            case Success(_):
                problem = Problem(ROOT, "not a template", "move it out of the templates directory")
                workspace.problems += with_source([problem], str(path))
            case Failure(problems):
                workspace.problems += problems


def _add_template(workspace: Workspace, template: Template, path: Path) -> None:
    if template.name in workspace.template_by_name:
        reason = f"template {template.name!r} is declared twice"
        problem = Problem("$.name", reason, "give each template its own name")
        workspace.problems += with_source([problem], str(path))
    workspace.template_by_name[template.name] = template


def document_path(directory: Path, key: str) -> Path:
    """Return the file of the document `key` below a directory of rendered documents."""
    return directory / f"{key}.json"


def is_up_to_date(document: Document, directory: Path) -> bool:
    """Return whether the file of a document is byte for byte what `encode_document` returns."""
    path = document_path(directory, document.key)
    return path.is_file() and path.read_bytes() == encode_document(document)


def read_documents(path: Path) -> Result[dict[str, Document], list[Problem]]:
    """Read the documents at `path`, a file or a directory, and return them by key."""
    document_by_key: dict[str, Document] = {}
    problems: list[Problem] = []
    for file in find_files(path):
        match read_declaration(file):
            case Success(ServiceDocument() | WorkspaceDocument() as document):
                document_by_key[document.key] = document
                problems += with_source(check_document(document), str(file))
            case Success(_):
                problem = Problem(ROOT, "not a rendered document", "see docs/operators")
                problems += with_source([problem], str(file))
            case Failure(found):
                problems += found
    return Failure(problems) if problems else Success(document_by_key)


def _load_rendered(workspace: Workspace, directory: Path) -> None:
    if not directory.is_dir():
        return
    match read_documents(directory):
        case Success(document_by_key):
            workspace.previous_by_key = document_by_key
            workspace.canonical_by_key = {
                key: document
                for key, document in document_by_key.items()
                if is_up_to_date(document, directory)
            }
        case Failure(problems):
            workspace.problems += problems


def load_workspace(path: Path, templates: Path | None, rendered: Path | None) -> Workspace:
    """Read and check a workspace.

    Args:
        path: Its directory, or its file of parameters.
        templates: Directory of templates, by default beside the parameters.
        rendered: Directory of rendered documents, by default beside the parameters.

    Returns:
        The declarations that could be read, and every problem that was found.
    """
    source = path / PARAMETERS_FILE if path.is_dir() else path
    workspace = Workspace(source)
    _load_templates(workspace, templates or source.parent / TEMPLATES_DIRECTORY)
    _load_rendered(workspace, rendered or source.parent / RENDERED_DIRECTORY)
    match read_declaration(source):
        case Success(Parameters() as parameters):
            workspace.parameters = parameters
            found = check_parameters(parameters, workspace.template_by_name)
            workspace.problems += with_source(found, str(source))
        case Success(_):
            problem = Problem(ROOT, "not a file of parameters", "its kind must be parameters")
            workspace.problems += with_source([problem], str(source))
        case Failure(problems):
            workspace.problems += problems
    return workspace
