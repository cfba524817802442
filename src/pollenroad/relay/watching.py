"""When this daemon reads the platform, and what.

A few watchers in each failure domain hold a long poll open, list all versions now and then, and
read what changed. Every other daemon reads only when the relays are silent, at a rate that shrinks
as the fleet grows, so that all together stay within a fixed budget. No I/O.
"""

import random
from dataclasses import dataclass

from pollenroad.boundary import (
    DocumentRead,
    DocumentsListed,
    ListDocuments,
    ListVms,
    PlatformFailed,
    PlatformRequest,
    ReadDocument,
    VmsListed,
    WatchPlatform,
    WatchReturned,
)
from pollenroad.relay.configuration import Configuration

WATCHERS_PER_DOMAIN = 3
"""Daemons that watch the platform for each failure domain."""

WATCH_TIMEOUT_S = 20.0
"""Longest wait of one long poll, in seconds."""

LIST_INTERVAL_S = 5.0
"""Time between two lists of versions by one watcher, in seconds: finds what a watch missed."""

WATCHER_READS_PER_S = 5.0
"""Reads of documents a second by one watcher."""

WATCHER_BURST = 20
"""Reads of documents that a watcher may save up."""

OPEN_READS = 4
"""Reads of documents that are open at one time."""

FOLLOWER_READS_PER_S = 200.0
"""Reads a second by all daemons that are no watchers together, while relays are silent."""

SILENCE_S = 45.0
"""Time without word of the platform after which a daemon that is no watcher reads it itself."""

VM_LIST_READS_PER_S = 2.0
"""Reads a second of the list of VMs, by all watchers together."""

VM_LIST_BYTES_PER_S = 8_000.0
"""Most that one watcher spends on lists of VMs, in bytes a second."""

RETRY_MIN_S = 0.5
"""Wait after the first failed read, in seconds; doubles with each further failure."""

RETRY_MAX_S = 8.0
"""Longest wait after a failed read, in seconds."""


@dataclass(slots=True)
class _Wanted:
    version: int
    due: float = 0.0
    delay_s: float = RETRY_MIN_S


