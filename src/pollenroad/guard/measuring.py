"""Measuring under a budget: load reports and probes of one guard.

The budget of a service is divided by the number of its endpoints; each guard holds its share by
itself, so that the sum cannot pass the budget, whichever entries and guards come and go. While a
document that changes the number of endpoints spreads, guards hold different documents; so a guard
spends the least of the shares of the recent documents, and nothing for `SETTLE_S` after it has
started or joined. Load that rides on answers is no message and costs nothing.
"""

from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass

from pollenroad.messages import LoadReport
from pollenroad.models import ServiceDocument

SETTLE_S = 20.0
"""Time after which a document is in force everywhere, in seconds."""

WINDOW_S = 1.0
"""Window over which a share is held if it is worth two messages, in seconds."""

MAX_SUBSCRIBERS = 64
"""Entries that a guard reports to at most, the most recent ones."""

SUBSCRIBED_S = 10.0
"""Time since its last attempt for which an entry gets reports, in seconds."""

LOAD_STEP = 0.25
"""Change of the load, as a share of the bound, that is worth a report."""


class RateLimit:
    """Holds spending to a rate over every window that is long enough.

    A bucket that holds one unit of spending and refills somewhat slower than the rate: so a window
    of `window_s` or more, wherever it begins, never holds more than the rate allows.
    """

    def __init__(self):
        self._level = 0.0
        self._updated = None

    def allows(self, rate_per_s: float, cost: float, now: float) -> bool:
        """Tell whether `cost` may be spent now at `rate_per_s`."""
        if rate_per_s <= 0:
            self._level, self._updated = 0.0, now
            return False
        refill_per_s = rate_per_s - cost / window_s(rate_per_s, cost)
        if self._updated is not None:
            self._level = min(cost, self._level + refill_per_s * (now - self._updated))
        self._updated = now
        return self._level >= cost * (1 - 1e-9)

    def spend(self, cost: float) -> None:
        """Take `cost` out, after `allows` has said so."""
        self._level -= cost


def window_s(rate_per_s: float, cost: float) -> float:
    """Return the shortest window in seconds that never holds more than the rate allows."""
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


class MeasuringShare:
    """One guard's share of the measuring budget of its service, and what it spent."""

    def __init__(self):
        self._shares = deque([(float("-inf"), _share_of(None, False))])
        self._messages = RateLimit()
        self._server_time = RateLimit()
        self.messages_spent = 0
        """Load reports and probes since the start."""
        self.server_ms_spent = 0.0
        """Server time of probes since the start, in milliseconds."""

    def configure(self, document: ServiceDocument, is_member: bool, now: float) -> None:
        """Take a newer document; `is_member` tells whether it lists this guard's endpoint."""
        self._shares.append((now, _share_of(document, is_member)))

    def _current(self, now: float) -> _Share:
        while len(self._shares) > 1 and self._shares[1][0] <= now - SETTLE_S:
            self._shares.popleft()
        recent = [share for _, share in self._shares]
        return _Share(
            min(share.messages_per_s for share in recent),
            min(share.server_ms_per_s for share in recent),
            max(share.probe_cost_ms for share in recent),
        )

    def may_report(self, now: float) -> bool:
        """Tell whether the share allows a message."""
        return self._messages.allows(self._current(now).messages_per_s, 1.0, now)

    def try_report(self, now: float) -> bool:
        """Spend one message if the share allows it."""
        if not self.may_report(now):
            return False
        self._spend_message()
        return True

    def try_probe(self, now: float) -> bool:
        """Spend one message and the server time of one probe if both shares allow it."""
        share = self._current(now)
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
    told: LoadReport | None = None


class Subscribers:
    """Entries that use this guard, and what each was last told of its load."""

    def __init__(self):
        self._by_peer: OrderedDict[str, _Subscriber] = OrderedDict()

    def attempted(self, peer: str, now: float) -> None:
        """Note an attempt of the entry at `peer`."""
        subscriber = self._by_peer.setdefault(peer, _Subscriber(now))
        subscriber.last_attempt = now
        self._by_peer.move_to_end(peer)
        if len(self._by_peer) > MAX_SUBSCRIBERS:
            self._by_peer.popitem(last=False)

    def told(self, peer: str, report: LoadReport) -> None:
        """Note a report that was sent to `peer`, alone or with an answer."""
        subscriber = self._by_peer.get(peer)
        if subscriber is not None:
            subscriber.told = report

    def recent(self, now: float) -> list[str]:
        """Return the peers that used this guard within `SUBSCRIBED_S`, the latest first."""
        return [
            peer
            for peer, subscriber in reversed(self._by_peer.items())
            if now - subscriber.last_attempt <= SUBSCRIBED_S
        ]

    def worth_telling(self, report: LoadReport, now: float) -> Iterator[str]:
        """Yield the peers for which `report` is news, the most useful report first."""
        gains = ((_gain(self._by_peer[peer].told, report), peer) for peer in self.recent(now))
        useful = [(gain, peer) for gain, peer in gains if gain >= LOAD_STEP]
        yield from (peer for _, peer in sorted(useful, key=lambda pair: -pair[0]))


def _gain(told: LoadReport | None, report: LoadReport) -> float:
    """Return how much of news a report is: 1 and more for a change of state."""
    if told is None:
        return 0.0
    if told.state != report.state:
        return 2.0
    return abs(_load(report) - _load(told))


def _load(report: LoadReport) -> float:
    return (report.in_flight + report.queued) / max(1, report.bound)
