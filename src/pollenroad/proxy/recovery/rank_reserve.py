"""Part of the cold bound that is kept for the highest rank.

Load: after a power loss, requests of all ranks wait at cold servers. Those of lower ranks, nested
calls above all, come in groups and would use the starts of a whole second at its beginning; a more
urgent request that came later would wait past its objective.
"""

from collections import deque

from pollenroad.proxy.admission.activation import HIGHEST_RANK
from pollenroad.proxy.recovery.cold_window import WINDOW_S

FIRST_SHARE = 0.4
"""Share of the limit that is kept in the first window of a daemon, which has no arrivals yet from
which the need could be estimated."""

LARGEST_SHARE = 0.5
"""Largest share of the limit that is kept, so that no rank is starved."""

NEED_FACTOR = 1.25
"""Starts that are kept, as a multiple of the arrivals of the highest rank in the last window."""


class RankReserve:
    """Starts in the sliding window that only the highest rank may use.

    Args:
        now: Start of the daemon, in monotonic seconds.
    """

    def __init__(self, now: float):
        self._since = now
        self._arrivals: deque[float] = deque()
        self._starts: deque[float] = deque()

    def arrived(self, rank: int, now: float) -> None:
        """Record an attempt that arrives at the guard."""
        if rank == HIGHEST_RANK:
            _add(self._arrivals, now)

    def started(self, rank: int, now: float) -> None:
        """Record an attempt that is started at the server."""
        if rank == HIGHEST_RANK:
            _add(self._starts, now)

    def kept(self, rank: int, limit: float, now: float) -> float:
        """Return how many starts of the window an attempt must leave to the highest rank.

        Args:
            rank: Rank of the attempt.
            limit: Starts that the window may hold.
            now: Monotonic time in seconds.
        """
        if rank == HIGHEST_RANK:
            return 0.0
        _forget(self._arrivals, now)
        _forget(self._starts, now)
        need = NEED_FACTOR * len(self._arrivals)
        if now < self._since + WINDOW_S:
            need = max(need, FIRST_SHARE * limit)
        return max(0.0, min(need, LARGEST_SHARE * limit) - len(self._starts))


def _add(times: deque[float], now: float) -> None:
    _forget(times, now)
    times.append(now)


def _forget(times: deque[float], now: float) -> None:
    while times and times[0] <= now - WINDOW_S:
        times.popleft()
