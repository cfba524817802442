"""Whether a further attempt of a request is worth a token of the retry budget.

Load: a service rejects or fails part of its attempts for seconds, so that more requests fail than
the budget has retries for. The chance of success at the service, as this entry observed it, the
time left and the rank decide; the endpoint was selected among those that reject less.
"""

from dataclasses import dataclass

from pollenroad.proxy.admission.activation import Activation
from pollenroad.proxy.admission.ranked_budget import Purpose, Spending
from pollenroad.proxy.budgets import Budgets
from pollenroad.proxy.calls import FINISH_SHARE, OpenCall
from pollenroad.proxy.fleet import EndpointView
from pollenroad.proxy.refusals import DISPLACED, OVERLOADED
from pollenroad.proxy.route_latencies import RouteLatencies
from pollenroad.verdicts import Verdict

OUTCOME_WEIGHT = 0.1
"""Weight of the newest outcome in the failure share of a service."""

OUTCOME_HALF_LIFE_S = 3.0
"""Time in which the failure share of a service halves without outcomes, in seconds."""


@dataclass(slots=True)
class _Outcomes:
    share: float = 0.0
    at: float = 0.0

    def failure_share(self, now: float) -> float:
        return self.share * 0.5 ** ((now - self.at) / OUTCOME_HALF_LIFE_S)

    def add(self, failed: bool, now: float) -> None:
        share = self.failure_share(now)
        self.share, self.at = share + OUTCOME_WEIGHT * (failed - share), now


class RetryPolicy:
    """Decides on the retries and hedges of one entry.

    Args:
        budgets: The entry's retry budgets.
        latencies: Service times of routes.
        activation: Whether load shedding is enabled; if not, only the budget decides.
    """

    def __init__(self, budgets: Budgets, latencies: RouteLatencies, activation: Activation):
        self._budgets = budgets
        self._latencies = latencies
        self._activation = activation
        self._outcomes_by_service: dict[str, _Outcomes] = {}

    def ended(self, service: str, succeeded: bool, now: float) -> None:
        """Record the end of an attempt that reached a server."""
        self._outcomes_by_service.setdefault(service, _Outcomes()).add(not succeeded, now)

    def chance(self, service: str, view: EndpointView, now: float) -> float:
        """Return the probability that an attempt at an endpoint succeeds.

        It is what the endpoint's guard reports, or else what this entry observed at the service.
        """
        if rejected := view.rejection_share(now):
            return 1 - rejected
        outcomes = self._outcomes_by_service.get(service)
        return 1 - outcomes.failure_share(now) if outcomes else 1.0

    def try_retry(self, call: OpenCall, view: EndpointView, verdict: Verdict, now: float) -> bool:
        """Take a token for a retry at an endpoint if it is worth one; return whether it was taken.

        Args:
            call: The request.
            view: The endpoint.
            verdict: Verdict on the attempt that ended last.
            now: Monotonic time in seconds.
        """
        return self._try_spend(call, view, "retry", verdict is not Verdict.NOT_RUN, now)

    def try_hedge(self, call: OpenCall, view: EndpointView, now: float) -> bool:
        """Take a token for a hedge if it is worth one; return whether it was taken."""
        return self._try_spend(call, view, "hedge", True, now)

    def is_too_late(self, call: OpenCall, reason: str, now: float) -> bool:
        """Return whether a request that a full guard refused should be refused to its caller.

        One that can no longer meet its objective would wait at a second guard, and then return to
        its caller when little time is left for another try.
        """
        if reason not in (OVERLOADED, DISPLACED) or not self._activation.is_enabled:
            return False
        work_s = self._latencies.usual_s(call.route)
        return now + work_s > call.started + call.route.objective_s

    def _try_spend(
        self, call: OpenCall, view: EndpointView, purpose: Purpose, is_rerun: bool, now: float
    ) -> bool:
        budget = self._budgets.of(call.service, now)
        if not self._activation.is_enabled:
            return budget.try_spend(now)
        expected_s = view.expected_s(self._latencies.usual_s(call.route), now)
        if now + FINISH_SHARE * expected_s > call.deadline:
            return False
        chance = self.chance(call.service, view, now)
        return budget.try_spend(Spending(call.rank, purpose, is_rerun, chance), now)
