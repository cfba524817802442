"""Limits per customer at the entry: requests leases from owners and admits calls with them.

For each active customer, an entry holds tokens (rate limit) and permits (concurrency limit) that
the owners of the customer's limit have leased to it; see `pollenroad.limits.limit_owner`. It
prefetches tokens for the expected calls, so that with steady traffic a call need not wait. A call
without a token waits a short time for a grant and is then refused.
"""

from pollenroad.boundary import SendPeer
from pollenroad.limit_messages import LimitGrant, LimitRequest, LimitReturn
from pollenroad.limits.limit_documents import LimitDocuments
from pollenroad.limits.limit_lease import SHORT_QUEUE_CALLS, CustomerLease, Demand, ShareLease
from pollenroad.limits.limit_refusals import Outcome, refuse_call, refuse_customer
from pollenroad.limits.limit_shares import (
    PERMIT_LEASE_S,
    limit_of,
)
from pollenroad.models import Document, WorkspaceDocument
from pollenroad.timers import Timers

WAIT_S = 0.1
"""Longest time for which a call waits for a grant, in seconds."""

GRANT_TRANSIT_S = 0.005
"""Transit time of a grant, in seconds: the owner must answer this long before the wait ends."""

MIN_PREFETCH_S = 0.1
"""Shortest period whose expected calls are prefetched, in seconds."""

PREFETCH_LEASE_RATIO = 0.7
"""Fraction of a lease's lifetime whose expected calls are prefetched: few tokens expire unused."""

LOW_WATER_RATIO = 0.25
"""Tokens, as a fraction of the expected calls, below which more tokens are requested."""

REQUEST_GAP_S = 0.02
"""Shortest time between two requests for one share, in seconds."""

LONG_QUEUE_GAP_S = 0.05
"""The same while more than `SHORT_QUEUE_CALLS` calls wait, in seconds."""

REPLY_TIMEOUT_S = WAIT_S + 0.05
"""Time without an answer after which an owner is suspected as unreachable, in seconds."""

PROBE_TIMEOUT_S = 0.05
"""The same for an owner that has not answered since it was last suspected, in seconds."""

SUSPECT_S = 0.5
"""Time for which a suspected owner is skipped, in seconds."""

PERMIT_RETURN_DELAY_S = 0.5
"""Time from the end of a customer's last call until unused permits are returned, in seconds."""

IDLE_S = 10.0
"""Time without a call after which the state of a customer is deleted, in seconds."""

MAX_CUSTOMERS = 5_000
"""Most customers for which an entry keeps state; calls of further ones are refused."""

LeaseKey = tuple[str, str]
"""Workspace and customer."""


