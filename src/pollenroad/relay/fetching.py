"""Which documents are being fetched from peers.

A daemon fetches each newer document once, from a peer that announced it; where that peer is silent
it asks another one. No I/O.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from pollenroad.boundary import SendPeer
from pollenroad.relay_messages import DocumentDigest, FetchDocuments

FETCH_TIMEOUT_S = 1.0
"""Time after which another peer is asked, in seconds."""

OPEN_FETCHES = 32
"""Documents asked for at one time."""

PEERS_PER_DOCUMENT = 4
"""Announcers remembered for each document."""


@dataclass(slots=True)
class _Fetch:
    version: int
    peers: list[str] = field(default_factory=list)
    asked_at: float | None = None


class Fetches:
    """Documents that peers hold and this daemon lacks."""

    def __init__(self):
        self._fetch_by_key: dict[str, _Fetch] = {}

    def __len__(self) -> int:
        return len(self._fetch_by_key)

    def want(self, digest: DocumentDigest, peer: str) -> None:
        """Note that `peer` holds a newer document."""
        fetch = self._fetch_by_key.get(digest.key)
        if fetch is None or digest.version > fetch.version:
            self._fetch_by_key[digest.key] = _Fetch(digest.version, [peer])
        elif digest.version == fetch.version and peer not in fetch.peers:
            fetch.peers = [*fetch.peers, peer][-PEERS_PER_DOCUMENT:]

    def settle(self, key: str, version: int) -> None:
        """Note that `version` of a document is in force now."""
        fetch = self._fetch_by_key.get(key)
        if fetch is not None and fetch.version <= version:
            del self._fetch_by_key[key]

    def forget(self, key: str, peer: str) -> None:
        """Note that the copy of `peer` was of no use."""
        fetch = self._fetch_by_key.get(key)
        if fetch is None or peer not in fetch.peers:
            return
        fetch.peers.remove(peer)
        fetch.asked_at = None
        if not fetch.peers:
            del self._fetch_by_key[key]

    def due(self, now: float) -> Iterator[SendPeer]:
        """Yield the questions to ask now, one message to a peer."""
        self._expire(now)
        is_open = [f for f in self._fetch_by_key.values() if f.asked_at is not None]
        room = OPEN_FETCHES - len(is_open)
        keys_by_peer: dict[str, list[str]] = {}
        for key, fetch in self._fetch_by_key.items():
            if room <= 0:
                break
            if fetch.asked_at is None:
                room -= 1
                fetch.asked_at = now
                keys_by_peer.setdefault(fetch.peers[0], []).append(key)
        for peer, keys in keys_by_peer.items():
            yield SendPeer(peer, FetchDocuments(tuple(keys)))

    def _expire(self, now: float) -> None:
        late = [
            (key, fetch)
            for key, fetch in self._fetch_by_key.items()
            if fetch.asked_at is not None and now - fetch.asked_at >= FETCH_TIMEOUT_S
        ]
        for key, fetch in late:
            self.forget(key, fetch.peers[0])


def make_fetches() -> Fetches:
    """Make an empty set of fetches."""
    return Fetches()
