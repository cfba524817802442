"""Faults on real processes under load: what callers, servers and daemons see of them.

The load comes from generators of their own for the entries that stay, the one that is killed and
the one that is stopped as planned. A call whose entry was killed is not lost: its caller saw the
connection break. Lost is a call that got no answer although its entry lives, or one that was
answered as `ran` and stands in no server's ledger.
"""

import signal
import tempfile
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

from pollenroad.bench.abuse import Abuse, open_file_limit
from pollenroad.bench.deployments import cooperative
from pollenroad.bench.fleet import Fleet, FleetPlan, Node, poll, running_fleet
from pollenroad.bench.load import CallMix, CallRecord, Generator, LoadPlan
from pollenroad.bench.outcomes import OK, refused_but_ran, run_twice
from pollenroad.bench.processes import rss_mb
from pollenroad.models import ServiceDocument

LOAD_S = 26.0
RATE_PER_S = 40.0
"""Calls a second of each generator."""
SERVICE_MS = 40.0
LATE_FACTOR = 75.0
"""Makes a server answer after the deadline of its calls."""
CLIENT_TIMEOUT_S = 8.0
IDLE_CONNECTIONS = 3_000
HALF_OPEN_CONNECTIONS = 200
SLOW_CONNECTIONS = 50
IDLE_PEERS = 200
BACKLOG_CONNECTIONS = 1_500
"""More than a listen backlog of 1,024 holds."""
SAMPLE_S = 0.25
BASE_RSS_MB = 64.0
OPEN_CONNECTION_MB = 0.024
"""Memory that an open connection of a caller may cost: a task's stack, a handler and its
buffers."""
KILLED_LEDGER_S = 0.5
"""Time after the last look at the ledger of a server that is then killed, for which the ledger
may lack an answered call, in seconds."""
SHARE_BY_CLASS = {"bind": 0.4, "lookup": 0.6}


@dataclass
class _Seen:
    """What the bench saw beside the records."""

    entries: list[dict] = field(default_factory=list)
    """Ledger entries of servers that were killed, as of just before."""
    killed_at: dict[str, float] = field(default_factory=dict)
    """Wall clock of the last look at the ledger of a server that was then killed, by endpoint."""
    entry_down: tuple[float, float] = (0.0, 0.0)
    """Begin and end, by wall clock, of the time in which the killed entry was down."""
    stopped: list[tuple[str, float, float]] = field(default_factory=list)
    """Endpoint, begin and end of each planned stop, by wall clock."""
    crashes: int = 0
    max_rss_mb: float = 0.0
    open_connections: int = 0


class _Sampler(threading.Thread):
    """Watches the daemons' memory, and counts those that end without being asked."""

    def __init__(self, fleet: Fleet, seen: _Seen):
        super().__init__(daemon=True)
        self._fleet = fleet
        self._seen = seen
        self.expected: set[int] = set()
        """Process ids of daemons that were ended on purpose."""
        self._counted: set[int] = set()
        self.is_over = False

    def run(self) -> None:
        while not self.is_over:
            for node in self._fleet.nodes:
                self._look(node.daemon)
            time.sleep(SAMPLE_S)

    def _look(self, daemon) -> None:
        pid = daemon.pid
        if daemon.poll() is None:
            try:
                self._seen.max_rss_mb = max(self._seen.max_rss_mb, rss_mb(pid))
            except OSError:
                return
        elif pid not in self.expected and pid not in self._counted:
            self._counted.add(pid)
            self._seen.crashes += 1


def _start_load(folder: Path, document: ServiceDocument, entries: tuple[Node, ...], seed: int):
    mixes = tuple(
        CallMix(service=document.key, request_class=name, rate_per_s=RATE_PER_S * share)
        for name, share in SHARE_BY_CLASS.items()
    )
    plan = LoadPlan(
        entries=tuple(node.call_address for node in entries),
        mixes=mixes,
        seconds=LOAD_S,
        seed=seed,
        timeout_s=CLIENT_TIMEOUT_S,
    )
    return Generator(plan, folder)


def _restart_daemon(fleet: Fleet, node: Node) -> None:
    fleet.start_daemon(node)
    poll(node.ready, f"daemon on {node.endpoint.vm} again")


