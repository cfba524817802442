"""Budgets for attempts beyond the first, so that retries and hedges never amplify an outage.

Three bounds hold together. Each service has a token bucket at every entry: first attempts pay in
a share of a token, a retry takes a whole one. Each call has its class's `max_attempts`. And the
allowance that travels with a call falls by one with each retry, so that a retry causes no further
retries in the calls below it.
"""

from dataclasses import dataclass

from pollenroad.models import RetryRules

BURST_S = 5.0
"""Seconds of `min_per_s` that an idle budget gathers."""

RETRY_BURST = 100.0
"""First attempts whose shares a full retry budget holds."""

HEDGE_BURST = 300.0
"""First attempts whose shares a full hedge budget holds: one stall makes many attempts late."""

TEACHING_REASONS = frozenset(
    {"leaving", "out-of-service", "not-here", "server-down", "unreachable"}
)
"""Refusals after which the entry shuns the endpoint: they are rare, and retried free of charge."""


@dataclass(slots=True)
class Budget:
    """A token bucket that is filled by first attempts and, slowly, by time."""

    ratio: float
    """Tokens gained by each first attempt."""
    per_s: float
    """Tokens gained each second."""
    capacity: float
    """Most tokens that the bucket holds."""
    tokens: float
    updated_at: float

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = now
        self._gain(elapsed_s * self.per_s)

    def _gain(self, tokens: float) -> None:
        self.tokens = min(self.capacity, self.tokens + tokens)

    def first_attempt(self) -> None:
        """Pay in the share of one first attempt."""
        self._gain(self.ratio)

    def fullness(self, now: float) -> float:
        """Return the share of the bucket that is full, from 0 to 1."""
        self._refill(now)
        return self.tokens / self.capacity if self.capacity else 0.0

    def spend(self, now: float) -> bool:
        """Take one token; tell whether there was one."""
        self._refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def make_retry_budget(rules: RetryRules, now: float) -> Budget:
    """Make the retry budget of one service at one entry."""
    capacity = max(rules.min_per_s * BURST_S, rules.budget_ratio * RETRY_BURST)
    return Budget(rules.budget_ratio, rules.min_per_s, capacity, rules.min_per_s, now)


def make_hedge_budget(rules: RetryRules, now: float) -> Budget:
    """Make the hedge budget of one service at one entry; a ratio of 0 forbids hedges."""
    capacity = rules.hedge_ratio * HEDGE_BURST
    per_s = rules.min_per_s * rules.hedge_ratio
    return Budget(rules.hedge_ratio, per_s, capacity, min(1.0, capacity), now)


def allowance_below(allowance: float, number: int) -> float:
    """Return the retries that calls below attempt `number` may spend.

    Args:
        allowance: Retries that the call itself may spend.
        number: 1 for the first attempt of the call.
    """
    return max(0.0, allowance - (number - 1))
