"""Endpoint selection for attempts, based on load reports that are stale on arrival."""

import itertools
import random
from collections.abc import Sequence
from dataclasses import dataclass

from pollenroad.entry.latencies import Latencies
from pollenroad.entry.loads import STRAGGLER_FACTOR, EndpointLoad, make_endpoint_load
from pollenroad.entry.subsets import select_subset
from pollenroad.messages import LoadReport
from pollenroad.models import Endpoint, Routing, ServiceDocument
from pollenroad.verdicts import Verdict

DEFAULT_LATENCY_S = 0.02
"""Typical latency in seconds assumed while none is known."""

STRAGGLER_CHECK_AGE = 0.5
"""Age at which an attempt at a straggler is checked for a hedge, in typical latencies."""

EARLY_CHECK_SHARE = 0.25
"""Share of the required surprisal at which an attempt is checked for a hedge.

Below 1, because other open attempts at the endpoint may contribute the rest.
"""

DEFAULT_CHECK_AGE_S = 1.0
"""Age in seconds at which an attempt is checked while its class has no known latency."""

LOAD_COST = 1.0
"""Extra cost of a fully used endpoint in latencies; grows with the square of the utilization."""

REMOTE_COST_S = 0.002
"""Extra cost in seconds of an endpoint in another failure domain, for the round trip."""

MIN_STALL_COST = 4.0
"""Minimum extra cost of a stalled endpoint, in typical latencies."""

STALL_AGE_FACTOR = 2.0
"""Extra cost of a stalled endpoint, as a multiple of the age of its oldest attempt."""

FAILURE_COST_S = 2.0
"""Extra cost in seconds of an endpoint at which every attempt fails."""

UNAVAILABLE_COST_S = 1000.0
"""Extra cost in seconds of an unavailable endpoint: it is selected only if all are unavailable."""

UNHEDGED_RECOVERY_FACTOR = 8.0
"""How much more slowly a straggler recovers for retries, hedges and classes without hedges."""

REPORTED_REASONS = frozenset(
    {"overloaded", "busy", "deadline", "leaving", "out-of-service", "unreachable"}
)
"""Refusals explained by the guard's load report or the link; all others count as failures."""

TIE_MARGIN_S = 0.001
"""Difference in seconds from the least cost within which endpoints count as equal."""


@dataclass(frozen=True, slots=True)
class Random:
    """Selects a random endpoint."""


@dataclass(frozen=True, slots=True)
class RoundRobin:
    """Selects the endpoints in turn."""


@dataclass(frozen=True, slots=True)
class LeastInFlight:
    """Selects the endpoint with the fewest open attempts of this entry."""


@dataclass(frozen=True, slots=True)
class TwoChoices:
    """Selects from two random endpoints the one with fewer open attempts of this entry."""


@dataclass(frozen=True, slots=True)
class LeastTime:
    """Selects the endpoint that is expected to answer soonest."""


Policy = Random | RoundRobin | LeastInFlight | TwoChoices | LeastTime
"""Selection policy of a router; all but `LeastTime` serve for comparison."""

POLICY_BY_NAME: dict[Routing, Policy] = {
    "random": Random(),
    "round-robin": RoundRobin(),
    "least-in-flight": LeastInFlight(),
    "two-choices": TwoChoices(),
    "least-time": LeastTime(),
}


@dataclass(frozen=True, slots=True)
class Selection:
    """The selected endpoint, and the reason."""

    endpoint: Endpoint
    reason: str
    """`local`, `spill` (to another failure domain), `last` (all are unavailable), or `policy` (any
    policy other than `LeastTime`)."""


@dataclass(frozen=True, slots=True)
class Location:
    """Failure domain and ring position of an entry."""

    failure_domain: str
    ring_position: float = 0.0
    """Position on the ring of endpoint subsets, from 0 (inclusive) to 1 (exclusive)."""


