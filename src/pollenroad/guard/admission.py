"""Admission: which waiting attempt gets the next free slot, and which is refused early.

Attempts wait in one queue per request class. The class with the highest declared worth goes first;
classes of equal worth go by work, the shortest first, and then in order of arrival. Attempts that
can no longer meet their latency objective go last. A class with a guaranteed share takes precedence
while it uses less than its share of the slots. An attempt that is not expected to start in time is
refused immediately with the verdict "not run", the lowest worth first.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from pollenroad.messages import Attempt
from pollenroad.models import RequestClass

WAIT_SHARE = 0.25
"""Share of its remaining time that an attempt may wait for a slot. The rest lets it run here, or at
another endpoint after a refusal."""

SHARE_WINDOW_S = 1.0
"""Time constant of the moving average of slots in use, in seconds."""


@dataclass(frozen=True, slots=True)
class WaitingAttempt:
    """An attempt that waits for a slot; times are monotonic, in seconds."""

    peer: str
    attempt: Attempt
    request_class: RequestClass
    arrived: float
    deadline: float
    start_by: float
    """Latest time at which the attempt may start."""
    on_time_until: float = float("inf")
    """Latest start that is likely to meet the latency objective."""
    work_s: float = 0.0
    """Usual service time, in seconds; 0 if unknown."""
    is_rank_first: bool = False
    """Whether its worth decides before its latency objective, also against attempts on time."""

    def work_octave(self) -> int:
        """Return the usual service time as a power of two of milliseconds, rounded down."""
        return int(self.work_s * 1000).bit_length()


@dataclass(frozen=True, slots=True)
class StartOrder:
    """Conditions at the server that change the order of attempts of equal worth."""

    slowdown: float = 1.0
    """Present service time, as a multiple of the usual one."""
    newest_first: frozenset[str] = frozenset()
    """Classes of which the newest attempt that can be in time goes first."""

    def is_late(self, waiting: WaitingAttempt, now: float) -> bool:
        """Return whether an attempt that starts now misses its objective at the present speed."""
        return waiting.on_time_until - (self.slowdown - 1) * waiting.work_s < now


USUAL_ORDER = StartOrder()
"""Order at the usual speed, oldest first."""


def make_waiting(
    peer: str, attempt: Attempt, request_class: RequestClass, now: float, service_s: float
) -> WaitingAttempt:
    """Return an attempt that has just arrived, with its latest start.

    Args:
        peer: Peer address of the entry.
        attempt: The attempt, with its remaining time.
        request_class: Its class according to the document in force.
        now: Monotonic time in seconds.
        service_s: Expected service time, in seconds, which the wait must leave before the deadline.
    """
    remaining_s = attempt.remaining_ms / 1000
    wait_s = max(0.0, min(remaining_s * WAIT_SHARE, remaining_s - service_s))
    return WaitingAttempt(peer, attempt, request_class, now, now + remaining_s, now + wait_s)


@dataclass(slots=True)
class _SlotUsage:
    running: int = 0
    average: float = 0.0
    """Slots in use by the class, as a moving average over `SHARE_WINDOW_S`."""


class SlotShares:
    """Slots in use by each request class, current and averaged."""

    def __init__(self):
        self._usage_by_class: dict[str, _SlotUsage] = {}
        self._updated = 0.0

    def started(self, name: str, now: float) -> None:
        """Count a request of the class `name` that is sent to the server."""
        self._update_averages(now)
        self._usage_by_class.setdefault(name, _SlotUsage()).running += 1

    def ended(self, name: str, now: float) -> None:
        """Count a request of the class `name` that ended at the server."""
        self._update_averages(now)
        self._usage_by_class[name].running -= 1

    def shortfall(self, request_class: RequestClass, bound: int, now: float) -> float:
        """Return by how many slots a class is below its guaranteed share, at least 0."""
        self._update_averages(now)
        guaranteed = request_class.guaranteed_share * bound
        usage = self._usage_by_class.get(request_class.name) or _SlotUsage()
        if usage.running >= math.ceil(guaranteed):
            return 0.0
        return max(0.0, guaranteed - usage.average)

    def _update_averages(self, now: float) -> None:
        if now <= self._updated:
            return
        decay = math.exp((self._updated - now) / SHARE_WINDOW_S)
        self._updated = now
        for usage in self._usage_by_class.values():
            usage.average = usage.average * decay + usage.running * (1 - decay)


class AdmissionQueue:
    """Attempts that wait for a slot, by request class."""

    def __init__(self, shares: SlotShares):
        self._shares = shares
        self._waiting_by_class: dict[str, OrderedDict[str, WaitingAttempt]] = {}
        self._class_by_attempt: dict[str, str] = {}

    def __len__(self) -> int:
        return len(self._class_by_attempt)

    def add(self, waiting: WaitingAttempt) -> None:
        """Enqueue an attempt."""
        name = waiting.request_class.name
        attempt_id = waiting.attempt.attempt_id
        self._waiting_by_class.setdefault(name, OrderedDict())[attempt_id] = waiting
        self._class_by_attempt[attempt_id] = name

    def remove(self, attempt_id: str) -> WaitingAttempt | None:
        """Remove and return an attempt, or return None if it is not queued."""
        name = self._class_by_attempt.pop(attempt_id, None)
        if name is None:
            return None
        queue = self._waiting_by_class[name]
        waiting = queue.pop(attempt_id)
        if not queue:
            del self._waiting_by_class[name]
        return waiting

    def remove_if(self, condition: Callable[[Attempt], bool]) -> list[WaitingAttempt]:
        """Remove and return the attempts for which `condition` is true."""
        queues = self._waiting_by_class.values()
        found = [i for queue in queues for i, w in queue.items() if condition(w.attempt)]
        return [self.remove(attempt_id) for attempt_id in found]

    def clear(self) -> list[WaitingAttempt]:
        """Remove and return all attempts."""
        return [self.remove(attempt_id) for attempt_id in list(self._class_by_attempt)]

    def pop(self, bound: int, now: float) -> WaitingAttempt | None:
        """Remove and return the attempt to start next, or return None if none is queued."""
        waiting = self.peek(bound, now)
        return None if waiting is None else self.remove(waiting.attempt.attempt_id)

    def peek(
        self, bound: int, now: float, order: StartOrder = USUAL_ORDER
    ) -> WaitingAttempt | None:
        """Return the attempt to start next, or None if none is queued."""
        heads = [_head(queue, now, order) for queue in self._waiting_by_class.values()]
        if not heads:
            return None
        shortfalls = [
            (self._shares.shortfall(head.request_class, bound, now), head) for head in heads
        ]
        shortfall, below_share = max(shortfalls, key=lambda pair: pair[0])
        return (
            below_share
            if shortfall > 0
            else min(heads, key=lambda head: _priority_key(head, now, order))
        )

    def in_order(self, now: float) -> list[WaitingAttempt]:
        """Return all attempts, those that start first in front."""
        waiting = (w for queue in self._waiting_by_class.values() for w in queue.values())
        return sorted(waiting, key=lambda w: _priority_key(w, now))

    def count_ahead(self, waiting: WaitingAttempt, now: float) -> int:
        """Return how many attempts start before a new one."""
        key = _priority_key(waiting, now)
        return sum(_priority_key(other, now) < key for other in self.in_order(now))

    def count_of(self, name: str) -> int:
        """Return the number of attempts whose requests are of the class `name`, in all queues."""
        queues = self._waiting_by_class.values()
        return sum(w.attempt.request_class == name for queue in queues for w in queue.values())

    def work_s(self) -> float:
        """Return the usual service time of all attempts, in seconds."""
        return sum(w.work_s for queue in self._waiting_by_class.values() for w in queue.values())

    def work_ahead_s(self, waiting: WaitingAttempt, now: float) -> float:
        """Return the usual service time, in seconds, of all that starts before a new attempt.

        Of a class with a guaranteed share it is at most what its own attempts take in that share.
        """
        key = _priority_key(waiting, now)
        ahead = [w for q in self._waiting_by_class.values() for w in q.values()]
        ahead = [other for other in ahead if _priority_key(other, now) < key]
        work_s = sum(other.work_s for other in ahead)
        request_class = waiting.request_class
        if request_class.guaranteed_share:
            own_s = sum(w.work_s for w in ahead if w.request_class.name == request_class.name)
            work_s = min(work_s, own_s / request_class.guaranteed_share)
        return work_s

    def trim(self, bound: int, service_s: float, now: float) -> list[WaitingAttempt]:
        """Remove and return the attempts not expected to start in time.

        They are taken in order of worth, lowest first, and the newest of each class first.
        """
        return list(self._trim(bound, service_s, now))

    def _trim(self, bound: int, service_s: float, now: float) -> Iterator[WaitingAttempt]:
        for name in sorted(self._waiting_by_class, key=self._worth):
            while name in self._waiting_by_class:
                last = next(reversed(self._waiting_by_class[name].values()))
                if now + self.expected_wait_s(last, bound, service_s) <= last.start_by:
                    break
                yield self.remove(last.attempt.attempt_id)

    def _worth(self, name: str) -> float:
        return next(iter(self._waiting_by_class[name].values())).request_class.worth

    def expected_wait_s(self, waiting: WaitingAttempt, bound: int, service_s: float) -> float:
        """Return the expected time in seconds until the last attempt of its class starts.

        Args:
            waiting: The last queued attempt of its class.
            bound: Maximum number of requests in flight that the guard admits.
            service_s: Expected service time in seconds.
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


