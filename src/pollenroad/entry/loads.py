"""Load, latency and health estimates of one endpoint, from own attempts and load reports.

Load reports are stale on arrival, so the estimate of other entries' requests decays to an average
as its report ages, while the entry's own observations apply immediately. An open attempt is more
current evidence than one that has ended: its age is a lower bound of its latency.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from pollenroad.entry.latencies import Latencies
from pollenroad.messages import LoadReport
from pollenroad.models import Endpoint

LATENCY_WEIGHT = 0.3
"""Weight of the newest sample in the moving average of an endpoint's latency."""

LATENCY_CLIP = 6.0
"""Cap of one latency sample, in typical latencies, so that one pause doesn't dominate."""

STRAGGLER_FACTOR = 2.0
"""Multiple of the typical latency above which an endpoint is a straggler."""

NOISE_FACTOR = 1.3
"""Multiple of the typical latency up to which an endpoint's average counts as normal."""

CENSORED_FACTOR = 2.0
"""Assumed latency of a cancelled attempt, as a multiple of its age."""

OTHERS_WEIGHT = 0.1
"""Weight of the newest report in the moving average of other entries' requests."""

FAILURE_WEIGHT = 0.3
"""Weight of the newest outcome in the moving average of failures."""

RECOVERY_S = 1.0
"""Time constant in seconds with which a bad average decays without new samples."""

MAX_CONSECUTIVE_FAILURES = 4
"""Limit of the count of failures or slow answers in a row; each doubles `RECOVERY_S`.

A failure counts only if no other outcome came within half of `RECOVERY_S` before it.
"""

OUT_TIMEOUT_S = 5.0
"""Seconds after the last report until an endpoint that took no new work is tried again."""

STALE_SEQUENCE_S = 1.0
"""Seconds after a report in which a lower sequence number is stale, not a guard restart."""

MIN_STALL_S = 0.05
"""Shortest time in seconds that an endpoint stays suspect after a cancelled attempt."""

MAX_STALL_S = 1.0
"""Longest time in seconds that an endpoint stays suspect after the last cancelled attempt."""

OUT_STATES = frozenset({"draining", "drained", "out", "down"})
"""Reported states in which an endpoint takes no new work."""

PRIOR_STALL_ODDS = 0.2
"""Prior odds that a silent endpoint is stalled, before its open attempts are considered."""

MIN_PRIOR_STALL_ODDS = 0.005
"""Prior odds that an endpoint that has just answered is stalled."""

SILENCE_S = 0.2
"""Seconds since the last answer after which an endpoint counts as silent."""

MAX_SURPRISAL = 50.0
"""Cap of the summed surprisal, which keeps the odds finite; a stall is certain long before."""


@dataclass(frozen=True, slots=True)
class OpenSample:
    """An attempt whose latency is not known yet, with the latencies of its request class."""

    sent_at: float
    latencies: Latencies

    def surprisal(self, answered_at: float, now: float) -> float:
        """Return the surprisal, since the endpoint's last answer, of the attempt still being open.

        Args:
            answered_at: Monotonic time of the endpoint's last answer to any attempt, at which it
                was not stalled.
            now: Monotonic time in seconds.
        """
        before = self.latencies.surprisal(answered_at - self.sent_at)
        return self.latencies.surprisal(now - self.sent_at) - before


