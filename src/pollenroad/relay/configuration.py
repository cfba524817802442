"""Store of the documents in force on this daemon, and the rules by which others are refused.

A document comes into force only if it is valid and newer than the one in force, so no source can
bring back an older version. The bytes are stored as published; only a few documents are cached in
decoded form, so that hundreds of documents fit into the memory of a small process.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec

from pollenroad.declarations.checks import check_document
from pollenroad.exceptions import ConfigurationError
from pollenroad.models import Document
from pollenroad.relay_messages import DocumentDigest

MAX_DOCUMENT_BYTES = 1_048_576
"""Maximum size of a document, in bytes."""

MAX_VERSION = 2**53 - 1
"""Maximum version: the largest integer that every JSON decoder represents exactly."""

MAX_DOCUMENTS = 4_096
"""Maximum number of keys."""

DECODED_DOCUMENTS = 8
"""Size of the cache of decoded documents."""

DIGEST_BYTES = 16
"""Length of a document's hash, in bytes."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The offered document has come into force."""

    document: Document
    previous: Document | None


@dataclass(frozen=True, slots=True)
class Unchanged:
    """The offered document is already in force."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The offered document was refused."""

    code: str
    """`invalid`, `older` or `conflict`."""
    reason: str
    version: int = 0


Outcome = Accepted | Unchanged | Refused


@dataclass(frozen=True, slots=True)
class _StoredDocument:
    version: int
    digest: bytes
    data: bytes


class _Header(msgspec.Struct):
    version: int


def digest_of(data: bytes) -> bytes:
    """Return the hash by which daemons compare the contents of documents."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def decode_document(key: str, data: bytes) -> Document:
    """Decode and validate one document.

    Args:
        key: Key under which it was offered.
        data: JSON bytes.

    Raises:
        ConfigurationError: If it is too large, malformed or invalid, or has a different key.
    """
    if len(data) > MAX_DOCUMENT_BYTES:
        raise ConfigurationError(key, "$", f"larger than {MAX_DOCUMENT_BYTES} bytes")
    try:
        document = msgspec.json.decode(data, type=Document)
    except RecursionError as error:
        raise ConfigurationError(key, "$", "nested too deeply") from error
    except (msgspec.DecodeError, ValueError) as error:
        reason, _, path = str(error).partition(" - at ")
        raise ConfigurationError(key, path.strip("`") or "$", reason) from error
    if document.key != key:
        raise ConfigurationError(key, "$", f"offered as {key}, but names itself {document.key}")
    if document.version > MAX_VERSION:
        raise ConfigurationError(key, "$.version", f"larger than {MAX_VERSION}")
    for problem in check_document(document):
        raise ConfigurationError(key, problem.path, problem.reason, problem.hint)
    return document


class Configuration:
    """Documents in force, by key."""

    def __init__(self):
        self._stored_by_key: dict[str, _StoredDocument] = {}
        self._decoded_by_key: OrderedDict[str, Document] = OrderedDict()
        self._fingerprint = 0

    def __len__(self) -> int:
        return len(self._stored_by_key)

    @property
    def fingerprint(self) -> int:
        """64-bit hash of the keys and versions in force, equal on daemons with the same ones."""
        return self._fingerprint

    def version(self, key: str) -> int:
        """Return the version in force, or 0 if the key is unknown."""
        stored = self._stored_by_key.get(key)
        return stored.version if stored else 0

    def data(self, key: str) -> bytes | None:
        """Return the published bytes of the document in force, or None."""
        stored = self._stored_by_key.get(key)
        return stored.data if stored else None

    def keys(self) -> list[str]:
        """Return the keys in force, sorted."""
        return sorted(self._stored_by_key)

    def document(self, key: str) -> Document | None:
        """Return the document in force, or None; it is decoded again if it is not in the cache."""
        stored = self._stored_by_key.get(key)
        if stored is None:
            return None
        document = self._decoded_by_key.get(key)
        if document is None:
            document = decode_document(key, stored.data)
        self._cache(key, document)
        return document

    def digests(self) -> Iterator[DocumentDigest]:
        """Yield the digest of each document in force."""
        for key, stored in sorted(self._stored_by_key.items()):
            yield DocumentDigest(key, stored.version, stored.digest)

    def compare(self, offered: DocumentDigest) -> str:
        """Compare a digest with the document in force.

        Returns:
            `newer`, `same`, `older` or `conflict` (same version, different content).
        """
        stored = self._stored_by_key.get(offered.key)
        if stored is None or offered.version > stored.version:
            return "newer"
        if offered.version < stored.version:
            return "older"
        return "same" if offered.digest == stored.digest else "conflict"

    def offer(self, key: str, data: bytes) -> Outcome:
        """Put a document from any source into force if it is valid and newer."""
        stored = self._stored_by_key.get(key)
        digest = digest_of(data)
        if stored is not None and stored.digest == digest:
            return Unchanged()
        refusal = self._refusal(key, data, stored)
        if refusal is not None:
            return refusal
        try:
            document = decode_document(key, data)
        except ConfigurationError as error:
            return Refused("invalid", f"{error.path}: {error.reason}", _peek_version(data))
        previous = self.document(key)
        self._store(key, _StoredDocument(document.version, digest, data), document)
        return Accepted(document, previous)

    def _refusal(self, key: str, data: bytes, stored: _StoredDocument | None) -> Refused | None:
        version = _peek_version(data)
        if stored is None:
            full = len(self._stored_by_key) >= MAX_DOCUMENTS
            return Refused("invalid", f"more than {MAX_DOCUMENTS} keys") if full else None
        if 0 < version < stored.version:
            reason = f"version {version} is older than version {stored.version} in force"
            return Refused("older", reason, version)
        if version == stored.version:
            reason = f"two different documents carry version {version}; the first stays in force"
            return Refused("conflict", reason, version)
        return None

    def _store(self, key: str, stored: _StoredDocument, document: Document) -> None:
        previous = self._stored_by_key.get(key)
        if previous is not None:
            self._fingerprint ^= _version_hash(key, previous.version)
        self._fingerprint ^= _version_hash(key, stored.version)
        self._stored_by_key[key] = stored
        self._cache(key, document)

    def _cache(self, key: str, document: Document) -> None:
        self._decoded_by_key[key] = document
        self._decoded_by_key.move_to_end(key)
        if len(self._decoded_by_key) > DECODED_DOCUMENTS:
            self._decoded_by_key.popitem(last=False)


def _version_hash(key: str, version: int) -> int:
    text = f"{key}@{version}".encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


def _peek_version(data: bytes) -> int:
    if len(data) > MAX_DOCUMENT_BYTES:
        return 0
    try:
        return msgspec.json.decode(data, type=_Header).version
    except (msgspec.DecodeError, ValueError, RecursionError):
        return 0


def make_configuration() -> Configuration:
    """Make an empty configuration."""
    return Configuration()
