"""Hedging policy: when an open attempt is hedged by a second one.

The stall suspicion of an endpoint is compared with a threshold that rises as the hedge budget
is used up: a full budget permits hedges at low suspicion, a nearly empty one only where the
endpoint is almost certainly stalled.
"""

from pollenroad.entry.retries import Budget, make_hedge_budget
from pollenroad.entry.routing import Router
from pollenroad.models import RetryRules

MIN_SPARE_SHARE = 0.25
"""Share of the known capacity that must be free before a hedge is sent."""

MIN_SUSPICION = 0.15
"""Stall suspicion at which an attempt is hedged while the budget is full."""

MAX_SUSPICION = 0.9
"""Stall suspicion at which an attempt is hedged while the budget is nearly empty."""

MIN_CHECK_INTERVAL = 0.2
"""Shortest time between two hedge checks of an open attempt, in typical latencies."""


class HedgePolicy:
    """Hedging decisions and hedge budget for one service at one entry."""

    def __init__(self, rules: RetryRules, router: Router, now: float):
        self._router = router
        self._budget: Budget = make_hedge_budget(rules, now)

    def configure(self, rules: RetryRules, now: float) -> None:
        """Apply changed rules and start with a new budget."""
        self._budget = make_hedge_budget(rules, now)

    def record_first_attempt(self, allowance: float) -> None:
        """Credit the budget for a first attempt, in proportion to the call's allowance."""
        self._budget.deposit(allowance)

    def _suspicion_threshold(self, now: float) -> float:
        return MAX_SUSPICION - (MAX_SUSPICION - MIN_SUSPICION) * self._budget.fullness(now)

    def next_check(self, name: str, class_name: str, sent_at: float, now: float) -> float:
        """Return when to check next for a hedge of an attempt at `name`, in monotonic seconds."""
        check_at = sent_at + self._router.hedge_check_age_s(
            name, class_name, self._suspicion_threshold(now), now
        )
        if now <= sent_at:
            return check_at
        return max(check_at, now + MIN_CHECK_INTERVAL * self._router.typical_s(class_name))

    def should_hedge(self, name: str, class_name: str, now: float) -> bool:
        """Return whether an open attempt at the endpoint `name` is suspect enough for a hedge."""
        return self._router.suspicion(name, class_name, now) >= self._suspicion_threshold(now)

    def try_spend(self, now: float) -> bool:
        """Spend a token on a hedge; false if capacity or budget is insufficient."""
        return self._router.spare_share(now) >= MIN_SPARE_SHARE and self._budget.try_spend(now)
