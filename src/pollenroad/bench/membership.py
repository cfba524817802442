"""`pollenroad bench membership`: leaving and dead VMs, pauses, and the cost of control.

Relays with real links run in a few processes; those that leave, die or pause alone have a process
of their own. Pauses of one second also stop whole processes, with many relays at a time.
"""

import gc
import random
import signal
import statistics
import tempfile
import time
from pathlib import Path

from pollenroad.bench.design_core import measure_design_core
from pollenroad.bench.relay_fleet import FleetShape, RelayFleet
from pollenroad.bench.relay_worker import WorkerEvent

SIZE = 160
DOMAINS = 6
LEAVERS = 3
VICTIMS = 3
PAUSES = 10
PAUSE_S = 1.0
BETWEEN_S = 0.4
STEADY_S = 8.0
WAIT_S = 6.0

FRAME_OVERHEAD_BYTES = 132
"""Bytes on the wire beside a frame: TCP, IP and Ethernet headers of it and of its
acknowledgement."""

LEAVING_TARGET_S = 3.0
DEAD_TARGET_S = 3.0
BYTES_TARGET = 20_000.0
CPU_TARGET_PCT = 3.7


def _wait_seen(fleet: RelayFleet, holds, since: float, absent: set[str]) -> float:
    """Return the time from `since` until every other relay has printed a fitting view.

    Returns:
        Seconds; infinity if some relay has none within `WAIT_S`.
    """
    wanted = {vm.name for vm in fleet.vms} - absent
    while time.monotonic() - since < WAIT_S:
        seen = fleet.seen_at(holds, since)
        if wanted <= seen.keys():
            return max(seen[name] for name in wanted) - since
        time.sleep(0.05)
    return float("inf")


def _leaving(fleet: RelayFleet, names: list[str]) -> list[float]:
    """Stop some VMs one after another; return how long each took to be known everywhere."""
    absent: set[str] = set()
    delays = []
    for name in names:
        absent.add(name)
        at = fleet.send_signal(name, signal.SIGTERM)
        delays.append(_wait_seen(fleet, lambda e, n=name: n in e.leaving, at, absent))
    return delays


def _listed(fleet: RelayFleet, name: str, absent: set[str]) -> float:
    """Let the platform alone say that a VM is leaving; return how long that took everywhere."""
    at = fleet.publish_vms(frozenset({name}))
    return _wait_seen(fleet, lambda e: name in e.leaving, at, absent)


def _dead(fleet: RelayFleet, names: list[str], absent: set[str]) -> list[float]:
    """Kill some VMs one after another; return how long each took to be known everywhere."""
    delays = []
    for name in names:
        absent.add(name)
        at = fleet.send_signal(name, signal.SIGKILL)
        delays.append(_wait_seen(fleet, lambda e, n=name: n in e.dead, at, absent))
    return delays


def _pauses(fleet: RelayFleet, rng: random.Random) -> int:
    """Pause single relays and whole processes for a second; return the number of pauses."""
    alone = sorted(fleet.shape.own_process)
    for number in range(PAUSES):
        if number % 2:
            fleet.send_signal_bulk(number, signal.SIGSTOP)
            time.sleep(PAUSE_S)
            fleet.send_signal_bulk(number, signal.SIGCONT)
        else:
            name = rng.choice(alone)
            fleet.send_signal(name, signal.SIGSTOP)
            time.sleep(PAUSE_S)
            fleet.send_signal(name, signal.SIGCONT)
        time.sleep(BETWEEN_S)
    time.sleep(WAIT_S / 2)
    return PAUSES


def _false_removals(events: list[WorkerEvent], killed: set[str]) -> int:
    """Count the views that held a VM for dead which was not."""
    return sum(len(set(event.dead) - killed) for event in events if event.kind == "view")


def _per_relay(before: list[WorkerEvent], after: list[WorkerEvent]) -> tuple[float, float]:
    """Return bytes a second in both directions, and percent of a core, of one relay.

    What is sent by some relay is received by another, so that a relay receives what it sends.
    """
    relays = sum(event.relays for event in after)
    lasted_s = statistics.mean(b.at - a.at for a, b in zip(before, after, strict=True))
    sent = sum(e.sent_bytes for e in after) - sum(e.sent_bytes for e in before)
    frames = sum(e.sent_messages for e in after) - sum(e.sent_messages for e in before)
    cpu_s = sum(e.cpu_s for e in after) - sum(e.cpu_s for e in before)
    wire = 2 * (sent + frames * FRAME_OVERHEAD_BYTES)
    return wire / relays / lasted_s, 100 * cpu_s / relays / lasted_s


def _measure(fleet: RelayFleet, seed: int) -> dict:
    rng = random.Random(seed)
    fleet.start()
    fleet.wait_ready()
    time.sleep(WAIT_S / 2)
    before = fleet.spent()
    time.sleep(STEADY_S)
    wire_bytes, cpu_pct = _per_relay(before, fleet.spent())
    paused = _pauses(fleet, rng)
    false_by_pauses = _false_removals(fleet.events, set())
    names = sorted(fleet.shape.own_process)
    leavers, victims, listed = names[:LEAVERS], names[LEAVERS:-1], names[-1]
    leaving = _leaving(fleet, leavers)
    by_list_s = _listed(fleet, listed, set(leavers))
    dead = _dead(fleet, victims, set(leavers))
    return {
        "relays": SIZE,
        "failure_domains": DOMAINS,
        "pauses": paused,
        "leaving_new_work_s": round(max(leaving), 3),
        "leaving_by_platform_list_s": round(by_list_s, 3),
        "dead_detected_s": round(max(dead), 3),
        "false_removals": false_by_pauses + _false_removals(fleet.events, set(names)),
        "relay_bytes_per_s": round(wire_bytes),
        "relay_cpu_core_pct": round(cpu_pct, 3),
    }


def _work_out(measured: dict) -> dict:
    """Add what the design size costs beyond the relays measured: state that is larger there."""
    gc.collect()
    design = measure_design_core()
    cpu_pct = measured["relay_cpu_core_pct"] + design.extra_cpu_core_pct
    return {
        **measured,
        "control_bytes_per_s_per_daemon": round(
            measured["relay_bytes_per_s"] + design.extra_bytes_per_s
        ),
        "control_cpu_core_pct": round(cpu_pct, 3),
        "design_extra_cpu_core_pct": round(design.extra_cpu_core_pct, 3),
        "design_extra_bytes_per_s": round(design.extra_bytes_per_s),
        "design_memory_mb": round(design.memory_mb, 1),
        "design_documents_mb": round(design.documents_mb, 2),
    }


def run(seed: int = 1) -> dict:
    """Measure, and compare with the targets.

    Args:
        seed: Seed of the choice of pauses.

    Returns:
        Times in seconds, bytes a second, percent of a core, and whether every target holds.
    """
    shape = FleetShape(70, SIZE, DOMAINS)
    own = frozenset(shape.watchers()[: LEAVERS + VICTIMS + 1])
    with tempfile.TemporaryDirectory(prefix="pollenroad-") as folder:
        fleet = RelayFleet(FleetShape(70, SIZE, DOMAINS, own), Path(folder))
        try:
            measured = _measure(fleet, seed)
        finally:
            fleet.stop()
    result = _work_out(measured)
    result["ok"] = (
        result["leaving_new_work_s"] <= LEAVING_TARGET_S
        and result["dead_detected_s"] <= DEAD_TARGET_S
        and result["false_removals"] == 0
        and result["control_bytes_per_s_per_daemon"] <= BYTES_TARGET
        and result["control_cpu_core_pct"] <= CPU_TARGET_PCT
    )
    return result
