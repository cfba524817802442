"""`pollenroad bench noise`: endpoint selection while noisy neighbours slow servers down.

Simulates the same requests and slow periods of half a second for four policies: the cores of the
proxy; two random choices by exact load; least expected time by stale reports; and least expected
time by exact state. Clock, network and servers are simulated; the cores are those of the daemon.
"""

import random
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import partial

from pollenroad.bench.load import percentile
from pollenroad.bench.simulated_fleet import (
    DELAY_S,
    Clock,
    SimulatedFleet,
    SimulatedServer,
    make_configuration,
    make_request,
)
from pollenroad.boundary import AnswerCall

SERVERS = 5
SLOTS = 12
WORK_S = 0.2
"""Median service time of a request at a server of normal speed, in seconds."""
WORK_SIGMA = 0.3
"""Sigma of the lognormal service time."""
SLOW_SHARE = 0.35
"""Fraction of the periods in which a server is slow."""
SLOWDOWN = 7.0
"""Factor on the service time in a slow period."""
PERIOD_S = 0.5
"""Length of a period, in seconds."""
RATE_PER_S = 40.0
OBJECTIVE_S = 0.5
TIMEOUT_S = 1.5
SECONDS = 60.0
REPORT_INTERVAL_S = 0.1
"""Interval of the reports that the policy `stale` uses, and so their greatest age."""
IDEMPOTENT_SHARE = 0.75
TARGET_SHARE = 0.95
"""Least fraction of requests within the objective, relative to that of the policy `exact`."""
TARGET_P99 = 0.5
"""Highest p99, relative to that of the policy `two-choices`."""


@dataclass(frozen=True, slots=True)
class Arrival:
    """One request of the simulated load."""

    at: float
    entry: int
    work_s: float
    is_idempotent: bool


@dataclass(slots=True)
class World:
    """Simulated time, and the load and slow periods that all policies share."""

    arrivals: list[Arrival]
    slow_by_server: list[list[bool]]
    clock: Clock = field(default_factory=Clock)

    def slowdown(self, server: int, now: float) -> float:
        """Return the factor on a server's service time at the time `now`, in seconds."""
        periods = self.slow_by_server[server]
        return SLOWDOWN if periods[int(now / PERIOD_S + server / SERVERS) % len(periods)] else 1.0


def _make_world(seed: int) -> World:
    rng = random.Random(seed)
    arrivals, at = [], 1.0
    while at < SECONDS:
        at += rng.expovariate(RATE_PER_S)
        work_s = WORK_S * rng.lognormvariate(0.0, WORK_SIGMA)
        is_idempotent = rng.random() < IDEMPOTENT_SHARE
        arrivals.append(Arrival(at, rng.randrange(SERVERS), work_s, is_idempotent))
    periods = int(SECONDS / PERIOD_S) + 8
    slow = [[rng.random() < SLOW_SHARE for _ in range(periods)] for _ in range(SERVERS)]
    return World(arrivals, slow)


# --- Policies that select an endpoint once ---


@dataclass(slots=True)
class _Queue:
    """A server and its queue of requests."""

    running: int = 0
    waiting: deque = field(default_factory=deque)

    @property
    def load(self) -> int:
        return self.running + len(self.waiting)


def _expected_s(slowdown: float, load: int) -> float:
    return slowdown * (WORK_S + WORK_S * max(0, load + 1 - SLOTS) / SLOTS)


