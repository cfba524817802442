"""How many runs of each route a guard starts at a time while their calls are refused.

Load: a service needs more calls to another one than that one can serve. Each run that fails for a
refused call has used a slot for nothing, and the calls of it that were served as well. With fewer
runs at a time, the same calls complete more of them. The limit follows failures as the window of
TCP follows losses: it is multiplied down once for each generation of runs, and grows by a constant
for each generation that succeeds.
"""

from dataclasses import dataclass

DECREASE = 0.5
"""Factor on the limit when a run has failed for a refused call."""

INCREASE = 0.5
"""Growth of the limit, in runs, for as many successful runs as the limit allows at a time."""

MIN_LIMIT = 1.0
"""Least limit: without any run, the guard would not notice that calls are served again."""

LIFT_S = 1.0
"""Time without failures for refused calls after which there is no limit, in seconds."""

RESERVED_SHARE = 0.2
"""Share of the slots that runs beyond a limit leave free. While more are free, such a run takes a
slot from no other request, and some runs of a route make no calls."""


def unreserved_slots(bound: int) -> int:
    """Return how many of the slots runs beyond a limit may use, with all other runs."""
    return max(1, int((1 - RESERVED_SHARE) * bound))


@dataclass(slots=True)
class _Limit:
    runs: float
    decreased_at: float
    failed_at: float


class RunLimits:
    """Limits on the runs in progress at one server, by route; none without such failures."""

    def __init__(self):
        self._limit_by_route: dict[str, _Limit] = {}

    def limit(self, route: str, now: float) -> int | None:
        """Return how many runs of a route may be in progress, or None for no limit."""
        limit = self._limit_by_route.get(route)
        if limit is None or now - limit.failed_at >= LIFT_S:
            return None
        return int(limit.runs)

    def failed(self, route: str, started_at: float, running: int, now: float) -> None:
        """Record a run that failed for a refused call.

        Args:
            route: Its route.
            started_at: When it was started, in monotonic seconds. A run from before the last
                decrease says nothing about the limit since then.
            running: Runs of the route that were in progress, with this one.
            now: Monotonic time in seconds.
        """
        if self.limit(route, now) is None:
            runs = max(MIN_LIMIT, running * DECREASE)
            self._limit_by_route[route] = _Limit(runs, now, now)
            return
        limit = self._limit_by_route[route]
        limit.failed_at = now
        if started_at >= limit.decreased_at:
            limit.runs, limit.decreased_at = max(MIN_LIMIT, limit.runs * DECREASE), now

    def succeeded(self, route: str) -> None:
        """Record a run that succeeded."""
        if limit := self._limit_by_route.get(route):
            limit.runs += INCREASE / limit.runs

    def lift(self, now: float) -> list[str]:
        """Remove the limits without recent failures; return their routes."""
        lifted = [r for r in self._limit_by_route if self.limit(r, now) is None]
        for route in lifted:
            del self._limit_by_route[route]
        return lifted

    def __len__(self) -> int:
        return len(self._limit_by_route)
