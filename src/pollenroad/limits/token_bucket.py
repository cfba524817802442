"""Token bucket of an owner."""

import math
from dataclasses import dataclass

_ROUNDING = 1e-6
"""Tolerance in tokens: a refill at exactly the computed due time must not fall short of a token."""


@dataclass(slots=True)
class TokenBucket:
    """Token bucket: tokens accrue at a fixed rate up to `burst`."""

    rate_per_s: float
    burst: float
    tokens: float
    updated: float

    def refill(self, now: float) -> None:
        """Add the tokens that have accrued until `now`."""
        accrued = max(0.0, now - self.updated) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + accrued)
        self.updated = max(self.updated, now)

    def has_token(self) -> bool:
        """Return whether a whole token can be taken."""
        return self.tokens >= 1 - _ROUNDING

    def take(self, wanted: int) -> int:
        """Take up to `wanted` whole tokens; return the number taken."""
        taken = max(0, min(wanted, math.floor(self.tokens + _ROUNDING)))
        self.tokens -= taken
        return taken

    def available_at(self, tokens: float) -> float:
        """Return when the bucket will hold `tokens`, in monotonic seconds."""
        return self.updated + max(0.0, tokens - self.tokens) / self.rate_per_s
