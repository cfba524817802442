"""Last reported status of the server on this VM, its age, and when to check its health."""

from pollenroad.proxy.boundary import ServerSeen
from pollenroad.proxy.cold_rate import ColdRateLimiter
from pollenroad.proxy.endpoint_states import COLD, DOWN, SERVING
from pollenroad.proxy.recovery.cold_window import ColdWindow

FRESH_S = 0.02
"""Age up to which the reported speed of the server is used to start an attempt, in seconds. Work
that starts while its VM is slow stays slow to its end, and the load of other workloads on the same
hardware changes several times a second."""

CHECK_WAIT_S = 0.06
"""Longest wait of an attempt for the response of a health check before it starts, in seconds. Such
a response takes up to 6 ms, and several times that while the VM is slow."""

BEAT_S = 0.09
"""Least interval at which the guard tests whether a health check is due, in seconds."""

CHECK_INTERVAL_S = 0.09
"""Least age of the last status after which the server's health is checked, in seconds."""

CHECK_TIMEOUT_S = 1.0
"""Timeout of a health check, in seconds."""

IDLE_CHECK_INTERVAL_S = 0.45
"""Greatest age of the last status after which the server's health is checked, in seconds. Between
the two, it is checked about as often as attempts arrive."""

RECOVERY_WATCH_S = 2.0
"""Time since the last attempt for which a slow server is checked as often as a busy one: entries
avoid it until they hear that it is fast again. In seconds."""

SLOW_TO_WATCH = 1.6
"""Slowdown from which that applies."""

GAP_WEIGHT = 0.1
"""Weight of the newest gap between two attempts in their moving average."""

CHECK_GAP_S = 0.02
"""Shortest time between two health checks, in seconds, within the limit of 60 a second."""

WARM_S = 1.0
"""Age up to which a health response shows that the server is warm, in seconds."""

UNCHECKED_STARTS = 4
"""Requests started since the last health response, from which the server is treated as cold until
the next one: it may become cold at any moment, and requests that it got without a rate limit add
to those within the limit."""

MAX_FAILED_CHECKS = 3
"""Consecutive failed health checks after which the server counts as down."""

SLOW_FACTOR = 2.5
"""Slowdown from which attempts wait: work that starts now stays slow, while the VM may be fast
again in half a second."""

COLD_FACTOR = 2.0
"""Minimum slowdown assumed for a cold server, as a multiple of the usual time."""


class ServerHealth:
    """Last reported status of one server."""

    def __init__(self, now: float):
        self.cold_limiter = ColdRateLimiter(now)
        self.cold_window = ColdWindow(now)
        self.slowdown = 1.0
        """Last reported service time, as a multiple of the usual one."""
        self._observed_at = float("-inf")
        self._checked_at = float("-inf")
        self._check_sent_at = float("-inf")
        self._is_check_open = False
        self._starts_unchecked = 0
        self._failed_checks = 0
        self._last_attempt_at = now
        self._attempt_gap_s = CHECK_INTERVAL_S

    @property
    def is_down(self) -> bool:
        """Whether the server counts as down after consecutive failed health checks."""
        return self._failed_checks >= MAX_FAILED_CHECKS

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold, by its own status or its registration."""
        return self.cold_limiter.is_cold(now)

    def state(self, now: float) -> str:
        """Return the state that load reports give for a server in service."""
        if self.is_down:
            return DOWN
        return COLD if self.is_cold(now) else SERVING

    def is_warm(self, now: float) -> bool:
        """Return whether a recent health response shows that the server is warm."""
        is_recent = now - self._checked_at < WARM_S
        return is_recent and self._starts_unchecked < UNCHECKED_STARTS and not self.is_cold(now)

    def expected_slowdown(self, now: float) -> float:
        """Return the expected slowdown of work that starts now, as a multiple of the usual time."""
        return max(self.slowdown, COLD_FACTOR if self.is_cold(now) else 1.0)

    def is_fresh(self, now: float) -> bool:
        """Return whether the reported speed of the server is recent enough to start attempts."""
        return self.age_s(now) <= FRESH_S

    def age_s(self, now: float) -> float:
        """Return the age of the last status of the server, in seconds."""
        return now - self._observed_at

    # --- Checks ---

    def should_await_check(self, now: float) -> bool:
        """Return whether an attempt has to wait for the response of a health check."""
        if self.is_fresh(now):
            return False
        if self._is_check_open:
            return now < self._check_sent_at + CHECK_WAIT_S
        return now >= self._check_sent_at + CHECK_GAP_S

    def check_wait_until(self) -> float:
        """Return until when attempts wait for the open check, in monotonic seconds."""
        return self._check_sent_at + CHECK_WAIT_S

    def attempted(self, now: float) -> None:
        """Record that an attempt has arrived."""
        gap_s = min(IDLE_CHECK_INTERVAL_S, now - self._last_attempt_at)
        self._attempt_gap_s += GAP_WEIGHT * (gap_s - self._attempt_gap_s)
        self._last_attempt_at = now

    def next_check_at(self, now: float) -> float:
        """Return when the next check is due if no attempt arrives before, in monotonic seconds."""
        since_attempt_s = now - self._last_attempt_at
        gap_s = max(self._attempt_gap_s, since_attempt_s)
        is_slow = self.slowdown >= SLOW_TO_WATCH and since_attempt_s < RECOVERY_WATCH_S
        if is_slow or 0 < self._failed_checks < MAX_FAILED_CHECKS:
            gap_s = 0.0
        interval_s = min(IDLE_CHECK_INTERVAL_S, max(CHECK_INTERVAL_S, gap_s))
        return max(self._observed_at, self._check_sent_at) + interval_s

    def is_check_due(self, now: float, has_waiting: bool) -> bool:
        """Return whether a health check is due.

        Args:
            now: Monotonic time in seconds.
            has_waiting: Whether attempts wait for a start.
        """
        if self._is_check_open or now - self._check_sent_at < CHECK_GAP_S:
            return False
        if self._starts_unchecked >= UNCHECKED_STARTS / 2:
            return True
        if has_waiting:
            return not self.is_fresh(now) or now - self._checked_at >= WARM_S
        return now >= self.next_check_at(now)

    def check_sent(self, now: float) -> None:
        """Record that a health check is sent."""
        self._is_check_open = True
        self._check_sent_at = now

    # --- Results ---

    def observe(self, seen: ServerSeen, now: float) -> bool:
        """Record the status of the server; return whether it has just become cold."""
        self._failed_checks = 0
        self.slowdown = seen.slowdown
        self._observed_at = now
        if not seen.is_health:
            return False
        sent_at = self._check_sent_at if self._is_check_open else now
        self._is_check_open = False
        self._checked_at = now
        self._starts_unchecked = 0
        has_become_cold = seen.cold_s is not None and self.cold_limiter.set_cold(seen.cold_s, now)
        if not self.is_cold(now):
            self.cold_window.was_warm(sent_at)
        return has_become_cold

    def check_failed(self) -> bool:
        """Record a failed health check; return whether it makes the server count as down."""
        self._is_check_open = False
        self._failed_checks += 1
        return self._failed_checks == MAX_FAILED_CHECKS

    def restarted(self, cold_s: float, now: float) -> bool:
        """Record a restart of the server; return whether its registration makes it cold."""
        self._failed_checks = 0
        self._checked_at = float("-inf")
        self.cold_window.restarted()
        return cold_s > 0 and self.cold_limiter.set_cold(cold_s, now)

    def started(self, now: float) -> None:
        """Count a request that is started at the server."""
        self._starts_unchecked += 1
        self.cold_window.started(now)
