"""What an entry keeps of each service that it calls: document, router and budgets."""

import random

from pollenroad.entry.calls import OpenCall
from pollenroad.entry.hedges import Hedges
from pollenroad.entry.retries import (
    FULL_REASON,
    SERVER_REASONS,
    TEACHING_REASONS,
    Budget,
    make_retry_budget,
)
from pollenroad.entry.routing import Router, RouterPlace, make_router
from pollenroad.messages import LoadReport
from pollenroad.models import ServiceDocument
from pollenroad.verdicts import Verdict, may_retry


class Service:
    """What an entry keeps of one service in use."""

    def __init__(self, document: ServiceDocument, router: Router, now: float):
        self.document = document
        self.router = router
        self.class_by_name = {c.name: c for c in document.classes}
        self.hedges = Hedges(document.retries, router, now)
        self._refusal_budget: Budget = make_retry_budget(document.retries, now)
        self._rerun_budget: Budget = make_retry_budget(document.retries, now)

    def configure(self, document: ServiceDocument, now: float) -> None:
        """Take a newer document; load estimates are kept, budgets only if their rules are."""
        if document.retries != self.document.retries:
            self._refusal_budget = make_retry_budget(document.retries, now)
            self._rerun_budget = make_retry_budget(document.retries, now)
            self.hedges.configure(document.retries, now)
        self.document = document
        self.class_by_name = {c.name: c for c in document.classes}
        self.router.configure(document)

    def first_attempt(self, allowance: float) -> None:
        """Pay the share of one first attempt into the budgets."""
        self._refusal_budget.first_attempt()
        self._rerun_budget.first_attempt(allowance)
        self.hedges.first_attempt(allowance)

    def try_again(self, call: OpenCall, verdict: Verdict, reason: str, now: float) -> bool:
        """Decide on a retry, and take it from the budgets.

        Args:
            call: The call, none of whose attempts is open.
            verdict: Verdict on its last attempt.
            reason: Reason code that came with the verdict.
            now: Monotonic time in seconds.
        """
        if call.attempts >= call.request_class.max_attempts or now >= call.deadline:
            return False
        idempotent = call.request_class.idempotent
        if not may_retry(verdict, idempotent) or (call.maybe_ran and not idempotent):
            return False
        if reason in TEACHING_REASONS:
            return True
        if reason == FULL_REASON and self.router.spare_share(now) <= 0:
            return False
        may_rerun = verdict is Verdict.UNKNOWN or reason in SERVER_REASONS
        if may_rerun and (call.allowance <= 0 or not self._rerun_budget.spend(now)):
            return False
        call.may_run_again |= may_rerun
        return self._refusal_budget.spend(now)

    def _may_find_place(self, call: OpenCall, now: float) -> bool:
        """Tell whether another guard may take a refused call: a free slot, or by its worth."""
        worths = {c.worth for c in self.document.classes}
        is_highest = len(worths) > 1 and call.request_class.worth == max(worths)
        return is_highest or self.router.spare_share(now) > 0


class Services:
    """The services of which an entry knows a document; state is kept for those in use only."""

    def __init__(self, place: RouterPlace, rng: random.Random):
        self._place = place
        self._rng = rng
        self._document_by_key: dict[str, ServiceDocument] = {}
        self._service_by_key: dict[str, Service] = {}
        self._excluded_vms: frozenset[str] = frozenset()

    def __getitem__(self, key: str) -> Service:
        return self._service_by_key[key]

    def of(self, key: str, now: float) -> Service | None:
        """Return the service with this key, made at its first use; None without a document."""
        if key not in self._service_by_key and key in self._document_by_key:
            document = self._document_by_key[key]
            router = make_router(document, self._place, self._rng)
            router.exclude(self._excluded_vms)
            self._service_by_key[key] = Service(document, router, now)
        return self._service_by_key.get(key)

    def configure(self, document: ServiceDocument, now: float) -> None:
        """Take a newer document."""
        self._document_by_key[document.key] = document
        if document.key in self._service_by_key:
            self._service_by_key[document.key].configure(document, now)

    def exclude(self, vms: frozenset[str]) -> None:
        """Send no new work to endpoints on these VMs."""
        self._excluded_vms = vms
        for service in self._service_by_key.values():
            service.router.exclude(vms)

    def learn(self, report: LoadReport, now: float) -> None:
        """Take a load report of an endpoint."""
        if report.service in self._service_by_key:
            self._service_by_key[report.service].router.learn(report, now)

    def unreachable(self, address: str, now: float) -> None:
        """Count a broken link to the daemon at `address`."""
        for service in self._service_by_key.values():
            service.router.unreachable(address, now)