class PlatformReads:
    """Decides the reads of one daemon."""

    def __init__(
        self, configuration: Configuration, fleet_hint: int, service: str, rng: random.Random
    ):
        self._configuration = configuration
        self._first_keys = (service, service.partition("/")[0])
        self._rng = rng
        self._fleet_size = max(1, fleet_hint)
        self._watcher_count = WATCHERS_PER_DOMAIN
        self._is_watcher = False
        self._after = 0
        self._lower_lists = 0
        self._open: set[PlatformRequest] = set()
        self._wanted_by_key: dict[str, _Wanted] = {}
        self._list_due = 0.0
        self._vms_due = 0.0
        self._vms_interval_s = 0.0
        self._vms_known = False
        self._tokens = float(WATCHER_BURST)
        self._tokens_at = 0.0
        self._follower_due: float | None = None
        self._failures = 0
        self._blocked_until = 0.0

    @property
    def is_watcher(self) -> bool:
        """Whether this daemon watches the platform for its failure domain."""
        return self._is_watcher

    @property
    def is_settled(self) -> bool:
        """Whether nothing that the platform listed is still to be read."""
        return not self._wanted_by_key

    def set_fleet(self, size: int, watcher_count: int) -> None:
        """Learn the size of the fleet and the number of its watchers."""
        if size > 0:
            self._fleet_size = size
            self._watcher_count = max(1, watcher_count)

    def set_watcher(self, is_watcher: bool, now: float) -> None:
        """Begin or cease to watch."""
        if is_watcher and not self._is_watcher:
            self._list_due = now
            self._vms_due = now + self._rng.random() * self._vms_pause_s()
        self._is_watcher = is_watcher

    def due(self, now: float, age_s: float, has_peers: bool) -> list[PlatformRequest]:
        """Return the reads to make now.

        Args:
            now: Monotonic time in seconds.
            age_s: Time since any watcher is known to have read the platform, in seconds.
            has_peers: Whether any peer is known.
        """
        if now < self._blocked_until:
            return []
        requests = list(self._watcher_reads(now) if self._is_watcher else ())
        if not self._is_watcher and age_s >= SILENCE_S:
            requests += self._follower_reads(now, has_peers)
        self._open.update(requests)
        return requests

    # --- Reads of a watcher ---

    def _watcher_reads(self, now: float):
        if not any(isinstance(request, WatchPlatform) for request in self._open):
            yield WatchPlatform(self._after, WATCH_TIMEOUT_S)
        if now >= self._list_due and ListDocuments() not in self._open:
            self._list_due = now + LIST_INTERVAL_S * self._rng.uniform(0.7, 1.3)
            yield ListDocuments()
        if now >= self._vms_due and ListVms() not in self._open:
            self._vms_due = now + self._vms_pause_s() * self._rng.uniform(0.7, 1.3)
            yield ListVms()
        yield from self._document_reads(now)

    def _vms_pause_s(self) -> float:
        return max(self._watcher_count / VM_LIST_READS_PER_S, self._vms_interval_s)

    def _document_reads(self, now: float):
        gained = (now - self._tokens_at) * WATCHER_READS_PER_S
        self._tokens = min(float(WATCHER_BURST), self._tokens + gained)
        self._tokens_at = now
        for key in self._ready_keys(now):
            if self._tokens < 1 or self._open_reads() >= OPEN_READS:
                return
            self._tokens -= 1
            request = ReadDocument(key)
            self._open.add(request)
            yield request

    def _open_reads(self) -> int:
        return sum(1 for request in self._open if isinstance(request, ReadDocument))

    def _ready_keys(self, now: float) -> list[str]:
        for key, wanted in list(self._wanted_by_key.items()):
            if 0 < wanted.version <= self._configuration.version(key):
                del self._wanted_by_key[key]
        ready = [
            key
            for key, wanted in self._wanted_by_key.items()
            if now >= wanted.due and ReadDocument(key) not in self._open
        ]
        return sorted(ready, key=lambda key: key not in self._first_keys)

    # --- Reads of a daemon whose relays are silent ---

    def _follower_reads(self, now: float, has_peers: bool):
        pause_s = self._fleet_size / FOLLOWER_READS_PER_S
        if self._follower_due is None:
            self._follower_due = now + pause_s * self._rng.random()
        if now < self._follower_due or self._open:
            return
        self._follower_due = now + pause_s * self._rng.uniform(0.5, 1.5)
        ready = self._ready_keys(now)
        if not self._vms_known and not has_peers:
            yield ListVms()
        elif ready:
            yield ReadDocument(ready[0])
        else:
            yield ListDocuments()

    # --- Answers ---

    def on_watch(self, event: WatchReturned, now: float) -> None:
        """Take the end of a long poll."""
        self._close(lambda request: isinstance(request, WatchPlatform))
        if event.revision < self._after:
            self._list_due = min(self._list_due, now + 1.0)
            self._blocked_until = now + self._rng.uniform(0.5, 1.0)
            return
        self._after = event.revision
        for key in event.changed:
            self._wanted_by_key.setdefault(key, _Wanted(0))

    def on_list(self, event: DocumentsListed, now: float) -> None:
        """Take a list of versions; what is newer than in force is wanted."""
        self._close(lambda request: isinstance(request, ListDocuments))
        self._take_revision(event.revision)
        newer = [
            key
            for key, version in event.version_by_key.items()
            if version > self._configuration.version(key)
        ]
        self._rng.shuffle(newer)
        for key in newer:
            wanted = self._wanted_by_key.setdefault(key, _Wanted(0))
            wanted.version = max(wanted.version, event.version_by_key[key])

    def _take_revision(self, revision: int) -> None:
        if revision >= self._after:
            self._after = revision
            self._lower_lists = 0
            return
        self._lower_lists += 1
        if self._lower_lists >= 3:
            self._after = revision
            self._lower_lists = 0

    def on_read(self, event: DocumentRead, now: float) -> None:
        """Note that a read ended; one that gave too old a document is made again later."""
        self._close(lambda request: request == ReadDocument(event.key))
        wanted = self._wanted_by_key.get(event.key)
        if wanted is None:
            return
        if wanted.version <= self._configuration.version(event.key):
            del self._wanted_by_key[event.key]
            return
        wanted.due = now + wanted.delay_s * self._rng.uniform(0.5, 1.0)
        wanted.delay_s = min(RETRY_MAX_S, wanted.delay_s * 2)

    def on_vms(self, event: VmsListed) -> None:
        """Note that the list of VMs was read."""
        self._close(lambda request: isinstance(request, ListVms))
        self._vms_known = True
        self._vms_interval_s = event.size_bytes / VM_LIST_BYTES_PER_S

    def on_failed(self, event: PlatformFailed, now: float) -> None:
        """Wait longer after each failure, with jitter."""
        self._open.discard(event.request)
        self._failures += 1
        wait_s = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(self._failures - 1, 10))
        self._blocked_until = now + wait_s * self._rng.uniform(0.5, 1.0)

    def _close(self, matches) -> None:
        self._failures = 0
        self._open = {request for request in self._open if not matches(request)}
