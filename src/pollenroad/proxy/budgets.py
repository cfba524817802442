"""One entry's share of the fleet's bound on sends beyond the first of each request. No I/O."""

from dataclasses import dataclass

from pollenroad.entry.retries import Budget
from pollenroad.proxy.directory import Directory

RATIO_SHARE = 0.5
"""Part of the bound's ratio that entries use: the calls that a repeated run makes count as repeats
at the service that they go to."""

SLACK_SHARE = 0.8
"""Part of the bound's slack that entries use, so that some may believe in a smaller fleet."""

FLEET_MIN = 4
"""Entries assumed to share the bound at the least."""


@dataclass(frozen=True, slots=True)
class BudgetRules:
    """Bound on sends beyond the first of each request, for the whole fleet."""

    ratio: float = 0.2
    """Share of the requests of a service that may be sent again in a window."""
    slack: float = 0.0
    """Sends beyond that in a window."""
    window_s: float = 10.0
    """Length of the window, in seconds."""

    def of_one(self, count: int) -> tuple[float, float, float]:
        """Return ratio, tokens a second and capacity of the budget of one of `count` entries.

        In every window an entry spends at most its capacity, and what it gained in the window by
        the larger of traffic and time; over all entries that stays within the bound.
        """
        slack = self.slack * SLACK_SHARE / max(FLEET_MIN, count)
        return self.ratio * RATIO_SHARE, slack / 2 / self.window_s, max(1.0, slack / 2)


class Budgets:
    """The budgets of one entry by service, divided by the daemons that are known."""

    def __init__(self, rules: BudgetRules, directory: Directory):
        self._rules = rules
        self._directory = directory
        self._budget_by_service: dict[str, Budget] = {}
        self._revision = -1
        self._of_one = rules.of_one(0)

    def of(self, service: str, now: float) -> Budget:
        """Return the budget of a service."""
        if self._revision != self._directory.revision:
            self._divide()
        budget = self._budget_by_service.get(service)
        if budget is None:
            ratio, per_s, capacity = self._of_one
            budget = Budget(ratio, per_s, capacity, 1.0, now)
            self._budget_by_service[service] = budget
        return budget

    def _divide(self) -> None:
        self._revision = self._directory.revision
        count = len({endpoint.guard for endpoint in self._directory.all_endpoints()})
        self._of_one = self._rules.of_one(count)
        for budget in self._budget_by_service.values():
            budget.ratio, budget.per_s, budget.capacity = self._of_one
