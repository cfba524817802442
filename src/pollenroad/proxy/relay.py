"""Election of the daemons that watch the platform, and distribution of its contents to the others.

In each failure domain one daemon watches the platform. It sends every change to the daemons of its
domain. It announces its revision (message `Bulletin`) periodically to these, and after each update
to the highest-ranked daemons of other domains. Every daemon computes the same ranking from the
endpoints that it knows. It watches while it gets announcements from fewer than `WATCHERS` daemons
of its domain that have a higher rank and can read the platform, unless `MAX_SEARCHERS` of them
already try to. So an isolated daemon watches by itself, and requests to the platform grow with the
number of failure domains, not with the fleet, also while it is unavailable.
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
    Event,
    Position,
    WatchDirectory,
)
from pollenroad.proxy.directory import Directory
from pollenroad.proxy.directory_updates import position_of, update_of
from pollenroad.published import DomainOut
from pollenroad.relay_messages import AskDirectory, Bulletin, DirectoryNews

WATCHERS = 1
"""Daemons that watch the platform in each failure domain. Each change costs a request for each of
them. The loss of one is detected within `ANNOUNCEMENT_TTL_S`, and the next one then gets what was
missed by its first request; a watcher that hears nothing learns of changes from other domains."""

ANNOUNCED = 2
"""Daemons of each other domain that a watcher tells of an update: the watcher there, and the next
in rank, which may have taken over."""

MAX_SEARCHERS = 6
"""Daemons of a failure domain that try to reach the platform while none of them gets an answer. The
platform may turn away some daemons and serve others; with every daemon trying, an outage would cost
a request a second for each of the fleet."""

ANNOUNCE_INTERVAL_S = 0.4
"""Time between two announcements of a watcher, in seconds."""

ANNOUNCEMENT_TTL_S = 1.1
"""Age up to which an announcement counts, in seconds: one may be lost and the next late. With a
tick and the request of the next watcher, below the two seconds in which changes must be known."""

TICK_INTERVAL_S = 0.2
"""Interval at which a daemon that watches, searches or is behind acts, in seconds."""

REFRESH_INTERVAL_S = 5.0
"""Time after which the known daemons are updated even if the directory did not change, in seconds;
below `PEER_TTL_S`."""

LISTEN_S = 0.6
"""Time after the first read in which a daemon only listens for announcements, in seconds."""

LISTEN_RANK_S = 0.1
"""Additional listening time for each higher-ranked daemon of the domain, in seconds, so that the
daemons that will watch start first."""

LISTEN_MAX_S = 1.6
"""Longest listening time, in seconds; below the time in which a change must be in force."""

PEER_TTL_S = 30.0
"""Time for which a daemon still gets updates after its server's registration ended, in seconds: it
still serves callers and may have work in flight."""

CATCH_UP_DELAY_S = 0.3
"""Time after which a daemon that is behind an announced revision requests the full contents, in
seconds: the update is usually in transit."""


@dataclass(slots=True)
class _LastAnnouncement:
    """The last announcement that was received from a watcher."""

    at: float
    position: Position
    has_platform: bool
    config_version: int


@dataclass(frozen=True, slots=True)
class _KnownPeer:
    """A daemon, and when its endpoint was last in the directory."""

    failure_domain: str
    at: float


class DirectoryRelay:
    """One daemon's part in the election of watchers and the distribution of updates."""

    def __init__(self, address: str, failure_domain: str, directory: Directory):
        self._address = address
        self._failure_domain = failure_domain
        self._directory = directory
        self._last_announcement_by_peer: dict[str, _LastAnnouncement] = {}
        self._known_by_peer: dict[str, _KnownPeer] = {}
        self._refreshed_at = float("-inf")
        self._refreshed_position: Position | None = None
        self._ranked_by_domain: dict[str, list[str]] = {}
        self._has_read = False
        self._listen_until = float("inf")
        self._behind_since: float | None = None
        self._next_announcement_at = 0.0
        self._tick_at = 0.0
        self.is_watching = False
        """Whether this daemon watches the platform."""

    def next_due(self) -> float:
        """Return when `Tick` is next needed, in monotonic seconds."""
        return self._tick_at

    # --- Ranking ---

    def _ranked_peers(self, failure_domain: str) -> list[str]:
        """Return the peer addresses of a domain, highest rank first."""
        ranked = self._ranked_by_domain.get(failure_domain)
        if ranked is None:
            known = self._known_by_peer.items()
            ranked = sorted(
                (p for p, info in known if info.failure_domain == failure_domain), key=_rank
            )
            self._ranked_by_domain[failure_domain] = ranked
        return ranked

    def _refresh_peers(self, now: float) -> None:
        """Update the known daemons; a daemon stays known after its server's registration ended."""
        is_recent = now - self._refreshed_at < REFRESH_INTERVAL_S
        if is_recent and self._refreshed_position == self._directory.position:
            return
        self._refreshed_at, self._refreshed_position = now, self._directory.position
        self._ranked_by_domain.clear()
        for endpoint in self._directory.all_endpoints():
            self._known_by_peer[endpoint.guard] = _KnownPeer(endpoint.failure_domain, now)
        oldest = now - PEER_TTL_S
        self._known_by_peer = {
            p: info for p, info in self._known_by_peer.items() if info.at >= oldest
        }

    def _watchers_above(self, now: float) -> list[_LastAnnouncement]:
        """Return the recent announcements of daemons of this domain with a higher rank."""
        own = _rank(self._address)
        return [
            last
            for peer, last in self._last_announcement_by_peer.items()
            if now - last.at < ANNOUNCEMENT_TTL_S and _rank(peer) < own and self._is_near(peer)
        ]

    def _is_near(self, peer: str) -> bool:
        known = self._known_by_peer.get(peer)
        return known is not None and known.failure_domain == self._failure_domain

    def _is_watcher_needed(self, now: float) -> bool:
        above = self._watchers_above(now)
        return sum(last.has_platform for last in above) < WATCHERS and len(above) < MAX_SEARCHERS

    # --- Events ---

    def on_read(self, event: DirectoryEvent, now: float) -> Iterator[Action]:
        """Process this daemon's own read of the platform; a watcher sends it to its domain."""
        self._refresh_peers(now)
        match event:
            case DirectoryLost():
                return
            case DirectoryRead() if not self._has_read:
                self._has_read = True
                peers = self._ranked_peers(self._failure_domain)
                higher_ranked = sum(1 for peer in peers if _rank(peer) < _rank(self._address))
                self._listen_until = now + min(
                    LISTEN_MAX_S, LISTEN_S + LISTEN_RANK_S * higher_ranked
                )
                return
            case DirectoryRead():
                update = self._full_update(now)
            case DirectoryChanged():
                if not event.items:
                    return
                update = update_of(event, self._directory.lost_ago_s(now))
        if not self.is_watching:
            return
        for peer in self._ranked_peers(self._failure_domain):
            if peer != self._address:
                yield SendPeer(peer, update)
        yield from self._announce_to_other_domains()

    def reason_to_ignore(self, update: DirectoryNews) -> str:
        """Return why a peer's update is not applied, or an empty string."""
        position = self._directory.position
        if position_of(update) <= position:
            return "not newer"
        if update.is_whole:
            return ""
        is_adjacent = update.epoch == position.epoch and update.after <= position.revision
        return "" if is_adjacent else "after a gap"

    def ignored(self, update: DirectoryNews, peer: str, reason: str) -> Record:
        """Return the record of an update that is not applied."""
        fields = (("peer", peer), ("reason", reason), ("update", str(position_of(update))))
        position = str(self._directory.position)
        return Record("directory_update_ignored", (*fields, ("position", position)))

    def forward(self, event: PeerReceived) -> Iterator[Action]:
        """Send an update from another domain, newer than this watcher's own reads, to this domain.

        The platform may answer one domain's watchers but not another's.
        """
        if not self.is_watching:
            return
        for peer in self._ranked_peers(self._failure_domain):
            if peer not in (self._address, event.peer):
                yield SendPeer(peer, event.message)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process one event and return the actions that follow."""
        return list(self._actions(event, now))

    def _actions(self, event: Event, now: float) -> Iterator[Action]:
        match event:
            case PeerReceived(peer, Bulletin() as bulletin):
                last = _LastAnnouncement(
                    now, position_of(bulletin), bulletin.has_platform, bulletin.config_version
                )
                self._last_announcement_by_peer[peer] = last
                if self._is_behind(last) and self._behind_since is None:
                    self._behind_since = now
                if self._behind_since is not None or not last.has_platform:
                    self._tick_at = min(self._tick_at, now + TICK_INTERVAL_S)
                is_equal = last.position == self._directory.position
                if last.has_platform and is_equal and not self.is_watching:
                    yield from self._directory.confirm(now)
            case PeerReceived(peer, AskDirectory()):
                yield SendPeer(peer, self._full_update(now))
            case Tick() if now >= self._tick_at:
                yield from self._tick(now)

    def _tick(self, now: float) -> Iterator[Action]:
        self._tick_at = now + TICK_INTERVAL_S
        if now < self._listen_until and not self._directory.is_lost:
            return
        self._refresh_peers(now)
        yield from self._update_role(now)
        if self.is_watching and now >= self._next_announcement_at:
            self._next_announcement_at = now + ANNOUNCE_INTERVAL_S
            announcement = self._announcement()
            for peer in self._ranked_peers(self._failure_domain):
                if peer != self._address:
                    yield SendPeer(peer, announcement)
        yield from self._catch_up(now)
        if not self.is_watching and self._behind_since is None:
            self._tick_at = max(self._tick_at, self._role_due(now))

    def _role_due(self, now: float) -> float:
        """Return when the last watcher of higher rank is missed, unless it announces itself."""
        above = (last.at for last in self._watchers_above(now) if last.has_platform)
        return max(above, default=float("-inf")) + ANNOUNCEMENT_TTL_S

    def _update_role(self, now: float) -> Iterator[Action]:
        is_needed = self._is_watcher_needed(now)
        if is_needed == self.is_watching:
            return
        self.is_watching = is_needed
        fields = (("watching", is_needed), ("revision", self._directory.revision))
        yield Record("watcher_changed", fields)
        yield WatchDirectory(is_needed)

    def _catch_up(self, now: float) -> Iterator[Action]:
        """Request the full contents from the newest daemon if this one stays behind it."""
        fresh = {
            p: last
            for p, last in self._last_announcement_by_peer.items()
            if now - last.at < ANNOUNCEMENT_TTL_S
        }
        self._last_announcement_by_peer = fresh
        newer = [peer for peer, last in fresh.items() if self._is_behind(last)]
        if not newer:
            self._behind_since = None
            return
        newest = max(newer, key=lambda peer: (fresh[peer].position, fresh[peer].config_version))
        if self._behind_since is None:
            self._behind_since = now
        elif now - self._behind_since >= CATCH_UP_DELAY_S:
            self._behind_since = now
            fields = (("peer", newest), ("position", str(self._directory.position)))
            yield Record("directory_behind", (*fields, ("newest", str(fresh[newest].position))))
            yield SendPeer(newest, AskDirectory())

    def _is_behind(self, last: _LastAnnouncement) -> bool:
        """Return whether another daemon has a newer copy, or a newer configuration in force.

        After the platform came back from a copy, its configuration may be older than the one that
        the other daemons have kept.
        """
        configuration = self._directory.configuration
        version = configuration.version if configuration else 0
        return last.position > self._directory.position or last.config_version > version

    # --- Messages to peers ---

    def _announcement(self) -> Bulletin:
        directory = self._directory
        version = directory.configuration.version if directory.configuration else 0
        position = directory.position
        return Bulletin(position.revision, not directory.is_lost, position.epoch, version)

    def _announce_to_other_domains(self) -> Iterator[Action]:
        domains = {info.failure_domain for info in self._known_by_peer.values()}
        for domain in sorted(domains - {self._failure_domain}):
            for peer in self._ranked_peers(domain)[:ANNOUNCED]:
                yield SendPeer(peer, self._announcement())

    def _full_update(self, now: float) -> DirectoryNews:
        directory = self._directory
        return DirectoryNews(
            after=0,
            revision=directory.revision,
            is_whole=True,
            configuration=directory.configuration,
            endpoints=tuple(directory.registered_endpoints()),
            domains=tuple(DomainOut(name, True) for name in sorted(directory.stated_out_domains)),
            lost_ago_s=min(1e9, directory.lost_ago_s(now)),
            epoch=directory.position.epoch,
        )


def _rank(peer: str) -> int:
    """Return the sort key of a daemon, the same on all daemons; the lowest number ranks highest."""
    return zlib.crc32(peer.encode())
