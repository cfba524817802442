"""The parts of `bench capacity` that need no fleet of relays: daemons, cores and limits."""

import statistics
import time
import tracemalloc
from dataclasses import dataclass

from pollenroad.bench import limits_compare
from pollenroad.bench.design_core import MEGABYTE, _documents, _loaded_core
from pollenroad.bench.fleet import Fleet, FleetPlan, running_fleet
from pollenroad.bench.load import CallMix, Generator, LoadPlan
from pollenroad.bench.processes import cpu_seconds, rss_mb
from pollenroad.limit_messages import LimitGrant, LimitRequest
from pollenroad.models import (
    ColdStart,
    CustomerLimit,
    Endpoint,
    RequestClass,
    ServiceDocument,
    WorkspaceDocument,
)
from pollenroad.shell.frames import encode_frame

RATES = (40.0, 80.0, 160.0)
"""Calls a second over both daemons."""

RATE_S = 3.0
IDLE_S = 2.0
SERVICE = "capacity/lookup"
CORE_SIZES = ((72, 2_750), (145, 5_500), (290, 11_000))
"""Services and endpoints."""

CUSTOMERS = (1, 2, 4)
LEASE_S = 5.0
LIMIT_PER_S = 200.0
ENTRIES_IN_USE = 4

FRAME_OVERHEAD_BYTES = 132
"""Bytes on the wire beside a frame: headers of TCP, IP and Ethernet, and its acknowledgement."""


@dataclass(frozen=True, slots=True)
class DaemonSlopes:
    """What real daemons cost; a call passes one as entry and one as guard."""

    memory_mb: float
    """Resident memory of a daemon with few documents, after calls, in mebibytes."""
    idle_cpu_core_pct: float
    rates_per_s: tuple[float, ...]
    cpu_s_by_rate: tuple[float, ...]
    """Processor time a second of both daemons together, by rate."""
    cpu_s_per_call: float
    """Slope: processor time of one call at its entry and its guard together, in seconds."""


@dataclass(frozen=True, slots=True)
class CoreSize:
    """Memory of a relay core that holds all documents."""

    services: int
    endpoints: int
    memory_mb: float


@dataclass(frozen=True, slots=True)
class LeaseSlope:
    """What limits cost an entry and, as much, an owner, by the number of busy customers."""

    customers: tuple[int, ...]
    calls_per_s: float
    """Of one customer at one entry."""
    messages_per_s: tuple[float, ...]
    """Sent and received by one entry in use."""
    bytes_per_customer: float
    """Bytes a second of one customer at its entry and its owner, both in one daemon."""
    cpu_pct_per_customer: float
    """Percent of a core of one customer at its entry and its owner, both in one daemon."""


def _documents_of_two() -> ServiceDocument:
    endpoints = tuple(
        Endpoint(
            name=f"lookup-{i}", vm=f"vm-{i}", failure_domain="zone", address=f"127.0.73.{i}:7100"
        )
        for i in (1, 2)
    )
    return ServiceDocument(
        workspace="capacity",
        service="lookup",
        version=1,
        slots=100,
        connections=200,
        classes=(RequestClass(name="lookup", idempotent=True),),
        default_class="lookup",
        endpoints=endpoints,
        cold_start=ColdStart(bound=100, ramp_s=0.5),
    )


def _cpu_of(fleet: Fleet) -> float:
    return sum(cpu_seconds(node.daemon.pid) for node in fleet.nodes)


def _cpu_at(fleet: Fleet, rate: float, seed: int) -> float:
    """Return the daemons' processor time a second under `rate` calls a second."""
    entries = tuple(node.call_address for node in fleet.nodes)
    mix = CallMix(service=SERVICE, rate_per_s=rate, body_bytes=300, method="POST")
    plan = LoadPlan(entries=entries, mixes=(mix,), seconds=RATE_S, seed=seed, poisson=False)
    before = _cpu_of(fleet)
    Generator(plan, fleet.log_path.parent).records()
    return (_cpu_of(fleet) - before) / RATE_S


