"""The quotas of one daemon: entry side, owner side, and what both know of the fleet.

Active only while the configuration in force has a workspace with a quota.
"""

import random
from collections.abc import Iterable

from pollenroad.boundary import PeerLost, PeerReceived, Tick
from pollenroad.limit_messages import LimitGrant, LimitRequest, LimitReturn
from pollenroad.proxy.quotas.allocation import QuotaRules
from pollenroad.proxy.quotas.contact import Contact
from pollenroad.proxy.quotas.membership import Membership
from pollenroad.proxy.quotas.outcome import Outcome
from pollenroad.proxy.quotas.owned_share import Quota
from pollenroad.proxy.quotas.owner import QuotaOwner
from pollenroad.proxy.quotas.quotas import Quotas
from pollenroad.published import RegisteredEndpoint


class QuotaCore:
    """Quotas of workspaces at one daemon.

    Args:
        address: Peer address of this daemon.
        failure_domain: Failure domain of this daemon.
        rules: The bound on the requests of a workspace.
        rng: Source of random choices.
        now: Monotonic time in seconds.
    """

    def __init__(
        self, address: str, failure_domain: str, rules: QuotaRules, rng: random.Random, now: float
    ):
        self.rules = rules
        self.membership = Membership(address, failure_domain)
        self.contact = Contact(self.membership, rng)
        self.quotas = Quotas(self.membership, rules)
        self.owner = QuotaOwner(self.membership, self.contact, rules, now)
        self.is_active = False
        """Whether any workspace has a quota."""

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        due = self.quotas.next_due()
        if not self.is_active:
            return due
        ping_due = self.contact.next_due()
        return ping_due if due is None else min(due, ping_due)

    def set_rules(self, rules: QuotaRules, now: float) -> None:
        """Apply a changed bound."""
        if rules != self.rules:
            self.rules = rules
            self.quotas.set_rules(rules)
            self.owner.set_rules(rules, now)

    def configure(self, workspaces: Iterable[Quota], now: float) -> None:
        """Apply the workspaces of the configuration in force."""
        by_name = {w.name: w for w in workspaces if w.rate_per_s}
        self.is_active = bool(by_name)
        self.owner.configure(by_name, now)

    def endpoints_changed(self, endpoints: Iterable[RegisteredEndpoint], now: float) -> None:
        """Apply the registered endpoints."""
        if self.membership.update(endpoints, now):
            self.owner.membership_changed(now)

    def admit(self, call_id: str, workspace: Quota, now: float) -> Outcome:
        """Admit a call, refuse it, or let it wait."""
        return self.quotas.admit(call_id, workspace, now)

    def forget(self, call_id: str) -> None:
        """End the wait of a call whose caller has left."""
        self.quotas.forget(call_id)

    def handle(self, event: PeerReceived | PeerLost | Tick, now: float) -> Outcome:
        """Process a message about quotas, the loss of a peer, or a due time."""
        match event:
            case PeerReceived(peer, LimitGrant() | LimitReturn()):
                self.contact.heard(peer, now)
        match event:
            case PeerReceived(_, LimitRequest() | LimitReturn()):
                return Outcome(actions=self.owner.handle(event, now))
            case PeerReceived(_, LimitGrant(workspace="") as answer):
                at = now - answer.known_age_ms / 1000
                self.membership.learn_size(answer.known_daemons, at, now)
                return self.quotas.handle(event, now)
            case PeerReceived(_, LimitGrant()) | PeerLost():
                return self.quotas.handle(event, now)
            case Tick():
                outcome = self.quotas.handle(event, now)
                if self.is_active:
                    outcome.actions += self.contact.ping(now)
                return outcome
        return Outcome()
