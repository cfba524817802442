"""Reading the platform: documents, changes, and the list of VMs. Nothing is ever written."""

import msgspec
import urllib3
from urllib3.exceptions import HTTPError

from pollenroad.addresses import split_address
from pollenroad.exceptions import PlatformError
from pollenroad.models import Document

READ_TIMEOUT_S = 2.0
WATCH_TIMEOUT_S = 20.0
MAX_DOCUMENT_BYTES = 1_048_576


class Listing(msgspec.Struct, frozen=True):
    """Version of every document."""

    revision: int
    versions: dict[str, int]


class Watch(msgspec.Struct, frozen=True):
    """What changed since a revision."""

    revision: int
    changed: tuple[str, ...]


class Platform:
    """Client of the platform's configuration service.

    Args:
        addresses: Where it listens; each read tries them in order.
    """

    def __init__(self, addresses: tuple[str, ...]):
        self._pools = [
            urllib3.HTTPConnectionPool(*split_address(address), maxsize=2, block=False)
            for address in addresses
        ]

    def _read(self, path: str, timeout_s: float) -> bytes:
        reason = "no address"
        for pool in self._pools:
            try:
                answer = pool.request("GET", path, timeout=timeout_s, retries=False)
            except HTTPError as error:
                reason = type(error).__name__
                continue
            if answer.status == 200:
                return answer.data
            reason = f"status {answer.status}"
        raise PlatformError(f"{path}: {reason}")

    def _read_as(self, path: str, kind: type, timeout_s: float = READ_TIMEOUT_S):
        try:
            return msgspec.json.decode(self._read(path, timeout_s), type=kind)
        except msgspec.DecodeError as error:
            raise PlatformError(f"{path}: {error}") from error

    def list_documents(self) -> Listing:
        """Read the versions of all documents."""
        return self._read_as("/v1/documents", Listing)

    def read_document(self, key: str) -> Document:
        """Read one document."""
        return self._read_as(f"/v1/documents/{key}", Document)

    def watch(self, revision: int) -> Watch:
        """Wait for a revision after `revision`, at most `WATCH_TIMEOUT_S` seconds."""
        path = f"/v1/watch?after={revision}&timeout_s={WATCH_TIMEOUT_S:g}"
        return self._read_as(path, Watch, WATCH_TIMEOUT_S + READ_TIMEOUT_S)
