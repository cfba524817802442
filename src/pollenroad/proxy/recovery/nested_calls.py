"""Which runs at a server failed because calls of that server were refused in the local entry.

Load: the servers of a small service are short of capacity, and runs of another service end with a
server error after most of their work, since a call to the small service was refused. The guard of
such a run does not see which requests at its daemon's entry belong to it: clients on the VM send
requests too, and several runs are in progress at once. So it compares, for each pair of routes, how
often a run fails if a request of the other route failed meanwhile, and how often it fails without.
"""

import math
from dataclasses import dataclass, field

HALF_LIFE_S = 10.0
"""Time in which the weight of an observation halves, in seconds: longer than a burst, shorter than
the time in which servers and their calls change."""

MIN_FAILED_RUNS = 1.5
"""Weight of the failed runs of a pair from which it can be related: two recent ones."""

MIN_DIFFERENCE = 0.1
"""Least difference between the two failure shares of related routes."""

DEVIATIONS = 2.0
"""Least difference in standard deviations of such a difference between unrelated routes."""

PRIOR_RUNS = 8.0
"""Least number of runs without a failed request meanwhile; those that were not observed are assumed
not to have failed. After a power loss requests fail all the time, and there is no other run for
comparison."""

MIN_RATIO = 2.0
"""Least ratio of the two failure shares of related routes: the runs of a server that fails on its
own fail about as often either way."""

FORGET_WEIGHT = 0.05
"""Weight of observations below which they are dropped, so that old pairs do not accumulate."""


@dataclass(slots=True)
class _Outcomes:
    """Decayed numbers of runs and of failed ones among them."""

    runs: float = 0.0
    failed: float = 0.0
    at: float = 0.0

    def decay(self, now: float) -> None:
        share = 0.5 ** (max(0.0, now - self.at) / HALF_LIFE_S)
        self.runs, self.failed, self.at = self.runs * share, self.failed * share, now

    def add(self, has_failed: bool, now: float) -> None:
        self.decay(now)
        self.runs += 1
        self.failed += has_failed


@dataclass(slots=True)
class _Run:
    route: str
    failed_calls: set[str] = field(default_factory=set)
    """Routes of the requests that failed in the local entry during the run."""


class NestedCalls:
    """Runs in progress at one server, and the learned relations between their routes."""

    def __init__(self):
        self._run_by_attempt: dict[str, _Run] = {}
        self._all_by_route: dict[str, _Outcomes] = {}
        self._with_failed_call: dict[tuple[str, str], _Outcomes] = {}
        """Outcomes of the runs of a route during which a request of another route failed."""

    def __len__(self) -> int:
        return len(self._run_by_attempt)

    def running(self, route: str) -> int:
        """Return the number of runs of a route in progress."""
        return sum(run.route == route for run in self._run_by_attempt.values())

    def started(self, attempt_id: str, route: str) -> None:
        """Record the start of a run."""
        self._run_by_attempt[attempt_id] = _Run(route)

    def call_failed(self, route: str) -> None:
        """Record a request of a route that failed, or was refused, in the local entry."""
        for run in self._run_by_attempt.values():
            run.failed_calls.add(route)

    def ended(self, attempt_id: str, has_failed: bool | None, now: float) -> tuple[str, ...]:
        """Record the end of a run.

        Args:
            attempt_id: The run.
            has_failed: Whether the server answered with an error; None without an answer, which
                says nothing about its calls.
            now: Monotonic time in seconds.

        Returns:
            Routes of the refused calls because of which it has probably failed.
        """
        run = self._run_by_attempt.pop(attempt_id, None)
        if run is None or has_failed is None:
            return ()
        self._all_by_route.setdefault(run.route, _Outcomes()).add(has_failed, now)
        for call in run.failed_calls:
            self._with_failed_call.setdefault((run.route, call), _Outcomes()).add(has_failed, now)
        if not has_failed:
            return ()
        return tuple(sorted(c for c in run.failed_calls if self._are_related(run.route, c, now)))

    def _are_related(self, run_route: str, call_route: str, now: float) -> bool:
        """Return whether runs of a route fail because requests of another one failed meanwhile."""
        every, during = self._all_by_route[run_route], self._with_failed_call[run_route, call_route]
        self._forget(now)
        if during.failed < MIN_FAILED_RUNS:
            return False
        share = during.failed / during.runs
        others = max(PRIOR_RUNS, every.runs - during.runs)
        other_share = max(0.0, every.failed - during.failed) / others
        pooled = every.failed / (during.runs + others)
        deviation = math.sqrt(pooled * (1 - pooled) * (1 / during.runs + 1 / others))
        difference = max(MIN_DIFFERENCE, DEVIATIONS * deviation, (MIN_RATIO - 1) * other_share)
        return share - other_share >= difference

    def _forget(self, now: float) -> None:
        for outcomes_by_key in (self._all_by_route, self._with_failed_call):
            for key, outcomes in list(outcomes_by_key.items()):
                outcomes.decay(now)
                if outcomes.runs < FORGET_WEIGHT:
                    del outcomes_by_key[key]
