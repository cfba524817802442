"""The measuring budget: what load reports and probes cost in both deployments, against its bound.

While the load swings, daemons are killed and started again, and a service loses and regains an
endpoint, so that entries and guards come and go. What was spent is read from the daemons and, for
probes, from the servers' own ledgers.
"""

import contextlib
import tempfile
import time
from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

import urllib3
from msgspec.structs import replace

from pollenroad.bench.deployments import cooperative, tengerbulag
from pollenroad.bench.fleet import Fleet, FleetError, FleetPlan, Node, http, running_fleet
from pollenroad.bench.load import Generator, LoadPlan
from pollenroad.bench.outcomes import split_rate
from pollenroad.models import MeasuringBudget, ServiceDocument

SERVICE_MS = 60.0
SHARE_BY_CLASS = {"lookup": 1.0}
BURST_S = 1.0
"""Length of one burst of load, in seconds."""

BURST_EVERY_S = 3.5
BURST_SLOTS = 0.6
"""Load during a burst, as a share of all slots."""

END_S = 35.0
REMOVE_S = 22.0
KILL_S = 25.0
RESTORE_S = 29.0
SAMPLE_S = 0.5
WINDOW_S = 5.0
"""Length of the windows of which the busiest is reported, in seconds."""

COOPERATIVE_BUDGET = MeasuringBudget(messages_per_s=20.0)
TENGERBULAG_BUDGET = MeasuringBudget(messages_per_s=20.0, server_ms_per_s=30.0, probe_cost_ms=6.0)


@dataclass(frozen=True, slots=True)
class _Spent:
    """What the daemons of one service had spent, read between two moments."""

    begin: float = 0.0
    end: float = 0.0
    messages: int = 0
    server_ms: float = 0.0


class _Meter:
    """What the daemons of each service have spent, over time."""

    def __init__(self):
        self.samples_by_service: dict[str, list[_Spent]] = defaultdict(list)
        self._last_by_incarnation: dict[str, tuple[str, dict]] = {}

    def sample(self, fleet: Fleet) -> None:
        begin = time.monotonic()
        for node in fleet.nodes:
            with contextlib.suppress(urllib3.exceptions.HTTPError, FleetError):
                status = http("GET", node.operator_address, "/status")
                self._last_by_incarnation[status["incarnation"]] = (
                    node.service,
                    status["measuring"],
                )
        end = time.monotonic()
        for service in {node.service for node in fleet.nodes}:
            mine = [last for key, last in self._last_by_incarnation.values() if key == service]
            messages = sum(last["messages"] for last in mine)
            server_ms = sum(last["server_ms"] for last in mine)
            sample = _Spent(begin, end, messages, server_ms)
            self.samples_by_service[service].append(sample)


def _bursts(fleet: Fleet, documents, folder: Path, seed: int) -> list[Generator]:
    """Start one generator for each burst that begins now."""
    entries = tuple(node.call_address for node in fleet.nodes)
    mixes = tuple(
        mix
        for document in documents
        for mix in split_rate(document, _burst_rate_per_s(document), SHARE_BY_CLASS)
    )
    plan = LoadPlan(entries=entries, mixes=mixes, seconds=BURST_S, seed=seed, timeout_s=3.0)
    return [Generator(plan, folder)]


def _burst_rate_per_s(document: ServiceDocument) -> float:
    return BURST_SLOTS * len(document.endpoints) * document.slots / (SERVICE_MS / 1000)


def _changes(fleet: Fleet, document: ServiceDocument) -> Iterator[tuple[float, object]]:
    """Yield when to do what: remove an endpoint, kill two daemons, bring all back."""
    victims = [fleet.nodes_of(key)[0] for key in ("races/standings", "garden/booking")]
    fewer = replace(document, version=2, endpoints=document.endpoints[:-1])
    yield REMOVE_S, lambda: fleet.publish(fewer)
    yield KILL_S, lambda: _end_daemons(victims)
    yield KILL_S + 1.0, lambda: _start_daemons(fleet, victims)
    yield RESTORE_S, lambda: fleet.publish(replace(document, version=3))


def _end_daemons(nodes: list[Node]) -> None:
    for node in nodes:
        node.daemon.kill()
        node.daemon.wait()


