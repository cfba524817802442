"""Retry budgets: one entry's share of the fleet's bound on attempts beyond the first."""

from dataclasses import dataclass

from pollenroad.entry.retries import Budget
from pollenroad.proxy.boundary import Position
from pollenroad.proxy.directory import Directory

RATIO_SHARE = 0.5
"""Share of the bound's ratio that entries use. The rest is reserved for the requests that a retried
request makes itself, which count as retries at the services that they go to."""

SLACK_SHARE = 0.8
"""Share of the bound's slack that entries use. The rest is a reserve: an entry that knows only part
of the fleet takes a larger share."""

MIN_ENTRIES = 4
"""Lowest number of entries that the bound is divided by."""


@dataclass(frozen=True, slots=True)
class BudgetRules:
    """Bound on attempts beyond the first of each request, for the whole fleet."""

    ratio: float = 0.2
    """Retries allowed in a window, as a share of the requests of a service."""
    slack: float = 0.0
    """Further retries allowed in a window."""
    window_s: float = 10.0
    """Length of the window, in seconds."""

    def per_entry(self, count: int) -> tuple[float, float, float]:
        """Return ratio, tokens per second and capacity of the budget of one of `count` entries.

        In a window an entry spends at most its capacity and the tokens gained in the window, by
        traffic or by time, whichever is more. The sum over all entries stays within the bound.
        """
        slack = self.slack * SLACK_SHARE / max(MIN_ENTRIES, count)
        return self.ratio * RATIO_SHARE, slack / 2 / self.window_s, max(1.0, slack / 2)


class Budgets:
    """Retry budgets of one entry by service, sized by the number of known daemons."""

    def __init__(self, rules: BudgetRules, directory: Directory):
        self._rules = rules
        self._directory = directory
        self._budget_by_service: dict[str, Budget] = {}
        self._position: Position | None = None
        self._entry_share = rules.per_entry(0)

    def set_rules(self, rules: BudgetRules) -> None:
        """Apply a changed bound."""
        self._rules = rules
        self._recompute_shares()

    def of(self, service: str, now: float) -> Budget:
        """Return the retry budget of a service."""
        if self._position != self._directory.position:
            self._recompute_shares()
        budget = self._budget_by_service.get(service)
        if budget is None:
            ratio, per_s, capacity = self._entry_share
            budget = Budget(ratio, per_s, capacity, 1.0, now)
            self._budget_by_service[service] = budget
        return budget

    def _recompute_shares(self) -> None:
        self._position = self._directory.position
        count = len({endpoint.guard for endpoint in self._directory.all_endpoints()})
        self._entry_share = self._rules.per_entry(count)
        for budget in self._budget_by_service.values():
            budget.ratio, budget.per_s, budget.capacity = self._entry_share
