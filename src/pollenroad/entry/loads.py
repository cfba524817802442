"""What one entry knows of one endpoint, from its own attempts and from load reports.

Nothing here is a fact about the present: reports are stale when read, so each estimate falls back
to an average as it ages, and what the entry sees by itself counts at once. An attempt that is
still open tells more than one that has ended, because its age is a lower bound of its latency.
"""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from pollenroad.entry.latencies import Latencies
from pollenroad.messages import LoadReport
from pollenroad.models import Endpoint

LATENCY_WEIGHT = 0.3
"""Weight of the newest latency in the average of an endpoint."""

LATENCY_CLIP = 6.0
"""A latency counts as at most this multiple of the typical one, so that one pause is forgotten."""

SLOW_FACTOR = 2.0
"""Multiple of the typical latency from which an endpoint is a straggler."""

NOISE_FACTOR = 1.3
"""Multiple of the typical latency up to which an endpoint's average is like all others."""

CENSORED_FACTOR = 2.0
"""Latency assumed of an attempt that was given up, as a multiple of its age."""

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

OUT_STATES = frozenset({"draining", "drained", "out", "down"})
"""States of a report in which the endpoint takes no new work."""


STALL_PRIOR = 0.2
"""Odds that a silent endpoint is stalled, before its open attempts are looked at."""

MIN_STALL_PRIOR = 0.005
"""Odds that an endpoint is stalled which answered this moment."""

SILENCE_S = 0.2
"""Seconds after an answer until an endpoint counts as silent."""


MAX_SURPRISE = 50.0
"""Surprise beyond which an endpoint is certainly stalled; keeps the odds finite."""


@dataclass(frozen=True, slots=True)
class OpenSample:
    """An attempt whose latency is not known yet, with those of its request class."""

    sent_at: float
    latencies: Latencies

    def surprise(self, answered_at: float, now: float) -> float:
        """Return how unlikely it is that a sound endpoint left the attempt open until now.

        Args:
            answered_at: When the endpoint last answered anything, so that it was not stalled.
            now: Monotonic time in seconds.
        """
        before = self.latencies.surprise(answered_at - self.sent_at)
        return self.latencies.surprise(now - self.sent_at) - before