class Limits:
    """Rate and concurrency limits at one entry: its leases, by customer."""

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
        """Put a newer document in force; shares whose owners are unchanged keep their leases."""
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

    def admit(
        self, call_id: str, workspace: str, customer: str, deadline: float, now: float
    ) -> Outcome:
        """Admit a call, let it wait for a grant, or refuse it.

        Args:
            call_id: Id of the call; `ended` must be called for each one that is admitted or waits.
            workspace: Workspace of the call; one without a document has no limits.
            customer: Customer of the call.
            deadline: Deadline of the call, in monotonic seconds.
            now: Monotonic time in seconds.
        """
        document = self._documents.workspace(workspace)
        if document is None:
            return Outcome(admitted=[call_id])
        is_known = (workspace, customer) in self._lease_by_key
        if not is_known and len(self._lease_by_key) >= MAX_CUSTOMERS:
            return Outcome(refused=[refuse_customer(call_id, MAX_CUSTOMERS, IDLE_S)])
        lease = self._lease(document, customer, now)
        lease.count_call(now)
        outcome = Outcome()
        if not lease.waiting and self._try_admit(lease, call_id, now):
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
        """Release the permit of a call that ended, or cancel its wait."""
        outcome = Outcome()
        lease, share = self._share_by_call.pop(call_id, (None, None))
        if lease is None:
            return outcome
        if share is None:
            self._timers.cancel(("wait", call_id))
            lease.waiting.remove(call_id)
            return outcome
        share.used_permits -= 1
        if lease.waiting:
            self._serve_waiting(lease, outcome, now)
            self._replenish(lease, outcome, now)
        elif not lease.total_used_permits():
            delay = 0.0 if share.contended else PERMIT_RETURN_DELAY_S
            self._timers.set(("settle", lease.key), now + delay)
        return outcome

    def _try_admit(self, lease: CustomerLease, call_id: str, now: float) -> bool:
        share = lease.try_acquire(now)
        if share is None:
            return False
        self._share_by_call[call_id] = (lease, share)
        return True

    def _serve_waiting(self, lease: CustomerLease, outcome: Outcome, now: float) -> None:
        while lease.waiting and self._try_admit(lease, lease.waiting[0], now):
            call_id = lease.waiting.popleft()
            self._timers.cancel(("wait", call_id))
            outcome.admitted.append(call_id)

    # --- Leases ---

    def _replenish(self, lease: CustomerLease, outcome: Outcome, now: float) -> None:
        """Request tokens and permits for waiting and expected calls if a share can be asked."""
        gap_s = REQUEST_GAP_S if len(lease.waiting) <= SHORT_QUEUE_CALLS else LONG_QUEUE_GAP_S
        share = lease.next_share(now - gap_s, now)
        if share is not None and share.is_probe_due(now):
            self._send_request(lease, share, Demand(expected_calls=1), outcome, now)
            share = lease.next_share(now - gap_s, now)
        demand = self._demand(lease, now)
        if share is not None and demand != Demand():
            self._send_request(lease, share, demand, outcome, now)
        if lease.waiting:
            self._timers.set(("ask", lease.key), now + gap_s)

    def _demand(self, lease: CustomerLease, now: float) -> Demand:
        tokens, pending = lease.tokens(now), lease.pending_tokens(now)
        horizon_s = max(MIN_PREFETCH_S, lease.prefetch_lease_s() * PREFETCH_LEASE_RATIO)
        expected = lease.rate_per_s(now) * horizon_s
        prefetch = 0
        if tokens + pending < expected * LOW_WATER_RATIO:
            prefetch = round(expected - tokens)
        calls = max(0, len(lease.waiting) - pending)
        return Demand(calls, max(0, calls - tokens), prefetch)

    def _send_request(
        self,
        lease: CustomerLease,
        share: ShareLease,
        demand: Demand,
        outcome: Outcome,
        now: float,
    ) -> None:
        self._sequence += 1
        # With a short queue, a request to another owner with tokens is faster than a wait here.
        use_alternative = len(lease.waiting) <= SHORT_QUEUE_CALLS and lease.has_alternative(
            share, now
        )
        can_wait = demand.tokens and not use_alternative
        wait_s = max(0.0, lease.wait_until - now - GRANT_TRANSIT_S) if can_wait else 0.0
        request = LimitRequest(
            workspace=lease.workspace,
            customer=lease.limit.name,
            share=share.index,
            sequence=self._sequence,
            tokens=demand.tokens,
            tokens_ahead=demand.expected_calls,
            in_use=share.used_permits,
            permits=share.used_permits + demand.waiting_calls,
            permits_ahead=demand.expected_calls,
            wait_ms=round(wait_s * 1000, 1),
        )
        peer, is_probe = share.target(now), share.is_probe_due(now)
        share.record_request(self._sequence, peer, demand.tokens, now)
        # Permits beyond the request are released when it is sent.
        share.permits = min(
            share.permits, share.used_permits + demand.waiting_calls + demand.expected_calls
        )
        timeout_s = PROBE_TIMEOUT_S if is_probe else REPLY_TIMEOUT_S
        self._timers.set(("reply", lease.key, share.index), now + timeout_s)
        outcome.actions.append(SendPeer(peer, request))

    def on_grant(self, grant: LimitGrant, now: float) -> Outcome:
        """Apply a grant; one that does not answer the open request is dropped."""
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
        share.apply_grant(grant, now)
        if grant.permits:
            self._timers.set(("renew", *timer_key), share.requested_at + PERMIT_LEASE_S / 2)
        self._serve_waiting(lease, outcome, now)
        if lease.waiting:
            self._replenish(lease, outcome, now)
        return outcome

    def peer_lost(self, peer: str, now: float) -> Outcome:
        """Suspect the owner at `peer`; if calls wait for its grant, ask other owners at once."""
        outcome = Outcome()
        for lease in list(self._lease_by_key.values()):
            lost = [s for s in lease.shares if s.open_sequence and s.last_peer == peer]
            for share in lost:
                share.suspect(now + SUSPECT_S)
            if lost and lease.waiting:
                self._replenish(lease, outcome, now)
        return outcome

    # --- Time ---

    def tick(self, now: float) -> Outcome:
        """Run the timers that are due at `now`."""
        outcome = Outcome()
        for kind, *rest in list(self._timers.pop_due(now)):
            self._on_due(kind, rest, outcome, now)
        return outcome

    def _on_due(self, kind: str, rest: list, outcome: Outcome, now: float) -> None:
        if kind == "wait":
            self._on_wait_timeout(rest[0], outcome, now)
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
                if not lease.total_used_permits() and not lease.waiting:
                    self._return_permits(lease, outcome, now)
            case "idle":
                self._delete_idle(lease, now)
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
                if share.used_permits and not share.open_sequence:
                    self._renew(lease, share, outcome, now)

    def _renew(self, lease: CustomerLease, share: ShareLease, outcome: Outcome, now: float) -> None:
        """Renew the permits of running calls, later if owner and standby are both suspected."""
        if share.target(now):
            self._send_request(lease, share, Demand(), outcome, now)
        else:
            self._timers.set(("renew", lease.key, share.index), now + SUSPECT_S)

    def _on_wait_timeout(self, call_id: str, outcome: Outcome, now: float) -> None:
        lease, _ = self._share_by_call.pop(call_id)
        lease.waiting.remove(call_id)
        outcome.refused.append(refuse_call(lease, call_id, WAIT_S, now))

    def _return_permits(self, lease: CustomerLease, outcome: Outcome, now: float) -> None:
        for share in lease.shares:
            if share.release_unused(now):
                returned = LimitReturn(
                    lease.workspace, lease.limit.name, share.index, share.permits
                )
                outcome.actions.append(SendPeer(share.last_peer, returned))

    def _delete_idle(self, lease: CustomerLease, now: float) -> None:
        idle_since = now - IDLE_S
        if lease.last_call <= idle_since and not lease.total_used_permits() and not lease.waiting:
            del self._lease_by_key[lease.key]
        else:
            self._timers.set(("idle", lease.key), now + IDLE_S)


def make_limits() -> Limits:
    """Return the limits of one entry; a workspace has none until its document is in force."""
    return Limits()
