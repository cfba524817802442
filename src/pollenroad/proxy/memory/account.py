"""Core of the account of held bytes: which messages may be read now, and which must wait.

Load: clients that upload or request messages of up to 9 MiB, more of them at once than a VM of
200 MB can hold, and that may read nothing.

A message passes through up to four purposes in the order of `Purpose`, and its bytes at one are
released only when the next has taken it over. Each purpose therefore leaves room for one of the
longest messages at every later one: the last purpose always drains, since slow callers are closed,
and so do the others in turn. No cycle of daemons can wait for each other.
"""

from collections import Counter, deque
from dataclasses import dataclass
from enum import StrEnum

from pollenroad.messages import Request, Response

SMALL_MESSAGE_BYTES = 65_536
"""Length up to which a message uses the reserved part for small ones, in bytes."""

LONGEST_MESSAGE_BYTES = 9_437_184
"""Longest message, in bytes: that of a frame between daemons."""

FIELD_BYTES = 200
"""Memory that a field of a head takes besides its octets, in bytes."""

RATE_WINDOW_S = 5.0
"""Time over which the rate of released bytes is observed, in seconds."""

MIN_OBSERVED_S = 1.0
"""Shortest time over which it is observed, in seconds."""

MIN_RETRY_S, MAX_RETRY_S = 0.1, 5.0
"""Bounds on the Retry-After of a message for which there is no space, in seconds."""

DEFAULT_RETRY_S = 0.5
"""Retry-After while the rate is not known, in seconds."""

ESTIMATE_TOLERANCE = 2.0
"""A message is refused without a wait if its estimated wait is this many times its time: the rate
of released bytes varies with the lengths of messages."""


class Purpose(StrEnum):
    """What bytes are held for, in the order in which messages pass from one to the next."""

    ENTRY_REQUESTS = "entry_requests"
    """Requests of callers, until they are answered or sent to another daemon."""
    GUARD_REQUESTS = "guard_requests"
    """Requests from other daemons for the server on this VM."""
    GUARD_RESPONSES = "guard_responses"
    """Responses of that server, until they are sent to the daemon that asked."""
    ENTRY_RESPONSES = "entry_responses"
    """Responses that wait for their caller."""


PURPOSES = tuple(Purpose)


def message_bytes(message: Request | Response) -> int:
    """Return how many bytes a message takes, with its head."""
    fields = sum(FIELD_BYTES + len(name) + len(value) for name, value in message.headers)
    return fields + len(message.body)


@dataclass(frozen=True, slots=True)
class AccountLimits:
    """Most bytes that are held at once."""

    long_bytes: int = 54_525_952
    """Bytes of messages over `SMALL_MESSAGE_BYTES`."""
    small_bytes: int = 8_388_608
    """Bytes of all other messages, and of frames queued for peers."""


@dataclass(eq=False, slots=True)
class Ticket:
    """A message that waits for space."""

    purpose: Purpose
    count: int
    is_granted: bool = False


class _ReleaseRate:
    """Rate at which bytes are released while messages wait for them."""

    def __init__(self):
        self._start = 0.0
        self._releases: deque[tuple[float, int]] = deque()

    def restart(self, now: float) -> None:
        """Start anew: what was released while there was space does not tell how fast it drains."""
        self._start = now
        self._releases.clear()

    def add(self, count: int, now: float) -> None:
        self._releases.append((now, count))
        self._drop_old(now)

    def per_s(self, now: float) -> float:
        """Return the bytes released per second, or 0 if too little was observed."""
        self._drop_old(now)
        observed_s = min(RATE_WINDOW_S, now - self._start)
        if observed_s < MIN_OBSERVED_S:
            return 0.0
        return sum(count for _, count in self._releases) / observed_s

    def _drop_old(self, now: float) -> None:
        while self._releases and self._releases[0][0] < now - RATE_WINDOW_S:
            self._releases.popleft()


