"""The peers to which a relay sends, and when it asks one of them for all that it holds.

Links are the neighbours, a bounded number of daemons that count this one as theirs (their view may
be newer), and, until neighbours are known, the seeds. No I/O.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from pollenroad.relay_messages import Heartbeat

MAX_GUESTS = 8
"""Daemons beside the neighbours that are served, at the most."""

GUEST_S = 3.0
"""Time after the last heartbeat for which such a daemon is served, in seconds."""

DIFFERENT_BEATS = 2
"""Heartbeats in a row that must differ before all digests are asked for."""

ASK_MIN_S = 1.0
"""Time between two such questions to one peer, in seconds; doubles while they do not help."""

ASK_MAX_S = 60.0
"""Longest time between two such questions, in seconds."""

ASK_AT_START_S = 0.5
"""Time between two questions to one peer during the start, in seconds."""

MAX_PEERS = 64
"""Peers of which something is remembered, at the most."""


@dataclass(slots=True)
class _Peer:
    different: int = 0
    asked_at: float = float("-inf")
    pause_s: float = ASK_MIN_S


class Links:
    """Peer addresses of one relay."""

    def __init__(self, seeds: Iterable[str]):
        self._seeds = tuple(seeds)
        self._neighbours: tuple[str, ...] = ()
        self._guest_until: dict[str, float] = {}
        self._peer_by_address: dict[str, _Peer] = {}
        self._incarnation_by_vm: dict[str, int] = {}

    def neighbours(self) -> tuple[str, ...]:
        """Return the addresses of the neighbours, or of the seeds while there are none."""
        return self._neighbours or self._seeds

    def guests(self, now: float) -> list[str]:
        """Return the addresses of daemons that count this one as their neighbour only."""
        return [guest for guest, until in self._guest_until.items() if until > now]

    def addresses(self, now: float) -> list[str]:
        """Return the addresses to send to now."""
        return [*self.neighbours(), *self.guests(now)]

    def set_neighbours(self, addresses: Iterable[str]) -> list[str]:
        """Set the neighbours; return those that are new."""
        wanted = tuple(addresses)
        fresh = [address for address in wanted if address not in self._neighbours]
        self._neighbours = wanted
        for address in wanted:
            self._guest_until.pop(address, None)
        return fresh

    def heard(self, address: str, beat: Heartbeat, now: float) -> None:
        """Note a heartbeat; its sender becomes a guest if it counts this daemon as neighbour."""
        self._incarnation_by_vm[beat.vm] = beat.incarnation
        if len(self._incarnation_by_vm) > MAX_PEERS:
            del self._incarnation_by_vm[next(iter(self._incarnation_by_vm))]
        if not beat.is_neighbour or address in self.neighbours():
            return
        expired = [guest for guest, until in self._guest_until.items() if until <= now]
        for guest in expired:
            del self._guest_until[guest]
        if address in self._guest_until or len(self._guest_until) < MAX_GUESTS:
            self._guest_until[address] = now + GUEST_S

    def incarnation(self, vm: str) -> int:
        """Return the incarnation of the last heartbeat of a VM, or 0."""
        return self._incarnation_by_vm.get(vm, 0)

    def should_ask(self, address: str, same: bool, now: float) -> bool:
        """Tell whether to ask a peer for all that it holds, after a heartbeat of it."""
        peer = self._peer(address)
        if same:
            peer.different = 0
            peer.pause_s = ASK_MIN_S
            return False
        peer.different += 1
        if peer.different < DIFFERENT_BEATS or now - peer.asked_at < peer.pause_s:
            return False
        peer.asked_at = now
        peer.pause_s = min(ASK_MAX_S, peer.pause_s * 2)
        return True

    def may_ask_at_start(self, address: str, now: float) -> bool:
        """Tell whether a starting daemon may ask a peer again now, and note that it does."""
        peer = self._peer(address)
        if now - peer.asked_at < ASK_AT_START_S:
            return False
        peer.asked_at = now
        return True

    def _peer(self, address: str) -> _Peer:
        peer = self._peer_by_address.get(address)
        if peer is None:
            peer = self._peer_by_address[address] = _Peer()
            if len(self._peer_by_address) > MAX_PEERS:
                del self._peer_by_address[next(iter(self._peer_by_address))]
        return peer
