"""Overload: which attempts a server's queue cannot start in time, and when callers may return.

Answers the load in which more work arrives at a server than it finishes, for longer than requests
can wait. All servers of the service are then busy, and their queues stay full. An attempt that
would be refused after its whole wait is refused on arrival: another server, or the caller after a
pause, gets that time. The throughput is the same, since the queue still holds as much work as can
be started within the wait.
"""

import random

MIN_RETURN_S = 0.3
"""Shortest pause of a caller, in seconds."""

MAX_RETURN_S = 3.0
"""Longest pause of a caller because of a server's stated limit, in seconds: it may end any time."""

RETURN_SPREAD = 0.25
"""Random deviation of the pause, as a share of it: callers that were refused together would
otherwise return together."""


def shortest_wait_s(work_ahead_s: float, slots: int) -> float:
    """Return the shortest wait for a slot, in seconds, if the server runs at its usual speed.

    Args:
        work_ahead_s: Service time of the attempts that start earlier, in seconds.
        slots: Requests that the server runs at once.
    """
    return work_ahead_s / max(1, slots)


def cannot_start(work_ahead_s: float, slots: int, longest_wait_s: float) -> bool:
    """Return whether an attempt cannot start within its longest wait, even at the usual speed."""
    return shortest_wait_s(work_ahead_s, slots) > max(0.0, longest_wait_s)


def return_after_limit_s(token_wait_s: float, rng: random.Random) -> float:
    """Return after which pause a caller finds room within a server's stated limit, in seconds.

    Args:
        token_wait_s: Time until the attempts that are queued have started and there is room for
            one more, in seconds.
        rng: Random source of the deviation.
    """
    pause_s = min(MAX_RETURN_S, max(MIN_RETURN_S, token_wait_s))
    return pause_s * rng.uniform(1 - RETURN_SPREAD, 1 + RETURN_SPREAD)


def return_after_s(
    queued_work_s: float, slots: int, rng: random.Random, shortest_s: float = MIN_RETURN_S
) -> float:
    """Return after which pause a caller finds the work that is queued now started, in seconds."""
    pause_s = max(shortest_s, shortest_wait_s(queued_work_s, slots))
    return pause_s * rng.uniform(1 - RETURN_SPREAD, 1 + RETURN_SPREAD)
