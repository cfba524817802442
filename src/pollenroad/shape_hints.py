"""Hints for values and keys that do not fit: wrong units, near misses of names."""

import difflib
import re
import typing
from collections.abc import Sequence

import msgspec

_UNIT_BY_SUFFIX = {
    "_ms_per_s": "milliseconds in each second",
    "_per_s": "a second",
    "_ms": "milliseconds",
    "_s": "seconds",
    "_bytes": "bytes",
    "_share": "a share from 0 to 1",
    "_ratio": "a share from 0 to 1",
}
"""Unit that a key's ending states; the longest ending comes first."""

_SCALES = (1000.0, 100.0, 0.001)
"""Factors by which a value in a wrong unit is often off: ms for s, percent, s for ms."""

_LEADING_NUMBER = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)")


def _split_unit(key: str) -> tuple[str, str]:
    """Return a key without the ending that states its unit, and the unit."""
    for suffix, unit in _UNIT_BY_SUFFIX.items():
        if key.endswith(suffix):
            return key.removesuffix(suffix), unit
    return key, ""


def hint_for_key(key: str, known: Sequence[str]) -> str:
    """Return what an unknown key was probably meant to be, or which keys there are."""
    stem = _split_unit(key)[0]
    same_stem = [name for name in known if _split_unit(name)[0] == stem]
    near = same_stem or difflib.get_close_matches(key, known, n=1, cutoff=0.6)
    if not near:
        return f"known keys: {', '.join(known)}"
    unit = _split_unit(near[0])[1]
    return f"did you mean {near[0]!r}" + (f", in {unit}?" if unit else "?")


def _is_accepted(value: float, annotation: object) -> bool:
    try:
        msgspec.convert(value, annotation)
    except msgspec.ValidationError:
        return False
    return True


def _scaled(value: float, annotation: object) -> str:
    for scale in _SCALES:
        candidate = value / scale
        if _is_accepted(candidate, annotation):
            return f"{candidate:g}"
    return ""


def _pattern_of(annotation: object) -> str:
    metas = getattr(annotation, "__metadata__", ())
    return next((m.pattern for m in metas if m.pattern), "")


def _hint_for_text(annotation: object) -> str:
    if ":" in _pattern_of(annotation):
        return "write IP number and port, such as 10.0.0.7:7100"
    if _pattern_of(annotation):
        return "use lower-case letters, digits and hyphens, such as ne-east-a"
    return "write a text in quotes"


def _base_of(annotation: object) -> object:
    if typing.get_origin(annotation) is typing.Annotated:
        return typing.get_args(annotation)[0]
    return annotation


def hint_for_value(path: str, value: object, annotation: object) -> str:
    """Return what to write in place of a value that does not fit its type or bounds.

    Args:
        path: Path of the value; the ending of its key states the unit.
        value: The refused value.
        annotation: The declared type with its bounds.
    """
    base = _base_of(annotation)
    if base is str:
        return _hint_for_text(annotation)
    if base is bool:
        return "write true or false, without quotes"
    unit = _split_unit(path.rpartition(".")[2])[1]
    unit_hint = f"; the unit is {unit}" if unit else ""
    if isinstance(value, str):
        number = _LEADING_NUMBER.match(value)
        example = f", such as {number[1]}" if number else ""
        return f"write a plain number{example}, without quotes{unit_hint}"
    if isinstance(value, int | float) and not isinstance(value, bool):
        scaled = _scaled(value, annotation)
        meant = f"did you mean {scaled}?" if scaled and unit else "see the bounds in docs/schema"
        return meant + unit_hint
    return f"write a plain number{unit_hint}"
