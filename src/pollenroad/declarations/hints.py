"""Hints for invalid values and unknown keys, such as wrong units and misspelt names."""

import difflib
import re
import typing
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec


@dataclass(frozen=True, slots=True)
class _Unit:
    name: str
    wrong_unit_factor: float = 1.0
    """Factor by which a value in the most likely wrong unit is too large; 1 if there is none."""


_UNIT_BY_SUFFIX = {
    "_ms_per_s": _Unit("milliseconds in each second"),
    "_per_s": _Unit("a second"),
    "_ms": _Unit("milliseconds", 1000.0),
    "_s": _Unit("seconds", 1000.0),
    "_bytes": _Unit("bytes"),
    "_share": _Unit("a share from 0 to 1", 100.0),
    "_ratio": _Unit("a share from 0 to 1", 100.0),
}
"""Unit by the suffix of a key. Longer suffixes come first, since the first match is used."""

_NO_UNIT = _Unit("")

_LEADING_NUMBER = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)")


def _split_unit(key: str) -> tuple[str, _Unit]:
    """Split a key into its stem and the unit that its suffix states."""
    for suffix, unit in _UNIT_BY_SUFFIX.items():
        if key.endswith(suffix):
            return key.removesuffix(suffix), unit
    return key, _NO_UNIT


def hint_for_key(key: str, known: Sequence[str]) -> str:
    """Return a hint for an unknown key: the key that was probably meant, or all known keys."""
    stem = _split_unit(key)[0]
    same_stem = [name for name in known if _split_unit(name)[0] == stem]
    near = same_stem or difflib.get_close_matches(key, known, n=1, cutoff=0.6)
    if not near:
        return f"known keys: {', '.join(known)}"
    unit = _split_unit(near[0])[1].name
    return f"did you mean {near[0]!r}" + (f", in {unit}?" if unit else "?")


def _is_accepted(value: float, annotation: object) -> bool:
    try:
        msgspec.convert(value, annotation)
    except msgspec.ValidationError:
        return False
    return True


def _hint_for_bounds(value: float, annotation: object, unit: _Unit) -> str:
    meant = value / unit.wrong_unit_factor
    if unit.wrong_unit_factor != 1 and _is_accepted(meant, annotation):
        return f"did you mean {meant:g}?"
    return "see the bounds in docs/schema"


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
    """Return a hint for a value that is invalid for its type or bounds.

    Args:
        path: Path of the value; the suffix of its key states the unit.
        value: The invalid value.
        annotation: The declared type with its bounds.
    """
    base = _base_of(annotation)
    if base is str:
        return _hint_for_text(annotation)
    if base is bool:
        return "write true or false, without quotes"
    unit = _split_unit(path.rpartition(".")[2])[1]
    unit_hint = f"; the unit is {unit.name}" if unit.name else ""
    if isinstance(value, str):
        number = _LEADING_NUMBER.match(value)
        example = f", such as {number[1]}" if number else ""
        return f"write a plain number{example}, without quotes{unit_hint}"
    if isinstance(value, int | float) and not isinstance(value, bool):
        return _hint_for_bounds(value, annotation, unit) + unit_hint
    return f"write a plain number{unit_hint}"
