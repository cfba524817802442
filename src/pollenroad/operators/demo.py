"""The demo: runs a deployment under load on this machine while an operator changes it.

Takes a failure domain out of service and back, restarts one VM gracefully, and then compares the
callers' records with the servers' ledgers.
"""

import tempfile
import time
from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from msgspec.structs import replace
from returns.result import Failure, Success

from pollenroad.bench.fleet import Fleet, FleetError, FleetPlan, Node, running_fleet
from pollenroad.bench.load import CallMix, CallRecord, LoadGenerator, LoadPlan, percentile
from pollenroad.bench.outcomes import ledger_entries, run_twice
from pollenroad.declarations.changes import change_sentences
from pollenroad.declarations.declarations import read_documents
from pollenroad.exceptions import ConfigurationError
from pollenroad.models import Document, OutOfService, ServiceDocument, WorkspaceDocument
from pollenroad.verdicts import Verdict

DURATION_S = 20.0
DOMAIN_OUT_AT_S = 3.0
DOMAIN_BACK_AT_S = 9.0
RESTART_AT_S = 13.0
RATE_PER_S = 90.0
DEADLINE_MS = 1500.0
SERVER_MODEL = {"service_ms": 25.0, "cold_bound": 2, "warm_after_s": 4.0}
STOP_TIMEOUT_S = 40.0


@dataclass(frozen=True, slots=True)
class Change:
    """A change by an operator during the demo."""

    at_s: float
    """Time since the start of the load, in seconds."""
    text: str


@dataclass(frozen=True, slots=True)
class DemoResult:
    """Calls, changes and violations of a demo run."""

    records: list[CallRecord]
    changes: list[Change]
    lost: int
    """Calls without a verdict, and answered calls that no server recorded as done."""
    mixed_up: int
    """Calls that got the answer to another request."""
    run_twice: int
    """Requests that are not idempotent and ran more than once."""
    cut_off: int
    """Calls with the verdict `unknown`."""

    @property
    def ok(self) -> bool:
        """Whether nothing was lost, mixed up, run twice or cut off."""
        return self.lost == self.mixed_up == self.run_twice == self.cut_off == 0

    @property
    def summary(self) -> str:
        """The last line of the demo."""
        return (
            f"demo: {len(self.records)} calls, {self.lost} lost, {self.mixed_up} mixed up, "
            f"{self.run_twice} run twice, {self.cut_off} cut off"
        )


def load_rendered_documents(folder: str) -> dict[str, Document]:
    """Read the rendered documents of a deployment, by key.

    Raises:
        ConfigurationError: If there are none, or one is not valid.
    """
    rendered = Path(folder) / "rendered"
    if not rendered.is_dir():
        raise ConfigurationError(folder, "$", "holds no rendered documents", "pollenroad render")
    match read_documents(rendered):
        case Success(document_by_key):
            return document_by_key
        case Failure(problems):
            first = problems[0]
            raise ConfigurationError(first.source or folder, first.path, first.reason, first.hint)


def make_fleet_plan(
    document_by_key: dict[str, Document], settings: dict | None = None
) -> FleetPlan:
    """Return the fleet plan of a deployment, with servers that start cold."""
    services = [d for d in document_by_key.values() if isinstance(d, ServiceDocument)]
    model_by_service = {s.key: {**SERVER_MODEL, "slots": s.slots} for s in services}
    return FleetPlan(tuple(document_by_key.values()), model_by_service, settings or {})


def _iter_call_mixes(document_by_key: dict[str, Document]) -> Iterator[CallMix]:
    """Yield a call mix for each request class and customer, all within the customers' limits."""
    services = [d for d in document_by_key.values() if isinstance(d, ServiceDocument)]
    customers = [
        customer.name
        for document in document_by_key.values()
        if isinstance(document, WorkspaceDocument)
        for customer in document.customers
    ]
    classes = [(service.key, c.name) for service in services for c in service.classes]
    rate_per_s = RATE_PER_S / len(classes) / len(customers)
    for service, request_class in classes:
        for customer in customers:
            yield CallMix(
                service=service,
                request_class=request_class,
                customer=customer,
                rate_per_s=rate_per_s,
                deadline_ms=DEADLINE_MS,
            )


