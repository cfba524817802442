"""Who watches the platform, and how the others learn what it holds. No I/O.

In each failure domain a few daemons watch; they send every change to the daemons of their domain,
and a bulletin to the watchers of others. Who watches follows from a ranking that all work out alike
from the endpoints that they know: a daemon watches while it hears fewer than `WATCHERS` daemons of
a higher rank that reach the platform. So whoever hears nobody watches by itself, and calls to the
platform grow with the number of failure domains, not with the fleet.
"""

import zlib
from collections.abc import Iterator
from dataclasses import dataclass

from pollenroad.boundary import Action, PeerReceived, Record, SendPeer, Tick
from pollenroad.proxy.boundary import (
    DirectoryChanged,
    DirectoryEvent,
    DirectoryLost,
    DirectoryRead,
    EndpointRemoved,
    Event,
    WatchDirectory,
)
from pollenroad.proxy.directory import Directory
from pollenroad.published import Configuration, DomainOut, RegisteredEndpoint
from pollenroad.relay_messages import AskDirectory, Bulletin, DirectoryNews

WATCHERS = 2
"""Daemons that watch the platform in each failure domain; one may be cut off unnoticed."""

BULLETIN_S = 0.5
"""Time between two bulletins of a watcher, in seconds."""

HEARD_S = 1.3
"""Age up to which a bulletin shows that its sender watches, in seconds: two may be lost."""

LISTEN_S = 0.6
"""Time after the first read in which a daemon only listens for bulletins, in seconds."""

LISTEN_RANK_S = 0.1
"""Further such time for each daemon of the domain with a higher rank, in seconds, so that those
start first whom the others will follow."""

LISTEN_MAX_S = 1.6
"""Longest such time, in seconds; below the time in which a change must be in force."""

LISTED_S = 30.0
"""Time for which a daemon is told the news after its server's registration ended, in seconds: it
still serves callers and may have work in flight."""

BEHIND_S = 0.3
"""Time for which a daemon may be behind a bulletin until it asks the sender, in seconds: news of
the change is under way to it."""


@dataclass(slots=True)
class _Heard:
    at: float
    revision: int
    has_platform: bool


@dataclass(frozen=True, slots=True)
class _Listed:
    failure_domain: str
    at: float


