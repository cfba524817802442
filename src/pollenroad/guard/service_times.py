"""Recent service times of one server, and their ratio to the usual service times.

Request classes differ in cost, so each class has its own baseline, with which its samples are
compared. So a change in the mix of classes does not appear as a slowdown.
"""

from collections import deque
from statistics import median

RECENT_SAMPLES = 32
"""Number of recent service times kept for the median and the high quantile."""

WINDOW_SAMPLES = 16
"""Minimum number of samples in a window of a baseline, and number of recent slowdowns kept."""

WINDOW_S = 1.0
"""Minimum duration of a window of a baseline, in seconds."""

BASELINE_WINDOWS = 30
"""Number of recent windows whose smallest median is the baseline."""

HIGH_QUANTILE = 0.9
"""Quantile of the recent service times that `high_s` gives."""

DEFAULT_SERVICE_S = 0.05
"""Service time assumed while there are no samples, in seconds."""


class _Baseline:
    """The usual service time of one request class: the smallest of the recent window medians."""

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
        """Add a service time.

        Args:
            request_class: Name of the class of the request.
            seconds: Time from sending the request to the server until its complete answer.
            now: Monotonic time in seconds.

        Returns:
            The ratio of the service time to the baseline of the class; 1.0 without a baseline.
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

    def reset_baselines(self) -> None:
        """Discard the baselines and slowdowns, as after a restart of the server."""
        self._baseline_by_class.clear()
        self._slowdowns.clear()

    @property
    def slowdown(self) -> float:
        """Median of the recent slowdowns; 1.0 with less than `WINDOW_SAMPLES` of them."""
        if len(self._slowdowns) < WINDOW_SAMPLES:
            return 1.0
        return median(self._slowdowns)

    @property
    def median_s(self) -> float:
        """Median of the recent service times, in seconds."""
        return self._quantile(0.5)

    @property
    def high_s(self) -> float:
        """Quantile `HIGH_QUANTILE` of the recent service times, in seconds."""
        return self._quantile(HIGH_QUANTILE)

    def _quantile(self, quantile: float) -> float:
        if not self._recent:
            return DEFAULT_SERVICE_S
        if self._ordered is None:
            self._ordered = sorted(self._recent)
        return self._ordered[int(quantile * (len(self._ordered) - 1))]
