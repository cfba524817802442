"""How long requests of each class take at a server at its usual speed. No I/O."""

from pollenroad.entry.latencies import Latencies


class WorkTimes:
    """Recent work by request class, from exchanges whose slowdown is known."""

    def __init__(self):
        self._work_by_class: dict[str, Latencies] = {}

    def add(self, request_class: str, work_s: float) -> None:
        """Take the work of one request, in seconds at the usual speed."""
        self._work_by_class.setdefault(request_class, Latencies()).add(work_s)

    def usual_s(self, request_class: str) -> float | None:
        """Return the usual work of a request class in seconds, or None while it is not known."""
        work = self._work_by_class.get(request_class)
        return None if work is None else work.quantile(0.5)
