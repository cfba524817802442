"""Core: which callers do not read their responses, and which of them is closed for memory.

Load: callers outside anyone's control that request long responses and read them slowly or not at
all, each for up to 8 MiB a request, with up to 64 pipelined requests.
"""

from collections.abc import Iterable
from dataclasses import dataclass

STALL_S = 10.0
"""Time in which a caller must take `MIN_TAKEN_BYTES` of a response, in seconds."""

MIN_TAKEN_BYTES = 10_240
"""Bytes that a caller must take in each `STALL_S`: 1 KiB a second."""

MIN_HELD_S = 1.0
"""Shortest time for which a caller has had a response to read before it is closed for memory, in
seconds: 8 MiB take 0.7 s at 100 Mbit/s."""


@dataclass(frozen=True, slots=True)
class UnreadResponses:
    """Responses that wait for one caller."""

    connection_id: int
    held_bytes: int
    since: float
    """When the oldest of them was ready, in monotonic seconds."""


def choose_caller(unread: Iterable[UnreadResponses], now: float) -> int | None:
    """Return the connection to close when memory is needed, or None if none qualifies.

    It is the one that holds the most bytes for the longest, as the product of both.
    """
    candidates = [each for each in unread if each.held_bytes and now - each.since >= MIN_HELD_S]
    if not candidates:
        return None
    return max(candidates, key=lambda each: each.held_bytes * (now - each.since)).connection_id


class ReadingProgress:
    """Whether a caller takes enough of its responses.

    Args:
        now: Start of the first window, in monotonic seconds.
    """

    def __init__(self, now: float):
        self._window_start, self._taken_at_start = now, 0

    def is_stalled(self, taken_bytes: int, now: float) -> bool:
        """Return whether the window ended with too little progress.

        Args:
            taken_bytes: Bytes that the caller's system has acknowledged so far.
            now: Current time, in monotonic seconds.
        """
        if taken_bytes - self._taken_at_start >= MIN_TAKEN_BYTES:
            self._window_start, self._taken_at_start = now, taken_bytes
            return False
        return now - self._window_start >= STALL_S
