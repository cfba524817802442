"""Heartbeats between relays.

A heartbeat shows that its sender is alive, and carries fingerprints of its documents and statuses,
by which the receiver detects that an anti-entropy sync is needed.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from pollenroad.boundary import Action, SendPeer
from pollenroad.relay.configuration import Configuration
from pollenroad.relay.directory import Directory
from pollenroad.relay.failure_detector import HEARTBEAT_S
from pollenroad.relay.links import Links
from pollenroad.relay.liveness import Liveness
from pollenroad.relay_messages import Heartbeat

DEAD_PROBE_S = 2.0
"""Interval of heartbeats to VMs that are reported dead and would be neighbours, in seconds."""

UNKNOWN_AGE_S = 1e9
"""Age that is sent while no read of the platform is known, in seconds."""

HOP_AGE_S = 0.25
"""Added to the age of a read at each hop, in seconds, so that delays never make it look younger."""


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """Parameters of a relay."""

    vm: str
    address: str
    failure_domain: str
    incarnation: int
    """Milliseconds since the epoch at the start of the process, so that it grows with restarts."""
    service: str = ""
    """Key of the service of the server on this VM; its document is read first."""
    seeds: tuple[str, ...] = ()
    """Peer addresses to send to until neighbours are known."""
    fleet_hint: int = 11_000
    """Upper bound on the daemons that share the platform; limits reads until the fleet is known."""
    wall_offset_s: float = 0.0
    """Wall clock minus monotonic clock, in seconds."""


class Heartbeats:
    """Sends and evaluates the heartbeats of one relay."""

    def __init__(
        self,
        settings: RelaySettings,
        configuration: Configuration,
        directory: Directory,
        links: Links,
        liveness: Liveness,
        rng: random.Random,
    ):
        self._settings = settings
        self._configuration = configuration
        self._directory = directory
        self._links = links
        self._liveness = liveness
        self._rng = rng
        self._platform_seen_at = float("-inf")
        self._heartbeat_due = 0.0
        self._dead_probe_due = 0.0

    def platform_age_s(self, now: float) -> float:
        """Return the seconds since the last known read of the platform by any watcher."""
        return now - self._platform_seen_at

    def note_platform_read(self, seen_at: float) -> None:
        """Note that a watcher read the platform at `seen_at`."""
        self._platform_seen_at = max(self._platform_seen_at, seen_at)

    def receive(self, peer: str, heartbeat: Heartbeat, now: float) -> bool:
        """Process a heartbeat; return whether to start a sync with its sender."""
        self._links.on_heartbeat(peer, heartbeat, now)
        self.note_platform_read(now - heartbeat.platform_age_s)
        is_same = (
            heartbeat.documents == self._configuration.fingerprint
            and heartbeat.statuses == self._liveness.membership.fingerprint
        )
        return self._links.should_sync(peer, is_same, now)

    def due(self, joining: bool, now: float) -> Iterator[Action]:
        """Yield the heartbeats to send now."""
        if now >= self._heartbeat_due:
            self._heartbeat_due = now + HEARTBEAT_S * self._rng.uniform(0.9, 1.1)
            yield from self._to_links(self._make(joining, now), now)
        if now >= self._dead_probe_due:
            self._dead_probe_due = now + DEAD_PROBE_S * self._rng.uniform(0.9, 1.1)
            yield from self._to_reported_dead(self._make(joining, now))

    def _to_links(self, heartbeat: Heartbeat, now: float) -> Iterator[Action]:
        yield from (SendPeer(link, heartbeat) for link in self._links.neighbours())
        to_inbound = msgspec.structs.replace(heartbeat, is_neighbour=False)
        yield from (SendPeer(peer, to_inbound) for peer in self._links.inbound(now))

    def _to_reported_dead(self, heartbeat: Heartbeat) -> Iterator[Action]:
        """Yield heartbeats to VMs that would be neighbours if they were not reported dead.

        Without them, two partitions that reported each other dead would never merge again.
        """
        dead = self._liveness.membership.reported_dead()
        if not dead:
            return
        probe = msgspec.structs.replace(heartbeat, is_neighbour=False)
        me, domain = self._settings.vm, self._settings.failure_domain
        for name in self._directory.neighbours(me, domain, ()):
            if name in dead:
                yield SendPeer(self._directory.get(name).address, probe)

    def _make(self, joining: bool, now: float) -> Heartbeat:
        age_s = min(UNKNOWN_AGE_S, self.platform_age_s(now) + HOP_AGE_S)
        return Heartbeat(
            self._settings.vm,
            self._liveness.incarnation,
            self._settings.failure_domain,
            self._configuration.fingerprint,
            self._liveness.membership.fingerprint,
            round(age_s, 1),
            joining,
        )
