"""Budgets for attempts beyond the first, so that retries and hedges never amplify an outage.

Each service has token buckets at every entry: first attempts pay in a share of a token, a further
attempt takes a whole one. A retry after a guard's refusal causes no work below, so it needs a token
of the plain budget only. A retry of what may have run, and a hedge, make the calls below run again:
they also need one of a budget into which a call pays by its allowance. The allowance travels with
the call: it halves at each level and is nothing below a retry or hedge, so that the shares of all
levels add up to less than twice that of the first.
"""

from dataclasses import dataclass

from pollenroad.models import RetryRules

BURST_S = 5.0
"""Seconds of `min_per_s` that an idle budget gathers."""

RETRY_BURST = 100.0
"""First attempts whose shares a full retry budget holds."""

HEDGE_BURST = 300.0
"""First attempts whose shares a full hedge budget holds: one stall makes many attempts late."""

ALLOWANCE_BELOW = 0.5
"""Part of a call's allowance that the calls below its first attempt get."""

FULL_REASON = "overloaded"
"""Refusal that is not retried where every endpoint is known to be full."""

SERVER_REASONS = frozenset({"shed"})
"""Refusals by the server itself, which may have made calls of its own before."""

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
    """Tokens gained each second at the least, so that a quiet service may retry."""
    capacity: float
    """Most tokens that the bucket holds."""
    tokens: float
    updated_at: float
    paid: float = 0.0
    """Tokens gained from first attempts since `updated_at`."""

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = now
        self._gain(max(0.0, elapsed_s * self.per_s - self.paid))
        self.paid = 0.0

    def _gain(self, tokens: float) -> None:
        self.tokens = min(self.capacity, self.tokens + tokens)

    def first_attempt(self, allowance: float = 1.0) -> None:
        """Pay in the share of one first attempt of a call with an allowance from 0 to 1."""
        self._gain(self.ratio * allowance)
        self.paid += self.ratio * allowance

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
