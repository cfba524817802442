"""Log records of a guard: changes of its state, detected cold starts, and refusals."""

from collections import Counter

from pollenroad.boundary import Record
from pollenroad.guard.state import GuardView
from pollenroad.messages import Attempt

SUMMARY_S = 1.0
"""Interval between two summaries of the refused attempts, in seconds."""


class GuardRecords:
    """Creates the log records of one guard."""

    def __init__(self, service: str):
        self._service = service
        self._state = ""
        self._count_by_reason: Counter[str] = Counter()
        self._summary_due = 0.0

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

    def refusal_summary(self, now: float) -> list[Record]:
        """Return a summary of the refused attempts, if it is due and there were any."""
        if now < self._summary_due or not self._count_by_reason:
            return []
        self._summary_due = now + SUMMARY_S
        counts = ", ".join(f"{n} {reason}" for reason, n in sorted(self._count_by_reason.items()))
        self._count_by_reason.clear()
        return [Record("guard_refusing", (("service", self._service), ("counts", counts)))]

    def cold_detected(self, sign: str) -> list[Record]:
        """Return the record of a detected sign of a cold server; none for an empty sign."""
        if not sign:
            return []
        return [Record("server_fell_cold", (("service", self._service), ("sign", sign)))]

    def state(self, view: GuardView, now: float) -> list[Record]:
        """Return a record if the state differs from the last one."""
        if view.state == self._state:
            return []
        self._state = view.state
        fields = (("service", self._service), ("why", view.why(now)))
        return [Record(f"guard_{view.state}", fields)]