def _kill_daemon(fleet: Fleet, node: Node, seen: _Seen, sampler: _Sampler) -> None:
    sampler.expected.add(node.daemon.pid)
    begin = time.time()
    node.daemon.kill()
    node.daemon.wait()
    _restart_daemon(fleet, node)
    seen.entry_down = (begin, time.time())


def _kill_server(fleet: Fleet, node: Node, seen: _Seen) -> None:
    seen.killed_at[node.endpoint.name] = time.time()
    seen.entries += node.ledger()["entries"]
    node.server.kill()
    node.server.wait()
    time.sleep(1.0)
    node.server = fleet.start_server(node.service, node.endpoint)
    poll(lambda: "entries" in node.ledger(), f"server {node.endpoint.name} again")


def _pause(process, seconds: float) -> None:
    process.send_signal(signal.SIGSTOP)
    time.sleep(seconds)
    process.send_signal(signal.SIGCONT)


def _fill_backlog(node: Node, abuse: Abuse) -> None:
    """Open more connections than the listen backlog holds while the daemon does not accept."""
    node.daemon.send_signal(signal.SIGSTOP)
    try:
        abuse.burst(node.call_address, BACKLOG_CONNECTIONS)
        time.sleep(0.5)
    finally:
        node.daemon.send_signal(signal.SIGCONT)
    abuse.end_burst()


def _stop_as_planned(fleet: Fleet, node: Node, seen: _Seen, sampler: _Sampler) -> None:
    sampler.expected.add(node.daemon.pid)
    begin = time.time()
    node.daemon.send_signal(signal.SIGTERM)
    code = node.daemon.wait(20)
    seen.crashes += code != 0
    seen.stopped.append((node.endpoint.name, begin, time.time()))
    _restart_daemon(fleet, node)


def _mistreat(abuse: Abuse, seen: _Seen) -> None:
    limit = open_file_limit() // 2
    abuse.idle(min(IDLE_CONNECTIONS, limit))
    abuse.idle(HALF_OPEN_CONNECTIONS, b"GET /races/registry/item HTTP/1.1\r\nHost")
    abuse.idle_peers(IDLE_PEERS)
    abuse.slow_writers(SLOW_CONNECTIONS)
    abuse.slow_readers(SLOW_CONNECTIONS)
    abuse.malformed()
    seen.open_connections = len(abuse.sockets)


def _disturb(fleet: Fleet, document: ServiceDocument, seen: _Seen, sampler: _Sampler, seed: int):
    first, second, third, stopped, killed = fleet.nodes_of(document.key)
    abuse = Abuse(first.call_address, first.endpoint.address, seed)
    begin = time.monotonic()

    def at(offset_s: float, act: Callable, *arguments: object) -> None:
        time.sleep(max(0.0, begin + offset_s - time.monotonic()))
        act(*arguments)

    try:
        at(1.0, _mistreat, abuse, seen)
        at(4.0, lambda: second.control(cut_short=True))
        at(5.0, lambda: second.control(cut_short=False))
        at(5.0, lambda: third.control(straggle=LATE_FACTOR))
        at(6.5, lambda: third.control(straggle=1.0))
        at(9.0, _pause, third.server, 1.0)
        at(11.0, _pause, second.daemon, 1.0)
        at(13.0, _kill_server, fleet, third, seen)
        at(16.0, _kill_daemon, fleet, killed, seen, sampler)
        at(19.0, _fill_backlog, second, abuse)
        at(21.0, _stop_as_planned, fleet, stopped, seen, sampler)
        at(LOAD_S, abuse.close)
    finally:
        abuse.close()
    return abuse


def _lost(records: Iterable[CallRecord], ran: set[str], seen: _Seen) -> int:
    """Count the calls without a verdict, and those that `ran` in no ledger."""
    count = 0
    for record in records:
        killed_at = seen.killed_at.get(record.endpoint, float("-inf"))
        ended = record.started + record.latency_s
        is_excused = killed_at <= ended <= killed_at + KILLED_LEDGER_S
        is_phantom = record.verdict == "ran" and record.request_id not in ran
        count += not record.verdict or (is_phantom and not is_excused)
    return count


