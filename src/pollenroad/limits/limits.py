"""The entry's side of limits per customer: asks owners for leases and spends them on calls.

For each customer in use, an entry holds tokens (for the rate) and permits (for the concurrency)
that the owners of the customer's limit have leased to it; see `pollenroad.limits.limit_owner`. With
steady traffic it asks ahead, so that a call finds its token in hand. A call that finds none waits
a short time for a grant and is refused otherwise. No I/O: see `pollenroad.boundary`.
"""

from pollenroad.boundary import SendPeer
from pollenroad.limit_messages import LimitGrant, LimitRequest, LimitReturn
from pollenroad.limits.limit_documents import LimitDocuments
from pollenroad.limits.limit_lease import CROWD, CustomerLease, Demand, ShareLease
from pollenroad.limits.limit_refusals import Outcome, refuse_call, refuse_customer
from pollenroad.limits.limit_shares import (
    PERMIT_LEASE_S,
    limit_of,
)
from pollenroad.models import Document, WorkspaceDocument
from pollenroad.timers import Timers

WAIT_S = 0.1
"""Longest time that a call waits for a grant, in seconds."""

GRANT_TRAVEL_S = 0.005
"""Time by which an owner's last chance to grant precedes the end of the wait, in seconds."""

HORIZON_S = 0.1
"""Expected traffic that an entry asks for ahead at the least, in seconds."""

AHEAD_SHARE = 0.7
"""Part of a lease's life for which an entry asks ahead, so that few tokens expire."""

LOW_WATER = 0.25
"""Part of the expected traffic that, when left, triggers the next request."""

ASK_GAP_S = 0.02
"""Shortest time between two requests for one share, in seconds."""

CROWDED_GAP_S = 0.05
"""The same while a crowd of calls waits, in seconds."""

REPLY_TIMEOUT_S = WAIT_S + 0.05
"""Time after which an owner without an answer counts as unreachable, in seconds."""

TRIAL_TIMEOUT_S = 0.05
"""The same for an owner that has been passed over before, in seconds."""

SUSPECT_S = 0.5
"""Time for which an unreachable owner is passed over, in seconds."""

SETTLE_S = 0.5
"""Time after the last call of a customer until unused permits are returned, in seconds."""

IDLE_S = 10.0
"""A customer without a call for this time is forgotten, in seconds."""

MAX_CUSTOMERS = 5_000
"""Customers that an entry holds state of; calls of further ones are refused."""

LeaseKey = tuple[str, str]
"""Workspace and customer."""


