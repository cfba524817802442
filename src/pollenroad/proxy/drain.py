"""Times of a planned stop: until when a daemon accepts requests, and when it ends.

Callers still send requests until they notice that the daemon is not ready. One that is accepted
must be able to end in time: it may have run when it is cut off, and its caller cannot tell.
"""

from dataclasses import dataclass

READINESS_DELAY_S = 2.2
"""Time after a stop request in which callers still send requests, in seconds: they poll readiness
once a second and stop sending after the second failed check."""

ACCEPT_SHARE = 0.45
"""Share of the time between SIGTERM and SIGKILL in which every request is accepted, also one whose
timeout is later than the end. The rest is reserved for requests in flight."""

ACCEPT_MAX_S = 2.7
"""Longest such time, in seconds: most callers have stopped sending before."""

DRAIN_SHARE = 0.9
"""Share of the time between SIGTERM and SIGKILL after which the daemon ends even with requests in
flight."""

LAST_ANSWERS_S = 0.4
"""Time before the end in which the last answers are sent, in seconds. What arrives meanwhile, also
from the accept queue, is refused as not run."""

EXIT_SHARE = 0.97
"""Share of the time between SIGTERM and SIGKILL after which no more answers are sent."""

ANSWER_MARGIN_S = 0.1
"""Time between a request's own end and that of the drain for which it is accepted, in seconds."""


@dataclass(frozen=True, slots=True)
class DrainPlan:
    """Times of one planned stop, in monotonic seconds."""

    idle_from: float
    """From when on the daemon ends as soon as no request is in flight."""
    accept_until: float
    """Until when every request is accepted."""
    cut_at: float
    """When requests in flight are answered by the daemon itself."""
    exit_at: float
    """When the daemon ends at the latest."""

    def accepts(self, longest_s: float, now: float) -> bool:
        """Return whether to accept a request that ends after `longest_s` seconds at the latest."""
        return now < self.accept_until or now + longest_s + ANSWER_MARGIN_S <= self.cut_at

    def last_answers_s(self, now: float) -> float:
        """Return for how long the last answers are sent, in seconds."""
        return max(0.0, min(LAST_ANSWERS_S, self.exit_at - now))


def make_drain_plan(started: float, grace_s: float) -> DrainPlan:
    """Return the times of a stop that started at `started`, with `grace_s` until SIGKILL."""
    return DrainPlan(
        idle_from=started + READINESS_DELAY_S,
        accept_until=started + min(ACCEPT_MAX_S, ACCEPT_SHARE * grace_s),
        cut_at=started + DRAIN_SHARE * grace_s,
        exit_at=started + EXIT_SHARE * grace_s,
    )
