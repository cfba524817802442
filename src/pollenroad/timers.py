"""Timer queue of the cores."""

import heapq
import itertools
from collections.abc import Iterator


class Timers:
    """Queue of keys by due time.

    Cancelling is lazy: stale entries stay in the heap and are skipped when they reach its top.
    """

    def __init__(self):
        self._heap = []
        self._due_by_key = {}
        self._sequence = itertools.count()

    def set(self, key: tuple, due: float) -> None:
        """Set the timer of `key` to `due`, in monotonic seconds, replacing an earlier one."""
        self._due_by_key[key] = due
        heapq.heappush(self._heap, (due, next(self._sequence), key))

    def cancel(self, key: tuple) -> None:
        """Remove the timer of `key`, if set."""
        self._due_by_key.pop(key, None)

    def _drop_stale(self) -> None:
        while self._heap:
            due, _, key = self._heap[0]
            if self._due_by_key.get(key) == due:
                return
            heapq.heappop(self._heap)

    def next_due(self) -> float | None:
        """Return the earliest due time in monotonic seconds, or None if no timer is set."""
        self._drop_stale()
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now: float) -> Iterator[tuple]:
        """Remove and yield each key that is due at `now`."""
        while (due := self.next_due()) is not None and due <= now:
            key = heapq.heappop(self._heap)[2]
            del self._due_by_key[key]
            yield key
