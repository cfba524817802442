"""Recent service times of one server, and how they compare with what was usual.

Request classes differ in cost, so each class has its own baseline and a sample is judged against
the baseline of its class. A change in the mix of classes is then no slowdown.
"""

from collections import deque
from statistics import median

RECENT_SAMPLES = 32
"""Service times kept for the median and the high quantile."""

WINDOW_SAMPLES = 16
"""Least number of samples whose median counts towards a baseline."""

WINDOW_S = 1.0
"""Shortest time that one window of a baseline spans, in seconds."""

BASELINE_WINDOWS = 30
"""Windows whose least median is the baseline."""

HIGH_QUANTILE = 0.9
"""Quantile of the recent service times that a deadline must leave room for."""

UNKNOWN_SERVICE_S = 0.05
"""Service time assumed while no sample is known, in seconds."""


class _Baseline:
    """The usual service time of one request class: the least of the recent window medians."""

    def __init__(self, now: float):
        self._window = []
        self._window_end = now + WINDOW_S
        self._medians = deque(maxlen=BASELINE_WINDOWS)
        self.value_s = None

    def add(self, seconds: float, now: float) -> None:
        self._window.append(seconds)
        if len(self._window) < WINDOW_SAMPLES:
            return
        if now < self._window_end and self.value_s is not None:
            return
        self._medians.append(median(self._window))
        self._window.clear()
        self._window_end = now + WINDOW_S
        self.value_s = min(self._medians)


class ServiceTimes:
    """Service times of the requests that one server answered."""

    def __init__(self):
        self._recent = deque(maxlen=RECENT_SAMPLES)
        self._slowdowns = deque(maxlen=WINDOW_SAMPLES)
        self._baseline_by_class: dict[str, _Baseline] = {}
        self._ordered = None

    def add(self, request_class: str, seconds: float, now: float) -> float:
        """Take one service time.

        Args:
            request_class: Name of the class of the request.
            seconds: Time between hand-over to the server and its whole answer.
            now: Monotonic time in seconds.

        Returns:
            The time as a multiple of the usual one; 1.0 while none is known.
        """
        baseline = self._baseline_by_class.get(request_class)
        if baseline is None:
            baseline = self._baseline_by_class[request_class] = _Baseline(now)
        usual_s = baseline.value_s
        slowdown = seconds / usual_s if usual_s else 1.0
        baseline.add(seconds, now)
        self._recent.append(seconds)
        self._slowdowns.append(slowdown)
        self._ordered = None
        return slowdown

    def forget(self) -> None:
        """Drop what was usual, as after a restart of the server."""
        self._baseline_by_class.clear()
        self._slowdowns.clear()

    @property
    def slowdown(self) -> float:
        """Median of the recent slowdowns; 1.0 while there are too few."""
        if len(self._slowdowns) < WINDOW_SAMPLES:
            return 1.0
        return median(self._slowdowns)

    @property
    def median_s(self) -> float:
        """Recent median service time in seconds."""
        return self._quantile(0.5)

    @property
    def high_s(self) -> float:
        """Service time in seconds that `HIGH_QUANTILE` of recent requests stayed below."""
        return self._quantile(HIGH_QUANTILE)

    def _quantile(self, quantile: float) -> float:
        if not self._recent:
            return UNKNOWN_SERVICE_S
        if self._ordered is None:
            self._ordered = sorted(self._recent)
        return self._ordered[int(quantile * (len(self._ordered) - 1))]
