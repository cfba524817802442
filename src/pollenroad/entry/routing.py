"""Choice of an endpoint for an attempt, under load reports that are stale when read."""

import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass

from pollenroad.entry.latencies import Latencies
from pollenroad.entry.loads import SLOW_FACTOR, EndpointLoad, make_endpoint_load
from pollenroad.entry.subsets import subset_of
from pollenroad.messages import LoadReport
from pollenroad.models import Endpoint, Routing, ServiceDocument
from pollenroad.verdicts import Verdict

FIRST_GUESS_S = 0.02
"""Latency in seconds that is assumed while nothing is known."""

TRIAL_LOOK = 0.5
"""Age from which an attempt at a straggler is looked at, in typical latencies."""

EARLY_LOOK = 0.25
"""Part of the needed surprise after which an attempt is looked at; others may raise the rest."""

FIRST_LOOK_S = 1.0
"""Age in seconds from which an attempt is looked at while its class's latency is unknown."""

LOAD_COST = 1.0
"""Latencies that a fully used endpoint costs more than an idle one; grows with the square."""

REMOTE_COST_S = 0.002
"""Cost in seconds of another failure domain: the price of the way there and back."""

STALL_LATENCIES = 4.0
"""Least cost of an endpoint that is surely stalled, in typical latencies."""

STALL_AGES = 2.0
"""Cost of an endpoint that is surely stalled, in multiples of the age of its oldest attempt."""

FAILURE_COST_S = 2.0
"""Cost in seconds of an endpoint at which every attempt fails."""

OUT_COST_S = 1000.0
"""Cost in seconds of an endpoint that takes no new work: only used if all are out."""

UNHEDGED_PATIENCE = 8.0
"""How much longer a straggler is left alone by hedges, retries and calls without hedges."""

REPORTED_REASONS = frozenset(
    {"overloaded", "busy", "deadline", "leaving", "out-of-service", "unreachable"}
)
"""Refusals whose cause the guard's report or the link tells; all others count as failures."""

CLOSE_S = 0.001
"""Endpoints whose cost is within so many seconds of the least are equally good."""


@dataclass(frozen=True, slots=True)
class Random:
    """Any endpoint."""


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Each endpoint in turn."""


@dataclass(frozen=True, slots=True)
class LeastInFlight:
    """The endpoint with the fewest open attempts of this entry."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """The one of two random endpoints with fewer open attempts of this entry."""


@dataclass(frozen=True, slots=True)
class LeastTime:
    """The endpoint from which an answer is expected soonest."""


Policy = Random | RoundRobin | LeastInFlight | TwoChoices | LeastTime
"""How a router chooses; all but `LeastTime` are there to compare with."""

POLICY_BY_NAME: dict[Routing, Policy] = {
    "random": Random(),
    "round-robin": RoundRobin(),
    "least-in-flight": LeastInFlight(),
    "two-choices": TwoChoices(),
    "least-time": LeastTime(),
}


@dataclass(frozen=True, slots=True)
class Choice:
    """An endpoint, and why it was chosen."""

    endpoint: Endpoint
    why: str
    """`local`, `spill` (to another failure domain), `last` (all are out), or the policy's name."""


@dataclass(frozen=True, slots=True)
class RouterPlace:
    """Where an entry stands."""

    failure_domain: str
    ring_place: float = 0.0
    """Place on the ring of subsets, from 0 up to 1."""


