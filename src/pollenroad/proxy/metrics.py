"""Counters and latency histograms of a proxy, in the Prometheus text format.

Values are counted in plain dictionaries. prometheus_client is imported only at the first scrape,
since it takes 9 MB of memory, half as much as the rest of the daemon.
"""

from collections import Counter

BUCKETS_S = (0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0)
"""Upper bounds of the latency histogram, in seconds, around the objectives of the users' routes."""

MAX_LABELS = 64
"""Maximum number of distinct label values; further ones are counted as `other`."""

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"

LABEL_BY_EVENT = {
    "attempt_sent": "why",
    "attempt_ended": "reason",
    "attempt_refused": "reason",
    "attempt_displaced": "rank",
    "call_answered": "reason",
    "request_refused": "reason",
    "quota_refused": "reason",
    "repeat_withheld": "reason",
    "run_limit": "route",
    "guard_state": "state",
    "memory_refused": "purpose",
    "memory_waited": "purpose",
}
"""Field of an event that becomes the `detail` label; other events are counted by name alone."""


class ProxyMetrics:
    """Counters and histograms of one proxy since its start."""

    def __init__(self):
        self._count_by_event: Counter[tuple[str, str]] = Counter()
        self._buckets_by_service: dict[str, list[int]] = {}
        self._seconds_by_service: Counter[str] = Counter()
        self._labels: set[str] = set()

    def record(self, event: str, values: dict[str, object]) -> None:
        """Count an event of the event catalogue."""
        label = self._bounded_label(str(values.get(LABEL_BY_EVENT.get(event, ""), "")))
        self._count_by_event[event, label] += 1
        if event == "call_answered":
            self._observe(self._bounded_label(str(values["service"])), float(values["ms"]) / 1000)

    def _bounded_label(self, text: str) -> str:
        if text not in self._labels:
            if len(self._labels) >= MAX_LABELS:
                return "other"
            self._labels.add(text)
        return text

    def _observe(self, service: str, duration_s: float) -> None:
        buckets = self._buckets_by_service.setdefault(service, [0] * (len(BUCKETS_S) + 1))
        index = next((i for i, bound in enumerate(BUCKETS_S) if duration_s <= bound), -1)
        buckets[index] += 1
        self._seconds_by_service[service] += duration_s

    def text(self, gauge_by_name: dict[str, float]) -> bytes:
        """Return the metrics page in the Prometheus text format.

        Args:
            gauge_by_name: Current value of each gauge.
        """
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(_Collector(self, gauge_by_name))
        return generate_latest(registry)

    def families(self, gauge_by_name: dict[str, float]):
        """Yield all metrics as metric families of prometheus_client."""
        from prometheus_client.core import (
            CounterMetricFamily,
            GaugeMetricFamily,
            HistogramMetricFamily,
        )

        events = CounterMetricFamily(
            "pollenroad_events", "Events of the catalogue.", labels=["event", "detail"]
        )
        for labels, count in self._count_by_event.items():
            events.add_metric(labels, count)
        yield events
        durations = HistogramMetricFamily(
            "pollenroad_call_duration_seconds",
            "Time from a request's arrival to its answer.",
            labels=["service"],
        )
        for service, buckets in self._buckets_by_service.items():
            durations.add_metric(
                [service], list(_cumulative(buckets)), self._seconds_by_service[service]
            )
        yield durations
        for name, value in gauge_by_name.items():
            yield GaugeMetricFamily(f"pollenroad_{name}", name.replace("_", " "), value=value)


def _cumulative(buckets: list[int]):
    total = 0
    for bound, count in zip((*map(str, BUCKETS_S), "+Inf"), buckets, strict=True):
        total += count
        yield bound, total


class _Collector:
    def __init__(self, metrics: ProxyMetrics, gauge_by_name: dict[str, float]):
        self._metrics = metrics
        self._gauge_by_name = gauge_by_name

    def collect(self):
        return self._metrics.families(self._gauge_by_name)
