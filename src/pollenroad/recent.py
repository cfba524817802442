"""Bounded memory of recent events in one daemon, from which `pollenroad explain` tells."""

import time
from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RecentRecord:
    """One event that happened in this daemon."""

    time: float
    """Wall clock, in seconds since the epoch."""
    event: str
    fields: tuple[tuple[str, object], ...]


class RecentRecords:
    """The last `limit` events, oldest first."""

    def __init__(self, limit: int):
        self._records: deque[RecentRecord] = deque(maxlen=limit)

    def add(self, event: str, fields: tuple[tuple[str, object], ...]) -> None:
        """Keep one event, dropping the oldest when full."""
        self._records.append(RecentRecord(time.time(), event, fields))

    def of_request(self, request_id: str) -> list[RecentRecord]:
        """Return the events that carry `request_id`, oldest first."""
        return [r for r in self._records if dict(r.fields).get("request_id") == request_id]
