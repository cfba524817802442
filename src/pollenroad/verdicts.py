"""The verdict of an attempt: whether its request may have run.

The verdict determines whether a retry is allowed, and is part of the answer to the caller.
"""

import enum


class Verdict(enum.StrEnum):
    """Whether a request ran at a server."""

    NOT_RUN = "not-run"
    """Certainly not run: never sent to the server, or refused by the server before running it."""

    RAN = "ran"
    """Ran, and the complete answer was received."""

    UNKNOWN = "unknown"
    """May have run: the attempt was sent, but no complete answer was received."""


def is_retry_safe(verdict: Verdict, idempotent: bool) -> bool:
    """Return whether a further attempt is safe after `verdict`.

    Args:
        verdict: Verdict of the previous attempt.
        idempotent: Whether the request may run more than once without harm.

    Returns:
        True if another attempt cannot violate at-most-once execution.
    """
    match verdict:
        case Verdict.NOT_RUN:
            return True
        case Verdict.UNKNOWN:
            return idempotent
        case Verdict.RAN:
            return False
