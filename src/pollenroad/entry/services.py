"""State of an entry for each service that it calls: document, router and budgets."""

import random

from pollenroad.entry.calls import OpenCall
from pollenroad.entry.hedge_policy import HedgePolicy
from pollenroad.entry.retries import (
    EJECTION_REASONS,
    OVERLOADED_REASON,
    SERVER_REASONS,
    Budget,
    make_retry_budget,
)
from pollenroad.entry.routing import Location, Router, make_router
from pollenroad.messages import LoadReport
from pollenroad.models import ServiceDocument
from pollenroad.verdicts import Verdict, is_retry_safe


class Service:
    """Document, router and budgets of one service in use."""

    def __init__(self, document: ServiceDocument, router: Router, now: float):
        self.document = document
        self.router = router
        self.class_by_name = {c.name: c for c in document.classes}
        self.hedge_policy = HedgePolicy(document.retries, router, now)
        self._refusal_budget: Budget = make_retry_budget(document.retries, now)
        self._rerun_budget: Budget = make_retry_budget(document.retries, now)

    def configure(self, document: ServiceDocument, now: float) -> None:
        """Apply a newer document; changed retry rules reset the budgets, estimates are kept."""
        if document.retries != self.document.retries:
            self._refusal_budget = make_retry_budget(document.retries, now)
            self._rerun_budget = make_retry_budget(document.retries, now)
            self.hedge_policy.configure(document.retries, now)
        self.document = document
        self.class_by_name = {c.name: c for c in document.classes}
        self.router.configure(document)

    def record_first_attempt(self, allowance: float) -> None:
        """Credit the budgets for the first attempt of a call with an allowance from 0 to 1."""
        self._refusal_budget.deposit()
        self._rerun_budget.deposit(allowance)
        self.hedge_policy.record_first_attempt(allowance)

    def try_acquire_retry(self, call: OpenCall, verdict: Verdict, reason: str, now: float) -> bool:
        """Return whether a call may be retried, and spend the tokens that the retry needs.

        Args:
            call: A call without open attempts.
            verdict: Verdict of its last attempt.
            reason: Reason code of that verdict.
            now: Monotonic time in seconds.
        """
        if call.attempts >= call.request_class.max_attempts or now >= call.deadline:
            return False
        idempotent = call.request_class.idempotent
        if not is_retry_safe(verdict, idempotent) or (call.may_have_run and not idempotent):
            return False
        if reason in EJECTION_REASONS:
            return True
        if reason == OVERLOADED_REASON and self.router.spare_share(now) <= 0:
            return False
        may_rerun = verdict is Verdict.UNKNOWN or reason in SERVER_REASONS
        if may_rerun and (call.allowance <= 0 or not self._rerun_budget.try_spend(now)):
            return False
        call.may_rerun_downstream |= may_rerun
        return self._refusal_budget.try_spend(now)

    def _has_capacity_elsewhere(self, call: OpenCall, now: float) -> bool:
        """Return whether another guard may admit a refused call, by a free slot or its worth."""
        worths = {c.worth for c in self.document.classes}
        is_highest = len(worths) > 1 and call.request_class.worth == max(worths)
        return is_highest or self.router.spare_share(now) > 0


class Services:
    """Services with a known document; state is created only for those in use."""

    def __init__(self, location: Location, rng: random.Random):
        self._location = location
        self._rng = rng
        self._document_by_key: dict[str, ServiceDocument] = {}
        self._service_by_key: dict[str, Service] = {}
        self._excluded_vms: frozenset[str] = frozenset()

    def __getitem__(self, key: str) -> Service:
        return self._service_by_key[key]

    def get_or_create(self, key: str, now: float) -> Service | None:
        """Return the service `key`, created at first use; None if it has no document."""
        if key not in self._service_by_key and key in self._document_by_key:
            document = self._document_by_key[key]
            router = make_router(document, self._location, self._rng)
            router.exclude(self._excluded_vms)
            self._service_by_key[key] = Service(document, router, now)
        return self._service_by_key.get(key)

    def configure(self, document: ServiceDocument, now: float) -> None:
        """Apply a newer document."""
        self._document_by_key[document.key] = document
        if document.key in self._service_by_key:
            self._service_by_key[document.key].configure(document, now)

    def exclude(self, vms: frozenset[str]) -> None:
        """Exclude the endpoints on these VMs from new attempts."""
        self._excluded_vms = vms
        for service in self._service_by_key.values():
            service.router.exclude(vms)

    def learn(self, report: LoadReport, now: float) -> None:
        """Apply the load report of an endpoint."""
        if report.service in self._service_by_key:
            self._service_by_key[report.service].router.learn(report, now)

    def unreachable(self, address: str, now: float) -> None:
        """Eject the endpoints behind a broken link to the daemon at `address`."""
        for service in self._service_by_key.values():
            service.router.unreachable(address, now)
