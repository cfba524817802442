"""Budgets for attempts beyond the first, so that retries and hedges do not amplify an outage.

Every entry keeps token buckets for each service. A first attempt adds a fraction of a token; a
retry or hedge takes a whole one. A retry after a guard's refusal causes no downstream calls and
needs a token of the refusal budget only. A retry of an attempt that may have run needs one of the
rerun budget as well, and a hedge one of the hedge budget: both repeat downstream calls, so first
attempts are credited to these two in proportion to the call's allowance. The allowance is passed
on with the call: it halves at each level and is 0 below a retry or hedge, so that the shares of all
levels add up to less than twice that of the first.
"""

from dataclasses import dataclass

from pollenroad.models import RetryRules

BURST_S = 5.0
"""Seconds of `min_per_s` that an idle retry budget accumulates."""

RETRY_BURST = 100.0
"""Capacity of a retry budget, in first attempts."""

HEDGE_BURST = 300.0
"""Capacity of a hedge budget, in first attempts: one stall makes many attempts late."""

DOWNSTREAM_ALLOWANCE_SHARE = 0.5
"""Share of a call's allowance that is passed to the downstream calls of its first attempt."""

OVERLOADED_REASON = "overloaded"
"""Refusal that is not retried if no endpoint is known to have free capacity."""

SERVER_REASONS = frozenset({"shed"})
"""Refusals by the server itself, which may have made downstream calls before."""

EJECTION_REASONS = frozenset(
    {"leaving", "out-of-service", "not-here", "server-down", "unreachable"}
)
"""Refusals after which the endpoint is unavailable; being rare, they are retried without tokens."""


@dataclass(slots=True)
class Budget:
    """A token bucket filled by first attempts and, at a low minimum rate, by time."""

    ratio: float
    """Tokens added for each first attempt."""
    per_s: float
    """Minimum of tokens added per second, so that a service with little traffic can retry."""
    capacity: float
    """Maximum number of tokens."""
    tokens: float
    updated_at: float
    deposited: float = 0.0
    """Tokens added by first attempts since `updated_at`."""

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self.updated_at)
        self.updated_at = now
        self._gain(max(0.0, elapsed_s * self.per_s - self.deposited))
        self.deposited = 0.0

    def _gain(self, tokens: float) -> None:
        self.tokens = min(self.capacity, self.tokens + tokens)

    def deposit(self, allowance: float = 1.0) -> None:
        """Add the tokens for a first attempt of a call with an allowance from 0 to 1."""
        self._gain(self.ratio * allowance)
        self.deposited += self.ratio * allowance

    def fullness(self, now: float) -> float:
        """Return the fill level of the bucket, from 0 to 1."""
        self._refill(now)
        return self.tokens / self.capacity if self.capacity else 0.0

    def try_spend(self, now: float) -> bool:
        """Take one token; return false if there is less than one."""
        self._refill(now)
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def make_retry_budget(rules: RetryRules, now: float) -> Budget:
    """Create the retry budget of one service at one entry."""
    capacity = max(rules.min_per_s * BURST_S, rules.budget_ratio * RETRY_BURST)
    return Budget(rules.budget_ratio, rules.min_per_s, capacity, rules.min_per_s, now)


def make_hedge_budget(rules: RetryRules, now: float) -> Budget:
    """Create the hedge budget of one service at one entry; a ratio of 0 disables hedges."""
    capacity = rules.hedge_ratio * HEDGE_BURST
    per_s = rules.min_per_s * rules.hedge_ratio
    return Budget(rules.hedge_ratio, per_s, capacity, min(1.0, capacity), now)