def _owed_an_answer(records: dict[str, list[CallRecord]], seen: _Seen) -> Iterator[CallRecord]:
    """Yield the calls that are lost if they have no verdict, and all that have one."""
    begin, end = seen.entry_down
    yield from records["staying"]
    for record in records["killed"]:
        is_in_outage = record.started <= end and record.started + record.latency_s >= begin
        if record.verdict or not is_in_outage:
            yield record
    yield from (record for record in records["stopped"] if record.verdict)


def _is_refused_connection(record: CallRecord) -> bool:
    return record.status == 0 and record.reason == "NewConnectionError"


def _cut_off(records: Iterable[CallRecord], entries: list[dict], seen: _Seen) -> int:
    """Count what a planned stop broke: calls through that entry, and requests at its server.

    A caller whose new connection is refused by a daemon that has ended was not cut off.
    """
    ((_, begin, end),) = seen.stopped
    calls = [r for r in records if not r.verdict and not _is_refused_connection(r)]
    at_server = [e for e in entries if e["state"] != "done" and begin - 1 <= e["started"] <= end]
    return len(calls) + len(at_server)


def run(seed: int = 1) -> dict:
    """Disturb real processes under load.

    Args:
        seed: Seed of the arrivals and of the malformed bytes.

    Returns:
        The keys of the issue, the counts behind them, and whether every target holds.
    """
    document = cooperative()[0]
    model = {"slots": 20, "queue": 200, "service_ms": SERVICE_MS, "spread": 0.9}
    seen = _Seen()
    plan = FleetPlan((document,), {document.key: model})
    with running_fleet(plan) as fleet, tempfile.TemporaryDirectory() as folder:
        nodes = fleet.nodes_of(document.key)
        sampler = _Sampler(fleet, seen)
        sampler.start()
        groups = {"staying": tuple(nodes[:3]), "stopped": (nodes[3],), "killed": (nodes[4],)}
        generators = {
            name: _start_load(Path(folder), document, group, seed * 100 + number)
            for number, (name, group) in enumerate(groups.items())
        }
        abuse = _disturb(fleet, document, seen, sampler, seed)
        records = {name: generator.records() for name, generator in generators.items()}
        sampler.is_over = True
        ledger_by_vm = {node.endpoint.vm: node.ledger()["entries"] for node in nodes}
        errors = fleet.log_path.read_text(errors="replace").count("internal_error")
    return _result(document, records, ledger_by_vm, nodes[3], seen, abuse, errors, seed)


def _result(document, records, ledger_by_vm, stopped, seen, abuse, errors, seed) -> dict:
    entries = [*seen.entries, *(e for ledger in ledger_by_vm.values() for e in ledger)]
    every = [record for group in records.values() for record in group]
    answered = [r for r in every if r.verdict]
    ran = {entry["request_id"] for entry in entries}
    counts = {
        "calls": len(every),
        "lost": _lost(_owed_an_answer(records, seen), ran, seen),
        "mixed_up": sum(not record.own for record in every),
        "run_twice": run_twice(entries, document.classes),
        "refused_but_ran": refused_but_ran(answered, entries),
        "cut_off_by_planned_stop": _cut_off(
            records["stopped"], ledger_by_vm[stopped.endpoint.vm], seen
        ),
        "daemon_crashes": seen.crashes,
    }
    allowed_rss_mb = BASE_RSS_MB + OPEN_CONNECTION_MB * seen.open_connections
    faults = [value for name, value in counts.items() if name != "calls"]
    return {
        "bench": "faults",
        "seed": seed,
        **counts,
        "max_rss_mb": round(seen.max_rss_mb, 1),
        "allowed_rss_mb": round(allowed_rss_mb, 1),
        "open_connections": seen.open_connections,
        "malformed": abuse.refused,
        "internal_errors": errors,
        "served": sum(record.status == OK for record in every),
        "verdicts": dict(Counter(f"{r.verdict} {r.reason}".strip() for r in every)),
        "no_verdict_by_group": {
            name: dict(Counter(r.reason for r in group if not r.verdict))
            for name, group in records.items()
        },
        "ok": not any(faults) and errors == 0 and seen.max_rss_mb <= allowed_rss_mb,
    }
