"""Which waiting attempts of a class go first at a server that is slow or overloaded.

Load: more attempts wait than can start in time, at the speed that the server has now. In order of
arrival each of them starts when it can just be in time, and misses its objective with the slightest
further delay. The newest one has the most time left, and whoever waited longest is lost either way.
"""

from collections import defaultdict

from pollenroad.guard.admission import USUAL_ORDER, AdmissionQueue, StartOrder, WaitingAttempt
from pollenroad.proxy.admission.activation import HIGHEST_RANK

MIN_SLOWDOWN = 1.2
"""Slowdown from which the newest goes first. At the usual speed, displacement leaves in the queue
only what can start in time. There, newest first made overtaken attempts wait longer for their
refusal: median 0.058 s instead of less than 0.05 s at three times the capacity."""


def start_order(queue: AdmissionQueue, slowdown: float, bound: int, now: float) -> StartOrder:
    """Return the order in which the waiting attempts start.

    Args:
        queue: The waiting attempts.
        slowdown: Present service time, as a multiple of the usual one.
        bound: Requests that may run at the server.
        now: Monotonic time in seconds.
    """
    order = StartOrder(slowdown)
    if slowdown < MIN_SLOWDOWN:
        return order
    work_ahead, newest_first = _WorkAhead(), set()
    for waiting in queue.in_order(now):
        starts_at = now + work_ahead.of_s(waiting) * slowdown / max(1, bound)
        if not order.is_late(waiting, now) and order.is_late(waiting, starts_at):
            newest_first.add(waiting.request_class.name)
        work_ahead.add(waiting)
    return StartOrder(slowdown, frozenset(newest_first))


def hopeless(
    queue: AdmissionQueue, order: StartOrder, bound: int, now: float
) -> list[WaitingAttempt]:
    """Return the attempts that could not start in time even if no other arrived.

    Args:
        queue: The waiting attempts.
        order: The order in which they start.
        bound: Requests that may run at the server.
        now: Monotonic time in seconds.
    """
    if not order.newest_first:
        return []
    work_ahead, found = _WorkAhead(), []
    for waiting in sorted(queue.in_order(now), key=lambda w: _key(w, order, now)):
        starts_at = now + work_ahead.of_s(waiting) * order.slowdown / max(1, bound)
        is_overloaded = waiting.request_class.name in order.newest_first
        is_lost = not order.is_late(waiting, now) and order.is_late(waiting, starts_at)
        if is_overloaded and is_lost and waiting.attempt.priority > HIGHEST_RANK:
            found.append(waiting)
        else:
            work_ahead.add(waiting)
    return found


def _key(waiting: WaitingAttempt, order: StartOrder, now: float) -> tuple:
    """Return the sort key of the attempts of all classes, in the order in which they start."""
    is_late = order.is_late(waiting, now)
    is_newest_first = not is_late and waiting.request_class.name in order.newest_first
    arrived = -waiting.arrived if is_newest_first else waiting.arrived
    worth = waiting.request_class.worth
    is_last = USUAL_ORDER.is_late(waiting, now) and not waiting.is_rank_first
    return is_last, -worth, is_late, waiting.work_octave(), arrived


class _WorkAhead:
    """Work that starts before an attempt; see `AdmissionQueue.work_ahead_s`."""

    def __init__(self):
        self._all_s = 0.0
        self._own_s_by_class: defaultdict[str, float] = defaultdict(float)

    def of_s(self, waiting: WaitingAttempt) -> float:
        share = waiting.request_class.guaranteed_share
        own_s = self._own_s_by_class[waiting.request_class.name]
        return min(self._all_s, own_s / share) if share else self._all_s

    def add(self, waiting: WaitingAttempt) -> None:
        self._all_s += waiting.work_s
        self._own_s_by_class[waiting.request_class.name] += waiting.work_s
