"""Event loop of the cores: one queue, handled one event at a time, and one timer."""

import time
from collections import deque
from collections.abc import Callable

from gevent.event import Event as Flag

from pollenroad.boundary import Tick
from pollenroad.logs import log

STALL_S = 0.25
"""Time for one event from which it is logged as a stall of the event loop, in seconds."""


def perform_logged(perform: Callable[[object], None], action: object) -> None:
    """Perform one action; an unexpected error is logged, so that the next action is performed."""
    try:
        perform(action)
    except Exception as error:
        log("internal_error", where=type(action).__name__, reason=repr(error))


class Driver:
    """Event queue and timer of one daemon.

    Args:
        handle: Passes one event to the cores and performs their actions; never blocks.
        next_due: Returns when the next `Tick` is due, in monotonic seconds, or None.
    """

    def __init__(self, handle: Callable[[object], None], next_due: Callable[[], float | None]):
        self._handle = handle
        self._cores_next_due = next_due
        self._event_queue: deque[object] = deque()
        self._is_handling = False
        self._wake = Flag()
        self._timer_due = float("inf")

    def post(self, event: object) -> None:
        """Pass an event to the cores and perform their actions."""
        self._event_queue.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._event_queue:
                self._handle_next(self._event_queue.popleft())
        finally:
            self._is_handling = False
        if self._next_due() < self._timer_due:
            self._wake.set()

    def _handle_next(self, event: object) -> None:
        """Handle one event; an unexpected error ends this event only, and is logged."""
        started = time.monotonic()
        try:
            self._handle(event)
        except Exception as error:
            log("internal_error", where=type(event).__name__, reason=repr(error))
        elapsed_s = time.monotonic() - started
        if elapsed_s >= STALL_S:
            log("loop_stalled", where=type(event).__name__, ms=round(elapsed_s * 1000))

    def run_timer(self) -> None:
        """Post a `Tick` whenever one is due; runs forever, as a separate task."""
        while True:
            self._wake.clear()
            self._timer_due = self._next_due()
            wait_s = self._timer_due - time.monotonic()
            if wait_s > 0:
                self._wake.wait(None if wait_s == float("inf") else wait_s)
            if time.monotonic() >= self._timer_due:
                self._timer_due = float("inf")
                self.post(Tick())

    def _next_due(self) -> float:
        due = self._cores_next_due()
        return float("inf") if due is None else due
