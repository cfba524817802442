"""What an entry keeps of each service that it calls: document, router and budgets."""

from pollenroad.models import ServiceDocument
from pollenroad.retries import Budget, make_hedge_budget, make_retry_budget
from pollenroad.routing import Router


class Service:
    """What an entry keeps of one service in use."""

    def __init__(self, document: ServiceDocument, router: Router, now: float):
        self.document = document
        self.router = router
        self.class_by_name = {c.name: c for c in document.classes}
        self.retry_budget: Budget = make_retry_budget(document.retries, now)
        self.hedge_budget: Budget = make_hedge_budget(document.retries, now)

    def configure(self, document: ServiceDocument, now: float) -> None:
        """Take a newer document; load estimates are kept, budgets only if their rules are."""
        if document.retries != self.document.retries:
            self.retry_budget = make_retry_budget(document.retries, now)
            self.hedge_budget = make_hedge_budget(document.retries, now)
        self.document = document
        self.class_by_name = {c.name: c for c in document.classes}
        self.router.configure(document)
