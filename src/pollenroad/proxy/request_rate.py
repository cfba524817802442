"""The rate at which a guard starts requests at a server that states a limit."""

BURST_S = 1.0
"""Time for which unused rate is saved up, in seconds."""

MIN_BURST = 1.0
"""Least capacity of the bucket, in requests; with less, nothing could ever start."""

START_TOKENS = 1.0
"""Tokens when a limit is first known. The server has had requests before, at another rate, maybe
from an earlier process of this guard."""

MIN_WAIT_S = 0.001
"""Shortest wait for a token, in seconds: after rounding, the timer of a shorter one could be due
immediately and forever."""

MAX_WAIT_S = 60.0
"""Longest wait that is stated, in seconds."""

MIN_PER_S = 0.001
"""Lowest limit by which a wait is computed, in requests a second: a server may take nothing at all,
for now."""


class RequestRate:
    """Token bucket of one server.

    All requests to the server pass through its guard, so that the limit holds for all daemons
    together.
    """

    def __init__(self):
        self.per_s: float | None = None
        """Limit in requests a second, or None if the server states none."""
        self._tokens = START_TOKENS
        self._updated = 0.0

    @property
    def is_limited(self) -> bool:
        """Whether the server states a limit."""
        return self.per_s is not None

    def set_limit(self, per_s: float | None, now: float) -> None:
        """Set the limit in requests a second, or None if the server states none."""
        if per_s == self.per_s:
            return
        if self.per_s is None:
            self._tokens, self._updated = START_TOKENS, now
        self._refill(now)
        self.per_s = per_s
        self._tokens = min(self._tokens, self._capacity())

    def wait_s(self, count: int, now: float) -> float:
        """Return the time until `count` more requests may have started, in seconds.

        It is at most `MAX_WAIT_S`.
        """
        ahead_s = self.ahead_s(count, now)
        return min(MAX_WAIT_S, max(MIN_WAIT_S, ahead_s)) if ahead_s > 0 else 0.0

    def ahead_s(self, count: int, now: float) -> float:
        """Return the same time without bounds; negative if there is room for more requests."""
        if self.per_s is None:
            return 0.0
        self._refill(now)
        return (count - self._tokens) / max(self.per_s, MIN_PER_S)

    def take(self) -> None:
        """Count a request that is started."""
        if self.per_s is not None:
            self._tokens -= 1

    def _capacity(self) -> float:
        return max(MIN_BURST, BURST_S * (self.per_s or 0.0))

    def _refill(self, now: float) -> None:
        gained = (self.per_s or 0.0) * max(0.0, now - self._updated)
        self._tokens = min(self._capacity(), self._tokens + gained)
        self._updated = now
