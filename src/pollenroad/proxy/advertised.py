"""What a server states about itself in its answers: a limit on its requests, and that it leaves."""

import re
from dataclasses import dataclass

_DECIMAL = re.compile(r"(\d+(\.\d*)?|\.\d+)", re.ASCII)

MAX_LIMIT_PER_S = 1e9
"""Highest limit that is applied, in requests a second: a higher one limits nothing."""

MAX_LOGGED_CHARACTERS = 64
"""Longest part of an unreadable limit that is kept."""


@dataclass(frozen=True, slots=True)
class Unlimited:
    """The server states no limit."""


@dataclass(frozen=True, slots=True)
class RateLimit:
    """The server takes only so many requests, from all daemons together."""

    per_s: float
    """Requests a second."""


@dataclass(frozen=True, slots=True)
class UnreadableLimit:
    """The server states a limit that is not a decimal number; the one before it remains."""

    text: str


StatedLimit = Unlimited | RateLimit | UnreadableLimit

UNLIMITED = Unlimited()


def parse_limit(text: str) -> StatedLimit:
    """Parse the value of a limit field; empty if the field is missing."""
    stripped = text.strip()
    if not stripped:
        return UNLIMITED
    if not _DECIMAL.fullmatch(stripped):
        return UnreadableLimit(stripped[:MAX_LOGGED_CHARACTERS])
    return RateLimit(min(MAX_LIMIT_PER_S, float(stripped)))


class Advertised:
    """What one server last stated about itself; forgotten when it restarts."""

    def __init__(self):
        self.limit_per_s: float | None = None
        """Requests a second that the server takes, or None if it states no limit."""
        self.unreadable = ""
        """Text of the last limit if it was unreadable."""
        self.is_leaving = False
        self.is_known = False
        """Whether the server has answered since its start, and that of this guard."""

    def assume(self, limit_per_s: float) -> None:
        """Apply a limit that an entry has heard; the lowest of several holds until an answer."""
        known_per_s = self.limit_per_s
        self.limit_per_s = limit_per_s if known_per_s is None else min(known_per_s, limit_per_s)

    def answered(self) -> None:
        """Record an answer whose statements, if any, have been observed."""
        if not self.is_known:
            self.reset()
            self.is_known = True

    def observe(self, limit: StatedLimit, is_leaving: bool) -> None:
        """Apply the statements of an answer; an unreadable limit changes nothing.

        A server that leaves does so until it restarts. An answer without that statement may be
        older than the one that had it, or a late copy of an earlier health response.
        """
        self.is_known = True
        self.is_leaving = self.is_leaving or is_leaving
        self.unreadable = ""
        match limit:
            case RateLimit(per_s):
                self.limit_per_s = per_s
            case Unlimited():
                self.limit_per_s = None
            case UnreadableLimit(text):
                self.unreadable = text

    def reset(self) -> None:
        """Forget everything, as after a restart of the server."""
        self.limit_per_s, self.unreadable, self.is_leaving = None, "", False
        self.is_known = False
