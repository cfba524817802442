"""The published JSON Schema of every declaration, generated from the declared types.

`python -m pollenroad.declarations.schema DIRECTORY` writes one file per kind. Descriptions of
fields come from the docstrings below them in the source.
"""

import ast
import functools
import inspect
import sys
from collections.abc import Iterator
from pathlib import Path

import msgspec

from pollenroad.declarations.templates import BASE_BY_OVERRIDE_NAME, Parameters, Template
from pollenroad.models import ServiceDocument, WorkspaceDocument
from pollenroad.settings import Settings

DIALECT = "https://json-schema.org/draft/2020-12/schema"
"""Version of JSON Schema in which the files are written."""

STRUCT_BY_FILE = {
    "template.json": Template,
    "parameters.json": Parameters,
    "service.json": ServiceDocument,
    "workspace.json": WorkspaceDocument,
    "settings.json": Settings,
}


def _field_docs(struct: type) -> Iterator[tuple[str, str]]:
    """Yield each field of one class with the docstring below it."""
    body = ast.parse(inspect.getsource(struct)).body[0].body
    for statement, following in zip(body, body[1:], strict=False):
        match statement, following:
            case (
                ast.AnnAssign(target=ast.Name(id=name)),
                ast.Expr(value=ast.Constant(value=str() as text)),
            ):
                yield name, inspect.cleandoc(text)


@functools.cache
def _doc_by_field(struct: type) -> dict[str, str]:
    source = BASE_BY_OVERRIDE_NAME.get(struct.__name__, struct)
    docs: dict[str, str] = {}
    for base in reversed(source.__mro__):
        if issubclass(base, msgspec.Struct) and base is not msgspec.Struct:
            docs |= _field_docs(base)
    return docs


def _collect_structs(annotation: object, found: dict[str, type]) -> None:
    """Add each Struct within `annotation` to `found`, by name."""
    if isinstance(annotation, type) and issubclass(annotation, msgspec.Struct):
        if annotation.__name__ in found:
            return
        found[annotation.__name__] = annotation
        for field in msgspec.structs.fields(annotation):
            _collect_structs(field.type, found)
    for argument in getattr(annotation, "__args__", ()):
        _collect_structs(argument, found)


def make_schema(struct: type) -> dict:
    """Return the JSON Schema of one kind of declaration."""
    schema = msgspec.json.schema(struct)
    found: dict[str, type] = {}
    _collect_structs(struct, found)
    for name, definition in schema["$defs"].items():
        docs = _doc_by_field(found[name])
        for field, property_schema in definition.get("properties", {}).items():
            if field in docs:
                property_schema["description"] = docs[field]
    return {"$schema": DIALECT, **schema}


def encode_schema(struct: type) -> bytes:
    """Return the text of the published schema of one kind of declaration."""
    text = msgspec.json.encode(make_schema(struct))
    return msgspec.json.format(text, indent=2) + b"\n"


def write_schemas(directory: Path) -> None:
    """Write every schema to `directory`."""
    directory.mkdir(parents=True, exist_ok=True)
    for file, struct in STRUCT_BY_FILE.items():
        (directory / file).write_bytes(encode_schema(struct))


if __name__ == "__main__":
    write_schemas(Path(sys.argv[1]))
