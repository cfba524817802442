"""A timer queue for the cores: what is due, by time."""

import heapq
import itertools
from collections.abc import Iterator


class Timers:
    """Keys with due times, in order. Cancelling is lazy: a stale entry is skipped when due."""

    def __init__(self):
        self._heap = []
        self._due_by_key = {}
        self._order = itertools.count()

    def set(self, key: tuple, due: float) -> None:
        """Set or move the timer of `key` to `due`, in monotonic seconds."""
        self._due_by_key[key] = due
        heapq.heappush(self._heap, (due, next(self._order), key))

    def cancel(self, key: tuple) -> None:
        """Drop the timer of `key`, if there is one."""
        self._due_by_key.pop(key, None)

    def _drop_stale(self) -> None:
        while self._heap:
            due, _, key = self._heap[0]
            if self._due_by_key.get(key) == due:
                return
            heapq.heappop(self._heap)

    def next_due(self) -> float | None:
        """Return the earliest due time, or None if no timer is set."""
        self._drop_stale()
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> Iterator[tuple]:
        """Yield and remove each key that is due at `now`."""
        while (due := self.next_due()) is not None and due <= now:
            key = heapq.heappop(self._heap)[2]
            del self._due_by_key[key]
            yield key
