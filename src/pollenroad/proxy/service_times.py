"""Service times of each request class at a server of usual speed."""

from pollenroad.entry.latencies import Latencies


class ServiceTimes:
    """Recent service times by request class, divided by the slowdown of the server."""

    def __init__(self):
        self._times_by_class: dict[str, Latencies] = {}

    def add(self, request_class: str, work_s: float) -> None:
        """Add the service time of one request at the usual speed, in seconds."""
        self._times_by_class.setdefault(request_class, Latencies()).add(work_s)

    def usual_s(self, request_class: str) -> float | None:
        """Return the median service time of a request class in seconds, or None if unknown."""
        times = self._times_by_class.get(request_class)
        return None if times is None else times.quantile(0.5)
