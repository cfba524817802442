"""Measuring budget: limits on the load reports and probes of one guard.

The budget of a service is divided evenly among its endpoints. Each guard enforces its own share, so
that the total cannot exceed the budget, whichever entries and guards come and go. While a document
that changes the number of endpoints is being distributed, guards have different versions. So a
guard uses the smallest share of the recent documents, and spends nothing for `SETTLE_S` after it
has started or its endpoint was added. Load attached to an answer is no message and costs nothing.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass

from pollenroad.messages import LoadReport
from pollenroad.models import ServiceDocument

SETTLE_S = 20.0
"""Time after which a document is in force on every VM, in seconds."""

WINDOW_S = 1.0
"""Shortest window over which a rate is enforced, in seconds; longer below two messages a second."""

MAX_SUBSCRIBERS = 64
"""Maximum number of entries that a guard reports to, the most recent ones."""

SUBSCRIBED_S = 10.0
"""Time after its last attempt for which an entry gets load reports, in seconds."""

LOAD_STEP = 0.25
"""Smallest change of the load that is reported, as a share of the bound."""


class RateLimit:
    """Token bucket that limits spending to a rate over every window of at least `window_s`.

    The bucket holds the cost of one message or probe, and refills slightly slower than the rate.
    So no such window, wherever it starts, has more spending than the rate allows.
    """

    def __init__(self):
        self._level = 0.0
        self._updated = None

    def allows(self, rate_per_s: float, cost: float, now: float) -> bool:
        """Return whether `cost` can be spent now at `rate_per_s`."""
        if rate_per_s <= 0:
            self._level, self._updated = 0.0, now
            return False
        refill_per_s = rate_per_s - cost / window_s(rate_per_s, cost)
        if self._updated is not None:
            self._level = min(cost, self._level + refill_per_s * (now - self._updated))
        self._updated = now
        return self._level >= cost * (1 - 1e-9)

    def spend(self, cost: float) -> None:
        """Spend `cost`, after `allows` has returned True for it."""
        self._level -= cost


def window_s(rate_per_s: float, cost: float) -> float:
    """Return the shortest window over which the rate is enforced, in seconds."""
    return max(WINDOW_S, 2 * cost / rate_per_s)


@dataclass(frozen=True, slots=True)
class _Share:
    messages_per_s: float
    server_ms_per_s: float
    probe_cost_ms: float


def _share_of(document: ServiceDocument | None, is_member: bool) -> _Share:
    if document is None or not is_member:
        return _Share(0.0, 0.0, 0.0)
    budget = document.measuring
    count = len(document.endpoints)
    return _Share(
        budget.messages_per_s / count, budget.server_ms_per_s / count, budget.probe_cost_ms
    )


class BudgetShare:
    """One guard's share of the measuring budget of its service, and its spending."""

    def __init__(self):
        self._shares = deque([(float("-inf"), _share_of(None, False))])
        self._messages = RateLimit()
        self._server_time = RateLimit()
        self.messages_spent = 0
        """Load reports and probes sent since the start."""
        self.server_ms_spent = 0.0
        """Server time of probes since the start, in milliseconds."""

    def configure(self, document: ServiceDocument, is_member: bool, now: float) -> None:
        """Apply a newer document; `is_member` states whether it lists this guard's endpoint."""
        self._shares.append((now, _share_of(document, is_member)))

    def _effective_share(self, now: float) -> _Share:
        while len(self._shares) > 1 and self._shares[1][0] <= now - SETTLE_S:
            self._shares.popleft()
        recent = [share for _, share in self._shares]
        return _Share(
            min(share.messages_per_s for share in recent),
            min(share.server_ms_per_s for share in recent),
            max(share.probe_cost_ms for share in recent),
        )

    def can_report(self, now: float) -> bool:
        """Return whether the share allows a message."""
        return self._messages.allows(self._effective_share(now).messages_per_s, 1.0, now)

    def try_report(self, now: float) -> bool:
        """Spend one message if the share allows it; return whether it did."""
        if not self.can_report(now):
            return False
        self._spend_message()
        return True

    def try_probe(self, now: float) -> bool:
        """Spend one message and a probe's server time if the share allows both; return whether."""
        share = self._effective_share(now)
        cost_ms = share.probe_cost_ms
        if cost_ms <= 0 or not self._messages.allows(share.messages_per_s, 1.0, now):
            return False
        if not self._server_time.allows(share.server_ms_per_s, cost_ms, now):
            return False
        self._spend_message()
        self._server_time.spend(cost_ms)
        self.server_ms_spent += cost_ms
        return True

    def _spend_message(self) -> None:
        self._messages.spend(1.0)
        self.messages_spent += 1


@dataclass(slots=True)
class _Subscriber:
    last_attempt: float
    last_sent: LoadReport | None = None


class Subscribers:
    """Entries that use this guard, and the last load report sent to each."""

    def __init__(self):
        self._by_peer: OrderedDict[str, _Subscriber] = OrderedDict()

    def attempted(self, peer: str, now: float) -> None:
        """Record an attempt from the entry at `peer`."""
        subscriber = self._by_peer.setdefault(peer, _Subscriber(now))
        subscriber.last_attempt = now
        self._by_peer.move_to_end(peer)
        if len(self._by_peer) > MAX_SUBSCRIBERS:
            self._by_peer.popitem(last=False)

    def record_sent(self, peer: str, report: LoadReport) -> None:
        """Record a report sent to `peer`, either separately or with an answer."""
        subscriber = self._by_peer.get(peer)
        if subscriber is not None:
            subscriber.last_sent = report

    def recent(self, now: float) -> list[str]:
        """Return the peers that used this guard within `SUBSCRIBED_S`, the most recent first."""
        return [
            peer
            for peer, subscriber in reversed(self._by_peer.items())
            if now - subscriber.last_attempt <= SUBSCRIBED_S
        ]

    def peers_to_update(self, report: LoadReport, now: float) -> Iterator[str]:
        """Yield the peers to which to send `report`, the largest change first."""
        changes = (
            (_change(self._by_peer[peer].last_sent, report), peer) for peer in self.recent(now)
        )
        useful = [(change, peer) for change, peer in changes if change >= LOAD_STEP]
        yield from (peer for _, peer in sorted(useful, key=lambda pair: -pair[0]))


def _change(last_sent: LoadReport | None, report: LoadReport) -> float:
    """Return the change of the load, as a share of the bound; 2 for a change of state.

    Without a last report it is 0: an entry gets its first report with an answer.
    """
    if last_sent is None:
        return 0.0
    if last_sent.state != report.state:
        return 2.0
    return abs(_load(report) - _load(last_sent))


def _load(report: LoadReport) -> float:
    return (report.in_flight + report.queued) / max(1, report.bound)
