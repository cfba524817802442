"""Records of the attempts that a guard refused: one for each, and a sum by reason."""

from collections import Counter

from pollenroad.boundary import Record
from pollenroad.messages import Attempt

SUMMARY_S = 1.0
"""Time between two sums, in seconds."""


class Refusals:
    """What a guard refused since the last sum."""

    def __init__(self, service: str):
        self._service = service
        self._count_by_reason: Counter[str] = Counter()
        self._due = 0.0

    def refused(self, attempt: Attempt, reason: str) -> Record:
        """Count a refused attempt and return its record."""
        self._count_by_reason[reason] += 1
        fields = (
            ("request_id", attempt.request_id),
            ("attempt_id", attempt.attempt_id),
            ("service", self._service),
            ("reason", reason),
        )
        return Record("attempt_refused", fields)

    def summary(self, now: float) -> list[Record]:
        """Return the record of the sum, if one is due and there is something in it."""
        if now < self._due or not self._count_by_reason:
            return []
        self._due = now + SUMMARY_S
        counts = ", ".join(f"{n} {reason}" for reason, n in sorted(self._count_by_reason.items()))
        self._count_by_reason.clear()
        return [Record("guard_refusing", (("service", self._service), ("counts", counts)))]
