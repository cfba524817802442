"""Problems that checks report, with path, reason and hint."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, replace

ROOT = "$"
"""Path of a whole document."""


class Severity(enum.StrEnum):
    """Whether a problem is an error or a warning."""

    ERROR = "error"
    """The file or document must not come into force."""

    WARNING = "warning"
    """Valid, but probably not what the operator wants."""


@dataclass(frozen=True, slots=True)
class Problem:
    """One problem that a check found."""

    path: str
    """Path within the document or file, such as `$.endpoints[2].address`."""
    reason: str
    """What is wrong there, as a clause without a full stop."""
    hint: str = ""
    """What to do about it, or an empty string."""
    severity: Severity = Severity.ERROR
    source: str = ""
    """File name or document key."""

    def __str__(self) -> str:
        hint = f" (hint: {self.hint})" if self.hint else ""
        location = f"{self.source}: {self.path}" if self.source else self.path
        return f"{self.severity.value}: {location}: {self.reason}{hint}"


def errors_of(problems: Iterable[Problem]) -> list[Problem]:
    """Return only the errors among `problems`."""
    return [problem for problem in problems if problem.severity is Severity.ERROR]


def with_source(problems: Iterable[Problem], source: str) -> list[Problem]:
    """Return `problems` with the file name or document key in which they were found."""
    return [replace(problem, source=source) for problem in problems]


def key_path(path: str, key: str) -> str:
    """Return the path of `key` within the object at `path`."""
    return f"{path}.{key}"


def index_path(path: str, index: int) -> str:
    """Return the path of item `index` of the array at `path`."""
    return f"{path}[{index}]"
