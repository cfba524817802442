"""Retry budgets: one entry's share of the fleet's bound on attempts beyond the first."""

from dataclasses import dataclass

from pollenroad.entry.retries import Budget
from pollenroad.proxy.admission.activation import Activation
from pollenroad.proxy.admission.ranked_budget import EntryShare, RankedBudget
from pollenroad.proxy.boundary import Position
from pollenroad.proxy.directory import Directory

RATIO_SHARE = 0.5
"""Share of the bound's ratio that entries use. The rest is reserved for the requests that a retried
request makes itself, which count as retries at the services that they go to."""

SLACK_SHARE = 0.8
"""Share of the bound's slack that entries use. The rest is a reserve: an entry that knows only part
of the fleet takes a larger share."""

RANKED_RATIO_SHARE = 0.7
"""Replaces `RATIO_SHARE` where the budget is spent by rank. An attempt that was rejected made no
calls, so that its retry needs no reserve; only reruns do, and they get the rest of the ratio: they
add about that share of retries at the services which they call."""

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

    def ranked_share(self, count: int) -> EntryShare:
        """Return the share of one of `count` entries that spend by rank."""
        ratio = self.ratio * RANKED_RATIO_SHARE
        slack = self.slack * SLACK_SHARE / max(MIN_ENTRIES, count)
        return EntryShare(ratio, self.ratio - ratio, slack, self.window_s)


class Budgets:
    """Retry budgets of one entry by service, sized by the number of known daemons."""

    def __init__(self, rules: BudgetRules, directory: Directory):
        self._rules = rules
        self._directory = directory
        self._budget_by_service: dict[str, Budget] = {}
        self._position: Position | None = None
        self._entry_share = rules.per_entry(0)
        self._activation = Activation(directory)
        self._ranked_share = rules.ranked_share(0)
        self._ranked_by_service: dict[str, RankedBudget] = {}
        self._ranked_since: float | None = None
        """When spending by rank began, in monotonic seconds; None if it is not enabled."""

    def set_rules(self, rules: BudgetRules) -> None:
        """Apply a changed bound."""
        self._rules = rules
        self._recompute_shares()

    def of(self, service: str, now: float) -> Budget | RankedBudget:
        """Return the retry budget of a service."""
        if self._position != self._directory.position:
            self._recompute_shares()
        if self._activation.is_enabled:
            return self._ranked_of(service, now)
        if self._ranked_since is not None:
            self._end_ranks(now)
        budget = self._budget_by_service.get(service)
        if budget is None:
            ratio, per_s, capacity = self._entry_share
            budget = Budget(ratio, per_s, capacity, 1.0, now)
            self._budget_by_service[service] = budget
        return budget

    def _ranked_of(self, service: str, now: float) -> RankedBudget:
        if self._ranked_since is None:
            self._ranked_since = now
        budget = self._ranked_by_service.get(service)
        if budget is None:
            budget = RankedBudget(self._ranked_share, self._ranked_since)
            self._ranked_by_service[service] = budget
        return budget

    def _end_ranks(self, now: float) -> None:
        """Return to budgets without ranks, which start empty: the window may have been used."""
        self._ranked_since = None
        for service in self._ranked_by_service:
            self._budget_by_service[service] = Budget(*self._entry_share, 0.0, now)
        self._ranked_by_service.clear()

    def _recompute_shares(self) -> None:
        self._position = self._directory.position
        count = len({endpoint.guard for endpoint in self._directory.all_endpoints()})
        self._entry_share = self._rules.per_entry(count)
        self._ranked_share = self._rules.ranked_share(count)
        for ranked in self._ranked_by_service.values():
            ranked.share = self._ranked_share
        for budget in self._budget_by_service.values():
            budget.ratio, budget.per_s, budget.capacity = self._entry_share
