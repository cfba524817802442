"""Read-only client of the platform: documents, changes and the list of VMs."""

import msgspec
from urllib3.exceptions import HTTPError

from pollenroad.addresses import split_address
from pollenroad.boundary import (
    DocumentRead,
    DocumentsListed,
    Event,
    ListDocuments,
    ListVms,
    PlatformFailed,
    PlatformRequest,
    ReadDocument,
    VmsListed,
    WatchPlatform,
    WatchReturned,
)
from pollenroad.exceptions import PlatformError
from pollenroad.models import VmState
from pollenroad.strict_http import StrictConnectionPool, rejection_reason

READ_TIMEOUT_S = 2.0
"""Timeout of a request in seconds, in addition to the wait of a watch."""

POOL_SIZE = 8
"""Number of connections kept open to each address of the platform."""


class _Listing(msgspec.Struct, frozen=True):
    revision: int
    versions: dict[str, int]


class _Watch(msgspec.Struct, frozen=True):
    revision: int
    changed: tuple[str, ...]


class _Vms(msgspec.Struct, frozen=True):
    revision: int
    vms: tuple[VmState, ...]


class Platform:
    """Client of the platform's configuration service.

    Args:
        addresses: Addresses of the service; each request tries them in order.
    """

    def __init__(self, addresses: tuple[str, ...]):
        self._pools = [
            StrictConnectionPool(*split_address(address), maxsize=POOL_SIZE, block=False)
            for address in addresses
        ]

    def answer(self, request: PlatformRequest) -> Event:
        """Send one request and return its answer, or `PlatformFailed`; blocks the current task."""
        try:
            return self._answer(request)
        except (PlatformError, msgspec.DecodeError) as error:
            return PlatformFailed(request, str(error))

    def _answer(self, request: PlatformRequest) -> Event:
        match request:
            case ReadDocument(key):
                return DocumentRead(key, self._read(f"/v1/documents/{key}"))
            case ListDocuments():
                listing = msgspec.json.decode(self._read_existing("/v1/documents"), type=_Listing)
                return DocumentsListed(listing.revision, listing.versions)
            case WatchPlatform(after, timeout_s):
                path = f"/v1/watch?after={after}&timeout_s={timeout_s:g}"
                watch = msgspec.json.decode(self._read_existing(path, timeout_s), type=_Watch)
                return WatchReturned(watch.revision, watch.changed)
            case ListVms():
                data = self._read_existing("/v1/vms")
                vms = msgspec.json.decode(data, type=_Vms)
                return VmsListed(vms.revision, vms.vms, len(data))

    def _read_existing(self, path: str, wait_s: float = 0.0) -> bytes:
        data = self._read(path, wait_s)
        if data is None:
            raise PlatformError(f"{path}: status 404")
        return data

    def _read(self, path: str, wait_s: float = 0.0) -> bytes | None:
        """Return the body of the answer, or None if its status is 404."""
        reason = "no address"
        for pool in self._pools:
            try:
                answer = pool.request("GET", path, timeout=wait_s + READ_TIMEOUT_S, retries=False)
            except HTTPError as error:
                reason = rejection_reason(error) or type(error).__name__
                continue
            if answer.status == 200:
                return answer.data
            if answer.status == 404:
                return None
            reason = f"status {answer.status}"
        raise PlatformError(f"{path}: {reason}")