class Router:
    """What one entry knows of the endpoints of one service."""

    def __init__(self, document: ServiceDocument, place: RouterPlace, rng: random.Random):
        self._place = place
        self._rng = rng
        self._turns = itertools.count()
        self._load_by_name: dict[str, EndpointLoad] = {}
        self._latencies_by_class: dict[str, Latencies] = {}
        self._excluded_vms: frozenset[str] = frozenset()
        self.configure(document)

    # --- Configuration ---

    def configure(self, document: ServiceDocument) -> None:
        """Take a newer document; what is known of endpoints that remain is kept."""
        self._document = document
        self._policy = POLICY_BY_NAME[document.routing]
        self._hedged_names = {c.name for c in document.classes if c.hedge and c.idempotent}
        self._take_subset()

    def exclude(self, vms: frozenset[str]) -> None:
        """Take the VMs that are leaving or dead; their endpoints get no new attempts."""
        changed = self._excluded_vms ^ vms
        self._excluded_vms = vms
        if any(endpoint.vm in changed for endpoint in self._document.endpoints):
            self._take_subset()

    def _take_subset(self) -> None:
        document = self._document
        out = document.out_of_service
        excluded = self._excluded_vms.union(out.vms)
        in_service = [
            endpoint
            for endpoint in document.endpoints
            if endpoint.failure_domain not in out.failure_domains and endpoint.vm not in excluded
        ]
        subset = subset_of(
            in_service, document.subset_size, self._place.ring_place, self._place.failure_domain
        )
        bound = self._first_bound()
        self._load_by_name = {e.name: self._load_of(e, bound) for e in subset}
        self._usable = list(self._load_by_name.values())

    def _first_bound(self) -> int:
        """Return what an endpoint is taken to bear that is not known yet.

        One that joins or returns is cold until its guard says otherwise; at the first document all
        are unknown, and most will be warm.
        """
        document = self._document
        if not self._load_by_name:
            return document.slots
        return min(document.slots, document.cold_start.bound)

    def _load_of(self, endpoint: Endpoint, bound: int) -> EndpointLoad:
        load = self._load_by_name.get(endpoint.name)
        if load is None or load.endpoint != endpoint:
            return make_endpoint_load(endpoint, bound)
        return load

    def _latencies(self, class_name: str) -> Latencies:
        return self._latencies_by_class.setdefault(class_name, Latencies())

    # --- What is learned ---

    def learn(self, report: LoadReport, now: float) -> None:
        """Take a load report of one endpoint."""
        load = self._load_by_name.get(report.endpoint)
        if load is not None:
            load.learn(report, now)

    def sent(self, name: str, attempt_id: str, class_name: str, now: float) -> None:
        """Count an attempt handed to the endpoint `name`."""
        self._load_by_name[name].sent(attempt_id, self._latencies(class_name), now)

    def ended(self, name: str, attempt_id: str, verdict: Verdict, reason: str, now: float) -> None:
        """Count an attempt that ended without a whole answer; `reason` is its reason code."""
        load = self._load_by_name.get(name)
        if load is None:
            return
        if verdict is Verdict.NOT_RUN and reason in REPORTED_REASONS:
            load.refused(attempt_id)
        else:
            load.failed(attempt_id, now)

    def answered(
        self, name: str, attempt_id: str, class_name: str, latency_s: float, ok: bool, now: float
    ) -> None:
        """Count a whole answer after `latency_s` seconds; `ok` is false for a server error."""
        load = self._load_by_name.get(name)
        if load is None:
            return
        if not ok:
            load.failed(attempt_id, now)
            return
        latencies = self._latencies(class_name)
        load.answered(attempt_id, latency_s, latencies.quantile(0.5) or 0.0, now)
        latencies.add(latency_s)

    def cancelled(self, name: str, attempt_id: str, class_name: str, now: float) -> None:
        """Count an attempt that this entry gave up."""
        load = self._load_by_name.get(name)
        if load is not None:
            typical_s = self._latencies(class_name).quantile(0.5) or 0.0
            load.cancelled(attempt_id, typical_s, now)

    def unreachable(self, address: str, now: float) -> None:
        """Count a broken link to the daemon at `address`."""
        for load in self._usable:
            if load.endpoint.address == address:
                load.unreachable(now)

    # --- What is estimated ---

    def doubtful_after_s(self, name: str, class_name: str, doubt: float, now: float) -> float:
        """Return the age in seconds from which one open attempt alone raises so much doubt."""
        load = self._load_by_name[name]
        latencies = self._latencies(class_name)
        typical_s = latencies.quantile(0.5)
        if typical_s is None:
            return FIRST_LOOK_S
        if load.latency_s > SLOW_FACTOR * typical_s:
            return TRIAL_LOOK * typical_s
        share = load.stall_prior(now + typical_s) * (1 - doubt) / doubt
        return latencies.quantile(1 - min(1.0, share**EARLY_LOOK))

    def typical_s(self, class_name: str) -> float:
        """Return the median latency of a request class, in seconds."""
        return self._latencies(class_name).quantile(0.5) or FIRST_GUESS_S

    def doubt(self, name: str, class_name: str, now: float) -> float:
        """Return how much an open attempt at the endpoint `name` needs a hedge, from 0 to 1."""
        load = self._load_by_name.get(name)
        if load is None or load.latency_s > SLOW_FACTOR * self.typical_s(class_name):
            return 1.0
        return load.stall_chance(now)

    def spare_share(self, now: float) -> float:
        """Estimate the share of all known bounds that is free, from 0 to 1."""
        bound = sum(load.bound for load in self._usable if not load.is_out(now))
        if not bound:
            return 0.0
        used = sum(load.in_flight(now) for load in self._usable if not load.is_out(now))
        return max(0.0, 1.0 - used / bound)

    def _cost_s(self, load: EndpointLoad, typical_s: float, patience: float, now: float) -> float:
        expected_s = load.expected_s(typical_s, now, patience)
        in_flight = load.in_flight(now)
        bound = max(1, load.bound)
        waiting = max(0.0, in_flight + 1 - bound)
        cost_s = expected_s * (1 + LOAD_COST * (in_flight / bound) ** 2 + waiting / bound)
        stall_s = max(STALL_LATENCIES * typical_s, STALL_AGES * load.oldest_s(now))
        cost_s += stall_s * load.stall_chance(now)
        cost_s += FAILURE_COST_S * load.failure_share(now)
        if load.endpoint.failure_domain != self._place.failure_domain:
            cost_s += REMOTE_COST_S
        if load.is_out(now):
            cost_s += OUT_COST_S
        return cost_s

    # --- The choice ---

    def choose(self, tried: set[str], class_name: str, now: float) -> Choice | None:
        """Choose an endpoint, one not in `tried` if possible, or None if none is usable."""
        candidates = [u for u in self._usable if u.endpoint.name not in tried] or self._usable
        if not candidates:
            return None
        match self._policy:
            case LeastTime():
                return self._least_time(candidates, tried, class_name, now)
            case policy:
                return Choice(self._compared(policy, candidates).endpoint, "policy")

    def _compared(self, policy: Policy, candidates: Sequence[EndpointLoad]) -> EndpointLoad:
        match policy:
            case RoundRobin():
                return candidates[next(self._turns) % len(candidates)]
            case LeastInFlight():
                group = self._rng.sample(candidates, len(candidates))
            case TwoChoices():
                group = self._rng.sample(candidates, min(2, len(candidates)))
            case _:
                group = [self._rng.choice(candidates)]
        return min(group, key=lambda load: load.own_in_flight)

    def _least_time(
        self, candidates: Sequence[EndpointLoad], tried: set[str], class_name: str, now: float
    ) -> Choice:
        typical_s = self.typical_s(class_name)
        may_try = class_name in self._hedged_names and not tried
        patience = 1.0 if may_try else UNHEDGED_PATIENCE
        costs = [(self._cost_s(load, typical_s, patience, now), load) for load in candidates]
        least_s = min(cost_s for cost_s, _ in costs)
        close = [(cost_s, load) for cost_s, load in costs if cost_s <= least_s + CLOSE_S]
        pair = self._rng.sample(close, min(2, len(close)))
        cost_s, load = min(pair, key=lambda item: item[0])
        return Choice(load.endpoint, self._why(load, cost_s))

    def _why(self, load: EndpointLoad, cost_s: float) -> str:
        if cost_s >= OUT_COST_S:
            return "last"
        if load.endpoint.failure_domain == self._place.failure_domain:
            return "local"
        return "spill"


def make_router(document: ServiceDocument, place: RouterPlace, rng: random.Random) -> Router:
    """Make the router of one service for an entry at `place`."""
    return Router(document, place, rng)
