"""Prometheus metrics of one daemon, served on the operator port.

The number of label values is bounded: services come from the documents, reasons from the code.
"""

from collections.abc import Iterator

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Histogram,
    ProcessCollector,
    disable_created_metrics,
)
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.exposition import CONTENT_TYPE_LATEST, generate_latest

from pollenroad.entry.latencies import Latencies
from pollenroad.shell.control_cost import CostMeter

LATENCY_BUCKETS_S = (
    0.001,
    0.002,
    0.003,
    0.005,
    0.0075,
    0.01,
    0.015,
    0.02,
    0.03,
    0.05,
    0.075,
    0.1,
    0.2,
    0.5,
    1.0,
    5.0,
)
"""Upper bounds of the latency histogram, in seconds."""

MAX_REASONS = 64
"""Maximum number of distinct reason labels; further reasons are counted as `other`."""

CONTENT_TYPE = CONTENT_TYPE_LATEST


class _DaemonCollector:
    """Collector that reads the daemon's state at each scrape, so that no value is kept twice."""

    def __init__(self, daemon):
        self._daemon = daemon

    def collect(self) -> Iterator[Metric]:
        """Yield the current metrics of the daemon."""
        yield from _cost_families(self._daemon.cost_meter)
        daemon, guard = self._daemon, self._daemon.cores.guard
        yield _gauge("guard_in_flight_requests", "Requests at the server now.", guard.in_flight)
        yield _gauge("guard_bound_requests", "Requests that the guard admits now.", guard.bound)
        yield _gauge("open_calls", "Calls of callers without an answer.", len(daemon.calls))
        yield _gauge("ready", "1 if the daemon takes work.", int(daemon.ready))
        count = len(daemon.document_by_key)
        yield _gauge("documents", "Documents in force in this daemon.", count)
        state = GaugeMetricFamily(
            "pollenroad_guard_state", "1 for the guard's state now.", labels=["state"]
        )
        state.add_metric([guard.state], 1)
        yield state
        own = daemon.document_by_key.get(daemon.settings.service)
        yield _gauge(
            "config_version", "Version in force of the own service.", own.version if own else 0
        )


def _gauge(name: str, text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"pollenroad_{name}", text, value=value)


def _cost_families(meter: CostMeter) -> Iterator[Metric]:
    families = {
        "cpu_s": ("work_cpu_seconds", "Processor time in the cores and in coding messages."),
        "sent_messages": ("peer_sent_messages", "Messages sent to peers."),
        "sent_bytes": ("peer_sent_bytes", "Bytes sent to peers."),
        "received_messages": ("peer_received_messages", "Messages received from peers."),
        "received_bytes": ("peer_received_bytes", "Bytes received from peers."),
    }
    for field, (name, text) in families.items():
        family = CounterMetricFamily(f"pollenroad_{name}", text, labels=["kind"])
        for kind, cost in meter.cost_by_kind.items():
            family.add_metric([kind], getattr(cost, field))
        yield family


class Metrics:
    """Metrics registry of one daemon, with the counters that are updated on events."""

    def __init__(self, daemon):
        disable_created_metrics()
        self._registry = CollectorRegistry()
        self._registry.register(_DaemonCollector(daemon))
        ProcessCollector(registry=self._registry)
        self._calls = Counter(
            "pollenroad_calls",
            "Calls answered by this entry.",
            ["service", "verdict", "reason"],
            registry=self._registry,
        )
        self._durations = Histogram(
            "pollenroad_call_duration_seconds",
            "Time from a call's arrival to its answer.",
            ["service"],
            buckets=LATENCY_BUCKETS_S,
            registry=self._registry,
        )
        self._reasons: set[str] = set()
        self._recent_latencies = Latencies()

    def p99_ms(self) -> float | None:
        """Return the p99 latency of recent calls through this entry in milliseconds, if known."""
        latency_s = self._recent_latencies.quantile(0.99)
        return None if latency_s is None else round(latency_s * 1000, 1)

    def _reason_label(self, reason: str) -> str:
        if reason not in self._reasons:
            if len(self._reasons) >= MAX_REASONS:
                return "other"
            self._reasons.add(reason)
        return reason

    def record(self, event: str, fields: tuple[tuple[str, object], ...]) -> None:
        """Update the metrics for an event of the event catalogue; most events have none."""
        if event != "call_answered":
            return
        values = dict(fields)
        reason = self._reason_label(values["reason"])
        self._calls.labels(values["service"], values["verdict"], reason).inc()
        self._durations.labels(values["service"]).observe(values["ms"] / 1000)
        self._recent_latencies.add(values["ms"] / 1000)

    def text(self) -> bytes:
        """Return the metrics page in the Prometheus text format."""
        return generate_latest(self._registry)


def make_metrics(daemon) -> Metrics:
    """Return the metrics of a daemon."""
    return Metrics(daemon)