def _head(queue: OrderedDict[str, WaitingAttempt], now: float, order: StartOrder) -> WaitingAttempt:
    """Return the oldest attempt that can still meet its latency objective, or else the oldest.

    With strict order of arrival, every request served under overload would already be late. Of a
    class in `order.newest_first`, it is the newest one that can.
    """
    oldest = next(iter(queue.values()))
    is_newest_first = oldest.request_class.name in order.newest_first
    in_order = reversed(queue.values()) if is_newest_first else queue.values()
    for conditions in (order, USUAL_ORDER):
        on_time = (waiting for waiting in in_order if not conditions.is_late(waiting, now))
        if waiting := next(on_time, None):
            return waiting
        in_order = queue.values()
    return oldest


def _priority_key(
    waiting: WaitingAttempt, now: float, order: StartOrder = USUAL_ORDER
) -> tuple[bool, float, bool, int, float]:
    """Return the sort key of the attempts to start next.

    Of equal worth, short work goes first: it holds up the others least, and a call that a running
    request waits for is usually shorter than a request that has not begun. The present speed
    decides only between attempts of equal worth: a class with a short objective would otherwise go
    last while the server is slow, however urgent it is.
    """
    is_late_now = order.is_late(waiting, now)
    is_last = USUAL_ORDER.is_late(waiting, now) and not waiting.is_rank_first
    worth = waiting.request_class.worth
    return is_last, -worth, is_late_now, waiting.work_octave(), waiting.arrived
