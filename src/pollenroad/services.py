"""What an entry keeps of each service that it calls: document, router and budgets."""

from pollenroad.calls import OpenCall
from pollenroad.hedges import Hedges
from pollenroad.models import ServiceDocument
from pollenroad.retries import (
    SERVER_REASONS,
    TEACHING_REASONS,
    Budget,
    make_retry_budget,
)
from pollenroad.routing import Router
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
        may_rerun = verdict is Verdict.UNKNOWN or reason in SERVER_REASONS
        if may_rerun and (call.allowance <= 0 or not self._rerun_budget.spend(now)):
            return False
        call.may_run_again |= may_rerun
        return self._refusal_budget.spend(now)
