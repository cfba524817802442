"""Strict decoding of JSON into declared types that reports every error, not only the first.

msgspec stops at the first error. Therefore parsed JSON is walked along its declared type, and
msgspec checks each leaf by itself, so that an operator sees all errors at once.
"""

import json
import types
import typing
from collections.abc import Iterator

import msgspec
from returns.result import Failure, Result, Success

from pollenroad.declarations.hints import hint_for_key, hint_for_value
from pollenroad.declarations.problems import ROOT, Problem, index_path, key_path

TAG_KEY = "kind"
"""Key that names the kind of declaration in a file."""

_MAX_SHOWN_CHARACTERS = 40
"""Most characters of an invalid value that a reason shows."""


class _JsonObject(dict):
    """A JSON object that records which keys occurred more than once in its text."""

    repeated: tuple[str, ...] = ()
    """The duplicate keys, each of them once."""


def _make_object(pairs: list[tuple[str, object]]) -> _JsonObject:
    made = _JsonObject(pairs)
    if len(made) < len(pairs):
        keys = [key for key, _ in pairs]
        made.repeated = tuple(dict.fromkeys(k for k in keys if keys.count(k) > 1))
    return made


def _refuse_constant(text: str) -> None:
    raise ValueError(f"{text} is not a JSON number")


def parse_json(data: bytes) -> Result[object, list[Problem]]:
    """Parse JSON text; objects record duplicate keys for `find_type_problems`."""
    try:
        value = json.loads(data, object_pairs_hook=_make_object, parse_constant=_refuse_constant)
    except json.JSONDecodeError as error:
        reason = f"not JSON at line {error.lineno}, column {error.colno}: {error.msg}"
        return Failure([Problem(ROOT, reason, "look for a missing or surplus comma or quote")])
    except (ValueError, RecursionError) as error:
        return Failure([Problem(ROOT, f"not JSON: {error}", "write plain JSON in UTF-8")])
    return Success(value)


def _without_unset(annotation: object) -> object:
    """Return an annotation without `| UnsetType`."""
    if typing.get_origin(annotation) not in (typing.Union, types.UnionType):
        return annotation
    members = [a for a in typing.get_args(annotation) if a is not msgspec.UnsetType]
    return members[0] if len(members) == 1 else annotation


def _is_struct(annotation: object) -> bool:
    return isinstance(annotation, type) and issubclass(annotation, msgspec.Struct)


def _describe_value(value: object) -> str:
    match value:
        case dict():
            return "an object"
        case list():
            return "an array"
        case None:
            return "null"
    text = json.dumps(value, ensure_ascii=False)
    return text if len(text) <= _MAX_SHOWN_CHARACTERS else text[:_MAX_SHOWN_CHARACTERS] + "..."


def _leaf_problems(value: object, annotation: object, path: str) -> Iterator[Problem]:
    try:
        msgspec.convert(value, annotation)
    except msgspec.ValidationError as error:
        expected = str(error).partition(" - at ")[0].partition(", got ")[0]
        reason = f"{_describe_value(value)} is refused: {expected[:1].lower()}{expected[1:]}"
        yield Problem(path, reason, hint_for_value(path, value, annotation))


def _unknown_key(struct: type, key: str, path: str) -> Problem:
    known = [f.encode_name for f in msgspec.structs.fields(struct)]
    return Problem(key_path(path, key), f"unknown key {key!r}", hint_for_key(key, known))


def _object_problems(value: object, struct: type, path: str) -> Iterator[Problem]:
    if not isinstance(value, dict):
        reason = f"{_describe_value(value)} is refused: expected an object"
        yield Problem(path, reason, 'write { "key": value, ... }')
        return
    for key in getattr(value, "repeated", ()):
        yield Problem(key_path(path, key), f"key {key!r} stands twice", "keep one of them")
    field_by_key = {f.encode_name: f for f in msgspec.structs.fields(struct)}
    tag_key = struct.__struct_config__.tag_field
    for key, inner in value.items():
        if key in field_by_key:
            yield from find_type_problems(inner, field_by_key[key].type, key_path(path, key))
        elif key != tag_key:
            yield _unknown_key(struct, key, path)
    for key, field in field_by_key.items():
        if field.required and key not in value:
            yield Problem(key_path(path, key), f"key {key!r} is missing", "it has no default")


def _array_problems(value: object, item: object, path: str) -> Iterator[Problem]:
    if not isinstance(value, list):
        reason = f"{_describe_value(value)} is refused: expected an array"
        yield Problem(path, reason, "write [ ... ], also round a single value")
        return
    for index, inner in enumerate(value):
        yield from find_type_problems(inner, item, index_path(path, index))


def _map_problems(value: object, key_type: object, item: object, path: str) -> Iterator[Problem]:
    if not isinstance(value, dict):
        reason = f"{_describe_value(value)} is refused: expected an object"
        yield Problem(path, reason, 'write { "name": ..., ... }')
        return
    for key in getattr(value, "repeated", ()):
        yield Problem(key_path(path, key), f"name {key!r} stands twice", "keep one of them")
    for key, inner in value.items():
        yield from _leaf_problems(key, key_type, key_path(path, key))
        yield from find_type_problems(inner, item, key_path(path, key))


def find_type_problems(value: object, annotation: object, path: str = ROOT) -> Iterator[Problem]:
    """Yield a problem for each part of a parsed JSON value that is invalid for a declared type.

    Args:
        value: The value as `parse_json` returns it.
        annotation: A Struct, or the annotation of one of its fields.
        path: Path of `value`.
    """
    plain = _without_unset(annotation)
    arguments = typing.get_args(plain)
    if _is_struct(plain):
        yield from _object_problems(value, plain, path)
    elif typing.get_origin(plain) is tuple:
        yield from _array_problems(value, arguments[0], path)
    elif typing.get_origin(plain) is dict:
        yield from _map_problems(value, arguments[0], arguments[1], path)
    else:
        yield from _leaf_problems(value, plain, path)


def decode_strictly(data: bytes, struct: type) -> Result[msgspec.Struct, list[Problem]]:
    """Decode JSON text into `struct`.

    Args:
        data: The text.
        struct: The Struct to decode into.

    Returns:
        The decoded value, or every problem of its keys, types and bounds.
    """
    return parse_json(data).bind(lambda value: convert_strictly(value, struct))


def convert_strictly(value: object, struct: type) -> Result[msgspec.Struct, list[Problem]]:
    """Convert a value from `parse_json` into `struct`, or return every problem of the value."""
    problems = list(find_type_problems(value, struct))
    if problems:
        return Failure(problems)
    try:
        return Success(msgspec.convert(value, struct))
    except msgspec.ValidationError as error:
        return Failure([Problem(ROOT, str(error), "compare with the schema in docs/schema")])
