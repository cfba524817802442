"""How long requests of each route take, as one entry knows it, and when one is late. No I/O."""

from pollenroad.entry.latencies import Latencies
from pollenroad.proxy.worktimes import WorkTimes
from pollenroad.published import Route

FIRST_GUESS_SHARE = 0.35
"""Usual work of a route that is not known yet, as a share of its latency objective."""

LATE_QUANTILE = 0.97
"""Latency quantile at which an attempt counts as late."""

LATE_MIN_SHARE = 0.15
"""Earliest time at which an attempt counts as late, as a share of the latency objective."""

LATE_MAX_SHARE = 0.6
"""Latest such time, as a share of the latency objective."""


class RouteTimes:
    """Recent times by route."""

    def __init__(self):
        self._work = WorkTimes()
        self._latencies_by_route: dict[str, Latencies] = {}

    def add(self, route: Route, latency_s: float, work_s: float) -> None:
        """Take an answer: its whole latency, and its work at the server's usual speed if known."""
        self._latencies_by_route.setdefault(route.name, Latencies()).add(latency_s)
        if work_s > 0:
            self._work.add(route.name, work_s)

    def work_s(self, route: Route) -> float:
        """Return the usual work of a request at a server of usual speed, in seconds."""
        usual_s = self._work.usual_s(route.name)
        return FIRST_GUESS_SHARE * route.objective_s if usual_s is None else usual_s

    def late_s(self, route: Route) -> float:
        """Return the age in seconds from which an attempt counts as late."""
        latencies = self._latencies_by_route.get(route.name)
        usual_s = latencies.quantile(LATE_QUANTILE) if latencies else None
        least_s, most_s = (s * route.objective_s for s in (LATE_MIN_SHARE, LATE_MAX_SHARE))
        return most_s if usual_s is None else max(least_s, min(most_s, usual_s))
