"""Recent latencies of one request class, and the quantiles that retries and hedges go by."""

import math
from bisect import bisect_left, insort
from collections import deque

WINDOW = 400
"""Latencies remembered of each request class."""

MIN_SAMPLES = 20
"""Latencies needed before a quantile is given."""


class Latencies:
    """The last `WINDOW` latencies of a request class, kept in order of size as well."""

    def __init__(self):
        self._recent: deque[float] = deque()
        self._ordered: list[float] = []

    def add(self, latency_s: float) -> None:
        """Add one latency in seconds; the oldest beyond the window is dropped."""
        self._recent.append(latency_s)
        insort(self._ordered, latency_s)
        if len(self._recent) > WINDOW:
            self._ordered.remove(self._recent.popleft())

    def quantile(self, share: float) -> float | None:
        """Return the latency in seconds that `share` of the calls stay under, if known."""
        if len(self._ordered) < MIN_SAMPLES:
            return None
        return self._ordered[int(share * (len(self._ordered) - 1))]

    def surprise(self, age_s: float) -> float:
        """Return how unlikely it is that a sound attempt is still open after `age_s` seconds.

        Returns:
            The negative logarithm of the share of latencies that were longer. Surprises of
            independent attempts add up. 0 while too little is known.
        """
        count = len(self._ordered)
        if count < MIN_SAMPLES:
            return 0.0
        longer = count - bisect_left(self._ordered, age_s)
        return -math.log((longer + 1) / (count + 1))
