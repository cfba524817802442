"""Which documents are in force on this daemon, and which are refused.

A document comes into force only when it is valid and newer than the one in force, so no source can
bring an older one back. The bytes are kept as published; decoded documents are kept for a few keys
only, so that hundreds of documents fit into the memory of a small process. No I/O.
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
"""Largest document that is accepted, in bytes."""

MAX_VERSION = 2**53 - 1
"""Largest version that is accepted: the largest integer that every JSON reader keeps exactly."""

MAX_DOCUMENTS = 4_096
"""Keys held at the most."""

DECODED_DOCUMENTS = 8
"""Decoded documents kept beside the bytes."""

DIGEST_BYTES = 16
"""Length of the hash of a document, in bytes."""


@dataclass(frozen=True, slots=True)
class Accepted:
    """The offered document is in force now."""

    document: Document
    previous: Document | None


@dataclass(frozen=True, slots=True)
class Known:
    """The offered document is the one in force; nothing changed."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The offered document did not come into force."""

    code: str
    """`invalid`, `older` or `conflict`."""
    reason: str
    version: int = 0


Outcome = Accepted | Known | Refused


@dataclass(frozen=True, slots=True)
class _Held:
    version: int
    digest: bytes
    data: bytes


class _Header(msgspec.Struct):
    version: int


def digest_of(data: bytes) -> bytes:
    """Return the hash by which daemons compare documents."""
    return hashlib.blake2b(data, digest_size=DIGEST_BYTES).digest()


def decode_document(key: str, data: bytes) -> Document:
    """Decode and check one document.

    Args:
        key: Key under which it was offered.
        data: JSON bytes.

    Raises:
        ConfigurationError: If it is too large, malformed, out of bounds, or of another key.
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
    """The documents in force, by key."""

    def __init__(self):
        self._held_by_key: dict[str, _Held] = {}
        self._decoded_by_key: OrderedDict[str, Document] = OrderedDict()
        self._fingerprint = 0

    def __len__(self) -> int:
        return len(self._held_by_key)

    @property
    def fingerprint(self) -> int:
        """A 64-bit hash of all keys and versions, equal on daemons that hold the same ones."""
        return self._fingerprint

    def version(self, key: str) -> int:
        """Return the version in force, or 0 if the key is unknown."""
        held = self._held_by_key.get(key)
        return held.version if held else 0

    def data(self, key: str) -> bytes | None:
        """Return the bytes in force as they were published, or None."""
        held = self._held_by_key.get(key)
        return held.data if held else None

    def keys(self) -> list[str]:
        """Return the keys in force, sorted."""
        return sorted(self._held_by_key)

    def document(self, key: str) -> Document | None:
        """Return the document in force, decoded now if it is not among the recent ones."""
        held = self._held_by_key.get(key)
        if held is None:
            return None
        document = self._decoded_by_key.get(key)
        if document is None:
            document = decode_document(key, held.data)
        self._remember(key, document)
        return document

    def digests(self) -> Iterator[DocumentDigest]:
        """Yield key, version and hash of each document in force."""
        for key, held in sorted(self._held_by_key.items()):
            yield DocumentDigest(key, held.version, held.digest)

    def judge(self, offered: DocumentDigest) -> str:
        """Tell how a digest compares with what is in force.

        Returns:
            `newer`, `same`, `older` or `conflict` (one version, two contents).
        """
        held = self._held_by_key.get(offered.key)
        if held is None or offered.version > held.version:
            return "newer"
        if offered.version < held.version:
            return "older"
        return "same" if offered.digest == held.digest else "conflict"

    def offer(self, key: str, data: bytes) -> Outcome:
        """Take a document from any source, and put it into force if it is valid and newer."""
        held = self._held_by_key.get(key)
        digest = digest_of(data)
        if held is not None and held.digest == digest:
            return Known()
        refusal = self._refusal(key, data, held)
        if refusal is not None:
            return refusal
        try:
            document = decode_document(key, data)
        except ConfigurationError as error:
            return Refused("invalid", f"{error.path}: {error.reason}", _peek_version(data))
        previous = self.document(key)
        self._hold(key, _Held(document.version, digest, data), document)
        return Accepted(document, previous)

    def _refusal(self, key: str, data: bytes, held: _Held | None) -> Refused | None:
        version = _peek_version(data)
        if held is None:
            full = len(self._held_by_key) >= MAX_DOCUMENTS
            return Refused("invalid", f"more than {MAX_DOCUMENTS} keys") if full else None
        if 0 < version < held.version:
            reason = f"version {version} is older than version {held.version} in force"
            return Refused("older", reason, version)
        if version == held.version:
            reason = f"two different documents carry version {version}; the first stays in force"
            return Refused("conflict", reason, version)
        return None

    def _hold(self, key: str, held: _Held, document: Document) -> None:
        previous = self._held_by_key.get(key)
        if previous is not None:
            self._fingerprint ^= _mark(key, previous.version)
        self._fingerprint ^= _mark(key, held.version)
        self._held_by_key[key] = held
        self._remember(key, document)

    def _remember(self, key: str, document: Document) -> None:
        self._decoded_by_key[key] = document
        self._decoded_by_key.move_to_end(key)
        if len(self._decoded_by_key) > DECODED_DOCUMENTS:
            self._decoded_by_key.popitem(last=False)


def _mark(key: str, version: int) -> int:
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
