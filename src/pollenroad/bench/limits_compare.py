"""Ways to hold a customer's limit over many entries, side by side with a clock of their own.

Drives the cores of `pollenroad.limits` through their events, next to two small alternatives: a
static share of the limit for each entry, and gossip of usage between entries. Messages take
`DELAY_S`; a cut drops those between its two sides.
"""

import heapq
import itertools
import random
from collections import Counter, deque
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from pollenroad.boundary import DocumentInForce, PeerReceived, Tick
from pollenroad.limit_messages import LimitGrant
from pollenroad.limits.limit_owner import make_limit_owner
from pollenroad.limits.limit_shares import TokenBucket
from pollenroad.limits.limits import make_limits
from pollenroad.models import CustomerLimit, WorkspaceDocument

DELAY_S = 0.001
GOSSIP_EVERY_S = 0.1
GOSSIP_WINDOW_S = 0.5
HOLD_S = 0.02
WORKSPACE = "compare"
ENTRIES = tuple(f"10.0.0.{i}:7100" for i in range(1, 9))
SKEW = (0.6, 0.2, 0.1, 0.06, 0.04, 0.0, 0.0, 0.0)
"""Share of the calls that reaches each entry."""


@dataclass(slots=True)
class Cut:
    """A partition: messages between `side` and the others are dropped from `start` to `end`."""

    side: frozenset[str]
    start: float
    end: float

    def drops(self, sender: str, receiver: str, now: float) -> bool:
        """Tell whether a message is dropped."""
        crosses = (sender in self.side) != (receiver in self.side)
        return crosses and self.start <= now < self.end


@dataclass(slots=True)
class World:
    """A clock, a network, and what was admitted and refused."""

    cuts: list[Cut] = field(default_factory=list)
    now: float = 0.0
    messages: int = 0
    admitted: list[tuple[float, str]] = field(default_factory=list)
    refused: list[tuple[float, str, object]] = field(default_factory=list)
    _queue: list = field(default_factory=list)
    _order: Iterator[int] = field(default_factory=itertools.count)

    def at(self, due: float, step: Callable[[], None]) -> None:
        """Do `step` at `due`."""
        heapq.heappush(self._queue, (max(due, self.now), next(self._order), step))

    def send(self, sender: str, receiver: str, step: Callable[[], None]) -> None:
        """Do `step` at the receiver, unless the message is dropped."""
        self.messages += 1
        if not any(cut.drops(sender, receiver, self.now) for cut in self.cuts):
            self.at(self.now + DELAY_S, step)

    def run(self, until: float) -> None:
        """Go on until `until`."""
        while self._queue and self._queue[0][0] <= until:
            self.now, _, step = heapq.heappop(self._queue)
            step()


