"""Sliding window of latencies, with quantiles and tail probabilities."""

import math
from bisect import bisect_left, insort
from collections import deque

WINDOW = 400
"""Number of latencies kept."""

MIN_SAMPLES = 20
"""Number of latencies below which quantiles are unknown."""


class Latencies:
    """The last `WINDOW` latencies, in order of arrival and sorted by value."""

    def __init__(self):
        self._recent: deque[float] = deque()
        self._ordered: list[float] = []

    def add(self, latency_s: float) -> None:
        """Add a latency in seconds; if the window is full, drop the oldest."""
        self._recent.append(latency_s)
        insort(self._ordered, latency_s)
        if len(self._recent) > WINDOW:
            self._ordered.remove(self._recent.popleft())

    def quantile(self, share: float) -> float | None:
        """Return the quantile `share` (0 to 1) in seconds, or None below `MIN_SAMPLES`."""
        if len(self._ordered) < MIN_SAMPLES:
            return None
        return self._ordered[int(share * (len(self._ordered) - 1))]

    def surprisal(self, age_s: float) -> float:
        """Return the surprisal of an attempt that is still open after `age_s` seconds.

        Returns:
            The negative natural logarithm of the share of latencies that were longer (the tail
            probability), so that values of independent attempts add up. 0 below `MIN_SAMPLES`.
        """
        count = len(self._ordered)
        if count < MIN_SAMPLES:
            return 0.0
        longer = count - bisect_left(self._ordered, age_s)
        return -math.log((longer + 1) / (count + 1))
