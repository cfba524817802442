"""Which failure domains this daemon can communicate with.

At most one side of a partition has most of the daemons. An owner hands out its bucket only there,
so that two owners on two sides never do so at once; the holder in a domain that is cut off gets the
part of the domain. Only answers are evidence: a message alone may come over a network that is cut
in one direction. A domain without an answer gets a request for nothing, at most two a second for
each domain.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass

from pollenroad.boundary import SendPeer
from pollenroad.limit_messages import LimitRequest
from pollenroad.proxy.quotas.membership import Membership

EVIDENCE_S = 2.0
"""Time for which an answer proves contact, in seconds. A daemon that takes over from one that it
cannot reach waits longer than that."""

RESTORED_S = 2.0
"""Time after contact with a domain is regained in which its holder may not know it yet, in
seconds."""

PING_INTERVAL_S = 0.5
"""Time between two checks, in seconds: of three requests to a domain, two may be lost."""

PING = LimitRequest(workspace="", customer="", share=0, sequence=0)
"""Request for nothing, which is answered."""


@dataclass(slots=True)
class _Span:
    """Contact with a failure domain without a gap of `EVIDENCE_S`."""

    since: float
    last: float
    is_first: bool = True


class Contact:
    """When answers from each failure domain arrived."""

    def __init__(self, membership: Membership, rng: random.Random):
        self._membership = membership
        self._rng = rng
        self._span_by_domain: dict[str, _Span] = {}
        self._heard_at_by_peer: dict[str, float] = {}
        self._due = float("-inf")

    def next_due(self) -> float:
        """Return when `ping` is next needed, in monotonic seconds."""
        return self._due

    def heard(self, peer: str, now: float) -> None:
        """Note an answer from the daemon with this peer address."""
        domain = self._membership.domain_of(peer)
        if peer == self._membership.address or domain is None:
            return
        self._heard_at_by_peer[peer] = now
        span = self._span_by_domain.get(domain)
        if span is None:
            self._span_by_domain[domain] = _Span(now, now)
        elif now - span.last < EVIDENCE_S:
            span.last = now
        else:
            self._span_by_domain[domain] = _Span(now, now, is_first=False)

    def heard_at(self, peer: str) -> float:
        """Return when the last answer from a peer arrived, in monotonic seconds."""
        return self._heard_at_by_peer.get(peer, float("-inf"))

    def majority_since(self, now: float) -> float | None:
        """Return since when this daemon is in contact with most daemons, or None if it is not."""
        if not self._membership.has_learned_size:
            return None
        spans = self._span_by_domain.items()
        since = {d: span.since for d, span in spans if now - span.last < EVIDENCE_S}
        return self._reached_at(since, float("-inf"))

    def majority_until(self) -> float | None:
        """Return when this daemon last got an answer that proved contact with most daemons."""
        last = {domain: -span.last for domain, span in self._span_by_domain.items()}
        reached_at = self._reached_at(last, float("-inf"))
        return None if reached_at is None else -reached_at

    def _reached_at(self, time_by_domain: dict[str, float], own: float) -> float | None:
        """Return the lowest time up to which the domains are a majority, or None."""
        home = self._membership.failure_domain
        if self._membership.daemons_by_domain[home] == 1:
            time_by_domain = time_by_domain | {home: own}
        times = sorted((time, domain) for domain, time in time_by_domain.items())
        for count in range(1, len(times) + 1):
            if self._membership.is_majority(domain for _, domain in times[:count]):
                return times[count - 1][0]
        return None

    def reached_share(self, now: float) -> float:
        """Return which share of the known daemons is in the domains that this one reaches.

        A domain that has been cut off counts again only when its holder must know that it is back.
        """
        domains = {self._membership.failure_domain}
        for domain, span in self._span_by_domain.items():
            is_back = span.is_first or now - span.since >= RESTORED_S
            if is_back and now - span.last < EVIDENCE_S:
                domains.add(domain)
        return self._membership.share_of(domains)

    def ping(self, now: float) -> Iterator[SendPeer]:
        """Send a request to each domain from which no answer arrived since the last check."""
        if now < self._due:
            return
        self._membership.forget_gone(now)
        guards_by_domain: dict[str, list[str]] = {}
        for guard, domain in self._membership.domain_by_guard.items():
            if guard != self._membership.address:
                guards_by_domain.setdefault(domain, []).append(guard)
        for domain, guards in sorted(guards_by_domain.items()):
            span = self._span_by_domain.get(domain)
            is_due = span is None or now - span.last >= PING_INTERVAL_S
            if is_due or not self._membership.has_learned_size:
                yield SendPeer(self._rng.choice(guards), PING)
        self._due = now + PING_INTERVAL_S
