"""Which waiting attempts of a guard an arriving one displaces.

Load: more work than the server can do, so that its queue is as long as can start in time. An
attempt that arrives and starts before others leaves some of those without a slot in time. They are
refused at once instead of after their wait, those first whose refusal costs callers least. What can
still start is not refused, so that the slots stay as busy as before.
"""

from collections import defaultdict

from pollenroad.guard.admission import AdmissionQueue, WaitingAttempt
from pollenroad.proxy.overload import cannot_start


def refusal_cost(waiting: WaitingAttempt, now: float) -> tuple[int, bool, int, int]:
    """Return the sort key of the cost of a refusal, the lowest first.

    A higher rank costs more, then one that can still meet its objective, then shorter work, because
    a long request frees more, then one on which an attempt has already been spent.
    """
    attempt = waiting.attempt
    is_on_time = waiting.on_time_until >= now
    return -attempt.priority, is_on_time, -waiting.work_octave(), attempt.number


def displaced(queue: AdmissionQueue, slots: int, now: float) -> list[WaitingAttempt]:
    """Remove and return the attempts that cannot start in time, even at the usual speed.

    After each removal the others are tested again, since some of them may then start in time.
    """
    removed = []
    while late := _late(queue.in_order(now), slots, now):
        cheapest = min(late, key=lambda w: refusal_cost(w, now))
        removed.append(queue.remove(cheapest.attempt.attempt_id))
    return removed


def _late(in_order: list[WaitingAttempt], slots: int, now: float) -> list[WaitingAttempt]:
    """Return the attempts that cannot start in time; see `AdmissionQueue.work_ahead_s`."""
    late, ahead_s, own_s_by_class = [], 0.0, defaultdict(float)
    for waiting in in_order:
        request_class = waiting.request_class
        wait_work_s = ahead_s
        if request_class.guaranteed_share:
            own_s = own_s_by_class[request_class.name] / request_class.guaranteed_share
            wait_work_s = min(ahead_s, own_s)
        if cannot_start(wait_work_s, slots, waiting.start_by - now):
            late.append(waiting)
        ahead_s += waiting.work_s
        own_s_by_class[request_class.name] += waiting.work_s
    return late