class Limits:
    """Leases of one entry, by customer."""

    def __init__(self):
        self._documents = LimitDocuments()
        self._lease_by_key: dict[LeaseKey, CustomerLease] = {}
        self._share_by_call: dict[str, tuple[CustomerLease, ShareLease | None]] = {}
        self._timers = Timers()
        self._sequence = 0

    def next_due(self) -> float | None:
        """Return when `tick` is next needed, in monotonic seconds."""
        return self._timers.next_due()

    # --- Configuration ---

    def configure(self, document: Document, now: float) -> None:
        """Take a newer document; leases of shares that keep their owner are kept."""
        workspace = self._documents.configure(document)
        if workspace is None:
            return
        for key, lease in self._lease_by_key.items():
            if key[0] == document.workspace:
                limit = limit_of(workspace, key[1])
                lease.configure(limit, self._documents.owners(document.workspace, limit))

    def _lease(self, document: WorkspaceDocument, customer: str, now: float) -> CustomerLease:
        key = (document.workspace, customer)
        lease = self._lease_by_key.get(key)
        if lease is None:
            limit = limit_of(document, customer)
            lease = CustomerLease(document.workspace, limit, now)
            lease.configure(limit, self._documents.owners(document.workspace, limit))
            self._lease_by_key[key] = lease
            self._timers.set(("idle", key), now + IDLE_S)
        return lease

    # --- Calls ---

    def ask(
        self, call_id: str, workspace: str, customer: str, deadline: float, now: float
    ) -> Outcome:
        """Ask whether a call may go on: at once, after a short wait, or not.

        Args:
            call_id: The call; `ended` must follow for each one that is admitted or waits.
            workspace: Its workspace; one without a document has no limits.
            customer: Its customer.
            deadline: When the caller stops waiting, in monotonic seconds.
            now: Monotonic time in seconds.
        """
        document = self._documents.workspace(workspace)
        if document is None:
            return Outcome(admitted=[call_id])
        known = (workspace, customer) in self._lease_by_key
        if not known and len(self._lease_by_key) >= MAX_CUSTOMERS:
            return Outcome(refused=[refuse_customer(call_id, MAX_CUSTOMERS, IDLE_S)])
        lease = self._lease(document, customer, now)
        lease.count_call(now)
        outcome = Outcome()
        if not lease.waiting and self._admit(lease, call_id, now):
            outcome.admitted.append(call_id)
        elif len(lease.waiting) >= lease.waiting_bound(WAIT_S):
            outcome.refused.append(refuse_call(lease, call_id, WAIT_S, now))
        else:
            self._share_by_call[call_id] = (lease, None)
            lease.waiting.append(call_id)
            lease.wait_until = min(deadline, now + WAIT_S)
            self._timers.set(("wait", call_id), lease.wait_until)
        self._replenish(lease, outcome, now)
        return outcome

    def ended(self, call_id: str, now: float) -> Outcome:
        """Take back the permit of a call that ended, or stop its wait."""
        outcome = Outcome()
        lease, share = self._share_by_call.pop(call_id, (None, None))
        if lease is None:
            return outcome
        if share is None:
            self._timers.cancel(("wait", call_id))
            lease.waiting.remove(call_id)
            return outcome
        share.used -= 1
        if lease.waiting:
            self._serve_waiting(lease, outcome, now)
            self._replenish(lease, outcome, now)
        elif not lease.in_use():
            delay = 0.0 if share.contended else SETTLE_S
            self._timers.set(("settle", lease.key), now + delay)
        return outcome

    def _admit(self, lease: CustomerLease, call_id: str, now: float) -> bool:
        share = lease.take(now)
        if share is None:
            return False
        self._share_by_call[call_id] = (lease, share)
        return True

    def _serve_waiting(self, lease: CustomerLease, outcome: Outcome, now: float) -> None:
        while lease.waiting and self._admit(lease, lease.waiting[0], now):
            call_id = lease.waiting.popleft()
            self._timers.cancel(("wait", call_id))
            outcome.admitted.append(call_id)

    # --- Leases ---

    def _replenish(self, lease: CustomerLease, outcome: Outcome, now: float) -> None:
        """Ask owners for what waits and for what is expected, if it is time."""
        gap_s = ASK_GAP_S if len(lease.waiting) <= CROWD else CROWDED_GAP_S
        share = lease.next_share(now - gap_s, now)
        if share is not None and share.is_on_trial(now):
            self._ask(lease, share, Demand(ahead=1), outcome, now)
            share = lease.next_share(now - gap_s, now)
        demand = self._demand(lease, now)
        if share is not None and demand != Demand():
            self._ask(lease, share, demand, outcome, now)
        if lease.waiting:
            self._timers.set(("ask", lease.key), now + gap_s)

    def _demand(self, lease: CustomerLease, now: float) -> Demand:
        tokens, asked = lease.tokens(now), lease.asked(now)
        horizon_s = max(HORIZON_S, lease.ahead_lease_s() * AHEAD_SHARE)
        expected = lease.rate_per_s(now) * horizon_s
        ahead = 0
        if tokens + asked < expected * LOW_WATER:
            ahead = round(expected - tokens)
        calls = max(0, len(lease.waiting) - asked)
        return Demand(calls, max(0, calls - tokens), ahead)

    def _ask(
        self,
        lease: CustomerLease,
        share: ShareLease,
        demand: Demand,
        outcome: Outcome,
        now: float,
    ) -> None:
        self._sequence += 1
        # With a short queue, another owner that has tokens is better than a wait at this one.
        hurried = len(lease.waiting) <= CROWD and lease.has_plenty_elsewhere(share, now)
        may_wait = demand.tokens and not hurried
        wait_s = max(0.0, lease.wait_until - now - GRANT_TRAVEL_S) if may_wait else 0.0
        request = LimitRequest(
            workspace=lease.workspace,
            customer=lease.limit.name,
            share=share.index,
            sequence=self._sequence,
            tokens=demand.tokens,
            tokens_ahead=demand.ahead,
            in_use=share.used,
            permits=share.used + demand.calls,
            permits_ahead=demand.ahead,
            wait_ms=round(wait_s * 1000, 1),
        )
        peer, on_trial = share.target(now), share.is_on_trial(now)
        share.asked(self._sequence, peer, demand.tokens, now)
        # Permits beyond the request are given up at the moment of asking.
        share.permits = min(share.permits, share.used + demand.calls + demand.ahead)
        timeout_s = TRIAL_TIMEOUT_S if on_trial else REPLY_TIMEOUT_S
        self._timers.set(("reply", lease.key, share.index), now + timeout_s)
        outcome.actions.append(SendPeer(peer, request))

    def on_grant(self, grant: LimitGrant, now: float) -> Outcome:
        """Take a grant; one that answers no open request is dropped."""
        outcome = Outcome()
        lease = self._lease_by_key.get((grant.workspace, grant.customer))
        share = lease.share_at(grant.share) if lease else None
        if share is None or share.open_sequence != grant.sequence:
            return outcome
        timer_key = (lease.key, share.index)
        self._timers.cancel(("reply", *timer_key))
        if grant.refusal:
            share.suspect(now + SUSPECT_S)
            self._replenish(lease, outcome, now)
            return outcome
        share.granted(grant, now)
        if grant.permits:
            self._timers.set(("renew", *timer_key), share.asked_at + PERMIT_LEASE_S / 2)
        self._serve_waiting(lease, outcome, now)
        if lease.waiting:
            self._replenish(lease, outcome, now)
        return outcome

    def peer_lost(self, peer: str, now: float) -> Outcome:
        """Pass over the owner at `peer` for a while, and ask others at once."""
        outcome = Outcome()
        for lease in list(self._lease_by_key.values()):
            lost = [s for s in lease.shares if s.open_sequence and s.asked_peer == peer]
            for share in lost:
                share.suspect(now + SUSPECT_S)
            if lost and lease.waiting:
                self._replenish(lease, outcome, now)
        return outcome

    # --- Time ---

    def tick(self, now: float) -> Outcome:
        """Do what is due at `now`."""
        outcome = Outcome()
        for kind, *rest in list(self._timers.pop_due(now)):
            self._on_due(kind, rest, outcome, now)
        return outcome

    def _on_due(self, kind: str, rest: list, outcome: Outcome, now: float) -> None:
        if kind == "wait":
            self._give_up(rest[0], outcome, now)
            return
        lease = self._lease_by_key.get(rest[0])
        if lease is None:
            return
        match kind:
            case "ask":
                self._serve_waiting(lease, outcome, now)
                if lease.waiting:
                    self._replenish(lease, outcome, now)
            case "settle":
                if not lease.in_use() and not lease.waiting:
                    self._return_permits(lease, outcome, now)
            case "idle":
                self._forget_idle(lease, now)
            case _:
                share = lease.share_at(rest[1])
                if share is not None:
                    self._on_share_due(kind, lease, share, outcome, now)

    def _on_share_due(
        self, kind: str, lease: CustomerLease, share: ShareLease, outcome: Outcome, now: float
    ) -> None:
        match kind:
            case "reply":
                share.suspect(now + SUSPECT_S)
                if lease.waiting:
                    self._replenish(lease, outcome, now)
            case "renew":
                if share.used and not share.open_sequence:
                    self._renew(lease, share, outcome, now)

    def _renew(self, lease: CustomerLease, share: ShareLease, outcome: Outcome, now: float) -> None:
        """Renew the permits of running calls, later if neither owner nor standby is reachable."""
        if share.target(now):
            self._ask(lease, share, Demand(), outcome, now)
        else:
            self._timers.set(("renew", lease.key, share.index), now + SUSPECT_S)

    def _give_up(self, call_id: str, outcome: Outcome, now: float) -> None:
        lease, _ = self._share_by_call.pop(call_id)
        lease.waiting.remove(call_id)
        outcome.refused.append(refuse_call(lease, call_id, WAIT_S, now))

    def _return_permits(self, lease: CustomerLease, outcome: Outcome, now: float) -> None:
        for share in lease.shares:
            if share.give_up_unused(now):
                returned = LimitReturn(
                    lease.workspace, lease.limit.name, share.index, share.permits
                )
                outcome.actions.append(SendPeer(share.asked_peer, returned))

    def _forget_idle(self, lease: CustomerLease, now: float) -> None:
        idle_since = now - IDLE_S
        if lease.last_call <= idle_since and not lease.in_use() and not lease.waiting:
            del self._lease_by_key[lease.key]
        else:
            self._timers.set(("idle", lease.key), now + IDLE_S)


def make_limits() -> Limits:
    """Make the limits of one entry; until a workspace's document comes, it has none."""
    return Limits()
