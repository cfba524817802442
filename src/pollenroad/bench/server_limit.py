"""`pollenroad bench server-limit`: what callers get while servers state limits on their requests.

Simulates callers who follow Retry-After, daemons and servers. In each scenario the servers state
other limits: enough room elsewhere, too little room anywhere, low ones, ones that change, and ones
beside daemons that restart or freeze.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from pollenroad.bench.simulated_fleet import (
    Clock,
    SimulatedFleet,
    SimulatedServer,
    make_configuration,
    make_request,
)
from pollenroad.boundary import AnswerCall
from pollenroad.proxy.advertised import UNLIMITED, RateLimit, UnreadableLimit
from pollenroad.verdicts import Verdict

SERVERS = 5
SLOTS = 18
WORK_S = 0.24
OBJECTIVE_S = 0.6
DEADLINE_S = 2.5
RATE_PER_S = 60.0
START_S = 2.0
"""When the servers begin to state limits, in seconds."""
END_S = 22.0
"""When they no longer state any, in seconds."""
SECONDS = 26.0
RETURNS = 1
"""How often a caller returns after a refusal."""
RETURN_SHARE = 1 / 3
"""Longest wait of a caller before it returns, as a share of the time that it has left."""
WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5.0
"""Bound on the requests in any `WINDOW_S`: limit * `WINDOW_S` * `LIMIT_FACTOR` + this."""
QUICK_REFUSAL_S = 0.05
"""Time within which a refusal counts as sent at once, in seconds."""


@dataclass(slots=True)
class Call:
    """A request of a caller, and its tries."""

    arrived: float
    work_s: float
    is_idempotent: bool
    entry: int
    tries: int = 0
    sent: float = 0.0
    ended: float = 0.0
    is_served: bool = False


@dataclass(slots=True)
class Play:
    """One simulated load with its callers."""

    fleet: SimulatedFleet
    call_by_id: dict[str, Call] = field(default_factory=dict)
    calls: list[Call] = field(default_factory=list)
    refusal_waits_s: list[float] = field(default_factory=list)
    false_refusals: int = 0
    """Requests that were refused as not run and had reached a server."""

    def send(self, call: Call) -> None:
        """Send a request for the first time or once more."""
        clock = self.fleet.clock
        call.tries += 1
        call.sent = clock.now
        call_id = f"c{len(self.call_by_id)}"
        self.call_by_id[call_id] = call
        left_s = call.arrived + DEADLINE_S - clock.now
        request = make_request(call_id, call.work_s, call.is_idempotent, left_s)
        self.fleet.arrive(call.entry, request)

    def answered(self, answer: AnswerCall) -> None:
        """Record an answer; the caller of a request that did not run returns later."""
        call, now = self.call_by_id[answer.call_id], self.fleet.clock.now
        call.ended, call.is_served = now, answer.response is not None
        if answer.verdict is not Verdict.NOT_RUN:
            return
        self.refusal_waits_s.append(now - call.sent)
        starts = (start for server in self.fleet.servers for start in server.starts)
        self.false_refusals += any(request_id == answer.call_id for _, request_id in starts)
        pause_s = min(
            answer.retry_after_ms / 1000, RETURN_SHARE * (call.arrived + DEADLINE_S - now)
        )
        if call.tries <= RETURNS and pause_s > 0:
            self.fleet.clock.at(now + pause_s, partial(self.send, call))


Script = Callable[[Play, random.Random], None]
"""Schedules what happens in a scenario."""


def _set_limits(play: Play, at: float, limit_by_server: dict[int, object]) -> None:
    def apply() -> None:
        for number, limit in limit_by_server.items():
            play.fleet.servers[number].limit = limit

    play.fleet.clock.at(at, apply)


def _limits(per_s: tuple[float, ...]) -> Script:
    def script(play: Play, _rng: random.Random) -> None:
        limits = {n: RateLimit(value) for n, value in enumerate(per_s)}
        _set_limits(play, START_S, limits)
        _set_limits(play, END_S, dict.fromkeys(limits, UNLIMITED))

    return script


def _changing(play: Play, rng: random.Random) -> None:
    at = START_S
    while at < END_S:
        values = (RateLimit(rng.uniform(2.0, 20.0)), UNLIMITED, UnreadableLimit("soon"))
        _set_limits(play, at, {rng.randrange(SERVERS): rng.choice(values)})
        at += rng.expovariate(2.0)
    _set_limits(play, END_S, dict.fromkeys(range(SERVERS), UNLIMITED))


def _restarts(play: Play, rng: random.Random) -> None:
    _limits((6.0,) * SERVERS)(play, rng)
    for second in range(int(START_S) + 2, int(END_S)):
        number = rng.randrange(SERVERS)
        play.fleet.clock.at(second + rng.random(), partial(play.fleet.restart, number))


def _freezes(play: Play, rng: random.Random) -> None:
    _limits((6.0,) * SERVERS)(play, rng)
    for second in range(int(START_S) + 2, int(END_S), 3):
        number = rng.randrange(SERVERS)
        play.fleet.clock.at(second + rng.random(), partial(play.fleet.freeze, number, 2.0))


def _steady(_now: float) -> float:
    return RATE_PER_S


def _bursts(now: float) -> float:
    """Return a rate that is four times as high in one second of four."""
    return 2 * RATE_PER_S if int(now) % 4 == 0 else RATE_PER_S / 2


@dataclass(frozen=True, slots=True)
class Scenario:
    """What the servers state, what happens to daemons, and the load."""

    script: Script
    rate_per_s: Callable[[float], float] = _steady
    """Rate of new requests, by the time in seconds."""


SCENARIO_BY_NAME = {
    "none": Scenario(lambda _play, _rng: None),
    "room-elsewhere": Scenario(_limits((6.0, 6.0, 6.0, 6.0))),
    "all-limited": Scenario(_limits((8.0,) * SERVERS)),
    "bursts": Scenario(_limits((12.0,) * SERVERS), _bursts),
    "all-low": Scenario(_limits((0.5,) * SERVERS)),
    "all-zero": Scenario(_limits((0.0,) * SERVERS)),
    "changing": Scenario(_changing),
    "restarts": Scenario(_restarts),
    "freezes": Scenario(_freezes),
}


LIMIT_BY_SCENARIO = {
    "room-elsewhere": 6.0,
    "all-limited": 8.0,
    "bursts": 12.0,
    "all-low": 0.5,
    "all-zero": 0.0,
    "restarts": 6.0,
    "freezes": 6.0,
}
"""Limit of the first servers, where it is constant, in requests a second."""


def play_scenario(name: str, seed: int) -> Play:
    """Simulate the load of one scenario.

    Args:
        name: Key of `SCENARIO_BY_NAME`.
        seed: Seed of the load and of the scenario.
    """
    rng, clock = random.Random(f"{name}/{seed}"), Clock()
    servers = [SimulatedServer("booking", SLOTS) for _ in range(SERVERS)]
    configuration = make_configuration(DEADLINE_S, OBJECTIVE_S, max_attempts=3)
    fleet = SimulatedFleet(clock, servers, configuration, lambda a: play.answered(a), seed)
    play = Play(fleet)
    scenario = SCENARIO_BY_NAME[name]
    scenario.script(play, rng)
    at = 0.5
    while at < SECONDS:
        at += rng.expovariate(scenario.rate_per_s(at))
        work_s = WORK_S * rng.lognormvariate(0.0, 0.3)
        call = Call(at, work_s, rng.random() < 2 / 3, rng.randrange(SERVERS))
        play.calls.append(call)
        clock.at(at, partial(play.send, call))
    fleet.run(SECONDS + 2 * DEADLINE_S)
    return play


def most_in_window(server: SimulatedServer) -> int:
    """Return the most requests that reached a server in any `WINDOW_S`."""
    times = [at for at, _ in server.starts if START_S <= at < END_S]
    return max((sum(at <= t < at + WINDOW_S for t in times) for at in times), default=0)


def figures(play: Play) -> dict[str, object]:
    """Return what callers and servers got while limits were stated."""
    calls = [c for c in play.calls if START_S <= c.arrived < END_S]
    in_time = sum(c.is_served and c.ended - c.arrived <= OBJECTIVE_S for c in calls)
    waits_s = sorted(play.refusal_waits_s)
    return {
        "in_time": round(in_time / len(calls), 3),
        "served": round(sum(c.is_served for c in calls) / len(calls), 3),
        "tries": round(sum(c.tries for c in calls) / len(calls), 2),
        "refused": len(waits_s),
        "refused_at_once": _share_up_to(waits_s, QUICK_REFUSAL_S),
        "false_refusals": play.false_refusals,
        "most_in_window": [most_in_window(server) for server in play.fleet.servers],
    }


def _share_up_to(sorted_s: list[float], bound_s: float) -> float:
    return round(sum(s <= bound_s for s in sorted_s) / max(1, len(sorted_s)), 3)


def run(seed: int = 1) -> dict:
    """Simulate every scenario; return the figures by scenario.

    The targets: no server gets more than the bound of its limit, where that is constant, and no
    refusal is false.
    """
    result = {name: figures(play_scenario(name, seed)) for name in SCENARIO_BY_NAME}
    is_within = all(
        most <= LIMIT_FACTOR * WINDOW_S * per_s + LIMIT_SLACK
        for name, per_s in LIMIT_BY_SCENARIO.items()
        for most in result[name]["most_in_window"][: SERVERS - 1]
    )
    is_true = not any(values["false_refusals"] for values in result.values())
    return {**result, "ok": is_within and is_true}
