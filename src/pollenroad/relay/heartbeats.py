"""Heartbeats between relays: a sign of life, and marks by which daemons see that they differ.

No I/O.
"""

import random
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from pollenroad.boundary import Action, SendPeer
from pollenroad.relay.configuration import Configuration
from pollenroad.relay.directory import Directory
from pollenroad.relay.links import Links
from pollenroad.relay.liveness import Liveness
from pollenroad.relay.monitoring import HEARTBEAT_S
from pollenroad.relay_messages import Heartbeat

ESTRANGED_S = 2.0
"""Time between two heartbeats to a VM that seems dead and would be a neighbour, in seconds."""

NEVER_S = 1e9
"""Age that is told while no read of the platform is known, in seconds."""

HOP_AGE_S = 0.25
"""Added to the age of a read with each hop, so that delays never make it look younger."""


@dataclass(frozen=True, slots=True)
class RelaySettings:
    """What a relay is told at its start."""

    vm: str
    address: str
    failure_domain: str
    incarnation: int
    """Milliseconds since the epoch at the start of the process, so that it grows by restarts."""
    service: str = ""
    """Key of the service of the server beside this daemon; its document is read first."""
    seeds: tuple[str, ...] = ()
    """Peer addresses to ask first, before any document is known."""
    fleet_hint: int = 11_000
    """Daemons that share the platform, at the most; bounds reads before the fleet is known."""
    wall_offset_s: float = 0.0
    """Wall clock minus monotonic clock, in seconds."""


class Heartbeats:
    """What one relay tells its links unasked."""

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
        self._heartbeat_at = 0.0
        self._estranged_at = 0.0

    def platform_age_s(self, now: float) -> float:
        """Return the seconds since any watcher is known to have read the platform."""
        return now - self._platform_seen_at

    def note_platform(self, seen_at: float) -> None:
        """Note that a watcher read the platform at `seen_at`."""
        self._platform_seen_at = max(self._platform_seen_at, seen_at)

    def take(self, peer: str, beat: Heartbeat, now: float) -> bool:
        """Take a heartbeat; tell whether to ask its sender for all that it holds."""
        self._links.heard(peer, beat, now)
        self.note_platform(now - beat.platform_age_s)
        is_same = (
            beat.documents == self._configuration.fingerprint
            and beat.statuses == self._liveness.membership.fingerprint
        )
        return self._links.should_ask(peer, is_same, now)

    def due(self, joining: bool, now: float) -> Iterator[Action]:
        """Yield the heartbeats to send now."""
        if now >= self._heartbeat_at:
            self._heartbeat_at = now + HEARTBEAT_S * self._rng.uniform(0.9, 1.1)
            yield from self._to_links(self._make(joining, now), now)
        if now >= self._estranged_at:
            self._estranged_at = now + ESTRANGED_S * self._rng.uniform(0.9, 1.1)
            yield from self._to_estranged(self._make(joining, now))

    def _to_links(self, beat: Heartbeat, now: float) -> Iterator[Action]:
        yield from (SendPeer(link, beat) for link in self._links.neighbours())
        to_guest = msgspec.structs.replace(beat, is_neighbour=False)
        yield from (SendPeer(guest, to_guest) for guest in self._links.guests(now))

    def _to_estranged(self, beat: Heartbeat) -> Iterator[Action]:
        """Yield heartbeats to VMs that would be neighbours if they did not seem dead.

        Without them, two parts of the fleet that held each other for dead would never meet again.
        """
        estranged = self._liveness.membership.seeming_dead()
        if not estranged:
            return
        to_estranged = msgspec.structs.replace(beat, is_neighbour=False)
        me, domain = self._settings.vm, self._settings.failure_domain
        for name in self._directory.neighbours(me, domain, ()):
            if name in estranged:
                yield SendPeer(self._directory.get(name).address, to_estranged)

    def _make(self, joining: bool, now: float) -> Heartbeat:
        age_s = min(NEVER_S, self.platform_age_s(now) + HOP_AGE_S)
        return Heartbeat(
            self._settings.vm,
            self._liveness.incarnation,
            self._settings.failure_domain,
            self._configuration.fingerprint,
            self._liveness.membership.fingerprint,
            round(age_s, 1),
            joining,
        )
