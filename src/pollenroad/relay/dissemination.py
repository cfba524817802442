"""Dissemination of documents between daemons.

A daemon that accepts a newer document announces its digest to its links, and each of them that
lacks the document fetches its bytes. Fingerprints in heartbeats reveal what announcements missed.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator
from itertools import islice

from pollenroad.base_message import ITEMS_PER_MESSAGE
from pollenroad.boundary import Action, DocumentInForce, Record, SendPeer
from pollenroad.models import Document
from pollenroad.relay.audit import AuditTrail
from pollenroad.relay.configuration import (
    Accepted,
    Configuration,
    Outcome,
    Refused,
    Unchanged,
    digest_of,
)
from pollenroad.relay.fetch import make_fetches
from pollenroad.relay_messages import Announce, DocumentCopy, DocumentDigest, FetchDocuments

PLATFORM = "platform"
"""Source of documents that this daemon read from the platform."""

REFUSALS_REMEMBERED = 256
"""Maximum number of remembered refusals, so that repeated offers are not recorded again."""

_EVENT_BY_CODE = {
    "invalid": "document_refused",
    "older": "document_refused",
    "conflict": "document_conflict",
}

Explain = Callable[[Document | None, Document], Iterable[str]]
"""Returns sentences that describe the change from one document to another."""


class Dissemination:
    """Accepts and announces the documents of one daemon, and fetches newer ones from peers."""

    def __init__(self, configuration: Configuration, trail: AuditTrail, explain: Explain):
        self._configuration = configuration
        self._trail = trail
        self._explain = explain
        self._fetches = make_fetches()
        self._refused: OrderedDict[tuple[str, bytes], None] = OrderedDict()

    @property
    def is_settled(self) -> bool:
        """Whether no announced document is still to be fetched."""
        return not self._fetches

    def offer(
        self, key: str, data: bytes, source: str, wall_s: float, links: Iterable[str]
    ) -> tuple[Outcome, list[Action]]:
        """Offer a document from the platform or a peer; announce it if it comes into force."""
        outcome = self._configuration.offer(key, data)
        match outcome:
            case Accepted(document, previous):
                self._fetches.finish(key, document.version)
                self._note_accepted(document, previous, source, wall_s)
                digest = DocumentDigest(key, document.version, digest_of(data))
                announce = Announce((digest,))
                actions = [SendPeer(link, announce) for link in links if link != source]
                return outcome, [DocumentInForce(document), *actions]
            case Unchanged():
                self._fetches.finish(key, self._configuration.version(key))
            case Refused():
                self._fetches.drop_source(key, source)
                return outcome, self._note_refused(key, digest_of(data), outcome, source, wall_s)
        return outcome, []

    def _note_accepted(
        self, document: Document, previous: Document | None, source: str, wall_s: float
    ) -> None:
        self._trail.add(
            wall_s,
            "accepted",
            document.key,
            version=document.version,
            source=source,
            sentences=self._explain(previous, document),
        )

    def _note_refused(
        self, key: str, digest: bytes, refused: Refused, source: str, wall_s: float
    ) -> list[Action]:
        if (key, digest) in self._refused:
            return []
        self._refused[(key, digest)] = None
        if len(self._refused) > REFUSALS_REMEMBERED:
            self._refused.popitem(last=False)
        self._trail.add(
            wall_s, "refused", key, version=refused.version, source=source, reason=refused.reason
        )
        fields = (("key", key), ("version", refused.version), ("source", source))
        return [Record(_EVENT_BY_CODE[refused.code], (*fields, ("reason", refused.reason)))]

    # --- Messages ---

    def on_announce(self, peer: str, announce: Announce, wall_s: float) -> list[Action]:
        """Schedule fetches of newer documents, and announce those that are older at the peer."""
        older = []
        actions: list[Action] = []
        for digest in announce.digests:
            match self._configuration.compare(digest):
                case "newer":
                    self._fetches.add_source(digest, peer)
                case "older":
                    older.append(digest.key)
                case "conflict":
                    actions += self._on_conflict(digest, peer, wall_s)
        wanted = set(older)
        own_digests = (d for d in self._configuration.digests() if d.key in wanted) if older else ()
        return [*actions, *announcements(peer, own_digests)]

    def _on_conflict(self, digest: DocumentDigest, peer: str, wall_s: float) -> list[Action]:
        reason = f"two different documents carry version {digest.version}; the first stays in force"
        refused = Refused("conflict", reason, digest.version)
        return self._note_refused(digest.key, digest.digest, refused, peer, wall_s)

    def fetch_newer(self, key: str, version: int, peer: str) -> None:
        """Schedule the fetch of a document from a peer that uses a newer version."""
        if version > self._configuration.version(key):
            self._fetches.add_source(DocumentDigest(key, version, b""), peer)

    def all_announcements(self, peer: str, joining: bool) -> list[Action]:
        """Return the messages that answer `AskDigests`."""
        batches = list(batched(self._configuration.digests(), ITEMS_PER_MESSAGE)) or [()]
        last = len(batches) - 1
        return [
            SendPeer(peer, Announce(batch, complete=number == last, joining=joining))
            for number, batch in enumerate(batches)
        ]

    def copies(self, peer: str, fetch: FetchDocuments) -> Iterator[Action]:
        """Yield the documents that a peer requests."""
        for key in fetch.keys:
            data = self._configuration.data(key)
            if data is not None:
                yield SendPeer(peer, DocumentCopy(key, data))

    def due(self, now: float) -> Iterator[Action]:
        """Yield the fetch requests to send now."""
        return self._fetches.due(now)


def batched(items: Iterable, size: int) -> Iterator[tuple]:
    """Yield the items in tuples of at most `size`."""
    rest = iter(items)
    while batch := tuple(islice(rest, size)):
        yield batch


def announcements(peer: str, digests: Iterable[DocumentDigest]) -> Iterator[Action]:
    """Yield the messages that announce documents to `peer`."""
    for batch in batched(digests, ITEMS_PER_MESSAGE):
        yield SendPeer(peer, Announce(batch))


def make_dissemination(
    configuration: Configuration, trail: AuditTrail, explain: Explain
) -> Dissemination:
    """Make the dissemination of `configuration`, with decisions recorded in `trail`."""
    return Dissemination(configuration, trail, explain)
