"""`pollenroad check-config`: check a configuration in the platform's form before it is sent."""

import importlib.util
import sys
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path

import msgspec

import pollenroad
from pollenroad.declarations.phrases import count
from pollenroad.declarations.problems import ROOT, Problem
from pollenroad.exceptions import PlatformError
from pollenroad.proxy.configuration_checks import differences, find_problems, version_problems
from pollenroad.published import Configuration

EXIT_NOTHING = 0
EXIT_FOUND = 1
EXIT_USAGE = 2

DEFAULT_DECODER = Path(pollenroad.__file__).parents[2] / "platform" / "wire.py"
"""Decoder of the platform beside which this source tree is deployed."""

Decoder = Callable[[bytes], Configuration]
"""Decodes a configuration; raises `PlatformError`, with one argument for each reason, if it is not
valid."""


class _UsageError(Exception):
    """A file that was named cannot be used."""


def _load_decoder(path: Path) -> Decoder:
    """Return the function `decode_configuration` of a Python file."""
    spec = importlib.util.spec_from_file_location("pollenroad_platform_decoder", path)
    if spec is None or not path.is_file():
        raise _UsageError(f"{path} is no decoder; name one with --decoder")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    decoder = getattr(module, "decode_configuration", None)
    if decoder is None:
        raise _UsageError(f"{path} has no function decode_configuration")
    return decoder


def _read(path: str) -> bytes:
    try:
        return Path(path).read_bytes()
    except OSError as error:
        raise _UsageError(f"{path}: {error.strerror}") from error


def _decode(path: str, decoder: Decoder) -> tuple[Configuration | None, list[Problem]]:
    data = _read(path)
    try:
        return decoder(data), []
    except PlatformError as error:
        return None, [Problem(ROOT, str(reason), source=path) for reason in error.args]


def _check(
    path: str, in_force: str, endpoints: int, decoder: Decoder
) -> tuple[list[Problem], list[str]]:
    """Return the problems of a configuration, and its differences from the one in force."""
    new, problems = _decode(path, decoder)
    old = None
    if in_force:
        old, old_problems = _decode(in_force, decoder)
        problems += old_problems
    if new is None:
        return problems, []
    found = [*(version_problems(new, old) if old else ()), *find_problems(new, endpoints)]
    problems += [replace(problem, source=path) for problem in found]
    return problems, differences(old, new) if old else []


def run(
    file: str, *, in_force: str = "", endpoints: int = 0, decoder: str = "", json: bool = False
) -> int:
    """Check a configuration in the platform's form, without sending it.

    Args:
        file: File with the configuration, as it is stored at the platform.
        in_force: File with the configuration in force; the differences from it are printed.
        endpoints: Number of endpoints of each service, if it is known.
        decoder: Python file whose function `decode_configuration` decodes the platform's form; by
            default that of the source tree.
        json: Print one JSON object in place of lines for a person.

    Returns:
        0 if nothing was found (differences are allowed), 1 if something was, 2 if a file cannot be
        read.
    """
    try:
        decode = _load_decoder(Path(decoder) if decoder else DEFAULT_DECODER)
        problems, changes = _check(file, in_force, endpoints, decode)
    except _UsageError as error:
        print(f"check-config: {error}", file=sys.stderr)
        return EXIT_USAGE
    if json:
        print(msgspec.json.encode({"problems": problems, "differences": changes}).decode())
    else:
        print(
            "\n".join([*map(str, problems), *changes, f"{count(len(problems), 'problem')} found"])
        )
    return EXIT_FOUND if problems else EXIT_NOTHING
