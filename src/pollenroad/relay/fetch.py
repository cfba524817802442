"""Fetches of documents from peers.

Each newer document is requested from one peer that announced it, and from another one if that peer
does not answer in time.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from pollenroad.boundary import SendPeer
from pollenroad.relay_messages import DocumentDigest, FetchDocuments

FETCH_TIMEOUT_S = 1.0
"""Time to wait for a document before it is requested from another peer, in seconds."""

MAX_OPEN_FETCHES = 32
"""Maximum number of documents requested at the same time."""

PEERS_PER_DOCUMENT = 4
"""Maximum number of peers remembered as sources of one document."""


@dataclass(slots=True)
class _Fetch:
    version: int
    peers: list[str] = field(default_factory=list)
    requested_at: float | None = None


class Fetches:
    """Newer documents that peers announced and this daemon lacks."""

    def __init__(self):
        self._fetch_by_key: dict[str, _Fetch] = {}

    def __len__(self) -> int:
        return len(self._fetch_by_key)

    def add_source(self, digest: DocumentDigest, peer: str) -> None:
        """Add `peer` as a source of a newer document."""
        fetch = self._fetch_by_key.get(digest.key)
        if fetch is None or digest.version > fetch.version:
            self._fetch_by_key[digest.key] = _Fetch(digest.version, [peer])
        elif digest.version == fetch.version and peer not in fetch.peers:
            fetch.peers = [*fetch.peers, peer][-PEERS_PER_DOCUMENT:]

    def finish(self, key: str, version: int) -> None:
        """Drop the fetch of a document, now that `version` of it is in force."""
        fetch = self._fetch_by_key.get(key)
        if fetch is not None and fetch.version <= version:
            del self._fetch_by_key[key]

    def drop_source(self, key: str, peer: str) -> None:
        """Remove `peer` as a source, after a refused copy or a timeout; the next source is due."""
        fetch = self._fetch_by_key.get(key)
        if fetch is None or peer not in fetch.peers:
            return
        fetch.peers.remove(peer)
        fetch.requested_at = None
        if not fetch.peers:
            del self._fetch_by_key[key]

    def due(self, now: float) -> Iterator[SendPeer]:
        """Yield the requests to send now, one message for each peer."""
        self._expire(now)
        open_fetches = [f for f in self._fetch_by_key.values() if f.requested_at is not None]
        free = MAX_OPEN_FETCHES - len(open_fetches)
        keys_by_peer: dict[str, list[str]] = {}
        for key, fetch in self._fetch_by_key.items():
            if free <= 0:
                break
            if fetch.requested_at is None:
                free -= 1
                fetch.requested_at = now
                keys_by_peer.setdefault(fetch.peers[0], []).append(key)
        for peer, keys in keys_by_peer.items():
            yield SendPeer(peer, FetchDocuments(tuple(keys)))

    def _expire(self, now: float) -> None:
        late = [
            (key, fetch)
            for key, fetch in self._fetch_by_key.items()
            if fetch.requested_at is not None and now - fetch.requested_at >= FETCH_TIMEOUT_S
        ]
        for key, fetch in late:
            self.drop_source(key, fetch.peers[0])


def make_fetches() -> Fetches:
    """Make an empty set of fetches."""
    return Fetches()