class DirectoryRelay:
    """State of one daemon's part in passing on what the platform holds."""

    def __init__(self, address: str, failure_domain: str, directory: Directory):
        self._address = address
        self._failure_domain = failure_domain
        self._directory = directory
        self._heard_by_peer: dict[str, _Heard] = {}
        self._listed_by_peer: dict[str, _Listed] = {}
        self._has_read = False
        self._listen_until = float("inf")
        self._behind_since: float | None = None
        self._bulletin_at = 0.0
        self._tick_at = 0.0
        self.is_watching = False
        """Whether this daemon watches the platform."""

    def next_due(self) -> float:
        """Return when `Tick` is next needed, in monotonic seconds."""
        return self._tick_at

    # --- Ranking ---

    def _peers(self, failure_domain: str) -> list[str]:
        """Return the peer addresses of a domain, the highest rank first."""
        listed = self._listed_by_peer.items()
        return sorted((p for p, seen in listed if seen.failure_domain == failure_domain), key=_rank)

    def _list_peers(self, now: float) -> None:
        """Note which daemons there are; one outlives the registration of its server."""
        for endpoint in self._directory.all_endpoints():
            self._listed_by_peer[endpoint.guard] = _Listed(endpoint.failure_domain, now)
        oldest = now - LISTED_S
        self._listed_by_peer = {p: s for p, s in self._listed_by_peer.items() if s.at >= oldest}

    def _is_watcher_needed(self, now: float) -> bool:
        own = _rank(self._address)
        higher = (peer for peer in self._peers(self._failure_domain) if _rank(peer) < own)
        heard = (self._heard_by_peer.get(peer) for peer in higher)
        watching = sum(1 for h in heard if h and h.has_platform and now - h.at < HEARD_S)
        return watching < WATCHERS

    # --- Events ---

    def on_read(self, event: DirectoryEvent, now: float) -> Iterator[Action]:
        """Take what this daemon itself has read of the platform; pass changes on."""
        self._list_peers(now)
        match event:
            case DirectoryLost():
                return
            case DirectoryRead() if not self._has_read:
                self._has_read = True
                peers = self._peers(self._failure_domain)
                ahead = sum(1 for peer in peers if _rank(peer) < _rank(self._address))
                self._listen_until = now + min(LISTEN_MAX_S, LISTEN_S + LISTEN_RANK_S * ahead)
                return
            case DirectoryRead():
                news = self._everything(now)
            case DirectoryChanged():
                if not event.items:
                    return
                news = _news_of(event, self._directory.lost_ago_s(now))
        if not self.is_watching:
            return
        for peer in self._peers(self._failure_domain):
            if peer != self._address:
                yield SendPeer(peer, news)
        yield from self._tell_other_domains()

    def on_message(self, event: PeerReceived) -> DirectoryEvent | None:
        """Return the news in a peer's message, if it is newer than what is known."""
        match event:
            case PeerReceived(peer, DirectoryNews() as news):
                if news.revision <= self._directory.revision:
                    return None
                if news.is_whole:
                    return _read_of(news, peer)
                if news.after <= self._directory.revision:
                    return _changed_of(news, peer)
        return None

    def pass_on(self, event: PeerReceived) -> Iterator[Action]:
        """Pass news on that a watcher has heard from another domain sooner than read itself.

        The platform may serve one domain's watchers and leave another's without an answer.
        """
        if not self.is_watching:
            return
        for peer in self._peers(self._failure_domain):
            if peer not in (self._address, event.peer):
                yield SendPeer(peer, event.message)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Take one event and return what is to be done."""
        return list(self._actions(event, now))

    def _actions(self, event: Event, now: float) -> Iterator[Action]:
        match event:
            case PeerReceived(peer, Bulletin(revision, has_platform)):
                self._heard_by_peer[peer] = _Heard(now, revision, has_platform)
                if revision > self._directory.revision and self._behind_since is None:
                    self._behind_since = now
                if has_platform and revision == self._directory.revision and not self.is_watching:
                    yield from self._directory.confirm(now)
            case PeerReceived(peer, AskDirectory()):
                yield SendPeer(peer, self._everything(now))
            case Tick() if now >= self._tick_at:
                yield from self._tick(now)

    def _tick(self, now: float) -> Iterator[Action]:
        self._tick_at = now + BULLETIN_S / 2
        if now < self._listen_until and not self._directory.is_lost:
            return
        self._list_peers(now)
        yield from self._choose_role(now)
        if self.is_watching and now >= self._bulletin_at:
            self._bulletin_at = now + BULLETIN_S
            bulletin = self._bulletin()
            for peer in self._peers(self._failure_domain):
                if peer != self._address:
                    yield SendPeer(peer, bulletin)
        yield from self._catch_up(now)

    def _choose_role(self, now: float) -> Iterator[Action]:
        is_needed = self._is_watcher_needed(now)
        if is_needed == self.is_watching:
            return
        self.is_watching = is_needed
        fields = (("watching", is_needed), ("revision", self._directory.revision))
        yield Record("watcher_changed", fields)
        yield WatchDirectory(is_needed)

    def _catch_up(self, now: float) -> Iterator[Action]:
        """Ask a daemon that has newer knowledge, if no news of it has come for a while."""
        fresh = {p: h for p, h in self._heard_by_peer.items() if now - h.at < HEARD_S}
        self._heard_by_peer = fresh
        newest = max(fresh, key=lambda peer: fresh[peer].revision, default="")
        if not newest or fresh[newest].revision <= self._directory.revision:
            self._behind_since = None
            return
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= BEHIND_S:
            self._behind_since = now
            fields = (("peer", newest), ("revision", self._directory.revision))
            yield Record("directory_behind", (*fields, ("newest", fresh[newest].revision)))
            yield SendPeer(newest, AskDirectory())

    # --- What is told ---

    def _bulletin(self) -> Bulletin:
        return Bulletin(self._directory.revision, not self._directory.is_lost)

    def _tell_other_domains(self) -> Iterator[Action]:
        domains = {seen.failure_domain for seen in self._listed_by_peer.values()}
        for domain in sorted(domains - {self._failure_domain}):
            for peer in self._peers(domain)[:WATCHERS]:
                yield SendPeer(peer, self._bulletin())

    def _everything(self, now: float) -> DirectoryNews:
        directory = self._directory
        return DirectoryNews(
            after=0,
            revision=directory.revision,
            is_whole=True,
            configuration=directory.configuration,
            endpoints=tuple(directory.all_endpoints()),
            domains=tuple(DomainOut(name, True) for name in sorted(directory.out_domains)),
            lost_ago_s=min(1e9, directory.lost_ago_s(now)),
        )


def _rank(peer: str) -> int:
    """Return a number by which daemons are ordered alike everywhere; the lowest ranks highest."""
    return zlib.crc32(peer.encode())


def _news_of(event: DirectoryChanged, lost_ago_s: float) -> DirectoryNews:
    """Return the message of changes; of several to one key, the last one counts."""
    endpoint_by_incarnation: dict[str, RegisteredEndpoint | None] = {}
    domain_by_name: dict[str, DomainOut] = {}
    configuration = None
    for item in event.items:
        match item:
            case Configuration():
                configuration = item
            case RegisteredEndpoint():
                endpoint_by_incarnation[item.incarnation] = item
            case EndpointRemoved(incarnation):
                endpoint_by_incarnation[incarnation] = None
            case DomainOut():
                domain_by_name[item.failure_domain] = item
    return DirectoryNews(
        after=event.after,
        revision=event.revision,
        configuration=configuration,
        endpoints=tuple(e for e in endpoint_by_incarnation.values() if e is not None),
        removed=tuple(name for name, e in endpoint_by_incarnation.items() if e is None),
        domains=tuple(domain_by_name.values()),
        lost_ago_s=min(1e9, lost_ago_s),
    )


def _changed_of(news: DirectoryNews, peer: str) -> DirectoryChanged:
    items = (
        *((news.configuration,) if news.configuration else ()),
        *news.endpoints,
        *(EndpointRemoved(name) for name in news.removed),
        *news.domains,
    )
    return DirectoryChanged(news.revision, items, news.after, peer, news.lost_ago_s)


def _read_of(news: DirectoryNews, peer: str) -> DirectoryRead:
    return DirectoryRead(
        revision=news.revision,
        configuration=news.configuration,
        endpoint_by_incarnation={e.incarnation: e for e in news.endpoints},
        out_domains=frozenset(d.failure_domain for d in news.domains if d.is_out),
        peer=peer,
        lost_ago_s=news.lost_ago_s,
    )
