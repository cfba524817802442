"""Cold start: how much a server bears after it started, restarted, or fell cold unannounced.

`ColdStart` is the bound and its ramp. `ColdSigns` tells from what a guard sees at its server that
the server has fallen cold. `Hold` keeps work off a server that refuses everything.
"""

from collections import deque

from pollenroad.models import ColdStart as ColdStartRules

RAMP_STEP_S = 1.0
"""Longest time that one served request counts towards the ramp, in seconds: a server that serves
nothing does not warm up."""

SHED_BURST = 3
"""Refusals by the server within `SHED_BURST_S` that are a sign of a cold server, when each came at
no more than half of the bound."""

SHED_BURST_S = 1.0
"""Time over which refusals count as one burst, in seconds."""

JUMP_RATIO = 3.0
"""Service time, as a multiple of the usual one, that raises the suspicion of a cold server."""

JUMP_SAMPLES = 4
"""Requests begun after the first suspicion that must be as slow, one after the other: a pause of
the server slows only what was in flight during the pause."""

HOLD_S = 0.25
"""First time without work after a server refused a connection or drains, in seconds."""

MAX_HOLD_S = 2.0
"""Longest time without work until the next trial, in seconds."""

SERVER_UNREACHABLE = "server-unreachable"
"""Reason of a `ServerFailed` whose connection could not be opened."""

SERVER_RESET = "server-reset"
"""Reason of a `ServerFailed` whose connection the server closed or reset."""


class ColdStart:
    """The bound of a server that may be cold. A new one is cold."""

    def __init__(self, rules: ColdStartRules, slots: int, now: float):
        self._rules = rules
        self._slots = slots
        self.turn_cold(now)

    def configure(self, rules: ColdStartRules, slots: int) -> None:
        """Take the rules and slots of a newer document."""
        self._rules = rules
        self._slots = slots

    def turn_cold(self, now: float) -> None:
        """Take the server as cold from now on."""
        self._cold_since = now
        self._served_s = 0.0
        self._credited = now
        self._last_use = now

    def bound(self, now: float) -> int:
        """Return how many requests in flight the server bears now, as far as its ramp goes."""
        idle_s = self._rules.idle_s
        if idle_s and now - self._last_use >= idle_s:
            self.turn_cold(now)
        if self.remaining_s <= 0:
            return self._slots
        start = min(self._rules.bound, self._slots)
        ramped_s = self._served_s - self._rules.cold_s
        if ramped_s <= 0:
            return start
        return start + int((self._slots - start) * ramped_s / self._rules.ramp_s)

    @property
    def is_cold(self) -> bool:
        """Whether the ramp still keeps work off the server."""
        return self.remaining_s > 0 and self._rules.bound < self._slots

    @property
    def remaining_s(self) -> float:
        """Time of steady service until the ramp is complete, in seconds."""
        return max(0.0, self._rules.cold_s + self._rules.ramp_s - self._served_s)

    def used(self, now: float) -> None:
        """Note that the server has a request in hand."""
        self._last_use = now

    def served(self, started: float, now: float) -> None:
        """Take a request that the server served, begun at `started`.

        One that was begun before the server fell cold proves nothing about it now.
        """
        self._last_use = now
        if started < self._cold_since or self.remaining_s <= 0:
            return
        self._served_s += min(now - self._credited, RAMP_STEP_S)
        self._credited = now


class ColdSigns:
    """Signs, in what a guard sees at its server, that the server has fallen cold."""

    def __init__(self):
        self._sheds = deque(maxlen=SHED_BURST)
        self._suspect_since = None
        self._slow_count = 0
        self._incarnation = ""

    def reset(self) -> None:
        """Forget the signs, as after the server was taken as cold."""
        self._sheds.clear()
        self._suspect_since = None
        self._slow_count = 0

    def failed(self, reason: str) -> str:
        """Take a failed exchange; return the sign of a cold server in it, or an empty string."""
        match reason:
            case _ if reason == SERVER_UNREACHABLE:
                return "connection refused"
            case _ if reason == SERVER_RESET:
                return "connection reset"
        return ""

    def shed(self, in_flight: int, bound: int, now: float) -> str:
        """Take a refusal by the server; return the sign of a cold server in it, or ""."""
        if in_flight > bound / 2:
            return ""
        self._sheds.append(now)
        is_burst = len(self._sheds) == SHED_BURST and now - self._sheds[0] <= SHED_BURST_S
        return "burst of refusals" if is_burst else ""

    def served(self, slowdown: float, started: float, now: float) -> str:
        """Take a served request; return the sign of a cold server in it, or an empty string.

        Args:
            slowdown: Its service time as a multiple of the usual one.
            started: When it was handed to the server, in monotonic seconds.
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
        """Take the incarnation that the server states; return the sign in it, or ""."""
        is_new = bool(self._incarnation and value and value != self._incarnation)
        self._incarnation = value or self._incarnation
        return "new incarnation" if is_new else ""


class Hold:
    """Keeps work off a server that refuses all of it, and lets one trial through at a time."""

    def __init__(self):
        self._length_s = 0.0
        self._since = 0.0
        self._until = 0.0

    @property
    def is_on(self) -> bool:
        """Whether the server has refused and no trial has succeeded since."""
        return self._length_s > 0

    def refused(self, now: float) -> None:
        """Take a refusal of all work; each in a row doubles the hold."""
        if now < self._until:
            return
        self._length_s = min(max(self._length_s * 2, HOLD_S), MAX_HOLD_S)
        self._since = now
        self._until = now + self._length_s

    def served(self, started: float) -> None:
        """Take a request that the server served; one begun before the hold proves nothing."""
        if started >= self._since:
            self._length_s = 0.0

    def bound(self, bound: int, now: float) -> int:
        """Return how much of `bound` to admit: nothing during a hold, 1 for the trial after it."""
        if not self.is_on:
            return bound
        return 0 if now < self._until else min(1, bound)

    def remaining_s(self, now: float) -> float:
        """Return the time until the next trial in seconds."""
        return max(0.0, self._until - now) if self.is_on else 0.0
