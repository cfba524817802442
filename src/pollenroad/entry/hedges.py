"""When an open attempt is raced by a second one.

The doubt about an endpoint is weighed against what is left of the hedge budget: a full budget is
spent on mild doubt, a nearly empty one only on endpoints that are almost surely stalled.
"""

from pollenroad.entry.retries import Budget, make_hedge_budget
from pollenroad.entry.routing import Router
from pollenroad.models import RetryRules

MIN_SPARE_SHARE = 0.25
"""Share of the known capacity that must be free for a hedge."""

MIN_DOUBT = 0.15
"""Chance of a stall from which an attempt is hedged while the budget is full."""

MAX_DOUBT = 0.9
"""Chance of a stall from which an attempt is hedged while the budget is nearly spent."""

LOOK_STEP = 0.2
"""Shortest time between two looks at an open attempt, in typical latencies."""


class Hedges:
    """Decides on hedges for one service at one entry."""

    def __init__(self, rules: RetryRules, router: Router, now: float):
        self._router = router
        self._budget: Budget = make_hedge_budget(rules, now)

    def configure(self, rules: RetryRules, now: float) -> None:
        """Take other rules, with a fresh budget."""
        self._budget = make_hedge_budget(rules, now)

    def first_attempt(self, allowance: float) -> None:
        """Pay the share of one first attempt of a call with an allowance into the budget."""
        self._budget.first_attempt(allowance)

    def _least_doubt(self, now: float) -> float:
        return MAX_DOUBT - (MAX_DOUBT - MIN_DOUBT) * self._budget.fullness(now)

    def next_look(self, name: str, class_name: str, sent_at: float, now: float) -> float:
        """Return when an attempt at the endpoint `name` may be doubtful, in monotonic seconds."""
        doubtful_at = sent_at + self._router.doubtful_after_s(
            name, class_name, self._least_doubt(now), now
        )
        if now <= sent_at:
            return doubtful_at
        return max(doubtful_at, now + LOOK_STEP * self._router.typical_s(class_name))

    def is_doubtful(self, name: str, class_name: str, now: float) -> bool:
        """Tell whether an open attempt at the endpoint `name` is worth a hedge."""
        return self._router.doubt(name, class_name, now) >= self._least_doubt(now)

    def spend(self, now: float) -> bool:
        """Take one hedge from the budget if the service has room for it."""
        return self._router.spare_share(now) >= MIN_SPARE_SHARE and self._budget.spend(now)
