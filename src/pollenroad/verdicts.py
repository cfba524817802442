"""The verdict on an attempt: whether a request may have run.

Everything that may be retried, and everything a caller is told, follows from these three values.
"""

import enum


class Verdict(enum.StrEnum):
    """Whether a request ran at a server."""

    NOT_RUN = "not-run"
    """Provably not run: refused before hand-over, or by a guard before it touched its server."""

    RAN = "ran"
    """Ran, and the whole answer is in hand."""

    UNKNOWN = "unknown"
    """May have run: the attempt was handed over and no whole answer came back."""


def may_retry(verdict: Verdict, idempotent: bool) -> bool:
    """Tell whether a further attempt is safe after `verdict`.

    Args:
        verdict: The verdict on the previous attempt.
        idempotent: Whether the request may run more than once without harm.

    Returns:
        True if another attempt cannot break at-most-once execution.
    """
    match verdict:
        case Verdict.NOT_RUN:
            return True
        case Verdict.UNKNOWN:
            return idempotent
        case Verdict.RAN:
            return False
