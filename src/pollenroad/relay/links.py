"""Links: the peers to which a relay sends, and when it starts an anti-entropy sync with one.

Links are the neighbours (the seeds until neighbours are known) and a bounded number of inbound
links: daemons that count this one as a neighbour although it does not count them, because their
view of the fleet may be newer. In a sync a daemon asks a peer for all its digests and statuses.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from pollenroad.relay_messages import Heartbeat

MAX_INBOUND_LINKS = 8
"""Maximum number of inbound links."""

INBOUND_LINK_S = 3.0
"""Time for which an inbound link lasts after its last heartbeat, in seconds."""

MISMATCHES_BEFORE_SYNC = 2
"""Consecutive heartbeats whose fingerprints differ from this daemon's before it syncs."""

SYNC_MIN_S = 1.0
"""Time between two syncs with one peer, in seconds; doubles while fingerprints still differ."""

SYNC_MAX_S = 60.0
"""Longest time between two syncs with one peer, in seconds."""

SYNC_AT_START_S = 0.5
"""Time between two syncs with one peer during bootstrap, in seconds."""

MAX_PEERS = 64
"""Maximum number of peers for which state is kept."""


@dataclass(slots=True)
class _Peer:
    mismatches: int = 0
    synced_at: float = float("-inf")
    sync_interval_s: float = SYNC_MIN_S


class Links:
    """Peer addresses to which one relay sends, with the state of its syncs."""

    def __init__(self, seeds: Iterable[str]):
        self._seeds = tuple(seeds)
        self._neighbours: tuple[str, ...] = ()
        self._inbound_until: dict[str, float] = {}
        self._peer_by_address: dict[str, _Peer] = {}
        self._incarnation_by_vm: dict[str, int] = {}

    def neighbours(self) -> tuple[str, ...]:
        """Return the addresses of the neighbours, or of the seeds while there are none."""
        return self._neighbours or self._seeds

    def inbound(self, now: float) -> list[str]:
        """Return the addresses of the inbound links."""
        return [peer for peer, until in self._inbound_until.items() if until > now]

    def addresses(self, now: float) -> list[str]:
        """Return the addresses of all links."""
        return [*self.neighbours(), *self.inbound(now)]

    def set_neighbours(self, addresses: Iterable[str]) -> list[str]:
        """Set the neighbours and return those that are new."""
        wanted = tuple(addresses)
        fresh = [address for address in wanted if address not in self._neighbours]
        self._neighbours = wanted
        for address in wanted:
            self._inbound_until.pop(address, None)
        return fresh

    def on_heartbeat(self, address: str, heartbeat: Heartbeat, now: float) -> None:
        """Note a heartbeat; add an inbound link if the sender counts this daemon as neighbour."""
        self._incarnation_by_vm[heartbeat.vm] = heartbeat.incarnation
        if len(self._incarnation_by_vm) > MAX_PEERS:
            del self._incarnation_by_vm[next(iter(self._incarnation_by_vm))]
        if not heartbeat.is_neighbour or address in self.neighbours():
            return
        expired = [peer for peer, until in self._inbound_until.items() if until <= now]
        for peer in expired:
            del self._inbound_until[peer]
        if address in self._inbound_until or len(self._inbound_until) < MAX_INBOUND_LINKS:
            self._inbound_until[address] = now + INBOUND_LINK_S

    def incarnation(self, vm: str) -> int:
        """Return the incarnation in the last heartbeat of a VM, or 0."""
        return self._incarnation_by_vm.get(vm, 0)

    def should_sync(self, address: str, same: bool, now: float) -> bool:
        """Return whether to sync with a peer; `same` if its fingerprints equal this daemon's."""
        peer = self._peer(address)
        if same:
            peer.mismatches = 0
            peer.sync_interval_s = SYNC_MIN_S
            return False
        peer.mismatches += 1
        if peer.mismatches < MISMATCHES_BEFORE_SYNC or now - peer.synced_at < peer.sync_interval_s:
            return False
        peer.synced_at = now
        peer.sync_interval_s = min(SYNC_MAX_S, peer.sync_interval_s * 2)
        return True

    def try_sync_at_start(self, address: str, now: float) -> bool:
        """Return whether a starting daemon may sync with a peer now, and if so count it as done."""
        peer = self._peer(address)
        if now - peer.synced_at < SYNC_AT_START_S:
            return False
        peer.synced_at = now
        return True

    def _peer(self, address: str) -> _Peer:
        peer = self._peer_by_address.get(address)
        if peer is None:
            peer = self._peer_by_address[address] = _Peer()
            if len(self._peer_by_address) > MAX_PEERS:
                del self._peer_by_address[next(iter(self._peer_by_address))]
        return peer
