"""Shares of the slots that classes of requests are guaranteed, so that none is starved.

Load: requests of higher rank alone fill all slots for seconds. Each class is guaranteed the slots
that it needs to be served as often as a part of all requests; the order of ranks decides on the
rest, which is most.
"""

import math
from dataclasses import dataclass, field

from pollenroad.proxy.admission.activation import HIGHEST_RANK

MIN_SERVED_RATIO = 0.4
"""Least share of a class that is served, as a part of the share of all requests. A quarter is
required, by requests of callers; the guards count each return of a caller as a request."""

HALF_LIFE_S = 3.0
"""Time in which the weight of a request halves, in seconds."""

MEAN_AGE_S = HALF_LIFE_S / math.log(2)
"""Sum of the weights of one request a second."""


@dataclass(slots=True)
class _ClassUse:
    offered: float = 0.0
    """Requests that arrived at this guard first."""
    served: float = 0.0
    """Requests that the server answered without an error."""
    work_s: float = 0.0
    """Usual service time of the offered requests, in seconds."""

    def scale(self, factor: float) -> None:
        self.offered *= factor
        self.served *= factor
        self.work_s *= factor


@dataclass(slots=True)
class ClassShares:
    """Requests offered to one guard and served by its server, by class."""

    _use_by_class: dict[str, _ClassUse] = field(default_factory=dict)
    _updated_at: float = 0.0

    def offered(self, name: str, work_s: float, now: float) -> None:
        """Count a request of a class that arrives at its first guard, with its usual work."""
        use = self._use(name, now)
        use.offered += 1
        use.work_s += work_s

    def served(self, name: str, now: float) -> None:
        """Count a request of a class that the server answered without an error."""
        self._use(name, now).served += 1

    def guaranteed_share(self, name: str, rank: int, slots: int) -> float:
        """Return the share of the slots that a class needs to be served as often as guaranteed.

        Args:
            name: Class of the request.
            rank: Its rank; the highest has all slots that the other classes do not need.
            slots: Slots of the server.
        """
        uses = self._use_by_class.values()
        offered = sum(use.offered for use in uses)
        if not offered:
            return 0.0
        served_ratio = MIN_SERVED_RATIO * min(1.0, sum(use.served for use in uses) / offered)
        share_by_class = {
            name: min(1.0, served_ratio * use.work_s / (MEAN_AGE_S * max(1, slots)))
            for name, use in self._use_by_class.items()
        }
        own = share_by_class.get(name, 0.0)
        return max(0.0, 1 - sum(share_by_class.values()) + own) if rank == HIGHEST_RANK else own

    def _use(self, name: str, now: float) -> _ClassUse:
        factor = 0.5 ** ((now - self._updated_at) / HALF_LIFE_S)
        self._updated_at = now
        for use in self._use_by_class.values():
            use.scale(factor)
        return self._use_by_class.setdefault(name, _ClassUse())