class Router:
    """Selects endpoints of one service for one entry, from load and latency estimates."""

    def __init__(self, document: ServiceDocument, location: Location, rng: random.Random):
        self._location = location
        self._rng = rng
        self._turns = itertools.count()
        self._load_by_name: dict[str, EndpointLoad] = {}
        self._latencies_by_class: dict[str, Latencies] = {}
        self._excluded_vms: frozenset[str] = frozenset()
        self.configure(document)

    # --- Configuration ---

    def configure(self, document: ServiceDocument) -> None:
        """Apply a newer document; the estimates of unchanged endpoints are kept."""
        self._document = document
        self._policy = POLICY_BY_NAME[document.routing]
        self._hedged_classes = {c.name for c in document.classes if c.hedge and c.idempotent}
        self._update_subset()

    def exclude(self, vms: frozenset[str]) -> None:
        """Set the VMs that are leaving or dead; their endpoints get no new attempts."""
        changed = self._excluded_vms ^ vms
        self._excluded_vms = vms
        if any(endpoint.vm in changed for endpoint in self._document.endpoints):
            self._update_subset()

    def _update_subset(self) -> None:
        document = self._document
        out = document.out_of_service
        excluded = self._excluded_vms.union(out.vms)
        in_service = [
            endpoint
            for endpoint in document.endpoints
            if endpoint.failure_domain not in out.failure_domains and endpoint.vm not in excluded
        ]
        subset = select_subset(
            in_service,
            document.subset_size,
            self._location.ring_position,
            self._location.failure_domain,
        )
        bound = self._initial_bound()
        self._load_by_name = {e.name: self._load_of(e, bound) for e in subset}
        self._usable = list(self._load_by_name.values())

    def _initial_bound(self) -> int:
        """Return the bound assumed for an endpoint that has not reported yet.

        An endpoint that joins or returns is assumed cold until its guard reports otherwise. With
        the first document no endpoint has reported, and most are probably warm.
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

    # --- Observations ---

    def learn(self, report: LoadReport, now: float) -> None:
        """Apply a load report of one endpoint."""
        load = self._load_by_name.get(report.endpoint)
        if load is not None:
            load.learn(report, now)

    def sent(self, name: str, attempt_id: str, class_name: str, now: float) -> None:
        """Record an attempt sent to the endpoint `name`."""
        self._load_by_name[name].sent(attempt_id, self._latencies(class_name), now)

    def ended(self, name: str, attempt_id: str, verdict: Verdict, reason: str, now: float) -> None:
        """Record an attempt that ended without a complete answer; `reason` is its reason code."""
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
        """Record a complete answer after `latency_s` seconds; `ok` is false for a server error."""
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
        """Record an attempt that this entry cancelled."""
        load = self._load_by_name.get(name)
        if load is not None:
            typical_s = self._latencies(class_name).quantile(0.5) or 0.0
            load.cancelled(attempt_id, typical_s, now)

    def unreachable(self, address: str, now: float) -> None:
        """Eject the endpoints behind a broken link to the daemon at `address`."""
        for load in self._usable:
            if load.endpoint.address == address:
                load.unreachable(now)

    # --- Estimates ---

    def hedge_check_age_s(self, name: str, class_name: str, suspicion: float, now: float) -> float:
        """Return the age in seconds at which an open attempt is checked for a hedge.

        Args:
            name: Endpoint of the attempt.
            class_name: Request class of the attempt.
            suspicion: Stall suspicion that a hedge requires, from 0 to 1.
            now: Monotonic time in seconds.
        """
        load = self._load_by_name[name]
        latencies = self._latencies(class_name)
        typical_s = latencies.quantile(0.5)
        if typical_s is None:
            return DEFAULT_CHECK_AGE_S
        if load.latency_s > STRAGGLER_FACTOR * typical_s:
            return STRAGGLER_CHECK_AGE * typical_s
        tail_probability = load.prior_stall_odds(now + typical_s) * (1 - suspicion) / suspicion
        return latencies.quantile(1 - min(1.0, tail_probability**EARLY_CHECK_SHARE))

    def typical_s(self, class_name: str) -> float:
        """Return the median latency of a request class in seconds, or a default if unknown."""
        return self._latencies(class_name).quantile(0.5) or DEFAULT_LATENCY_S

    def suspicion(self, name: str, class_name: str, now: float) -> float:
        """Return the stall suspicion of an endpoint, 0 to 1; 1 if it is a straggler or unknown."""
        load = self._load_by_name.get(name)
        if load is None or load.latency_s > STRAGGLER_FACTOR * self.typical_s(class_name):
            return 1.0
        return load.stall_probability(now)

    def spare_share(self, now: float) -> float:
        """Estimate the free share of the known capacity, from 0 to 1."""
        bound = sum(load.bound for load in self._usable if not load.is_unavailable(now))
        if not bound:
            return 0.0
        used = sum(load.in_flight(now) for load in self._usable if not load.is_unavailable(now))
        return max(0.0, 1.0 - used / bound)

    def _cost_s(
        self, load: EndpointLoad, typical_s: float, recovery_factor: float, now: float
    ) -> float:
        expected_s = load.expected_s(typical_s, now, recovery_factor)
        in_flight = load.in_flight(now)
        bound = max(1, load.bound)
        waiting = max(0.0, in_flight + 1 - bound)
        cost_s = expected_s * (1 + LOAD_COST * (in_flight / bound) ** 2 + waiting / bound)
        stall_s = max(MIN_STALL_COST * typical_s, STALL_AGE_FACTOR * load.oldest_age_s(now))
        cost_s += stall_s * load.stall_probability(now)
        cost_s += FAILURE_COST_S * load.failure_share(now)
        if load.endpoint.failure_domain != self._location.failure_domain:
            cost_s += REMOTE_COST_S
        if load.is_unavailable(now):
            cost_s += UNAVAILABLE_COST_S
        return cost_s

    # --- Selection ---

    def select(self, tried: set[str], class_name: str, now: float) -> Selection | None:
        """Select an endpoint, preferably one not in `tried`; return None if none is usable."""
        candidates = [
            load for load in self._usable if load.endpoint.name not in tried
        ] or self._usable
        if not candidates:
            return None
        match self._policy:
            case LeastTime():
                return self._select_least_time(candidates, tried, class_name, now)
            case policy:
                return Selection(self._select_by_policy(policy, candidates).endpoint, "policy")

    def _select_by_policy(self, policy: Policy, candidates: Sequence[EndpointLoad]) -> EndpointLoad:
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

    def _select_least_time(
        self, candidates: Sequence[EndpointLoad], tried: set[str], class_name: str, now: float
    ) -> Selection:
        typical_s = self.typical_s(class_name)
        can_try_straggler = class_name in self._hedged_classes and not tried
        recovery_factor = 1.0 if can_try_straggler else UNHEDGED_RECOVERY_FACTOR
        costs = [(self._cost_s(load, typical_s, recovery_factor, now), load) for load in candidates]
        least_s = min(cost_s for cost_s, _ in costs)
        near_best = [(cost_s, load) for cost_s, load in costs if cost_s <= least_s + TIE_MARGIN_S]
        pair = self._rng.sample(near_best, min(2, len(near_best)))
        cost_s, load = min(pair, key=lambda item: item[0])
        return Selection(load.endpoint, self._selection_reason(load, cost_s))

    def _selection_reason(self, load: EndpointLoad, cost_s: float) -> str:
        if cost_s >= UNAVAILABLE_COST_S:
            return "last"
        if load.endpoint.failure_domain == self._location.failure_domain:
            return "local"
        return "spill"


def make_router(document: ServiceDocument, location: Location, rng: random.Random) -> Router:
    """Create the router of one service for an entry at `location`."""
    return Router(document, location, rng)
