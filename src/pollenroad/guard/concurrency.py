"""Adaptive concurrency: what a server bears when that is less than its stated slots.

A refusal by the server proves how much it does not bear; a rising service time only hints at it.
So a refusal may lower the bound to 1, a slowdown to `SLOW_FLOOR` of the slots at the least. Both
are lowered at once and raised step by step.
"""

SLOW_RATIO = 1.6
"""Median slowdown from which the bound is lowered."""

CALM_RATIO = 1.25
"""Median slowdown up to which the bound is raised again. Lower than `SLOW_RATIO`: hysteresis."""

SLOW_FACTOR = 0.9
"""Factor by which a slowdown lowers the bound, once per service time."""

SLOW_FLOOR = 0.5
"""Share of the slots below which a slowdown alone never takes the bound."""

SHED_HOLD_S = 2.0
"""Time after a refusal by the server before the bound is raised, in seconds."""

SHED_STEP_S = 1.0
"""Time between two raises by one slot after a refusal, in seconds."""


class AdaptiveBound:
    """Requests in flight that a server has shown to bear, never above its slots."""

    def __init__(self, slots: int):
        self._slots = slots
        self._shed_bound = float(slots)
        self._slow_bound = float(slots)
        self._raise_at = 0.0
        self._lower_at = 0.0

    def configure(self, slots: int) -> None:
        """Take the stated slots of a newer document."""
        if self._shed_bound >= self._slots:
            self._shed_bound = float(slots)
        self._slots = slots

    @property
    def bound(self) -> int:
        """Requests in flight to admit now, at least 1."""
        return max(1, int(min(self._slots, self._shed_bound, self._slow_bound)))

    def shed(self, in_flight: int, now: float) -> None:
        """Take a refusal by the server.

        Args:
            in_flight: Requests at the server, without the refused one.
            now: Monotonic time in seconds.
        """
        self._shed_bound = max(1.0, min(self._shed_bound, float(in_flight)))
        self._raise_at = now + SHED_HOLD_S

    def served(self, slowdown: float, median_s: float, is_full: bool, now: float) -> None:
        """Take a whole answer of the server.

        Args:
            slowdown: Recent median service time as a multiple of the usual one.
            median_s: Recent median service time in seconds.
            is_full: Whether the bound was reached, so that raising it is of use.
            now: Monotonic time in seconds.
        """
        if slowdown >= SLOW_RATIO:
            self._lower(median_s, now)
            return
        if slowdown > CALM_RATIO:
            return
        self._slow_bound = min(self._slots, self._slow_bound + 1 / self._slow_bound)
        if is_full and now >= self._raise_at:
            self._shed_bound = min(self._slots, self._shed_bound + 1)
            self._raise_at = now + SHED_STEP_S

    def _lower(self, median_s: float, now: float) -> None:
        if now < self._lower_at:
            return
        floor = max(1.0, self._slots * SLOW_FLOOR)
        self._slow_bound = max(floor, min(self._slots, self._slow_bound) * SLOW_FACTOR)
        self._lower_at = now + median_s
