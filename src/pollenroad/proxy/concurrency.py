"""Concurrency bound of a server: how many requests it runs at once without slowing itself down.

Some servers slow down when nearly all of their slots are in use, and have a higher throughput with
some slots left free. The guard detects such a server by the service times of contended requests:
those that started while at least `UNCONTENDED_SHARE` of the slots were in use.
"""

from collections import deque

UNCONTENDED_SHARE = 0.8
"""Share of the slots up to which a server is assumed not to slow itself down."""

DECISION_SAMPLES = 9
"""Contended requests per decision. Their median is reliable even where the service times of single
requests differ by a third."""

SLOWDOWN_RATIO = 1.3
"""Median of their service times, as a multiple of the usual one, that lowers the bound."""

DECISION_TTL_S = 30.0
"""Time after which a decision is tested again, in seconds."""


class ConcurrencyBound:
    """Requests that may run at one server, lowered if its own load slows it down."""

    def __init__(self):
        self._ratios: deque[float] = deque(maxlen=DECISION_SAMPLES)
        self._decided_at = float("-inf")
        self._is_slowing_down = False

    def bound(self, slots: int) -> int:
        """Return how many requests may run at a server with `slots` slots."""
        return uncontended_slots(slots) if self._is_slowing_down else slots

    def is_trial_allowed(self, contended: int, now: float) -> bool:
        """Return whether one request above the bound may test whether the server still slows down.

        Args:
            contended: Running requests that were started when all uncontended slots were in use.
            now: Monotonic time in seconds.
        """
        return now - self._decided_at >= DECISION_TTL_S and contended == 0

    def add(self, ratio: float, now: float) -> None:
        """Record the service time of a contended request, as a multiple of the usual one."""
        self._ratios.append(ratio)
        if len(self._ratios) == DECISION_SAMPLES:
            self._is_slowing_down = sorted(self._ratios)[DECISION_SAMPLES // 2] >= SLOWDOWN_RATIO
            self._decided_at = now
            self._ratios.clear()


def uncontended_slots(slots: int) -> int:
    """Return the number of slots up to which a server is assumed not to slow itself down."""
    return max(1, int(UNCONTENDED_SHARE * slots))