@dataclass(slots=True)
class EndpointLoad:
    """Estimates of one endpoint's load, latency and health."""

    endpoint: Endpoint
    bound: int
    """Requests in flight that its guard admits, as last reported."""
    state: str = "serving"
    open_by_attempt: dict[str, OpenSample] = field(default_factory=dict)
    """Open attempts of this entry, the oldest first."""
    latency_s: float = 0.0
    """Average latency in seconds; 0 while unknown."""
    _learned_at: float = 0.0
    _answered_at: float = -math.inf
    _strikes: int = 0
    _failure: float = 0.0
    _others: float = 0.0
    _others_mean: float = 0.0
    _reported_at: float = -math.inf
    _sequence: int = 0
    _given_up: OpenSample | None = None
    _given_up_until: float = -math.inf
    _out_until: float = -math.inf

    @property
    def own_in_flight(self) -> int:
        """Attempts of this entry that are open at the endpoint."""
        return len(self.open_by_attempt)

    # --- What is learned ---

    def sent(self, attempt_id: str, latencies: Latencies, now: float) -> None:
        """Count an attempt of a request class with the given latencies."""
        self.open_by_attempt[attempt_id] = OpenSample(now, latencies)

    def answered(self, attempt_id: str, latency_s: float, typical_s: float, now: float) -> None:
        """Count a whole answer after `latency_s`, where `typical_s` is usual for its class."""
        self.open_by_attempt.pop(attempt_id, None)
        self._given_up = None
        self._failure -= FAILURE_WEIGHT * self._failure
        self._answered_at = now
        self._learn_latency(latency_s, typical_s, now)

    def _learn_latency(self, latency_s: float, typical_s: float, now: float) -> None:
        sample_s = min(latency_s, LATENCY_CLIP * typical_s) if typical_s else latency_s
        before_s = self.latency_s
        self.latency_s += LATENCY_WEIGHT * (sample_s - before_s) if before_s else sample_s
        self._strike(bool(typical_s) and sample_s > SLOW_FACTOR * typical_s, now)
        self._learned_at = now

    def failed(self, attempt_id: str, now: float) -> None:
        """Count a failure; however fast it came, it teaches nothing about latency."""
        self.open_by_attempt.pop(attempt_id, None)
        self._failure += FAILURE_WEIGHT * (1.0 - self._failure)
        self._strike(True, now)
        self._learned_at = now

    def refused(self, attempt_id: str) -> None:
        """Count a refusal; the report that came with it tells the rest."""
        self.open_by_attempt.pop(attempt_id, None)

    def cancelled(self, attempt_id: str, typical_s: float, now: float) -> None:
        """Count an attempt that this entry gave up; the suspicion that it raised stays a while.

        Its age is a lower bound of its latency: what a hedge overtook counts as slow.
        """
        sample = self.open_by_attempt.pop(attempt_id, None)
        if sample is None:
            return
        age_s = now - sample.sent_at
        if typical_s and age_s > SLOW_FACTOR * typical_s:
            self._learn_latency(CENSORED_FACTOR * age_s, typical_s, now)
        if self._given_up is None or now > self._given_up_until:
            self._given_up = sample
        stall_s = 2 * (now - self._given_up.sent_at)
        self._given_up_until = now + min(MAX_STALL_S, max(MIN_STALL_S, stall_s))

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

    # --- What is estimated ---

    def is_out(self, now: float) -> bool:
        """Tell whether the endpoint takes no new work, as far as is known."""
        return now < self._out_until

    def in_flight(self, now: float) -> float:
        """Estimate all entries' requests at the endpoint, running and queued."""
        age_s = now - self._reported_at
        trust = math.exp(-age_s / self.latency_s) if self.latency_s else 0.0
        return self.own_in_flight + self._others_mean + trust * (self._others - self._others_mean)

    def _samples(self, now: float) -> Iterator[OpenSample]:
        yield from self.open_by_attempt.values()
        if self._given_up is not None and now < self._given_up_until:
            yield self._given_up

    def stall_prior(self, now: float) -> float:
        """Return the odds of a stall before the open attempts are looked at."""
        silence = min(1.0, (now - self._answered_at) / SILENCE_S)
        return MIN_STALL_PRIOR + (STALL_PRIOR - MIN_STALL_PRIOR) * silence

    def stall_chance(self, now: float) -> float:
        """Estimate the chance that the endpoint answers nothing at present, from 0 to 1."""
        surprise = sum(s.surprise(self._answered_at, now) for s in self._samples(now))
        odds = self.stall_prior(now) * math.exp(min(surprise, MAX_SURPRISE))
        return odds / (1 + odds)

    def oldest_s(self, now: float) -> float:
        """Return the age of the oldest attempt that is open or was given up, in seconds."""
        return max((now - sample.sent_at for sample in self._samples(now)), default=0.0)

    def _memory(self, now: float, patience: float = 1.0) -> float:
        fade_s = RECOVERY_S * 2**self._strikes * patience
        return math.exp(-(now - self._learned_at) / fade_s)

    def expected_s(self, typical_s: float, now: float, patience: float = 1.0) -> float:
        """Estimate the latency without waiting, in seconds; a bad average fades with time.

        Args:
            typical_s: Usual latency of the service's endpoints.
            now: Monotonic time in seconds.
            patience: Multiple of the usual time in which a bad average fades.
        """
        excess_s = max(0.0, self.latency_s - NOISE_FACTOR * typical_s)
        return typical_s + excess_s * self._memory(now, patience)

    def failure_share(self, now: float) -> float:
        """Estimate the share of attempts that fail, from 0 to 1; it fades with time."""
        return self._failure * self._memory(now)


def make_endpoint_load(endpoint: Endpoint, slots: int) -> EndpointLoad:
    """Make the load of an endpoint of which only is known that it admits `slots`, or fewer."""
    return EndpointLoad(endpoint, slots)
