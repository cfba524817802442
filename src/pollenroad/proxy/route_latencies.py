"""Latencies and service times of each route as one entry measures them, and its hedge delay."""

from pollenroad.entry.latencies import Latencies
from pollenroad.proxy.service_times import ServiceTimes
from pollenroad.published import Route

DEFAULT_SERVICE_SHARE = 0.35
"""Service time assumed for a route while none is known, as a share of its latency objective."""

HEDGE_DELAY_QUANTILE = 0.97
"""Latency quantile from which an attempt counts as late."""

MIN_HEDGE_DELAY_SHARE = 0.15
"""Shortest hedge delay, as a share of the latency objective."""

MAX_HEDGE_DELAY_SHARE = 0.6
"""Longest hedge delay, as a share of the latency objective."""


class RouteLatencies:
    """Recent latencies and service times by route."""

    def __init__(self):
        self._service_times = ServiceTimes()
        self._latencies_by_route: dict[str, Latencies] = {}

    def add(self, route: Route, latency_s: float, work_s: float) -> None:
        """Add the latency of an answer, and its service time at the usual speed, both in seconds.

        A service time of 0 is unknown.
        """
        self._latencies_by_route.setdefault(route.name, Latencies()).add(latency_s)
        if work_s > 0:
            self._service_times.add(route.name, work_s)

    def usual_s(self, route: Route) -> float:
        """Return the usual service time of a request, in seconds, or a default if unknown."""
        usual_s = self._service_times.usual_s(route.name)
        return DEFAULT_SERVICE_SHARE * route.objective_s if usual_s is None else usual_s

    def hedge_delay_s(self, route: Route) -> float:
        """Return the age in seconds from which an attempt is late and may be hedged."""
        latencies = self._latencies_by_route.get(route.name)
        late_s = latencies.quantile(HEDGE_DELAY_QUANTILE) if latencies else None
        min_s, max_s = (
            s * route.objective_s for s in (MIN_HEDGE_DELAY_SHARE, MAX_HEDGE_DELAY_SHARE)
        )
        return max_s if late_s is None else max(min_s, min(max_s, late_s))
