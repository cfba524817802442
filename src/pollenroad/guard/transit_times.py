"""Repeated attempts, and transit times of attempts from an entry to the guard.

An attempt states its remaining time as of when it was sent. This is too much if its frame was
delayed, in a socket buffer while the guard's process was paused or by a network partition. Clocks
of different VMs are never compared: the transit time is how much later a frame came than the
fastest recent frame of the same entry. Only what is certain shortens an attempt; what is merely
possible can have it refused as not run, so that it is sent elsewhere.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass

from pollenroad.messages import Attempt

SEEN_MIN_S = 30.0
"""Minimum time for which an attempt id is remembered, in seconds."""

SEEN_FACTOR = 2.0
"""Time for which an attempt id is remembered, in multiples of the longest deadline."""

SEEN_MAX = 100_000
"""Maximum number of remembered attempt ids. At the maximum, new attempts get no answer: ids are not
dropped early, and without its id a repeated attempt could not be recognised."""

DELAY_WINDOW_S = 3.0
"""Window of the minimum delay of an entry, in seconds. If the clock of an entry has jumped, its
attempts seem delayed for at most two windows."""

MAX_DRIFT = 0.001
"""Most by which two clocks may drift apart, in seconds per second. The kernel slews a clock by up
to half of it."""

PAUSE_S = 0.25
"""Delay of a timer above which this process is considered to have been paused, in seconds."""

BACKLOG_READ_S = 0.5
"""Time after a pause for which attempts of unknown entries may have been in transit during the
pause, in seconds. By then the socket buffers have been read."""

MAX_ENTRIES = 2_000
"""Maximum number of entries whose delays are remembered, the most recent ones."""


class SeenAttempts:
    """Ids of attempts seen by a guard, kept for longer than an attempt can be repeated."""

    def __init__(self):
        self._expiry_by_id: dict[str, float] = {}
        self._expiries = deque()

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self._expiry_by_id

    def is_full(self, now: float) -> bool:
        """Return whether the maximum number of ids is reached."""
        self._expire(now)
        return len(self._expiry_by_id) >= SEEN_MAX

    def add(self, attempt_id: str, max_deadline_s: float, now: float) -> None:
        """Remember an attempt id.

        Args:
            attempt_id: The id.
            max_deadline_s: Longest deadline of any class, in seconds.
            now: Monotonic time in seconds.
        """
        if attempt_id in self._expiry_by_id or self.is_full(now):
            return
        expiry = now + max(SEEN_MIN_S, max_deadline_s * SEEN_FACTOR)
        self._expiry_by_id[attempt_id] = expiry
        self._expiries.append((expiry, attempt_id))

    def _expire(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            _, attempt_id = self._expiries.popleft()
            self._expiry_by_id.pop(attempt_id, None)


@dataclass(frozen=True, slots=True)
class Transit:
    """Bounds of the time that an attempt was in transit, in seconds."""

    least_s: float = 0.0
    most_s: float = 0.0
    """Greater than the lower bound only if a pause of this process leaves it open."""


class _MinimumDelay:
    """Minimum delay of one entry, in the current window and the last one with attempts.

    A delay is the time of arrival minus the time of sending, on clocks with an unknown offset.
    """

    def __init__(self, delay_s: float, now: float):
        self._current = self._previous = (delay_s, now)
        self._window_end = now + DELAY_WINDOW_S

    def excess_s(self, delay_s: float, now: float) -> float:
        """Return by how much a delay exceeds the minimum for certain, given the clocks' drift."""
        newest = (delay_s, now)
        if now >= self._window_end:
            self._previous, self._current = self._current, newest
            self._window_end = now + DELAY_WINDOW_S
        self._current = min(self._current, newest)
        minima = (self._current, self._previous)
        return max(0.0, *(delay_s - s - _drift_s(now - at) for s, at in minima))


def _drift_s(age_s: float) -> float:
    """Return by how much two clocks may have drifted apart, in seconds; 0 for a short time."""
    return MAX_DRIFT * max(0.0, age_s - 2 * DELAY_WINDOW_S)


class TransitTimes:
    """Transit times of attempts, in excess of the fastest recent one of the same entry."""

    def __init__(self):
        self._delay_by_entry: OrderedDict[str, _MinimumDelay] = OrderedDict()
        self._last_event: float | None = None
        self._pause_ended = float("-inf")
        self._pause_s = 0.0

    def observe_pause(self, timer_due: float | None, now: float) -> None:
        """Record that this process runs, and detect a pause before it.

        Time without events is no pause: an idle process waits for its next timer.

        Args:
            timer_due: When the next timer was due, in monotonic seconds; None if none was set.
            now: Monotonic time in seconds.
        """
        last_event, self._last_event = self._last_event, now
        if last_event is None or timer_due is None:
            return
        if now - max(timer_due, last_event) > PAUSE_S:
            self._pause_ended = now
            self._pause_s = now - last_event

    def transit(self, attempt: Attempt, now: float, suspended_s: float = 0.0) -> Transit:
        """Return the bounds of the time that an attempt was in transit, as far as they are known.

        The first attempt of an entry may have been sent at any time before or during a pause of
        this process, so that for `BACKLOG_READ_S` after a pause only its upper bound is known.

        Args:
            attempt: The attempt.
            now: Monotonic time in seconds.
            suspended_s: Time for which this VM was suspended so far, in seconds.
        """
        if not attempt.sent_ms:
            return self._transit_after_pause(now)
        entry = attempt.attempt_id.rpartition("-")[0]
        delay_s = now + suspended_s - attempt.sent_ms / 1000
        minimum = self._delay_by_entry.get(entry)
        if minimum is None:
            self._remember(entry, _MinimumDelay(delay_s, now))
            return self._transit_after_pause(now)
        self._delay_by_entry.move_to_end(entry)
        excess_s = minimum.excess_s(delay_s, now)
        return Transit(excess_s, excess_s)

    def _transit_after_pause(self, now: float) -> Transit:
        is_recent = now - self._pause_ended < BACKLOG_READ_S
        return Transit(most_s=self._pause_s) if is_recent else Transit()

    def _remember(self, entry: str, delay: _MinimumDelay) -> None:
        self._delay_by_entry[entry] = delay
        if len(self._delay_by_entry) > MAX_ENTRIES:
            self._delay_by_entry.popitem(last=False)
