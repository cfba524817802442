"""Sliding window over the requests that a guard started at its server, for the bound on cold ones.

Load: all servers of a service are cold at once, so that each second of their bound counts. A token
bucket needs part of the bound for its burst and for requests before detection, and loses the tokens
of the time in which nothing could start. The window counts the starts themselves, whether the
server was known to be cold or not, so that the rest of the bound can be used at any moment.
"""

import math
from collections import deque
from itertools import dropwhile

from pollenroad.proxy.cold_rate import ColdBound

WINDOW_S = 1.1
"""Length of the window, in seconds: the second of the bound, and a margin for the difference in
transit between the first and the last request of that second."""

RESERVE = 1.0
"""Part of the slack that is not used, in requests: one that is not counted here, such as a request
that an earlier process of the daemon sent late."""

PREVIOUS_SHARE = 0.5
"""Share of the limit that counts as used when the daemon starts: its previous process may have
started requests."""

UNCHECKED_STARTS = 4
"""Least limit while the server has not stated that it is cold. Warm servers with a low cold rate
would otherwise get hardly any requests between two health checks."""

CHECK_MARGIN_S = 0.01
"""Longest time by which a request may overtake or follow a health check that was sent at the same
moment, in seconds; both use the loopback interface."""

MIN_WAIT_S = 0.001
"""Shortest wait for a start, in seconds: after rounding, the timer of a shorter one could be due
immediately and forever."""


def window_limit(bound: ColdBound, declared_per_s: float) -> float:
    """Return the starts that a window may hold at a cold server; infinite for no limit."""
    if declared_per_s <= 0:
        return math.inf
    return max(1.0, declared_per_s * bound.factor + max(0.0, bound.slack - RESERVE))


class ColdWindow:
    """Starts at one server in the last `WINDOW_S`, and the last proof that it was warm.

    Args:
        now: Start of the daemon, in monotonic seconds.
    """

    def __init__(self, now: float):
        self._since = now
        self._starts: deque[float] = deque()
        self._warm_at = -math.inf
        """When the last health check was sent whose response said that the server is warm."""

    def started(self, now: float) -> None:
        """Record a request that is started at the server."""
        self._forget(now)
        self._starts.append(now)

    def was_warm(self, sent_at: float) -> None:
        """Record a health response that says that the server is warm.

        Args:
            sent_at: When the health check was sent, in monotonic seconds. Requests that were
                started earlier did not meet a cold server.
        """
        self._warm_at = sent_at

    def restarted(self) -> None:
        """Record a restart of the server, which may be cold."""
        self._warm_at = -math.inf

    def count(self, now: float) -> int:
        """Return the starts in the window."""
        self._forget(now)
        return len(self._starts)

    def wait_s(self, limit: float, is_cold: bool, now: float) -> float:
        """Return the time until a request may be started, in seconds; 0 if it may start now.

        Args:
            limit: Starts that the window may hold.
            is_cold: Whether the server has stated that it is cold. Otherwise only the starts since
                it was last known to be warm count.
            now: Monotonic time in seconds.
        """
        if limit == math.inf:
            return 0.0
        self._forget(now)
        since = -math.inf
        if not is_cold:
            since, limit = self._warm_at - CHECK_MARGIN_S, max(limit, UNCHECKED_STARTS)
        counted = list(dropwhile(lambda at: at < since, self._starts))
        previous = self._previous(limit, since, now)
        excess = len(counted) + previous + 1 - limit
        if excess <= 0:
            return 0.0
        if previous and excess <= previous:
            frees_at = self._since
        else:
            frees_at = counted[math.ceil(excess - previous) - 1]
        return max(MIN_WAIT_S, frees_at + WINDOW_S - now)

    def _previous(self, limit: float, since: float, now: float) -> float:
        """Return the starts assumed of the previous process that still count."""
        counts = since <= self._since and now < self._since + WINDOW_S
        return PREVIOUS_SHARE * limit if counts else 0.0

    def _forget(self, now: float) -> None:
        while self._starts and self._starts[0] <= now - WINDOW_S:
            self._starts.popleft()
