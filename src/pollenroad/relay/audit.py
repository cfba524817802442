"""Audit trail of one daemon: what it accepted, what it refused, and why.

The trail is bounded and kept in memory only, because VMs have no persistent storage.
`pollenroad audit` merges the trails of many daemons into one timeline.
"""

from collections import deque
from collections.abc import Iterable, Iterator

import msgspec

AUDIT_ENTRIES = 1_000
"""Maximum entries per kind of action; the limit is per kind so that no kind displaces another."""

AUDIT_TEXT_CHARS = 400
"""Length to which sentences and reasons are truncated, in characters."""

SENTENCES_PER_ENTRY = 50
"""Maximum sentences kept for one change."""


class AuditEntry(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """One decision of a daemon."""

    wall_time_s: float
    """Seconds since the epoch, by the daemon's own clock."""
    vm: str
    action: str
    """`accepted`, `refused`, `membership` or `startup`."""
    subject: str
    """Document key or VM name."""
    version: int = 0
    source: str = ""
    """`platform`, `own`, or the address of the peer that sent it."""
    reason: str = ""
    sentences: tuple[str, ...] = ()


class AuditTrail:
    """Bounded lists of the latest decisions, one for each kind of action."""

    def __init__(self, vm: str, limit: int = AUDIT_ENTRIES):
        self._vm = vm
        self._limit = limit
        self._entries_by_action: dict[str, deque[AuditEntry]] = {}

    def __len__(self) -> int:
        return sum(len(entries) for entries in self._entries_by_action.values())

    def add(
        self,
        wall_time_s: float,
        action: str,
        subject: str,
        *,
        version: int = 0,
        source: str = "",
        reason: str = "",
        sentences: Iterable[str] = (),
    ) -> AuditEntry:
        """Append a decision and return it; a full list drops its oldest entry."""
        entry = AuditEntry(
            wall_time_s=wall_time_s,
            vm=self._vm,
            action=action,
            subject=subject,
            version=version,
            source=source,
            reason=reason[:AUDIT_TEXT_CHARS],
            sentences=tuple(_bounded(sentences)),
        )
        entries = self._entries_by_action.setdefault(action, deque(maxlen=self._limit))
        entries.append(entry)
        return entry

    def entries(self) -> list[AuditEntry]:
        """Return the decisions, oldest first."""
        return merge_trails(self._entries_by_action.values())

    def to_json(self) -> bytes:
        """Return the trail as the JSON array that the operator port serves."""
        return msgspec.json.encode(self.entries())


def _bounded(sentences: Iterable[str]) -> Iterator[str]:
    for count, sentence in enumerate(sentences):
        if count == SENTENCES_PER_ENTRY:
            yield "Further changes are not kept."
            return
        yield sentence[:AUDIT_TEXT_CHARS]


def parse_trail(data: bytes) -> list[AuditEntry]:
    """Decode a trail served by a daemon.

    Raises:
        msgspec.DecodeError: If `data` is not a valid trail.
    """
    return msgspec.json.decode(data, type=list[AuditEntry])


def merge_trails(trails: Iterable[Iterable[AuditEntry]]) -> list[AuditEntry]:
    """Merge the trails of many daemons into one timeline, oldest first."""
    merged = [entry for trail in trails for entry in trail]
    return sorted(merged, key=lambda entry: (entry.wall_time_s, entry.vm, entry.subject))
