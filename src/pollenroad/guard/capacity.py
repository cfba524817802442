"""What the server beside a guard bears now, from its declaration and from what the guard sees."""

from pollenroad.guard.coldstart import SERVER_UNREACHABLE, ColdSigns, ColdStart, Hold
from pollenroad.guard.concurrency import AdaptiveBound
from pollenroad.guard.servicetimes import ServiceTimes
from pollenroad.messages import Response
from pollenroad.models import ServiceDocument

INCARNATION_HEADER = "x-server-incarnation"
"""Header in which a server may state an id that differs after each of its restarts."""


def incarnation_of(response: Response) -> str:
    """Return the incarnation that a server states in its answer, or an empty string."""
    matches = (value for name, value in response.headers if name.lower() == INCARNATION_HEADER)
    return next(matches, "")


class Capacity:
    """The bound on requests in flight at one server.

    Each method that takes an observation returns the sign of a cold server in it, or an empty
    string. With a sign, the server is taken as cold from then on.
    """

    def __init__(self, document: ServiceDocument, now: float):
        self._document = document
        self._cold = ColdStart(document.cold_start, document.slots, now)
        self._signs = ColdSigns()
        self._hold = Hold()
        self._adaptive = AdaptiveBound(document.slots)
        self.times = ServiceTimes()
        """Service times of the server."""
        self.cold_reason = "start of the guard"
        """Sign after which the server was last taken as cold."""

    def configure(self, document: ServiceDocument) -> None:
        """Take a newer document."""
        self._document = document
        self._cold.configure(document.cold_start, document.slots)
        self._adaptive.configure(document.slots)

    def bound(self, now: float) -> int:
        """Return how many requests may be in flight at the server now."""
        declared = min(self._document.slots, self._document.connections)
        bound = min(declared, self._cold.bound(now), self._adaptive.bound)
        return self._hold.bound(bound, now)

    @property
    def is_cold(self) -> bool:
        """Whether the ramp is not complete."""
        return self._cold.is_cold

    @property
    def is_down(self) -> bool:
        """Whether the server refuses all work."""
        return self._hold.is_on

    def ramp_remaining_s(self) -> float:
        """Return the time of steady service until the ramp is complete, in seconds."""
        return self._cold.remaining_s

    def hold_remaining_s(self, now: float) -> float:
        """Return the time until the next trial of a server that is down, in seconds."""
        return self._hold.remaining_s(now)

    def retry_after_s(self, refusal: str, queued: int, now: float) -> float:
        """Return when a refused attempt may be worth another try, in seconds; 0 for no advice.

        Args:
            refusal: Reason of the refusal.
            queued: Attempts that wait.
            now: Monotonic time in seconds.
        """
        match refusal:
            case "overloaded":
                rounds = (1 + queued) / max(1, self.bound(now))
                return max(1.0, rounds) * self.times.median_s
            case "server-down":
                return self.hold_remaining_s(now)
        return 0.0

    def turn_cold(self, reason: str, now: float) -> str:
        """Take the server as cold from now on."""
        self._cold.turn_cold(now)
        self._signs.reset()
        self.times.forget()
        self.cold_reason = reason
        return reason

    def used(self, now: float) -> None:
        """Note that a request is handed to the server."""
        self._cold.bound(now)
        self._cold.used(now)

    def served(
        self, request_class: str, started: float, incarnation: str, in_flight: int, now: float
    ) -> str:
        """Take a whole answer of the server.

        Args:
            request_class: Class of the request.
            started: When the request was handed over, in monotonic seconds.
            incarnation: Incarnation that the answer states, or an empty string.
            in_flight: Requests at the server, with this one.
            now: Monotonic time in seconds.
        """
        is_full = in_flight >= self.bound(now)
        self._hold.served(started)
        if sign := self._signs.incarnation(incarnation):
            return self.turn_cold(sign, now)
        slowdown = self.times.add(request_class, now - started, now)
        if sign := self._signs.served(slowdown, started, now):
            return self.turn_cold(sign, now)
        self._cold.served(started, now)
        self._adaptive.served(self.times.slowdown, self.times.median_s, is_full, now)
        return ""

    def overdue(self, request_class: str, started: float, now: float) -> None:
        """Take a request that passed its deadline at the server: it lasted this long at least."""
        if now - started > self.times.median_s:
            self.times.add(request_class, now - started, now)

    def failed(self, reason: str, now: float) -> str:
        """Take an exchange that failed, with the reason that the shell states."""
        sign = self._signs.failed(reason)
        if reason == SERVER_UNREACHABLE:
            self._hold.refused(now)
        return self.turn_cold(sign, now) if sign else ""

    def shed(self, in_flight: int, draining: bool, now: float) -> str:
        """Take a refusal by the server, with `in_flight` other requests at it."""
        sign = self._signs.shed(in_flight, self.bound(now), now)
        if draining:
            self._hold.refused(now)
        self._adaptive.shed(in_flight, now)
        return self.turn_cold(sign, now) if sign else ""

    def probed(self, succeeded: bool, incarnation: str, draining: bool, now: float) -> str:
        """Take the end of a probe."""
        if draining or not succeeded:
            self._hold.refused(now)
            return "" if draining else self.turn_cold("failed probe", now)
        self._hold.served(now)
        sign = self._signs.incarnation(incarnation)
        return self.turn_cold(sign, now) if sign else ""