class LeaseFleet:
    """Entries and owners of the product."""

    def __init__(self, world: World, document: WorkspaceDocument, entries: tuple[str, ...]):
        self._world = world
        self._limits_by_entry = {entry: make_limits() for entry in entries}
        self._owner_by_address = {a: make_limit_owner(a, world.now) for a in document.limit_owners}
        self._tick_by_core: dict[int, float] = {}
        self._calls = itertools.count()
        self._customer_by_call: dict[str, str] = {}
        self.hold_s = HOLD_S
        self.waits: list[float] = []
        """Time from the call to its admission, in seconds."""
        self._asked_by_call: dict[str, float] = {}
        self.in_flight = Counter()
        self.peak = Counter()
        self.configure(document)

    def configure(self, document: WorkspaceDocument) -> None:
        """Bring a document into force everywhere."""
        for limits in self._limits_by_entry.values():
            limits.configure(document, self._world.now)
        for owner in self._owner_by_address.values():
            owner.handle(DocumentInForce(document), self._world.now)

    def restart_owner(self, address: str, document: WorkspaceDocument) -> None:
        """Replace an owner by one that knows nothing."""
        self._owner_by_address[address] = make_limit_owner(address, self._world.now)
        self._owner_by_address[address].handle(DocumentInForce(document), self._world.now)

    def lose_entry(self, entry: str) -> None:
        """Let an entry vanish with all that it holds."""
        del self._limits_by_entry[entry]

    def call(self, entry: str, customer: str) -> None:
        """Make one call now."""
        call_id = f"{entry}-{next(self._calls)}"
        self._customer_by_call[call_id] = customer
        now = self._world.now
        self._asked_by_call[call_id] = now
        outcome = self._limits_by_entry[entry].ask(call_id, WORKSPACE, customer, now + 1.0, now)
        self._apply(entry, outcome)

    def _apply(self, entry: str, outcome) -> None:
        now = self._world.now
        for call_id in outcome.admitted:
            customer = self._customer_by_call[call_id]
            self._world.admitted.append((now, customer))
            self.waits.append(now - self._asked_by_call.pop(call_id))
            self.in_flight[customer] += 1
            self.peak[customer] = max(self.peak[customer], self.in_flight[customer])
            self._world.at(now + self.hold_s, lambda c=call_id: self._end(entry, c))
        for refusal in outcome.refused:
            customer = self._customer_by_call.pop(refusal.call_id)
            del self._asked_by_call[refusal.call_id]
            self._world.refused.append((now, customer, refusal))
        for action in outcome.actions:
            self._world.send(entry, action.peer, lambda a=action: self._at_owner(entry, a))
        self._schedule(entry, self._limits_by_entry[entry], self._tick_entry)

    def _end(self, entry: str, call_id: str) -> None:
        self.in_flight[self._customer_by_call.pop(call_id)] -= 1
        if entry in self._limits_by_entry:
            limits = self._limits_by_entry[entry]
            self._apply(entry, limits.ended(call_id, self._world.now))

    def _at_owner(self, entry: str, action) -> None:
        owner = self._owner_by_address.get(action.peer)
        if owner is not None:
            event = PeerReceived(entry, action.message)
            self._from_owner(action.peer, owner.handle(event, self._world.now))

    def _from_owner(self, address: str, actions: Iterable) -> None:
        for action in actions:
            self._world.send(
                address, action.peer, lambda a=action: self._at_entry(a.peer, a.message)
            )
        self._schedule(address, self._owner_by_address[address], self._tick_owner)

    def _at_entry(self, entry: str, grant: LimitGrant) -> None:
        limits = self._limits_by_entry.get(entry)
        if limits is not None:
            self._apply(entry, limits.on_grant(grant, self._world.now))

    def _schedule(self, address: str, core, tick: Callable) -> None:
        due = core.next_due()
        if due is not None and self._tick_by_core.get(id(core)) != due:
            self._tick_by_core[id(core)] = due
            self._world.at(due, lambda: tick(address, core))

    def _tick_entry(self, address: str, core) -> None:
        self._tick_by_core.pop(id(core), None)
        if self._limits_by_entry.get(address) is core:
            self._apply(address, core.tick(self._world.now))

    def _tick_owner(self, address: str, core) -> None:
        self._tick_by_core.pop(id(core), None)
        if self._owner_by_address.get(address) is core:
            self._from_owner(address, core.handle(Tick(), self._world.now))


class StaticFleet:
    """Each entry has a fixed share of the limit."""

    def __init__(self, world: World, document: WorkspaceDocument, entries: tuple[str, ...]):
        self._world = world
        self._bucket_by_key = {
            (entry, limit.name): _bucket(limit.rate_per_s / len(entries), world.now)
            for entry in entries
            for limit in document.customers
        }

    def call(self, entry: str, customer: str) -> None:
        """Make one call now."""
        _spend(self._world, self._bucket_by_key[(entry, customer)], customer)


class GossipFleet:
    """Each entry tells all others how much it admits, and admits what they leave."""

    def __init__(self, world: World, document: WorkspaceDocument, entries: tuple[str, ...]):
        self._world = world
        self._entries = entries
        self._limit_by_customer = {limit.name: limit.rate_per_s for limit in document.customers}
        self._bucket_by_key = {
            (entry, name): _bucket(rate, world.now)
            for entry in entries
            for name, rate in self._limit_by_customer.items()
        }
        self._admitted_by_key = {key: deque() for key in self._bucket_by_key}
        self._others_by_key = {key: {} for key in self._bucket_by_key}
        for entry in entries:
            self._gossip(entry)

    def _gossip(self, entry: str) -> None:
        for customer in self._limit_by_customer:
            times = self._admitted_by_key[(entry, customer)]
            while times and times[0] < self._world.now - GOSSIP_WINDOW_S:
                times.popleft()
            rate = len(times) / GOSSIP_WINDOW_S
            for other in self._entries:
                if other != entry and rate:
                    self._world.send(entry, other, self._learner(other, customer, entry, rate))
        self._world.at(self._world.now + GOSSIP_EVERY_S, lambda: self._gossip(entry))

    def _learner(self, other: str, customer: str, entry: str, rate: float) -> Callable[[], None]:
        def learn() -> None:
            self._others_by_key[(other, customer)][entry] = (self._world.now, rate)

        return learn

    def call(self, entry: str, customer: str) -> None:
        """Make one call now."""
        key = (entry, customer)
        now = self._world.now
        fresh = (r for at, r in self._others_by_key[key].values() if at > now - 1.0)
        bucket = self._bucket_by_key[key]
        bucket.refill(now)
        bucket.rate_per_s = max(0.0, self._limit_by_customer[customer] - sum(fresh))
        if _spend(self._world, bucket, customer):
            self._admitted_by_key[key].append(now)


