"""Repeated and late hand-over of attempts: what a guard must recognise.

An attempt states how long it has left, counted from its sending. A frame that waited, in a socket
buffer while the guard's process was paused or in a network that was cut, states too much. Clocks of
VMs are not compared; what counts is how much later a frame came than the quickest frame of the same
entry.
"""

from collections import OrderedDict, deque

from pollenroad.messages import Attempt

SEEN_MIN_S = 30.0
"""Shortest time for which an attempt id is remembered, in seconds."""

SEEN_FACTOR = 2.0
"""Time for which an attempt id is remembered, as a multiple of the longest deadline."""

SEEN_MAX = 100_000
"""Attempt ids remembered at most. A guard that is full answers no new attempt: it could not tell
whether it has refused it before, and forgets none early."""

DELAY_WINDOW_S = 3.0
"""Time after which the quickest delay of an entry is learnt anew, in seconds. The clock of a VM
stands still while it is suspended: its entry's attempts look old for two such windows at most."""

PAUSE_S = 0.35
"""Time without any event from which this process is taken to have been paused, in seconds. A guard
with a document in force has one each tenth of a second."""

DOUBT_S = 0.5
"""Time after a pause in which attempts of unknown entries are taken to be as old as the pause, in
seconds: by then the socket buffers have been read."""

MAX_ENTRIES = 2_000
"""Entries whose delays are remembered, the most recent ones."""


class SeenAttempts:
    """Ids of the attempts that a guard has seen, for longer than any of them may be handed over."""

    def __init__(self):
        self._expiry_by_id: dict[str, float] = {}
        self._expiries = deque()

    def __contains__(self, attempt_id: str) -> bool:
        return attempt_id in self._expiry_by_id

    def is_full(self, now: float) -> bool:
        """Tell whether no further id can be remembered."""
        self._expire(now)
        return len(self._expiry_by_id) >= SEEN_MAX

    def add(self, attempt_id: str, longest_s: float, now: float) -> None:
        """Remember an attempt id.

        Args:
            attempt_id: The id.
            longest_s: Longest deadline of any class, in seconds.
            now: Monotonic time in seconds.
        """
        if attempt_id in self._expiry_by_id or self.is_full(now):
            return
        expiry = now + max(SEEN_MIN_S, longest_s * SEEN_FACTOR)
        self._expiry_by_id[attempt_id] = expiry
        self._expiries.append((expiry, attempt_id))

    def _expire(self, now: float) -> None:
        while self._expiries and self._expiries[0][0] <= now:
            _, attempt_id = self._expiries.popleft()
            self._expiry_by_id.pop(attempt_id, None)


class _Delay:
    """The quickest apparent delay of one entry, over this window and the last one with attempts."""

    def __init__(self, delay_s: float, now: float):
        self._current_s = delay_s
        self._previous_s = delay_s
        self._window_end = now + DELAY_WINDOW_S

    def quickest_s(self, delay_s: float, now: float) -> float:
        if now >= self._window_end:
            self._previous_s = self._current_s
            self._current_s = delay_s
            self._window_end = now + DELAY_WINDOW_S
        self._current_s = min(self._current_s, delay_s)
        return min(self._current_s, self._previous_s)


class HandOverAges:
    """How long attempts were under way, beyond the quickest of the same entry."""

    def __init__(self):
        self._delay_by_entry: OrderedDict[str, _Delay] = OrderedDict()
        self._last_awake = 0.0
        self._woke = 0.0
        self._pause_s = 0.0

    def awake(self, now: float) -> None:
        """Note that this process runs at `now`, and whether it was paused before."""
        idle_s = now - self._last_awake
        if self._last_awake and idle_s > PAUSE_S:
            self._woke = now
            self._pause_s = idle_s
        self._last_awake = now

    def age_s(self, attempt: Attempt, now: float) -> float:
        """Return for how long an attempt was under way, in seconds, at least.

        An entry that is not known yet may have sent the attempt before or during a pause of this
        process; for a while after one its attempts are taken to be as old as the pause was long.
        """
        if not attempt.sent_ms:
            return self._age_after_pause_s(now)
        entry = attempt.attempt_id.rpartition("-")[0]
        delay_s = now - attempt.sent_ms / 1000
        known = self._delay_by_entry.get(entry)
        if known is None:
            self._remember(entry, _Delay(delay_s, now))
            return self._age_after_pause_s(now)
        self._delay_by_entry.move_to_end(entry)
        return delay_s - known.quickest_s(delay_s, now)

    def _age_after_pause_s(self, now: float) -> float:
        return self._pause_s if now - self._woke < DOUBT_S else 0.0

    def _remember(self, entry: str, delay: _Delay) -> None:
        self._delay_by_entry[entry] = delay
        if len(self._delay_by_entry) > MAX_ENTRIES:
            self._delay_by_entry.popitem(last=False)
