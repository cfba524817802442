"""Rate limiting of requests to a cold server."""

from dataclasses import dataclass

BURST = 2.0
"""Size of the token bucket: requests that a rate-limited server may get at once."""

REQUESTS_BEFORE_DETECTION = 5.0
"""Requests that a server may get in the second in which it becomes cold, before its guard detects
it: those that `pollenroad.proxy.health` allows after one health response, and one in transit."""

MIN_WAIT_S = 0.001
"""Shortest wait for a token, in seconds: after rounding, the timer of a shorter one could be due
immediately and forever."""

START_TOKENS = 1.0
"""Tokens of a guard that has just started: the process that it replaces may have used up the
rest."""


@dataclass(frozen=True, slots=True)
class ColdBound:
    """Limit on requests to a cold server in any second: declared rate * factor + slack."""

    factor: float = 1.0
    slack: float = 0.0

    def rate_per_s(self, declared_per_s: float) -> float:
        """Return the rate of the token bucket; 0 for no limit.

        It is the highest rate that keeps every second within the bound, but at least the declared
        one.
        """
        if declared_per_s <= 0:
            return 0.0
        highest_per_s = declared_per_s * self.factor
        return max(
            declared_per_s,
            min(highest_per_s, highest_per_s + self.slack - BURST - REQUESTS_BEFORE_DETECTION),
        )


NO_COLD_BOUND = ColdBound()
"""Default bound: a cold server gets its declared rate."""


class ColdRateLimiter:
    """Token bucket that limits the rate of requests to one cold server.

    All requests to the server pass through its guard, so the limit holds for the whole fleet.
    """

    def __init__(self, now: float):
        self._tokens = START_TOKENS
        self._updated = now
        self._cold_until = float("-inf")

    def is_cold(self, now: float) -> bool:
        """Return whether the server is cold."""
        return now < self._cold_until

    def set_cold(self, cold_s: float, now: float) -> bool:
        """Set the remaining cold time in seconds; return whether the server just became cold."""
        was_cold = self.is_cold(now)
        self._cold_until = now + cold_s
        is_new = cold_s > 0 and not was_cold
        if is_new:
            self._tokens = 0.0  # Requests sent before the detection count as well.
        return is_new

    def cold_until(self) -> float:
        """Return when the cold period ends, in monotonic seconds."""
        return self._cold_until

    def try_acquire(self, rate_per_s: float, now: float) -> bool:
        """Take one token if there is one; return whether there was."""
        self._refill(rate_per_s, now)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def next_token_s(self, rate_per_s: float) -> float:
        """Return the time until the next token, in seconds."""
        return max(MIN_WAIT_S, (1 - self._tokens) / rate_per_s)

    def _refill(self, rate_per_s: float, now: float) -> None:
        gained = rate_per_s * max(0.0, now - self._updated)
        self._tokens = min(BURST, self._tokens + gained)
        self._updated = now