def _bucket(rate: float, now: float) -> TokenBucket:
    return TokenBucket(rate, max(1.0, rate * 0.1), 0.0, now)


def _spend(world: World, bucket: TokenBucket, customer: str) -> bool:
    bucket.refill(world.now)
    taken = bucket.take(1) == 1
    if taken:
        world.admitted.append((world.now, customer))
    else:
        world.refused.append((world.now, customer, None))
    return taken


FLEET_BY_MECHANISM = {
    "owner-leases": LeaseFleet,
    "static-shares": StaticFleet,
    "gossip": GossipFleet,
}


def most_in_a_second(times: Iterable[float]) -> int:
    """Return the largest number of `times` within any second."""
    window: deque[float] = deque()
    most = 0
    for time in sorted(times):
        window.append(time)
        while window[0] <= time - 1.0:
            window.popleft()
        most = max(most, len(window))
    return most


def arrivals(
    rate_per_s: float, start: float, end: float, shares: tuple[float, ...], seed: int
) -> Iterator[tuple[float, str]]:
    """Yield time and entry of calls at a steady mean rate with jitter, skewed over the entries."""
    rng = random.Random(seed)
    gap = 1 / rate_per_s
    for i in range(int((end - start) * rate_per_s)):
        yield start + (i + rng.random()) * gap, rng.choices(ENTRIES, shares)[0]


def _document(rate_per_s: float) -> WorkspaceDocument:
    customer = CustomerLimit(name="customer", rate_per_s=rate_per_s, concurrency=1000)
    return WorkspaceDocument(
        workspace=WORKSPACE, version=1, customers=(customer,), limit_owners=ENTRIES
    )


def _play(mechanism: str, rate: float, factor: float, world: World, calls: Iterable) -> dict:
    fleet = FLEET_BY_MECHANISM[mechanism](world, _document(rate), ENTRIES)
    for time, entry in calls:
        world.at(time, lambda e=entry: fleet.call(e, "customer"))
    world.run(12.0)
    times = [time for time, _ in world.admitted]
    settled = sum(2.0 <= time < 10.0 for time in times)
    return {
        "admitted_over_limit": round(settled / 8.0 / rate, 3),
        "worst_second_over_limit": round(most_in_a_second(times) / rate, 3),
        "messages_per_s": round(world.messages / 10.0, 1),
    }


def compare(rate_per_s: float = 200.0, seed: int = 1) -> dict[str, dict[str, dict]]:
    """Measure each mechanism under skew, the loss of the busiest entry, and a partition.

    Args:
        rate_per_s: The customer's limit; offered are 0.5 and 2 times of it.
        seed: Seed of the arrivals.

    Returns:
        Results by mechanism and scenario.
    """
    moved = (0.0, 0.0, 0.0, 0.06, 0.04, 0.6, 0.2, 0.1)
    half_cut = Cut(frozenset(ENTRIES[::2]), 3.0, 8.0)
    result = {}
    for mechanism in FLEET_BY_MECHANISM:

        def play(factor: float, cuts=(), later=SKEW, mechanism=mechanism) -> dict:
            rate = rate_per_s * factor
            calls = [*arrivals(rate, 0, 5, SKEW, seed), *arrivals(rate, 5, 10, later, seed + 1)]
            return _play(mechanism, rate_per_s, factor, World(list(cuts)), calls)

        result[mechanism] = {
            "half_skewed": play(0.5),
            "double_skewed": play(2.0),
            "double_entry_lost": play(2.0, later=moved),
            "double_partition": play(2.0, cuts=[half_cut]),
            "half_partition": play(0.5, cuts=[half_cut]),
        }
    return result
