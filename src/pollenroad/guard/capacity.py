"""The capacity of a guard's server, from its declaration and the guard's observations."""

from pollenroad.guard.coldstart import SERVER_UNREACHABLE, Backoff, ColdDetector, ColdStart
from pollenroad.guard.concurrency import AdaptiveBound
from pollenroad.guard.service_times import ServiceTimes
from pollenroad.messages import Response
from pollenroad.models import ServiceDocument

INCARNATION_HEADER = "x-server-incarnation"
"""Header in which a server may send an id that changes with each of its restarts."""


def incarnation_of(response: Response) -> str:
    """Return the incarnation in a server's answer, or an empty string."""
    matches = (value for name, value in response.headers if name.lower() == INCARNATION_HEADER)
    return next(matches, "")


class Capacity:
    """The bound on requests in flight at one server.

    `served`, `failed`, `shed` and `probed` return the sign of a cold server that they detect, or an
    empty string. After a sign the server is treated as cold.
    """

    def __init__(self, document: ServiceDocument, now: float):
        self._document = document
        self._cold_start = ColdStart(document.cold_start, document.slots, now)
        self._detector = ColdDetector()
        self._backoff = Backoff()
        self._adaptive_bound = AdaptiveBound(document.slots)
        self.times = ServiceTimes()
        """Service times of the server."""
        self.cold_reason = "start of the guard"
        """Reason why the server was last marked as cold."""

    def configure(self, document: ServiceDocument) -> None:
        """Apply a newer document."""
        self._document = document
        self._cold_start.configure(document.cold_start, document.slots)
        self._adaptive_bound.configure(document.slots)

    def bound(self, now: float) -> int:
        """Return the maximum number of requests in flight at the server."""
        declared = min(self._document.slots, self._document.connections)
        bound = min(declared, self._cold_start.bound(now), self._adaptive_bound.bound)
        return self._backoff.bound(bound, now)

    @property
    def is_cold(self) -> bool:
        """Whether the cold start ramp is not complete."""
        return self._cold_start.is_cold

    @property
    def is_down(self) -> bool:
        """Whether it refused all requests or failed a probe, and no trial has succeeded since."""
        return self._backoff.is_active

    def ramp_remaining_s(self) -> float:
        """Return the time of steady service still needed to complete the ramp, in seconds."""
        return self._cold_start.remaining_s

    def backoff_remaining_s(self, now: float) -> float:
        """Return the time until the next trial request to a server that is down, in seconds."""
        return self._backoff.remaining_s(now)

    def retry_after_s(self, refusal: str, queued: int, now: float) -> float:
        """Return the time after which a retry may succeed, in seconds; 0 if not known.

        Args:
            refusal: Reason of the refusal.
            queued: Number of attempts that wait for a slot.
            now: Monotonic time in seconds.
        """
        match refusal:
            case "overloaded":
                rounds = (1 + queued) / max(1, self.bound(now))
                return max(1.0, rounds) * self.times.median_s
            case "server-down":
                return self.backoff_remaining_s(now)
        return 0.0

    def mark_cold(self, reason: str, now: float) -> str:
        """Treat the server as cold from now on, and return `reason`."""
        self._cold_start.mark_cold(now)
        self._detector.reset()
        self.times.reset_baselines()
        self.cold_reason = reason
        return reason

    def record_use(self, now: float) -> None:
        """Record that a request is sent to the server."""
        self._cold_start.bound(now)  # Marks the server as cold if it was idle for too long.
        self._cold_start.record_use(now)

    def served(
        self, request_class: str, started: float, incarnation: str, in_flight: int, now: float
    ) -> str:
        """Observe a complete answer of the server.

        Args:
            request_class: Name of the class of the request.
            started: When the request was sent to the server, in monotonic seconds.
            incarnation: Incarnation in the answer, or an empty string.
            in_flight: Number of requests at the server, including this one.
            now: Monotonic time in seconds.
        """
        is_full = in_flight >= self.bound(now)
        self._backoff.served(started)
        if sign := self._detector.incarnation(incarnation):
            return self.mark_cold(sign, now)
        slowdown = self.times.add(request_class, now - started, now)
        if sign := self._detector.served(slowdown, started, now):
            return self.mark_cold(sign, now)
        self._cold_start.served(started, now)
        self._adaptive_bound.served(self.times.slowdown, self.times.median_s, is_full, now)
        return ""

    def overdue(self, request_class: str, started: float, now: float) -> None:
        """Observe a request past its deadline; its age is a lower bound of its service time."""
        if now - started > self.times.median_s:
            self.times.add(request_class, now - started, now)

    def failed(self, reason: str, now: float) -> str:
        """Observe a failed exchange, with the reason given by the shell."""
        sign = self._detector.failed(reason)
        if reason == SERVER_UNREACHABLE:
            self._backoff.refused(now)
        return self.mark_cold(sign, now) if sign else ""

    def shed(self, in_flight: int, draining: bool, now: float) -> str:
        """Observe a refusal by the server while it had `in_flight` other requests."""
        sign = self._detector.shed(in_flight, self.bound(now), now)
        if draining:
            self._backoff.refused(now)
        self._adaptive_bound.shed(in_flight, now)
        return self.mark_cold(sign, now) if sign else ""

    def probed(self, succeeded: bool, incarnation: str, draining: bool, now: float) -> str:
        """Observe the result of a probe."""
        if draining or not succeeded:
            self._backoff.refused(now)
            return "" if draining else self.mark_cold("failed probe", now)
        self._backoff.served(now)
        sign = self._detector.incarnation(incarnation)
        return self.mark_cold(sign, now) if sign else ""