def measure_daemons(seed: int) -> DaemonSlopes:
    """Measure two daemons, idle and at three rates."""
    model = {"slots": 100, "queue": 400, "service_ms": 5.0}
    with running_fleet(FleetPlan((_documents_of_two(),), {SERVICE: model})) as fleet:
        time.sleep(1.0)
        before = _cpu_of(fleet)
        time.sleep(IDLE_S)
        idle = (_cpu_of(fleet) - before) / IDLE_S / len(fleet.nodes)
        used = tuple(_cpu_at(fleet, rate, seed + i) for i, rate in enumerate(RATES))
        memory = max(rss_mb(node.daemon.pid) for node in fleet.nodes)
    return DaemonSlopes(
        memory_mb=round(memory, 1),
        idle_cpu_core_pct=round(100 * idle, 2),
        rates_per_s=RATES,
        cpu_s_by_rate=tuple(round(value, 4) for value in used),
        cpu_s_per_call=round(statistics.linear_regression(RATES, used).slope, 6),
    )


def measure_cores() -> list[CoreSize]:
    """Measure the memory of a relay core at the smaller sizes; the design's own comes apart."""
    return [_core_of(services, endpoints) for services, endpoints in CORE_SIZES[:-1]]


def _core_of(services: int, endpoints: int) -> CoreSize:
    documents = _documents(services, endpoints, 1)
    tracemalloc.start()
    try:
        relay = _loaded_core(documents)
        used, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert relay.ready
    return CoreSize(services, endpoints, round(used / MEGABYTE, 2))


def _lease_load(customers: int) -> tuple[float, float]:
    """Return messages a second of the whole world and its processor time, per second of clock."""
    names = [f"customer-{i}" for i in range(customers)]
    limits = tuple(CustomerLimit(name=n, rate_per_s=LIMIT_PER_S, concurrency=500) for n in names)
    document = WorkspaceDocument(
        workspace=limits_compare.WORKSPACE,
        version=1,
        customers=limits,
        limit_owners=limits_compare.ENTRIES,
    )
    world = limits_compare.World(now=5.0)
    fleet = limits_compare.LeaseFleet(world, document, limits_compare.ENTRIES)
    shares = (1.0,) * ENTRIES_IN_USE + (0.0,) * (len(limits_compare.ENTRIES) - ENTRIES_IN_USE)
    for seed, name in enumerate(names):
        calls = limits_compare.arrivals(LIMIT_PER_S / 2, 6.0, 6.0 + LEASE_S, shares, seed)
        for at, entry in calls:
            world.at(at, lambda e=entry, n=name: fleet.call(e, n))
    begin = time.process_time()
    world.run(6.0 + LEASE_S)
    return world.messages / LEASE_S, (time.process_time() - begin) / LEASE_S


def _frame_bytes() -> float:
    """Return the mean size of a request and its grant."""
    request = LimitRequest("merrimack", "customer-1", 1, 54_321, 1, 3, 4, 6, 3, 85.5)
    grant = LimitGrant("merrimack", "customer-1", 1, 54_321, 4, 9, False, 12.5, 3.5)
    return (len(encode_frame(request)) + len(encode_frame(grant))) / 2


def measure_leases() -> LeaseSlope:
    """Measure the cores of limits, with customers at half their limit over four entries.

    Each message is sent by one daemon and received by another, and every daemon is entry and
    owner alike, so that a customer busy at an entry costs twice what its entry sends and receives.
    """
    loads = [_lease_load(customers) for customers in CUSTOMERS]
    at_entry = [messages / ENTRIES_IN_USE for messages, _ in loads]
    messages = statistics.linear_regression(CUSTOMERS, at_entry).slope
    cpu_s = statistics.linear_regression(CUSTOMERS, [cpu for _, cpu in loads]).slope
    return LeaseSlope(
        customers=CUSTOMERS,
        calls_per_s=LIMIT_PER_S / 2 / ENTRIES_IN_USE,
        messages_per_s=tuple(round(value, 1) for value in at_entry),
        bytes_per_customer=round(2 * messages * (_frame_bytes() + FRAME_OVERHEAD_BYTES), 1),
        cpu_pct_per_customer=round(100 * cpu_s / ENTRIES_IN_USE, 3),
    )
