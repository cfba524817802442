"""What the server beside a guard last said of itself, how old that is, and when to ask. No I/O."""

from pollenroad.proxy.boundary import ServerSeen
from pollenroad.proxy.pacing import ColdPace

FRESH_S = 0.02
"""Age up to which the server's word on its speed counts for a start, in seconds. Work that starts
while its VM is slow stays slow to its end, and neighbours come and go several times a second."""

ANSWER_S = 0.06
"""Time for which a start waits for a health answer, in seconds: such an answer takes up to 6 ms,
and several times that while the VM is slow."""

CHECK_S = 0.09
"""Age of the newest word of the server after which its health is asked, in seconds."""

CHECK_TIMEOUT_S = 1.0
"""Time for a health check in seconds."""

IDLE_CHECK_S = 0.45
"""The same while no attempt has come for `IDLE_S`, in seconds."""

IDLE_S = 2.0
"""Time without an attempt after which less is asked, in seconds."""

MIN_CHECK_S = 0.02
"""Shortest time between two health checks, in seconds: below the 60 a second that are allowed."""

WARM_S = 1.0
"""Age up to which the server's word that it is warm counts, in seconds."""

UNCHECKED_STARTS = 4
"""Requests handed over since that word, from which the server is taken as cold until it is asked
again: it may turn cold at any moment, and what it got unpaced adds to what it gets paced."""

SILENT_CHECKS = 3
"""Health checks without an answer, one after the other, after which the server counts as down."""

SLOW_FACTOR = 2.5
"""Slowdown from which attempts rather wait: what starts now stays slow, and the VM may be quick
again in half a second."""

COLD_FACTOR = 2.0
"""Least slowdown assumed of a cold server, as a multiple of the usual time."""


class ServerHealth:
    """The newest word of one server."""

    def __init__(self, now: float):
        self.pace = ColdPace(now)
        self.slowdown = 1.0
        """Time that work takes there, as a multiple of the usual one."""
        self._seen_at = float("-inf")
        self._checked_at = float("-inf")
        self._asked_at = float("-inf")
        self._is_asked = False
        self._starts_unchecked = 0
        self._silent_checks = 0

    @property
    def is_down(self) -> bool:
        """Whether the server does not answer health checks."""
        return self._silent_checks >= SILENT_CHECKS

    def is_cold(self, now: float) -> bool:
        """Tell whether the server has said that it is cold."""
        return self.pace.is_cold(now)

    def state(self, now: float) -> str:
        """Return the state for load reports of a server that takes work."""
        if self.is_down:
            return "down"
        return "cold" if self.is_cold(now) else "serving"

    def is_warm(self, now: float) -> bool:
        """Tell whether the server's own word that it is warm is fresh enough to go by."""
        is_fresh = now - self._checked_at < WARM_S
        return is_fresh and self._starts_unchecked < UNCHECKED_STARTS and not self.is_cold(now)

    def expected_slowdown(self, now: float) -> float:
        """Return by what factor work that starts now takes longer than usual."""
        return max(self.slowdown, COLD_FACTOR if self.is_cold(now) else 1.0)

    def is_fresh(self, now: float) -> bool:
        """Tell whether the server's word on its speed is fresh enough to go by."""
        return self.age_s(now) <= FRESH_S

    def age_s(self, now: float) -> float:
        """Return the age of the server's newest word, in seconds."""
        return now - self._seen_at

    # --- Asking ---

    def needs_word(self, now: float) -> bool:
        """Tell whether a start is to wait for the server's word on its speed."""
        if self.is_fresh(now):
            return False
        if self._is_asked:
            return now < self._asked_at + ANSWER_S
        return now >= self._asked_at + MIN_CHECK_S

    def answer_due(self) -> float:
        """Return until when a start waits for the answer that is asked for."""
        return self._asked_at + ANSWER_S

    def is_check_due(self, now: float, attempted_at: float, has_waiting: bool) -> bool:
        """Tell whether to ask the server now.

        Args:
            now: Monotonic time in seconds.
            attempted_at: When the last attempt came.
            has_waiting: Whether attempts wait for a start.
        """
        if self._is_asked or now - self._asked_at < MIN_CHECK_S:
            return False
        if self._starts_unchecked >= UNCHECKED_STARTS / 2:
            return True
        if has_waiting:
            return not self.is_fresh(now) or now - self._checked_at >= WARM_S
        is_idle = now - attempted_at > IDLE_S
        return self.age_s(now) >= (IDLE_CHECK_S if is_idle else CHECK_S)

    def asked(self, now: float) -> None:
        """Note that the server is being asked."""
        self._is_asked = True
        self._asked_at = now

    # --- Answers ---

    def seen(self, seen: ServerSeen, now: float) -> bool:
        """Take the server's word; tell whether it has just turned cold."""
        self._silent_checks = 0
        self.slowdown = seen.slowdown
        self._seen_at = now
        if not seen.is_health:
            return False
        self._is_asked = False
        self._checked_at = now
        self._starts_unchecked = 0
        return seen.cold_s is not None and self.pace.set_cold(seen.cold_s, now)

    def silent(self) -> bool:
        """Take a health check without an answer; tell whether the server now counts as down."""
        self._is_asked = False
        self._silent_checks += 1
        return self._silent_checks == SILENT_CHECKS

    def restarted(self, cold_s: float, now: float) -> bool:
        """Take a new start of the server; tell whether it is cold by its registration."""
        self._silent_checks = 0
        self._checked_at = float("-inf")
        return cold_s > 0 and self.pace.set_cold(cold_s, now)

    def started(self) -> None:
        """Count a request that was handed over."""
        self._starts_unchecked += 1
