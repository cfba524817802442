"""Admission: which waiting attempt gets the next free slot, and which is refused early.

Attempts wait by request class. The class of the highest stated worth goes first; classes of equal
worth go in order of arrival. A class with a guaranteed share goes before them while it uses less
than its share of the slots. An attempt that cannot expect to start in time is refused at once, as
not run, the lowest worth first.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from pollenroad.messages import Attempt
from pollenroad.models import RequestClass

QUEUE_SHARE = 0.25
"""Share of its remaining time that an attempt may wait for a slot, so that it can still run, or
be refused in time for another endpoint."""

SHARE_WINDOW_S = 1.0
"""Time constant over which the use of a guaranteed share is averaged, in seconds."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """An attempt that waits for a slot."""

    peer: str
    attempt: Attempt
    request_class: RequestClass
    arrived: float
    deadline: float
    start_by: float
    """Latest useful start, in monotonic seconds."""
    on_time_until: float = float("inf")
    """Latest start that is likely to meet the latency objective, in monotonic seconds."""


def make_waiting(
    peer: str, attempt: Attempt, request_class: RequestClass, now: float, service_s: float
) -> Waiting:
    """Make the waiting state of an attempt that has just arrived.

    Args:
        peer: Peer address of the entry.
        attempt: The attempt, with the time it has left.
        request_class: Its class by the document in force.
        now: Monotonic time in seconds.
        service_s: Service time to leave room for, in seconds.
    """
    remaining_s = attempt.remaining_ms / 1000
    wait_s = max(0.0, min(remaining_s * QUEUE_SHARE, remaining_s - service_s))
    return Waiting(peer, attempt, request_class, now, now + remaining_s, now + wait_s)


@dataclass(slots=True)
class _ShareUse:
    running: int = 0
    average: float = 0.0
    """Slots in use by the class, averaged over `SHARE_WINDOW_S`."""


class SlotShares:
    """Slots in use by each request class, now and on average."""

    def __init__(self):
        self._use_by_class: dict[str, _ShareUse] = {}
        self._updated = 0.0

    def started(self, name: str, now: float) -> None:
        """Count a request of the class `name` that was handed to the server."""
        self._advance(now)
        self._use_by_class.setdefault(name, _ShareUse()).running += 1

    def ended(self, name: str, now: float) -> None:
        """Count a request of the class `name` that left the server."""
        self._advance(now)
        self._use_by_class[name].running -= 1

    def lack(self, request_class: RequestClass, bound: int, now: float) -> float:
        """Return by how many slots a class is below its guaranteed share; 0 if it is not."""
        self._advance(now)
        due = request_class.guaranteed_share * bound
        use = self._use_by_class.get(request_class.name) or _ShareUse()
        if use.running >= math.ceil(due):
            return 0.0
        return max(0.0, due - use.average)

    def _advance(self, now: float) -> None:
        if now <= self._updated:
            return
        kept = math.exp((self._updated - now) / SHARE_WINDOW_S)
        self._updated = now
        for use in self._use_by_class.values():
            use.average = use.average * kept + use.running * (1 - kept)


class AdmissionQueue:
    """Attempts that wait for a slot, by request class."""

    def __init__(self, shares: SlotShares):
        self._shares = shares
        self._waiting_by_class: dict[str, OrderedDict[str, Waiting]] = {}
        self._class_by_attempt: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._class_by_attempt)

    def add(self, waiting: Waiting) -> None:
        """Let an attempt wait."""
        name = waiting.request_class.name
        attempt_id = waiting.attempt.attempt_id
        self._waiting_by_class.setdefault(name, OrderedDict())[attempt_id] = waiting
        self._class_by_attempt[attempt_id] = name

    def remove(self, attempt_id: str) -> Waiting | None:
        """Take an attempt out, or return None if it does not wait."""
        name = self._class_by_attempt.pop(attempt_id, None)
        if name is None:
            return None
        queue = self._waiting_by_class[name]
        waiting = queue.pop(attempt_id)
        if not queue:
            del self._waiting_by_class[name]
        return waiting

    def remove_if(self, condition: Callable[[Attempt], bool]) -> list[Waiting]:
        """Take out the attempts for which a condition holds."""
        queues = self._waiting_by_class.values()
        found = [i for queue in queues for i, w in queue.items() if condition(w.attempt)]
        return [self.remove(attempt_id) for attempt_id in found]

    def clear(self) -> list[Waiting]:
        """Take all attempts out."""
        return [self.remove(attempt_id) for attempt_id in list(self._class_by_attempt)]

    def take(self, bound: int, now: float) -> Waiting | None:
        """Take out the attempt that is to start next, or return None if none waits."""
        chosen = self.peek(bound, now)
        return None if chosen is None else self.remove(chosen.attempt.attempt_id)

    def peek(self, bound: int, now: float) -> Waiting | None:
        """Return the attempt that is to start next, or None if none waits."""
        heads = [_head(queue, now) for queue in self._waiting_by_class.values()]
        if not heads:
            return None
        lacks = [(self._shares.lack(head.request_class, bound, now), head) for head in heads]
        lack, owed = max(lacks, key=lambda pair: pair[0])
        return owed if lack > 0 else min(heads, key=lambda head: _turn(head, now))

    def trim(self, bound: int, service_s: float, now: float) -> list[Waiting]:
        """Take out every attempt that cannot expect to start in time, lowest worth first."""
        return list(self._unservable(bound, service_s, now))

    def _unservable(self, bound: int, service_s: float, now: float) -> Iterator[Waiting]:
        for name in sorted(self._waiting_by_class, key=self._worth):
            while name in self._waiting_by_class:
                last = next(reversed(self._waiting_by_class[name].values()))
                if now + self.expected_wait_s(last, bound, service_s) <= last.start_by:
                    break
                yield self.remove(last.attempt.attempt_id)

    def _worth(self, name: str) -> float:
        return next(iter(self._waiting_by_class[name].values())).request_class.worth

    def expected_wait_s(self, waiting: Waiting, bound: int, service_s: float) -> float:
        """Return the time in seconds until an attempt that waits last in its class may start.

        Args:
            waiting: The last attempt of its class.
            bound: Requests in flight that the guard admits.
            service_s: Usual service time in seconds.
        """
        request_class = waiting.request_class
        ahead = sum(
            len(queue)
            for name, queue in self._waiting_by_class.items()
            if self._worth(name) >= request_class.worth
        )
        wait_s = ahead * service_s / bound
        if request_class.guaranteed_share:
            own = len(self._waiting_by_class[request_class.name])
            wait_s = min(wait_s, own * service_s / (bound * request_class.guaranteed_share))
        return wait_s


def _head(queue: OrderedDict[str, Waiting], now: float) -> Waiting:
    """Return the oldest attempt that can still meet its objective, or else the oldest of all.

    Under overload an order of arrival alone would serve nothing but requests that are late.
    """
    on_time = (waiting for waiting in queue.values() if waiting.on_time_until >= now)
    return next(on_time, None) or next(iter(queue.values()))


def _turn(waiting: Waiting, now: float) -> tuple[bool, float, float]:
    return (waiting.on_time_until < now, -waiting.request_class.worth, waiting.arrived)
