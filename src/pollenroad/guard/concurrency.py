"""Adaptive concurrency bound of a server that can handle less than its declared slots.

A refusal by the server proves that it cannot handle more; a longer service time is weaker evidence.
So a refusal may lower the bound to 1, a slowdown only to `SLOW_FLOOR` of the slots. Both lower the
bound immediately, and it is raised again in steps.
"""

SLOW_RATIO = 1.6
"""Median slowdown at or above which the bound is lowered."""

RECOVERY_RATIO = 1.25
"""Median slowdown at or below which the bound is raised; below `SLOW_RATIO` for hysteresis."""

DECREASE_FACTOR = 0.9
"""Factor by which a slowdown lowers the bound, at most once per median service time."""

SLOW_FLOOR = 0.5
"""Share of the slots below which a slowdown alone never lowers the bound."""

RAISE_DELAY_S = 2.0
"""Delay after a refusal by the server before the bound is raised, in seconds."""

RAISE_INTERVAL_S = 1.0
"""Interval between raises of the bound by one slot after a refusal, in seconds."""


class AdaptiveBound:
    """Bound on requests in flight, adapted to what the server can handle, at most its slots."""

    def __init__(self, slots: int):
        self._slots = slots
        self._shed_bound = float(slots)
        self._slow_bound = float(slots)
        self._raise_at = 0.0
        self._lower_at = 0.0

    def configure(self, slots: int) -> None:
        """Apply the declared slots of a newer document."""
        if self._shed_bound >= self._slots:
            self._shed_bound = float(slots)
        self._slots = slots

    @property
    def bound(self) -> int:
        """Maximum number of requests in flight, at least 1."""
        return max(1, int(min(self._slots, self._shed_bound, self._slow_bound)))

    def shed(self, in_flight: int, now: float) -> None:
        """Lower the bound after a refusal by the server.

        Args:
            in_flight: Number of requests at the server, excluding the refused one.
            now: Monotonic time in seconds.
        """
        self._shed_bound = max(1.0, min(self._shed_bound, float(in_flight)))
        self._raise_at = now + RAISE_DELAY_S

    def served(self, slowdown: float, median_s: float, is_full: bool, now: float) -> None:
        """Adjust the bound after a complete answer of the server.

        Args:
            slowdown: Recent median ratio of service times to their baselines.
            median_s: Recent median service time in seconds.
            is_full: Whether the requests in flight had reached the bound.
            now: Monotonic time in seconds.
        """
        if slowdown >= SLOW_RATIO:
            self._lower(median_s, now)
            return
        if slowdown > RECOVERY_RATIO:
            return
        self._slow_bound = min(self._slots, self._slow_bound + 1 / self._slow_bound)
        if is_full and now >= self._raise_at:
            self._shed_bound = min(self._slots, self._shed_bound + 1)
            self._raise_at = now + RAISE_INTERVAL_S

    def _lower(self, median_s: float, now: float) -> None:
        if now < self._lower_at:
            return
        floor = max(1.0, self._slots * SLOW_FLOOR)
        self._slow_bound = max(floor, min(self._slots, self._slow_bound) * DECREASE_FACTOR)
        self._lower_at = now + median_s
