"""Cold start: the load that a server can handle after it started, restarted or became cold.

`ColdStart` is the bound and its ramp. `ColdDetector` detects from a guard's observations that the
server became cold without notice. `Backoff` stops requests to a server that refuses them all.
"""

from collections import deque

from pollenroad.models import ColdStart as ColdStartRules

RAMP_STEP_S = 1.0
"""Maximum time that one served request adds to the ramp, in seconds. Longer gaps do not count in
full, because a server that serves nothing does not warm up."""

SHED_BURST = 3
"""Refusals by the server within `SHED_BURST_S` that indicate a cold server, if each came
with at most half of the bound in flight."""

SHED_BURST_S = 1.0
"""Longest duration of a burst of refusals, in seconds."""

JUMP_RATIO = 3.0
"""Ratio of a service time to its baseline from which a cold server is suspected."""

JUMP_SAMPLES = 4
"""Consecutive requests, started after the first suspicion, that must be as slow to confirm it. A
pause of the server slows only the requests that were in flight during it."""

BACKOFF_S = 0.25
"""First backoff from a server that refuses all requests, in seconds."""

MAX_BACKOFF_S = 2.0
"""Longest backoff until the next trial request, in seconds."""

SERVER_UNREACHABLE = "server-unreachable"
"""Reason of a `ServerFailed` event whose connection could not be opened."""

SERVER_RESET = "server-reset"
"""Reason of a `ServerFailed` event whose connection the server closed or reset."""


class ColdStart:
    """The bound of a server that may be cold, and its ramp. The server is cold at first."""

    def __init__(self, rules: ColdStartRules, slots: int, now: float):
        self._rules = rules
        self._slots = slots
        self.mark_cold(now)

    def configure(self, rules: ColdStartRules, slots: int) -> None:
        """Apply the rules and slots of a newer document."""
        self._rules = rules
        self._slots = slots

    def mark_cold(self, now: float) -> None:
        """Treat the server as cold from now on."""
        self._cold_since = now
        self._served_s = 0.0
        self._credited_until = now
        self._last_use = now

    def bound(self, now: float) -> int:
        """Return the bound on requests in flight at this point of the ramp.

        A server that has been idle for `idle_s` is marked as cold first.
        """
        idle_s = self._rules.idle_s
        if idle_s and now - self._last_use >= idle_s:
            self.mark_cold(now)
        if self.remaining_s <= 0:
            return self._slots
        start = min(self._rules.bound, self._slots)
        ramped_s = self._served_s - self._rules.cold_s
        if ramped_s <= 0:
            return start
        return start + int((self._slots - start) * ramped_s / self._rules.ramp_s)

    @property
    def is_cold(self) -> bool:
        """Whether the ramp still limits the requests in flight."""
        return self.remaining_s > 0 and self._rules.bound < self._slots

    @property
    def remaining_s(self) -> float:
        """Time of steady service still needed to complete the ramp, in seconds."""
        return max(0.0, self._rules.cold_s + self._rules.ramp_s - self._served_s)

    def record_use(self, now: float) -> None:
        """Record that the server is processing a request."""
        self._last_use = now

    def served(self, started: float, now: float) -> None:
        """Count a request served since `started` towards the ramp.

        A request started before the server became cold says nothing about its present state.
        """
        self._last_use = now
        if started < self._cold_since or self.remaining_s <= 0:
            return
        self._served_s += min(now - self._credited_until, RAMP_STEP_S)
        self._credited_until = now


class ColdDetector:
    """Detects from a guard's observations of its server that the server became cold."""

    def __init__(self):
        self._sheds = deque(maxlen=SHED_BURST)
        self._suspect_since = None
        self._slow_count = 0
        self._incarnation = ""

    def reset(self) -> None:
        """Discard the observations, once the server is treated as cold."""
        self._sheds.clear()
        self._suspect_since = None
        self._slow_count = 0

    def failed(self, reason: str) -> str:
        """Observe a failed exchange; return the sign of a cold server, or an empty string."""
        match reason:
            case _ if reason == SERVER_UNREACHABLE:
                return "connection refused"
            case _ if reason == SERVER_RESET:
                return "connection reset"
        return ""

    def shed(self, in_flight: int, bound: int, now: float) -> str:
        """Observe a refusal by the server; return the sign of a cold server, or ""."""
        if in_flight > bound / 2:
            return ""
        self._sheds.append(now)
        is_burst = len(self._sheds) == SHED_BURST and now - self._sheds[0] <= SHED_BURST_S
        return "burst of refusals" if is_burst else ""

    def served(self, slowdown: float, started: float, now: float) -> str:
        """Observe a served request; return the sign of a cold server, or an empty string.

        Args:
            slowdown: Ratio of its service time to the baseline.
            started: When it was sent to the server, in monotonic seconds.
            now: Monotonic time in seconds.
        """
        if slowdown >= JUMP_RATIO and self._suspect_since is None:
            self._suspect_since = now
            self._slow_count = 0
            return ""
        if self._suspect_since is None or started < self._suspect_since:
            return ""
        if slowdown < JUMP_RATIO:
            self._suspect_since = None
            return ""
        self._slow_count += 1
        return "jump of the service time" if self._slow_count >= JUMP_SAMPLES else ""

    def incarnation(self, value: str) -> str:
        """Observe the server's incarnation; return the sign of a cold server, or ""."""
        is_new = bool(self._incarnation and value and value != self._incarnation)
        self._incarnation = value or self._incarnation
        return "new incarnation" if is_new else ""


class Backoff:
    """Exponential backoff from a server that refuses all requests, with one trial at a time."""

    def __init__(self):
        self._delay_s = 0.0
        self._refused_at = 0.0
        self._until = 0.0

    @property
    def is_active(self) -> bool:
        """Whether the server has refused and no trial has succeeded since then."""
        return self._delay_s > 0

    def refused(self, now: float) -> None:
        """Observe a refusal of all requests; one after the end of a backoff doubles it."""
        if now < self._until:
            return
        self._delay_s = min(max(self._delay_s * 2, BACKOFF_S), MAX_BACKOFF_S)
        self._refused_at = now
        self._until = now + self._delay_s

    def served(self, started: float) -> None:
        """Observe a success; the backoff ends if its request started after the last refusal."""
        if started >= self._refused_at:
            self._delay_s = 0.0

    def bound(self, bound: int, now: float) -> int:
        """Return how much of `bound` to admit: 0 during the backoff, 1 for the trial after it."""
        if not self.is_active:
            return bound
        return 0 if now < self._until else min(1, bound)

    def remaining_s(self, now: float) -> float:
        """Return the time until the next trial, in seconds."""
        return max(0.0, self._until - now) if self.is_active else 0.0