class Demo:
    """One demo run on a running fleet."""

    def __init__(self, fleet: Fleet, document_by_key: dict[str, Document]):
        self._fleet = fleet
        self._document_by_key = document_by_key
        self._changes: list[Change] = []
        self._ended_entries: list[dict] = []
        self._started_at = 0.0

    def run(self, folder: Path) -> DemoResult:
        """Generate load, make the changes, and compare records with ledgers."""
        plan = LoadPlan(
            entries=tuple(node.call_address for node in self._fleet.nodes),
            mixes=tuple(_iter_call_mixes(self._document_by_key)),
            seconds=DURATION_S,
            timeout_s=5.0,
            by_client=True,
        )
        generator = LoadGenerator(plan, folder)
        self._started_at = time.monotonic()
        domain = self._fleet.nodes[1].endpoint.failure_domain
        self._run_at(DOMAIN_OUT_AT_S, lambda: self._set_out_of_service((domain,)))
        self._run_at(DOMAIN_BACK_AT_S, lambda: self._set_out_of_service(()))
        self._run_at(RESTART_AT_S, lambda: self._restart(self._fleet.nodes[0]))
        return self._make_result(generator.records())

    def _run_at(self, at_s: float, change) -> None:
        time.sleep(max(0.0, self._started_at + at_s - time.monotonic()))
        change()

    def _report_change(self, text: str) -> None:
        change = Change(time.monotonic() - self._started_at, text)
        self._changes.append(change)
        print(f"  {change.at_s:4.1f} s  {text}", flush=True)

    def _set_out_of_service(self, failure_domains: tuple[str, ...]) -> None:
        for key, document in self._document_by_key.items():
            if not isinstance(document, ServiceDocument):
                continue
            changed = replace(
                document,
                version=document.version + 1,
                out_of_service=OutOfService(failure_domains=failure_domains),
            )
            self._document_by_key[key] = changed
            self._fleet.publish(changed)
            for text in change_sentences(document, changed):
                self._report_change(text)

    def _restart(self, node: Node) -> None:
        vm = node.endpoint.vm
        self._report_change(
            f"VM {vm} is to be replaced: it gets no new requests and finishes what it has."
        )
        self._fleet.publish_vms(leaving=frozenset({vm}))
        node.daemon.terminate()
        if node.daemon.wait(STOP_TIMEOUT_S) != 0:
            raise FleetError(f"the daemon on {vm} did not stop gracefully")
        self._ended_entries += node.ledger()["entries"]
        node.server.kill()
        node.server.wait()
        node.server = self._fleet.start_server(node.service, node.endpoint)
        self._fleet.start_daemon(node)
        self._fleet.publish_vms()
        self._report_change(
            f"VM {vm} has started again; its server is cold and gets only a little at first."
        )

    def _make_result(self, records: list[CallRecord]) -> DemoResult:
        entries = ledger_entries(self._fleet.nodes) + self._ended_entries
        done_ids = {entry["request_id"] for entry in entries if entry["state"] == "done"}
        classes = [
            request_class
            for document in self._document_by_key.values()
            if isinstance(document, ServiceDocument)
            for request_class in document.classes
        ]
        answered = [r for r in records if r.verdict == Verdict.RAN]
        return DemoResult(
            records=records,
            changes=self._changes,
            lost=sum(not r.verdict for r in records)
            + sum(r.request_id not in done_ids for r in answered),
            mixed_up=sum(not r.own for r in records),
            run_twice=run_twice(entries, classes),
            cut_off=sum(r.verdict == Verdict.UNKNOWN for r in records),
        )


def table_lines(result: DemoResult) -> Iterator[str]:
    """Yield the lines of a table of calls by request class."""
    yield f"{'request class':<22}{'calls':>7}{'p50 ms':>9}{'p99 ms':>9}{'refused':>9}{'retried':>9}"
    keys = sorted({(r.service, r.request_class) for r in result.records})
    for service, request_class in keys:
        records = [
            r for r in result.records if (r.service, r.request_class) == (service, request_class)
        ]
        latencies = [r.latency_s * 1000 for r in records if r.verdict == Verdict.RAN]
        refused = sum(r.verdict == Verdict.NOT_RUN for r in records)
        retried = sum(r.attempts > 1 for r in records)
        name = f"{service.partition('/')[2]} {request_class}"
        yield (
            f"{name:<22}{len(records):>7}{percentile(latencies, 0.5):>9.1f}"
            f"{percentile(latencies, 0.99):>9.1f}{refused:>9}{retried:>9}"
        )
    reasons = Counter(r.reason for r in result.records if r.verdict == Verdict.NOT_RUN)
    if reasons:
        counts = ", ".join(f"{count} {reason}" for reason, count in sorted(reasons.items()))
        yield f"refused, none of them run: {counts}"


def run_demo(folder: str) -> DemoResult:
    """Start the fleet of the deployment in `folder`, run the demo and stop the fleet."""
    document_by_key = load_rendered_documents(folder)
    plan = make_fleet_plan(document_by_key)
    print(f"starting platform, servers and daemons for {folder} ...", flush=True)
    with running_fleet(plan) as fleet, tempfile.TemporaryDirectory() as scratch:
        print(f"{len(fleet.nodes)} VMs run; {DURATION_S:g} s of calls begin.\n", flush=True)
        return Demo(fleet, document_by_key).run(Path(scratch))
