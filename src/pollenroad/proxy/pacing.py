"""How fast a cold server may be given requests. No I/O."""

from dataclasses import dataclass

BURST = 2.0
"""Requests that a paced server may get at once."""

UNPACED = 5.0
"""Requests that a server may get in the second in which it turns cold, before its guard knows:
those that `pollenroad.proxy.health` lets start on one word of the server, and one under way."""

MIN_WAIT_S = 0.001
"""Shortest wait for a token in seconds; rounding could make a shorter one due at once for ever."""

START_TOKENS = 1.0
"""Requests that a guard which has just started may hand over at once: the one before it may have
used up the rest."""


@dataclass(frozen=True, slots=True)
class ColdBound:
    """How many requests a cold server may get in any second, over its declared rate."""

    factor: float = 1.0
    slack: float = 0.0

    def rate_per_s(self, declared_per_s: float) -> float:
        """Return the rate at which every second stays within the bound; 0 for no bound."""
        if declared_per_s <= 0:
            return 0.0
        most = declared_per_s * self.factor
        return max(declared_per_s, min(most, most + self.slack - BURST - UNPACED))


NO_COLD_BOUND = ColdBound()
"""Where nothing is stated, a cold server gets its declared rate."""


class ColdPace:
    """Token bucket over the requests of one cold server.

    The guard is the only way to its server, so that the rate holds for the whole fleet.
    """

    def __init__(self, now: float):
        self._tokens = START_TOKENS
        self._updated = now
        self._cold_until = float("-inf")

    def is_cold(self, now: float) -> bool:
        """Tell whether the server is cold."""
        return now < self._cold_until

    def set_cold(self, cold_s: float, now: float) -> bool:
        """Take how much longer the server is cold; tell whether it has just become cold."""
        was_cold = self.is_cold(now)
        self._cold_until = now + cold_s
        is_new = cold_s > 0 and not was_cold
        if is_new:
            self._tokens = 0.0  # What was handed over unpaced counts as well.
        return is_new

    def until(self) -> float:
        """Return when the server stops being cold, in monotonic seconds."""
        return self._cold_until

    def take(self, rate_per_s: float, now: float) -> bool:
        """Take one token; tell whether there was one."""
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
