"""Bounded buffer of recent events of one daemon, the source of `pollenroad explain`."""

import time
from collections import deque
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class RecentRecord:
    """One event of this daemon."""

    time: float
    """Wall clock time, in seconds since the epoch."""
    event: str
    fields: tuple[tuple[str, object], ...]


class RecentRecords:
    """The last `limit` events, oldest first."""

    def __init__(self, limit: int):
        self._records: deque[RecentRecord] = deque(maxlen=limit)

    def add(self, event: str, fields: tuple[tuple[str, object], ...]) -> None:
        """Add an event; drops the oldest one if the buffer is full."""
        self._records.append(RecentRecord(time.time(), event, fields))

    def find_by_request(self, request_id: str) -> list[RecentRecord]:
        """Return the events of the request `request_id`, oldest first."""
        return [r for r in self._records if dict(r.fields).get("request_id") == request_id]
