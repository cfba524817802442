"""What one entry knows of one endpoint, from its own attempts and from load reports.

Nothing here is a fact about the present: reports are stale when read, so each estimate falls back
to an average as it ages, and what the entry sees by itself counts at once. An attempt that is
still open tells more than one that has ended, because its age is a lower bound of its latency.
"""

import math
from dataclasses import dataclass, field

from pollenroad.messages import LoadReport
from pollenroad.models import Endpoint

LATENCY_WEIGHT = 0.3
"""Weight of the newest latency in the average of an endpoint."""

LATENCY_CLIP = 6.0
"""A latency counts as at most this multiple of the typical one, so that one pause is forgotten."""

OTHERS_WEIGHT = 0.1
"""Weight of the newest report in the average of what other entries have in flight."""

FAILURE_WEIGHT = 0.3
"""Weight of the newest outcome in the failure share."""

RECOVERY_S = 1.0
"""Time constant in seconds with which a bad average fades while nothing new is learned."""

MAX_STRIKES = 4
"""Doublings of `RECOVERY_S` for an endpoint whose trials keep failing."""

OUT_S = 5.0
"""Seconds without a report after which an endpoint that was leaving gets a trial."""

SEQUENCE_S = 1.0
"""Seconds for which an older sequence number is told from that of a restarted guard."""

MIN_STALL_S = 0.05
"""Shortest time in seconds that an endpoint stays suspect after an overdue attempt."""

MAX_STALL_S = 1.0
"""Longest time in seconds that an endpoint stays suspect without a new overdue attempt."""

OUT_STATES = frozenset({"draining", "out"})
"""States of a report in which the endpoint takes no new work."""


@dataclass(slots=True)
class EndpointLoad:
    """Estimates of one endpoint's load, latency and health."""

    endpoint: Endpoint
    bound: int
    """Requests in flight that its guard admits, as last reported."""
    state: str = "serving"
    overdue_at_by_attempt: dict[str, float] = field(default_factory=dict)
    """Open attempts of this entry, with the time from which each is late."""
    latency_s: float = 0.0
    """Average latency in seconds; 0 while unknown."""
    _learned_at: float = 0.0
    _strikes: int = 0
    _failure: float = 0.0
    _others: float = 0.0
    _others_mean: float = 0.0
    _reported_at: float = -math.inf
    _sequence: int = 0
    _stalled_at: float = math.inf
    _stalled_until: float = -math.inf
    _out_until: float = -math.inf

    @property
    def own_in_flight(self) -> int:
        """Attempts of this entry that are open at the endpoint."""
        return len(self.overdue_at_by_attempt)

    # --- What is learned ---

    def sent(self, attempt_id: str, overdue_at: float) -> None:
        """Count an attempt that is late from `overdue_at` on."""
        self.overdue_at_by_attempt[attempt_id] = overdue_at

    def answered(self, attempt_id: str, latency_s: float, typical_s: float, now: float) -> None:
        """Count a whole answer after `latency_s`, where `typical_s` is usual for its class."""
        self.overdue_at_by_attempt.pop(attempt_id, None)
        self._clear_stall()
        sample_s = min(latency_s, LATENCY_CLIP * typical_s) if typical_s else latency_s
        before_s = self.latency_s
        self.latency_s += LATENCY_WEIGHT * (sample_s - before_s) if before_s else sample_s
        self._strike(bool(typical_s) and sample_s > 2 * typical_s, now)
        self._failure -= FAILURE_WEIGHT * self._failure
        self._learned_at = now

    def failed(self, attempt_id: str, now: float) -> None:
        """Count a failure; however fast it came, it teaches nothing about latency."""
        self.overdue_at_by_attempt.pop(attempt_id, None)
        self._failure += FAILURE_WEIGHT * (1.0 - self._failure)
        self._strike(True, now)
        self._learned_at = now

    def refused(self, attempt_id: str) -> None:
        """Count a refusal; the report that came with it tells the rest."""
        self.overdue_at_by_attempt.pop(attempt_id, None)

    def cancelled(self, attempt_id: str, now: float) -> None:
        """Count an attempt that this entry gave up; if it was late, the suspicion stays."""
        overdue_at = self.overdue_at_by_attempt.pop(attempt_id, math.inf)
        if overdue_at < now:
            self._stalled_at = min(self._stalled_at, overdue_at)
            stall_s = min(MAX_STALL_S, max(MIN_STALL_S, 2 * (now - self._stalled_at)))
            self._stalled_until = now + stall_s

    def unreachable(self, now: float) -> None:
        """Count a broken link: no new work for a while, and a restarted guard counts anew."""
        self._sequence = 0
        self._out_until = now + RECOVERY_S * 2**self._strikes
        self._strike(True, now)
        self._learned_at = now

    def learn(self, report: LoadReport, now: float) -> bool:
        """Take a report; tell whether it was newer than the last one."""
        if report.sequence <= self._sequence and now - self._reported_at < SEQUENCE_S:
            return False
        self._sequence = report.sequence
        self._reported_at = now
        self.bound = report.bound
        self.state = report.state
        self._out_until = now + OUT_S if report.state in OUT_STATES else -math.inf
        self._others = max(0.0, report.in_flight + report.queued - self.own_in_flight)
        self._others_mean += OTHERS_WEIGHT * (self._others - self._others_mean)
        return True

    def _strike(self, bad: bool, now: float) -> None:
        if not bad:
            self._strikes = 0
        elif now - self._learned_at > RECOVERY_S / 2:
            self._strikes = min(MAX_STRIKES, self._strikes + 1)

    def _clear_stall(self) -> None:
        self._stalled_at = math.inf
        self._stalled_until = -math.inf

    # --- What is estimated ---

    def is_out(self, now: float) -> bool:
        """Tell whether the endpoint takes no new work, as far as is known."""
        return now < self._out_until

    def in_flight(self, now: float) -> float:
        """Estimate all entries' requests at the endpoint, running and queued."""
        age_s = now - self._reported_at
        trust = math.exp(-age_s / self.latency_s) if self.latency_s else 0.0
        return self.own_in_flight + self._others_mean + trust * (self._others - self._others_mean)

    def overdue_s(self, now: float) -> float:
        """Return for how long the endpoint has been late with an answer, in seconds."""
        since = min(self.overdue_at_by_attempt.values(), default=math.inf)
        if now < self._stalled_until:
            since = min(since, self._stalled_at)
        return max(0.0, now - since)

    def _memory(self, now: float) -> float:
        fade_s = RECOVERY_S * 2**self._strikes
        return math.exp(-(now - self._learned_at) / fade_s)

    def expected_s(self, typical_s: float, now: float) -> float:
        """Estimate the latency without waiting, in seconds; a bad average fades with time."""
        if not self.latency_s:
            return typical_s
        if self.latency_s <= typical_s:
            return self.latency_s
        return typical_s + (self.latency_s - typical_s) * self._memory(now)

    def failure_share(self, now: float) -> float:
        """Estimate the share of attempts that fail, from 0 to 1; it fades with time."""
        return self._failure * self._memory(now)


def make_endpoint_load(endpoint: Endpoint, slots: int) -> EndpointLoad:
    """Make the load of an endpoint of which nothing is known yet."""
    return EndpointLoad(endpoint, slots)