def _start_daemons(fleet: Fleet, nodes: list[Node]) -> None:
    for node in nodes:
        fleet.start_daemon(node)


def _drive(fleet: Fleet, documents, folder: Path, seed: int) -> _Meter:
    meter = _Meter()
    begin = time.monotonic()
    changes = list(_changes(fleet, documents[0]))
    generators = []
    next_burst_s = 0.0
    while (now_s := time.monotonic() - begin) < END_S:
        while changes and changes[0][0] <= now_s:
            changes.pop(0)[1]()
        if now_s >= next_burst_s:
            next_burst_s = now_s + BURST_EVERY_S
            generators += _bursts(fleet, documents, folder, seed * 1000 + len(generators))
        meter.sample(fleet)
        time.sleep(SAMPLE_S)
    for generator in generators:
        generator.records()
    return meter


def run(seed: int = 1) -> dict:
    """Run both deployments and compare what measuring cost with what it may cost.

    Args:
        seed: Seed of the arrivals.

    Returns:
        The keys of the issue by deployment, and whether nothing was ever above its bound.
    """
    documents = (
        *cooperative(measuring=COOPERATIVE_BUDGET),
        *tengerbulag(measuring=TENGERBULAG_BUDGET),
    )
    models = {d.key: _model(d) for d in documents}
    plan = FleetPlan(documents, models)
    with running_fleet(plan) as fleet, tempfile.TemporaryDirectory() as folder:
        meter = _drive(fleet, documents, Path(folder), seed)
        ledger_ms = {
            d.key: sum(node.ledger()["probe_ms"] for node in fleet.nodes_of(d.key))
            for d in documents
        }
    return _result(documents, meter, ledger_ms, seed)


def _model(document: ServiceDocument) -> dict:
    cost_ms = document.measuring.probe_cost_ms
    return {"slots": document.slots, "service_ms": SERVICE_MS, "probe_ms": cost_ms}


def _busiest(samples: list[_Spent], amount: Callable[[_Spent], float]) -> float:
    """Return the most that was spent a second over windows of at least `WINDOW_S`.

    Whatever the last sample of a window has over the first was spent between the begin of the
    first and the end of the last.
    """
    rates = [0.0]
    for first in samples:
        last = next((s for s in samples if s.end >= first.begin + WINDOW_S), None)
        if last is not None:
            rates.append((amount(last) - amount(first)) / (last.end - first.begin))
    return max(rates)


def _service_result(document: ServiceDocument, samples: list[_Spent], ledger_ms: float) -> dict:
    last = samples[-1]
    seconds = last.end - samples[0].begin
    budget = document.measuring
    return {
        "spent": {
            "messages": last.messages,
            "server_ms": max(last.server_ms, ledger_ms),
            "busiest_messages_per_s": round(_busiest(samples, lambda s: s.messages), 2),
            "busiest_server_ms_per_s": round(_busiest(samples, lambda s: s.server_ms), 2),
        },
        "allowed": {
            "messages": round(budget.messages_per_s * seconds, 1),
            "server_ms": round(budget.server_ms_per_s * seconds, 1),
            "busiest_messages_per_s": budget.messages_per_s,
            "busiest_server_ms_per_s": budget.server_ms_per_s,
        },
    }


def _result(documents, meter: _Meter, ledger_ms: dict[str, float], seed: int) -> dict:
    by_service = {
        d.key: _service_result(d, meter.samples_by_service[d.key], ledger_ms[d.key])
        for d in documents
    }
    by_deployment = defaultdict(dict)
    for key, result in by_service.items():
        by_deployment[key.partition("/")[0]][key] = result
    within = all(
        result["spent"][what] <= result["allowed"][what]
        for result in by_service.values()
        for what in result["spent"]
    )
    spent_something = all(r["spent"]["messages"] > 0 for r in by_service.values())
    return {
        "bench": "measuring",
        "seed": seed,
        **{
            what: {
                deployment: {key: result[what] for key, result in results.items()}
                for deployment, results in by_deployment.items()
            }
            for what in ("spent", "allowed")
        },
        "ok": within and spent_something,
    }