class Account:
    """Bytes held by one daemon, and the messages that wait for space."""

    def __init__(self, limits: AccountLimits):
        self.limits = limits
        self.long_by_purpose: Counter[Purpose] = Counter()
        self.small_by_purpose: Counter[Purpose] = Counter()
        self.queued_bytes = 0
        """Bytes of frames that are queued for peers; part of the small messages."""
        self._waiting_by_purpose: dict[Purpose, deque[Ticket]] = {p: deque() for p in PURPOSES}
        self._rate = _ReleaseRate()

    @property
    def held_bytes(self) -> int:
        """Bytes held for all purposes."""
        return self.long_by_purpose.total() + self.small_bytes

    @property
    def small_bytes(self) -> int:
        """Bytes of small messages and of queued frames."""
        return self.small_by_purpose.total() + self.queued_bytes

    @property
    def is_small_full(self) -> bool:
        """Whether the part for small messages is used up."""
        return self.small_bytes > self.limits.small_bytes

    @property
    def has_waiting(self) -> bool:
        """Whether a message waits for space."""
        return any(self._waiting_by_purpose.values())

    # --- Long messages ---

    def most_bytes(self, purpose: Purpose) -> int:
        """Return how many bytes all purposes up to this one may use together."""
        later = len(PURPOSES) - 1 - PURPOSES.index(purpose)
        return self.limits.long_bytes - later * LONGEST_MESSAGE_BYTES

    def try_acquire(self, purpose: Purpose, count: int) -> bool:
        """Take space for a long message; return False, and take none, if it has to wait."""
        if self._waiting_by_purpose[purpose] or not self._fits(purpose, count):
            return False
        self.long_by_purpose[purpose] += count
        return True

    def is_hopeless(self, purpose: Purpose, count: int, time_s: float, now: float) -> bool:
        """Return whether a message can be known to get no space within `time_s` seconds."""
        if count > self.most_bytes(purpose):
            return True
        rate = self._rate.per_s(now)
        return rate > 0 and self._missing(purpose, count) / rate > ESTIMATE_TOLERANCE * time_s

    def wait(self, purpose: Purpose, count: int, now: float) -> Ticket:
        """Add a message to those that wait for space, in order of arrival for each purpose."""
        if not self.has_waiting:
            self._rate.restart(now)
        ticket = Ticket(purpose, count)
        self._waiting_by_purpose[purpose].append(ticket)
        return ticket

    def withdraw(self, ticket: Ticket, now: float) -> list[Ticket]:
        """End a wait and return space that was granted; return the tickets granted thereby."""
        if ticket.is_granted:
            return self.release(ticket.purpose, ticket.count, now)
        self._waiting_by_purpose[ticket.purpose].remove(ticket)
        return self._grant()

    def release(self, purpose: Purpose, count: int, now: float) -> list[Ticket]:
        """Return space of a long message; return the tickets granted thereby."""
        self.long_by_purpose[purpose] -= count
        self._rate.add(count, now)
        return self._grant()

    def move(self, old: Purpose, new: Purpose, count: int) -> list[Ticket]:
        """Move a held message to a later purpose; return the tickets granted thereby."""
        self.long_by_purpose[old] -= count
        self.long_by_purpose[new] += count
        return self._grant()

    def retry_after_s(self, purpose: Purpose, count: int, now: float) -> float:
        """Return after how many seconds space is expected for a message that does not fit now."""
        rate = self._rate.per_s(now)
        wait_s = self._missing(purpose, count) / rate if rate else DEFAULT_RETRY_S
        return min(MAX_RETRY_S, max(MIN_RETRY_S, wait_s))

    @property
    def needs_callers_closed(self) -> bool:
        """Whether bytes of responses that wait for callers keep back another message."""
        if self.is_small_full:
            return True
        heads = [waiting[0] for waiting in self._waiting_by_purpose.values() if waiting]
        held = self.long_by_purpose[Purpose.ENTRY_RESPONSES]
        return any(
            not self._fits(head.purpose, head.count) and self._fits(head.purpose, head.count, held)
            for head in heads
        )

    def _fits(self, purpose: Purpose, count: int, freed_responses: int = 0) -> bool:
        return self._missing_for(purpose, count, freed_responses) <= 0

    def _missing_for(self, purpose: Purpose, count: int, freed_responses: int = 0) -> int:
        """Return how many bytes must be released before `count` more fit; below 1 if they do."""
        used, missing = 0, -self.limits.long_bytes
        first = PURPOSES.index(purpose)
        for index, each in enumerate(PURPOSES):
            used += self.long_by_purpose[each]
            if each is Purpose.ENTRY_RESPONSES:
                used -= freed_responses
            if index >= first:
                missing = max(missing, used + count - self.most_bytes(each))
        return missing

    def _missing(self, purpose: Purpose, count: int) -> int:
        ahead = sum(ticket.count for ticket in self._waiting_by_purpose[purpose])
        return max(0, self._missing_for(purpose, count + ahead))

    def _grant(self) -> list[Ticket]:
        """Grant space to waiting messages, those of the last purpose first."""
        granted = []
        for purpose in reversed(PURPOSES):
            waiting = self._waiting_by_purpose[purpose]
            while waiting and self._fits(purpose, waiting[0].count):
                ticket = waiting.popleft()
                ticket.is_granted = True
                self.long_by_purpose[purpose] += ticket.count
                granted.append(ticket)
        return granted

    # --- Small messages ---

    def try_small(self, purpose: Purpose, count: int) -> bool:
        """Take space of the part for small messages; return False if it has none left."""
        if self.small_bytes + count > self.limits.small_bytes:
            return False
        self.small_by_purpose[purpose] += count
        return True

    def add_small(self, purpose: Purpose, count: int) -> None:
        """Count a small message that has been read; a negative count returns its bytes."""
        self.small_by_purpose[purpose] += count
