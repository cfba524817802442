"""Attempts as they arrive at a guard: which are repeated, and what is left of their time."""

from collections.abc import Callable
from dataclasses import dataclass

from pollenroad.guard.transit_times import SeenAttempts, TransitTimes
from pollenroad.messages import Attempt

LONGEST_DEADLINE_S = 15.0
"""Deadline of an attempt by which its id is remembered, in seconds: the same for all of them, since
ids are forgotten in the order in which they came."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """Time that an attempt has left on its arrival."""

    remaining_s: float
    """Upper bound, in seconds."""
    is_expired: bool
    """Whether nothing may be left, so that the attempt is better sent elsewhere."""


class Arrivals:
    """Attempts that have arrived at one guard.

    Args:
        suspended_s: Returns for how long the VM was suspended so far, in seconds.
    """

    def __init__(self, suspended_s: Callable[[], float]):
        self._suspended_s = suspended_s
        self._seen = SeenAttempts()
        self._transit_times = TransitTimes()

    def observe_pause(self, timer_due: float | None, now: float) -> None:
        """See `TransitTimes.observe_pause`."""
        self._transit_times.observe_pause(timer_due, now)

    def add(self, attempt: Attempt, now: float) -> Arrival | None:
        """Record an attempt; return None if it is repeated, cancelled, or cannot be remembered."""
        if attempt.attempt_id in self._seen or self._seen.is_full(now):
            return None
        self._seen.add(attempt.attempt_id, LONGEST_DEADLINE_S, now)
        left_s = attempt.remaining_ms / 1000
        transit = self._transit_times.transit(attempt, now, self._suspended_s())
        return Arrival(left_s - transit.least_s, left_s <= transit.most_s)

    def cancel(self, attempt_id: str, now: float) -> None:
        """Record that an attempt is cancelled, so that it does not run if it arrives later."""
        self._seen.add(attempt_id, LONGEST_DEADLINE_S, now)
