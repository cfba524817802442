"""Drives cores without I/O: one inbox, handled one event at a time, and one timer."""

import time
from collections import deque
from collections.abc import Callable

from gevent.event import Event as Flag

from pollenroad.boundary import Tick


class Driver:
    """The inbox and the timer of one daemon.

    Args:
        handle: Handles one event and carries out what the cores decide; never blocks.
        next_due: Returns when a `Tick` is next needed, in monotonic seconds, or None.
    """

    def __init__(self, handle: Callable[[object], None], next_due: Callable[[], float | None]):
        self._handle = handle
        self._cores_due = next_due
        self._inbox: deque[object] = deque()
        self._is_busy = False
        self._wake = Flag()
        self._due = float("inf")

    def post(self, event: object) -> None:
        """Hand an event to the cores and carry out what they decide."""
        self._inbox.append(event)
        if self._is_busy:
            return
        self._is_busy = True
        try:
            while self._inbox:
                self._handle(self._inbox.popleft())
        finally:
            self._is_busy = False
        if self._next_due() < self._due:
            self._wake.set()

    def run_timer(self) -> None:
        """Post a `Tick` whenever one is due; a task of its own."""
        while True:
            self._wake.clear()
            self._due = self._next_due()
            wait_s = self._due - time.monotonic()
            if wait_s > 0:
                self._wake.wait(None if wait_s == float("inf") else wait_s)
            if time.monotonic() >= self._due:
                self._due = float("inf")
                self.post(Tick())

    def _next_due(self) -> float:
        due = self._cores_due()
        return float("inf") if due is None else due
