"""Schedule of platform reads: when this daemon reads the platform, and what.

A few watchers in each failure domain keep a long poll open, periodically list all versions, and
read what changed. Every other daemon (a follower) reads only when no platform read has been
reported by relays for a while, at a rate that shrinks as the fleet grows, so that all followers
together stay within a fixed budget.
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
"""Number of daemons that watch the platform for each failure domain."""

WATCH_TIMEOUT_S = 20.0
"""Timeout of one long poll, in seconds."""

LIST_INTERVAL_S = 5.0
"""Interval at which one watcher lists all versions, in seconds, to find changes that its long poll
missed."""

WATCHER_READS_PER_S = 5.0
"""Rate of document reads by one watcher, per second."""

WATCHER_BURST = 20
"""Document reads that a watcher can make at once: size of its token bucket."""

MAX_OPEN_READS = 4
"""Maximum number of concurrent document reads."""

FOLLOWER_READS_PER_S = 200.0
"""Rate of reads by all followers together while relays are silent, per second."""

SILENCE_S = 45.0
"""Age of the last known read of the platform from which a follower reads it itself, in seconds."""

VM_LIST_READS_PER_S = 2.0
"""Rate of reads of the VM list by all watchers together, per second."""

VM_LIST_BYTES_PER_S = 8_000.0
"""Maximum traffic of one watcher for VM lists, in bytes per second."""

RETRY_MIN_S = 0.5
"""Backoff after the first failed read, in seconds; doubles with each further failure."""

RETRY_MAX_S = 8.0
"""Maximum backoff after a failed read, in seconds."""


@dataclass(slots=True)
class _PendingRead:
    version: int
    due: float = 0.0
    delay_s: float = RETRY_MIN_S


class PlatformReads:
    """Schedules the platform reads of one daemon."""

    def __init__(
        self, configuration: Configuration, fleet_hint: int, service: str, rng: random.Random
    ):
        self._configuration = configuration
        self._priority_keys = (service, service.partition("/")[0])
        self._rng = rng
        self._fleet_size = max(1, fleet_hint)
        self._watcher_count = WATCHERS_PER_DOMAIN
        self._is_watcher = False
        self._last_revision = 0
        self._lower_revision_count = 0
        self._open_requests: set[PlatformRequest] = set()
        self._pending_by_key: dict[str, _PendingRead] = {}
        self._list_due = 0.0
        self._vms_due = 0.0
        self._vms_min_interval_s = 0.0
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
        """Whether no listed document is still to be read."""
        return not self._pending_by_key

    def set_fleet_size(self, size: int, watcher_count: int) -> None:
        """Set the number of daemons and of watchers in the fleet."""
        if size > 0:
            self._fleet_size = size
            self._watcher_count = max(1, watcher_count)

    def set_watcher(self, is_watcher: bool, now: float) -> None:
        """Start or stop watching the platform."""
        if is_watcher and not self._is_watcher:
            self._list_due = now
            self._vms_due = now + self._rng.random() * self._vms_interval_s()
        self._is_watcher = is_watcher

    def due(self, now: float, age_s: float, has_peers: bool) -> list[PlatformRequest]:
        """Return the requests to send now.

        Args:
            now: Monotonic time in seconds.
            age_s: Time since the last known read of the platform by any watcher, in seconds.
            has_peers: Whether any peer is known.
        """
        if now < self._blocked_until:
            return []
        requests = list(self._watcher_reads(now) if self._is_watcher else ())
        if not self._is_watcher and age_s >= SILENCE_S:
            requests += self._follower_reads(now, has_peers)
        self._open_requests.update(requests)
        return requests

    # --- Reads of a watcher ---

    def _watcher_reads(self, now: float):
        if not any(isinstance(request, WatchPlatform) for request in self._open_requests):
            yield WatchPlatform(self._last_revision, WATCH_TIMEOUT_S)
        if now >= self._list_due and ListDocuments() not in self._open_requests:
            self._list_due = now + LIST_INTERVAL_S * self._rng.uniform(0.7, 1.3)
            yield ListDocuments()
        if now >= self._vms_due and ListVms() not in self._open_requests:
            self._vms_due = now + self._vms_interval_s() * self._rng.uniform(0.7, 1.3)
            yield ListVms()
        yield from self._document_reads(now)

    def _vms_interval_s(self) -> float:
        return max(self._watcher_count / VM_LIST_READS_PER_S, self._vms_min_interval_s)

    def _document_reads(self, now: float):
        gained = (now - self._tokens_at) * WATCHER_READS_PER_S
        self._tokens = min(float(WATCHER_BURST), self._tokens + gained)
        self._tokens_at = now
        for key in self._ready_keys(now):
            if self._tokens < 1 or self._open_read_count() >= MAX_OPEN_READS:
                return
            self._tokens -= 1
            request = ReadDocument(key)
            self._open_requests.add(request)
            yield request

    def _open_read_count(self) -> int:
        return sum(1 for request in self._open_requests if isinstance(request, ReadDocument))

    def _ready_keys(self, now: float) -> list[str]:
        for key, pending in list(self._pending_by_key.items()):
            if 0 < pending.version <= self._configuration.version(key):
                del self._pending_by_key[key]
        ready = [
            key
            for key, pending in self._pending_by_key.items()
            if now >= pending.due and ReadDocument(key) not in self._open_requests
        ]
        return sorted(ready, key=lambda key: key not in self._priority_keys)

    # --- Reads of a follower ---

    def _follower_reads(self, now: float, has_peers: bool):
        interval_s = self._fleet_size / FOLLOWER_READS_PER_S
        if self._follower_due is None:
            self._follower_due = now + interval_s * self._rng.random()
        if now < self._follower_due or self._open_requests:
            return
        self._follower_due = now + interval_s * self._rng.uniform(0.5, 1.5)
        ready = self._ready_keys(now)
        if not self._vms_known and not has_peers:
            yield ListVms()
        elif ready:
            yield ReadDocument(ready[0])
        else:
            yield ListDocuments()

    # --- Responses ---

    def on_watch(self, event: WatchReturned, now: float) -> None:
        """Process the response to a long poll."""
        self._remove_answered(lambda request: isinstance(request, WatchPlatform))
        if event.revision < self._last_revision:
            self._list_due = min(self._list_due, now + 1.0)
            self._blocked_until = now + self._rng.uniform(0.5, 1.0)
            return
        self._last_revision = event.revision
        for key in event.changed:
            self._pending_by_key.setdefault(key, _PendingRead(0))

    def on_list(self, event: DocumentsListed, now: float) -> None:
        """Process a list of versions; schedule reads of documents newer than those in force."""
        self._remove_answered(lambda request: isinstance(request, ListDocuments))
        self._update_revision(event.revision)
        newer = [
            key
            for key, version in event.version_by_key.items()
            if version > self._configuration.version(key)
        ]
        self._rng.shuffle(newer)
        for key in newer:
            pending = self._pending_by_key.setdefault(key, _PendingRead(0))
            pending.version = max(pending.version, event.version_by_key[key])

    def _update_revision(self, revision: int) -> None:
        """Note the revision of a list; a lower one takes effect only at the third in a row."""
        if revision >= self._last_revision:
            self._last_revision = revision
            self._lower_revision_count = 0
            return
        self._lower_revision_count += 1
        if self._lower_revision_count >= 3:
            self._last_revision = revision
            self._lower_revision_count = 0

    def on_read(self, event: DocumentRead, now: float) -> None:
        """Process a document read; one that returned too old a version is retried with backoff."""
        self._remove_answered(lambda request: request == ReadDocument(event.key))
        pending = self._pending_by_key.get(event.key)
        if pending is None:
            return
        if pending.version <= self._configuration.version(event.key):
            del self._pending_by_key[event.key]
            return
        pending.due = now + pending.delay_s * self._rng.uniform(0.5, 1.0)
        pending.delay_s = min(RETRY_MAX_S, pending.delay_s * 2)

    def on_vms(self, event: VmsListed) -> None:
        """Process a list of VMs."""
        self._remove_answered(lambda request: isinstance(request, ListVms))
        self._vms_known = True
        self._vms_min_interval_s = event.size_bytes / VM_LIST_BYTES_PER_S

    def on_failed(self, event: PlatformFailed, now: float) -> None:
        """Back off exponentially with jitter after a failed request."""
        self._open_requests.discard(event.request)
        self._failures += 1
        wait_s = min(RETRY_MAX_S, RETRY_MIN_S * 2 ** min(self._failures - 1, 10))
        self._blocked_until = now + wait_s * self._rng.uniform(0.5, 1.0)

    def _remove_answered(self, matches) -> None:
        """Remove the answered requests from the open ones, and reset the count of failures."""
        self._failures = 0
        self._open_requests = {request for request in self._open_requests if not matches(request)}