class _PolicySimulation:
    """Simulation of policies that send each request to one server, without retry or hedge."""

    def __init__(self, world: World, policy: str, seed: int):
        self._world = world
        self._policy = policy
        self._rng = random.Random(seed)
        self._queues = [_Queue() for _ in range(SERVERS)]
        self._reports = [(1.0, 0)] * SERVERS
        self.latencies: list[float] = []

    def simulate(self) -> list[float]:
        """Simulate all requests; return the latency of each, in seconds."""
        for arrival in self._world.arrivals:
            self._world.clock.at(arrival.at, lambda a=arrival: self._send(a))
        if self._policy == "stale":
            self._report()
        self._world.clock.run(SECONDS + 20.0)
        return self.latencies

    def _report(self) -> None:
        now = self._world.clock.now
        self._reports = [(self._world.slowdown(s, now), q.load) for s, q in self._servers()]
        if now < SECONDS:
            self._world.clock.at(now + REPORT_INTERVAL_S, self._report)

    def _servers(self) -> Iterator[tuple[int, _Queue]]:
        yield from enumerate(self._queues)

    def _select(self) -> int:
        now = self._world.clock.now
        match self._policy:
            case "two-choices":
                return min(self._rng.sample(range(SERVERS), 2), key=lambda s: self._queues[s].load)
            case "stale":
                costs = [_expected_s(*report) for report in self._reports]
            case _:
                costs = [
                    _expected_s(self._world.slowdown(s, now), q.load) for s, q in self._servers()
                ]
        return min(range(SERVERS), key=lambda s: (costs[s], self._rng.random()))

    def _send(self, arrival: Arrival) -> None:
        server = self._select()
        self._queues[server].waiting.append(arrival)
        self._fill(server)

    def _fill(self, server: int) -> None:
        queue = self._queues[server]
        while queue.waiting and queue.running < SLOTS:
            arrival = queue.waiting.popleft()
            queue.running += 1
            duration_s = arrival.work_s * self._world.slowdown(server, self._world.clock.now)
            self._world.clock.at(
                self._world.clock.now + duration_s, lambda a=arrival: self._end(server, a)
            )

    def _end(self, server: int, arrival: Arrival) -> None:
        self._queues[server].running -= 1
        latency_s = self._world.clock.now - arrival.at + 2 * DELAY_S
        self.latencies.append(min(TIMEOUT_S, latency_s))
        self._fill(server)


# --- The proxy's cores ---


class _CoresSimulation:
    """Simulation of one daemon per server: proxy cores with simulated links and servers."""

    def __init__(self, world: World, seed: int):
        self._world = world
        self._sent_at: dict[str, float] = {}
        self.latencies: list[float] = []
        servers = [
            SimulatedServer("booking", SLOTS, slowdown=partial(world.slowdown, number))
            for number in range(SERVERS)
        ]
        configuration = make_configuration(TIMEOUT_S, OBJECTIVE_S, max_attempts=2)
        self._fleet = SimulatedFleet(world.clock, servers, configuration, self._record, seed)

    def simulate(self) -> list[float]:
        """Simulate all requests; return the latency of each, in seconds."""
        for number, arrival in enumerate(self._world.arrivals):
            self._world.clock.at(arrival.at, partial(self._arrive, str(number), arrival))
        self._fleet.run(SECONDS + 20.0)
        return self.latencies

    def _arrive(self, number: str, arrival: Arrival) -> None:
        self._sent_at[number] = arrival.at
        request = make_request(number, arrival.work_s, arrival.is_idempotent, 3.0)
        self._fleet.arrive(arrival.entry, request)

    def _record(self, answer: AnswerCall) -> None:
        latency_s = self._world.clock.now - self._sent_at[answer.call_id]
        self.latencies.append(latency_s if answer.response is not None else TIMEOUT_S)


def run(seed: int = 1) -> dict:
    """Simulate the same load and slow periods for every policy.

    Args:
        seed: Seed of the requests and slow periods.

    Returns:
        p99 in milliseconds and fraction of requests within the objective, by policy, and the
        ratios that the targets limit.
    """
    latencies_by_name = {"proxy": _CoresSimulation(_make_world(seed), seed).simulate()}
    for policy in ("two-choices", "stale", "exact"):
        latencies_by_name[policy] = _PolicySimulation(_make_world(seed), policy, seed).simulate()
    p99 = {name: percentile([s * 1000 for s in v], 0.99) for name, v in latencies_by_name.items()}
    share_in_objective = {
        name: sum(latency_s <= OBJECTIVE_S for latency_s in v) / len(v)
        for name, v in latencies_by_name.items()
    }
    to_exact = share_in_objective["proxy"] / share_in_objective["exact"]
    to_two_choices = p99["proxy"] / p99["two-choices"]
    return {
        "requests": {name: len(v) for name, v in latencies_by_name.items()},
        "p99_ms": {name: round(value, 1) for name, value in p99.items()},
        "share_in_objective": {name: round(value, 4) for name, value in share_in_objective.items()},
        "ratio_share_to_exact": round(to_exact, 3),
        "ratio_p99_to_two_choices": round(to_two_choices, 3),
        "ok": to_exact >= TARGET_SHARE and to_two_choices <= TARGET_P99,
    }