@dataclass(slots=True)
class EndpointLoad:
    """Load, latency and health estimates of one endpoint."""

    endpoint: Endpoint
    bound: int
    """Requests in flight that the guard admits, as last reported."""
    state: str = "serving"
    open_by_attempt: dict[str, OpenSample] = field(default_factory=dict)
    """Open attempts of this entry by attempt id, oldest first."""
    latency_s: float = 0.0
    """Moving average of the latency in seconds; 0 while unknown."""
    _last_outcome_at: float = 0.0
    _answered_at: float = -math.inf
    _consecutive_failures: int = 0
    _last_failure_share: float = 0.0
    _others: float = 0.0
    _others_mean: float = 0.0
    _reported_at: float = -math.inf
    _sequence: int = 0
    _cancelled_sample: OpenSample | None = None
    _suspect_until: float = -math.inf
    _unavailable_until: float = -math.inf

    @property
    def own_in_flight(self) -> int:
        """Number of open attempts of this entry at the endpoint."""
        return len(self.open_by_attempt)

    # --- Observations ---

    def sent(self, attempt_id: str, latencies: Latencies, now: float) -> None:
        """Record a sent attempt of a request class with these recent latencies."""
        self.open_by_attempt[attempt_id] = OpenSample(now, latencies)

    def answered(self, attempt_id: str, latency_s: float, typical_s: float, now: float) -> None:
        """Record a complete answer.

        Args:
            attempt_id: The attempt.
            latency_s: Its latency in seconds.
            typical_s: Median latency of its request class in seconds, 0 if unknown.
            now: Monotonic time in seconds.
        """
        self.open_by_attempt.pop(attempt_id, None)
        self._cancelled_sample = None
        self._last_failure_share -= FAILURE_WEIGHT * self._last_failure_share
        self._answered_at = now
        self._add_latency(latency_s, typical_s, now)

    def _add_latency(self, latency_s: float, typical_s: float, now: float) -> None:
        sample_s = min(latency_s, LATENCY_CLIP * typical_s) if typical_s else latency_s
        before_s = self.latency_s
        self.latency_s += LATENCY_WEIGHT * (sample_s - before_s) if before_s else sample_s
        self._count_outcome(bool(typical_s) and sample_s > STRAGGLER_FACTOR * typical_s, now)
        self._last_outcome_at = now

    def failed(self, attempt_id: str, now: float) -> None:
        """Record a failure; its duration is no latency sample, however short."""
        self.open_by_attempt.pop(attempt_id, None)
        self._last_failure_share += FAILURE_WEIGHT * (1.0 - self._last_failure_share)
        self._count_outcome(True, now)
        self._last_outcome_at = now

    def refused(self, attempt_id: str) -> None:
        """Record a refusal; the load report that came with it, or the link, shows its cause."""
        self.open_by_attempt.pop(attempt_id, None)

    def cancelled(self, attempt_id: str, typical_s: float, now: float) -> None:
        """Record an attempt that this entry cancelled; its stall suspicion persists for a while.

        Its age is a lower bound of its latency: an attempt overtaken by its hedge counts as slow.
        """
        sample = self.open_by_attempt.pop(attempt_id, None)
        if sample is None:
            return
        age_s = now - sample.sent_at
        if typical_s and age_s > STRAGGLER_FACTOR * typical_s:
            self._add_latency(CENSORED_FACTOR * age_s, typical_s, now)
        if self._cancelled_sample is None or now > self._suspect_until:
            self._cancelled_sample = sample
        stall_s = 2 * (now - self._cancelled_sample.sent_at)
        self._suspect_until = now + min(MAX_STALL_S, max(MIN_STALL_S, stall_s))

    def unreachable(self, now: float) -> None:
        """Eject the endpoint after a broken link, and accept any sequence number again."""
        self._sequence = 0
        self._unavailable_until = now + RECOVERY_S * 2**self._consecutive_failures
        self._count_outcome(True, now)
        self._last_outcome_at = now

    def learn(self, report: LoadReport, now: float) -> bool:
        """Apply a load report; return false if it is older than the last one."""
        if report.sequence <= self._sequence and now - self._reported_at < STALE_SEQUENCE_S:
            return False
        self._sequence = report.sequence
        self._reported_at = now
        self.bound = report.bound
        self.state = report.state
        self._unavailable_until = now + OUT_TIMEOUT_S if report.state in OUT_STATES else -math.inf
        self._others = max(0.0, report.in_flight + report.queued - self.own_in_flight)
        self._others_mean += OTHERS_WEIGHT * (self._others - self._others_mean)
        return True

    def _count_outcome(self, is_bad: bool, now: float) -> None:
        if not is_bad:
            self._consecutive_failures = 0
        elif now - self._last_outcome_at > RECOVERY_S / 2:
            self._consecutive_failures = min(
                MAX_CONSECUTIVE_FAILURES, self._consecutive_failures + 1
            )

    # --- Estimates ---

    def is_unavailable(self, now: float) -> bool:
        """Return whether the endpoint is ejected or reported that it takes no new work."""
        return now < self._unavailable_until

    def in_flight(self, now: float) -> float:
        """Estimate the requests of all entries at the endpoint, running and queued."""
        age_s = now - self._reported_at
        weight = math.exp(-age_s / self.latency_s) if self.latency_s else 0.0
        return self.own_in_flight + self._others_mean + weight * (self._others - self._others_mean)

    def _samples(self, now: float) -> Iterator[OpenSample]:
        yield from self.open_by_attempt.values()
        if self._cancelled_sample is not None and now < self._suspect_until:
            yield self._cancelled_sample

    def prior_stall_odds(self, now: float) -> float:
        """Return the odds of a stall before open attempts are considered."""
        silence = min(1.0, (now - self._answered_at) / SILENCE_S)
        return MIN_PRIOR_STALL_ODDS + (PRIOR_STALL_ODDS - MIN_PRIOR_STALL_ODDS) * silence

    def stall_probability(self, now: float) -> float:
        """Estimate the probability, from 0 to 1, that the endpoint is stalled."""
        surprisal = sum(s.surprisal(self._answered_at, now) for s in self._samples(now))
        odds = self.prior_stall_odds(now) * math.exp(min(surprisal, MAX_SURPRISAL))
        return odds / (1 + odds)

    def oldest_age_s(self, now: float) -> float:
        """Return the age in seconds of the oldest open or recently cancelled attempt."""
        return max((now - sample.sent_at for sample in self._samples(now)), default=0.0)

    def _decay(self, now: float, recovery_factor: float = 1.0) -> float:
        decay_s = RECOVERY_S * 2**self._consecutive_failures * recovery_factor
        return math.exp(-(now - self._last_outcome_at) / decay_s)

    def expected_s(self, typical_s: float, now: float, recovery_factor: float = 1.0) -> float:
        """Estimate the latency without queueing, in seconds; a bad average decays over time.

        Args:
            typical_s: Median latency of the request class in seconds.
            now: Monotonic time in seconds.
            recovery_factor: Multiple of the usual time constant of the decay.
        """
        excess_s = max(0.0, self.latency_s - NOISE_FACTOR * typical_s)
        return typical_s + excess_s * self._decay(now, recovery_factor)

    def failure_share(self, now: float) -> float:
        """Estimate the share of attempts that fail, from 0 to 1; it decays over time."""
        return self._last_failure_share * self._decay(now)


def make_endpoint_load(endpoint: Endpoint, slots: int) -> EndpointLoad:
    """Create the estimates of an endpoint with no observations, assumed to admit `slots`."""
    return EndpointLoad(endpoint, slots)
