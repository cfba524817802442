"""The entry side: admits calls of workspaces with tokens from the owners of their quotas.

Load: about 5 calls a second of 74 workspaces at each of 64 entries, a few busy ones, and one that
sends 8 times its usual rate. An entry asks the owner of a share when a call has no token: a pair of
messages for each call at most, fewer where a workspace is busy here. A call waits `WAIT_S` at most.
If the owner does not answer within `HEDGE_S`, the standbys are asked, and then the entry uses its
part of the fallback. An idle workspace costs nothing: there are no renewals, and its lease is
forgotten.
"""

import math
from collections.abc import Iterable

from pollenroad.boundary import PeerLost, PeerReceived, SendPeer, Tick
from pollenroad.limit_messages import LimitGrant, LimitRequest
from pollenroad.limits.token_bucket import TokenBucket
from pollenroad.proxy.quotas.allocation import TOKEN_LIFE_S, QuotaRules, allocate
from pollenroad.proxy.quotas.contact import PING
from pollenroad.proxy.quotas.lease import OpenRequest, QuotaLease, ShareView
from pollenroad.proxy.quotas.membership import CHANGE_S, Membership
from pollenroad.proxy.quotas.outcome import OVER_QUOTA, UNDECIDED, Outcome, Refusal
from pollenroad.proxy.quotas.owned_share import Quota
from pollenroad.proxy.quotas.owner import MAX_TURN_S, NOT_OWNER
from pollenroad.timers import Timers

WAIT_S = 0.1
"""Longest time for which a call waits for a token, in seconds."""

HEDGE_S = 0.04
"""Time without an answer after which the next holder is asked, in seconds: seven round trips
between the most distant failure domains."""

OVERDUE_S = HEDGE_S - 1e-6
"""Age from which a request counts as overdue, in seconds: its timer may be early by rounding."""

SILENT_S = 0.5
"""Time between two probes of a holder that does not answer, in seconds."""

MIN_EMPTY_S = 0.005
"""Shortest time for which a holder without tokens is asked nothing more, in seconds."""

RECHECK_S = 0.25
"""Time after which a holder whose part of the reserve is empty is asked again, in seconds: it may
have become the owner, which takes from a round trip to `CHANGE_S`."""

IDLE_S = 10.0
"""Time without a call after which a lease is forgotten, in seconds; longer than the window, so that
a new lease may begin with a full fallback."""


class Quotas:
    """Quotas of workspaces at one entry.

    Args:
        membership: The daemons that may hand out quotas.
        rules: The bound on the requests of a workspace.
    """

    def __init__(self, membership: Membership, rules: QuotaRules):
        self._membership = membership
        self._rules = rules
        self._lease_by_name: dict[str, QuotaLease] = {}
        self._lease_by_call: dict[str, QuotaLease] = {}
        self._asked_at_by_peer: dict[str, float] = {}
        """When the oldest request was sent to each peer that has not answered since."""
        self._probed_at_by_peer: dict[str, float] = {}
        self._timers = Timers()
        self._sequence = 0

    @property
    def open_leases(self) -> int:
        """Number of workspaces with a lease."""
        return len(self._lease_by_name)

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        return self._timers.next_due()

    def set_rules(self, rules: QuotaRules) -> None:
        """Apply a changed bound."""
        self._rules = rules
        for lease in self._lease_by_name.values():
            lease.allocation = None

    # --- Calls ---

    def admit(self, call_id: str, workspace: Quota, now: float) -> Outcome:
        """Admit a call, refuse it, or let it wait; `forget` ends the wait."""
        outcome = Outcome()
        if not workspace.rate_per_s:
            outcome.admitted.append(call_id)
            return outcome
        lease = self._lease(workspace, now)
        lease.count_call(now)
        if not lease.waiting and lease.take_token(now):
            outcome.admitted.append(call_id)
            self._ask_ahead(lease, outcome, now)
            return outcome
        lease.waiting.append((call_id, now + WAIT_S))
        self._lease_by_call[call_id] = lease
        self._advance(lease, outcome, now)
        return outcome

    def forget(self, call_id: str) -> None:
        """End the wait of a call whose caller has left."""
        lease = self._lease_by_call.pop(call_id, None)
        if lease is not None:
            lease.waiting = [waiting for waiting in lease.waiting if waiting[0] != call_id]

    def handle(self, event: PeerReceived | PeerLost | Tick, now: float) -> Outcome:
        """Process a grant, the loss of a peer, or a due time."""
        outcome = Outcome()
        match event:
            case PeerReceived(peer, LimitGrant() as grant):
                self._on_grant(peer, grant, outcome, now)
            case PeerLost(peer):
                self._on_peer_lost(peer, outcome, now)
            case Tick():
                for kind, name in list(self._timers.pop_due(now)):
                    if kind == "sweep":
                        self._sweep(now)
                    elif lease := self._lease_by_name.get(name):
                        self._advance(lease, outcome, now)
        return outcome

    # --- Leases ---

    def _lease(self, workspace: Quota, now: float) -> QuotaLease:
        lease = self._lease_by_name.get(workspace.name)
        if lease is None:
            lease = self._lease_by_name[workspace.name] = QuotaLease(workspace.name, now)
            if len(self._lease_by_name) == 1:
                self._timers.set(("sweep", ""), now + IDLE_S)
        level = (workspace.rate_per_s, workspace.burst or 0.0)
        if lease.level != level or lease.allocation is None:
            lease.level, lease.allocation, lease.membership_version = level, None, -1
        if lease.membership_version != self._membership.version:
            self._update_shares(lease, now)
        return lease

    def _update_shares(self, lease: QuotaLease, now: float) -> None:
        """Apply a change of the quota or of the daemons; a share with the same holders is kept."""
        members = self._membership
        before, allocation = lease.membership_version, lease.allocation
        domains, daemons = len(members.daemons_by_domain), members.known_daemons
        lease.allocation = allocate(*lease.level, self._rules, domains, daemons)
        lease.membership_version = members.version
        holders = max(1, lease.allocation.holders)
        kept = lease.shares if allocation is not None and before == members.version - 1 else []
        lease.shares = []
        for index in range(lease.allocation.shares):
            chain = members.chain(lease.name, index)[:holders]
            view = kept[index] if index < len(kept) else None
            if view is None or view.chain[:1] != chain[:1]:
                view = ShareView(chain)
            view.chain = chain
            lease.shares.append(view)
        self._update_fallback(lease, now)

    def _update_fallback(self, lease: QuotaLease, now: float) -> None:
        size, entries = lease.allocation.fallback, lease.allocation.fallback_entries
        if size is None or not self._membership.has_fallback(lease.name, entries):
            lease.fallback = None
            return
        tokens = min(size.depth, lease.fallback.tokens) if lease.fallback else size.depth
        lease.fallback = TokenBucket(size.rate_per_s, size.depth, tokens, now)

    def _sweep(self, now: float) -> None:
        for name, lease in list(self._lease_by_name.items()):
            if lease.last_call + IDLE_S <= now and not lease.waiting:
                del self._lease_by_name[name]
        if self._lease_by_name:
            self._timers.set(("sweep", ""), now + IDLE_S)

    # --- Requests for tokens ---

    def _ask_ahead(self, lease: QuotaLease, outcome: Outcome, now: float) -> None:
        wanted = lease.tokens_ahead(now)
        is_low = lease.tokens(now) * 2 <= wanted
        if wanted and is_low and not lease.has_request(now - OVERDUE_S):
            self._ask(lease, 0, outcome, now)

    def _advance(self, lease: QuotaLease, outcome: Outcome, now: float) -> None:
        """Serve the waiting calls with what there is; ask for the rest, or refuse it."""
        while lease.waiting and lease.take_token(now):
            outcome.admitted.append(self._pop_waiting(lease, 0))
        lease.drop_overdue(now)
        missing = len(lease.waiting) - lease.expected_tokens(now - OVERDUE_S)
        is_asked = missing <= 0 or self._ask(lease, missing, outcome, now)
        if not is_asked and (lease.is_empty(now) or not lease.open_by_sequence):
            for _ in range(missing):
                self._decide_alone(lease, -1, outcome, now)
        while lease.waiting and lease.waiting[0][1] <= now:
            self._decide_alone(lease, 0, outcome, now)
        if lease.waiting:
            due = lease.waiting[0][1]
            sent = [r.at for r in lease.open_by_sequence.values() if r.at > now - OVERDUE_S]
            due = min(due, min(sent, default=math.inf) + HEDGE_S)
            self._timers.set(("advance", lease.name), due)
        else:
            self._timers.cancel(("advance", lease.name))

    def _pop_waiting(self, lease: QuotaLease, index: int) -> str:
        call_id, _ = lease.waiting[index]
        del lease.waiting[index]
        self._lease_by_call.pop(call_id, None)
        return call_id

    def _decide_alone(self, lease: QuotaLease, index: int, outcome: Outcome, now: float) -> None:
        """Admit or refuse a waiting call for which no token will arrive."""
        call_id = self._pop_waiting(lease, index)
        is_over = lease.is_over(now)
        if not is_over and lease.take_fallback(now):
            outcome.admitted.append(call_id)
            return
        retry_after_s = lease.retry_after_s(now, MAX_TURN_S)
        if not lease.has_answer(now):  # Holders that did not answer are asked again after that.
            retry_after_s = max(retry_after_s, SILENT_S)
        lease.refused += 1
        reason = OVER_QUOTA if is_over else UNDECIDED
        outcome.refused.append(Refusal(call_id, reason, retry_after_s, lease.details(now)))

    def _ask(self, lease: QuotaLease, tokens: int, outcome: Outcome, now: float) -> bool:
        """Ask the first holder that is expected to have tokens; return whether there is one."""
        for share in lease.shares_in_turn():
            if share.empty_until > now:
                continue
            for peer in share.chain:
                if self._is_silent(peer, now):
                    self._probe(peer, outcome, now)
                elif share.empty_until_by_holder.get(peer, now) <= now:
                    outcome.actions.append(self._request(lease, share, peer, tokens, now))
                    return True
        return False

    def _is_silent(self, peer: str, now: float) -> bool:
        """Return whether a peer has not answered in time."""
        return now - self._asked_at_by_peer.get(peer, now) >= OVERDUE_S

    def _probe(self, peer: str, outcome: Outcome, now: float) -> None:
        """Send a silent peer a request on which no call depends, at most one in `SILENT_S`."""
        asked_at = self._asked_at_by_peer[peer]
        if now - self._probed_at_by_peer.get(peer, asked_at) >= SILENT_S:
            self._probed_at_by_peer[peer] = now
            outcome.actions.append(SendPeer(peer, PING))

    def _request(
        self, lease: QuotaLease, share: ShareView, peer: str, tokens: int, now: float
    ) -> SendPeer:
        self._sequence += 1
        index = lease.used_share(share)
        lease.open_by_sequence[self._sequence] = OpenRequest(index, peer, tokens, now)
        self._asked_at_by_peer.setdefault(peer, now)
        request = LimitRequest(
            workspace=lease.name,
            customer="",
            share=index,
            sequence=self._sequence,
            tokens=tokens,
            tokens_ahead=lease.tokens_ahead(now),
        )
        return SendPeer(peer, request)

    # --- Grants ---

    def _on_grant(self, peer: str, grant: LimitGrant, outcome: Outcome, now: float) -> None:
        self._asked_at_by_peer.pop(peer, None)
        self._probed_at_by_peer.pop(peer, None)
        lease = self._lease_by_name.get(grant.workspace)
        request = lease.open_by_sequence.pop(grant.sequence, None) if lease else None
        if request is None:
            return
        count = grant.tokens + grant.tokens_ahead
        lease.add_tokens(count, request.at + TOKEN_LIFE_S, now)
        if count:
            lease.granted_at, lease.granted_tokens, lease.granted_by = now, count, peer
        lease.refused = 0
        is_empty = grant.tokens < request.tokens or grant.refusal == NOT_OWNER
        if is_empty and request.share < len(lease.shares):
            self._note_empty(lease.shares[request.share], peer, grant, now)
        if lease.waiting:
            self._advance(lease, outcome, now)

    def _note_empty(self, share: ShareView, peer: str, grant: LimitGrant, now: float) -> None:
        if grant.refusal == NOT_OWNER:
            share.empty_until_by_holder[peer] = share.token_at_by_holder[peer] = now + SILENT_S
            return
        empty_until = now + max(MIN_EMPTY_S, grant.retry_after_ms / 1000)
        if grant.refusal:
            share.empty_until_by_holder[peer] = min(empty_until, now + RECHECK_S)
            share.token_at_by_holder[peer] = min(empty_until, now + CHANGE_S)
        else:
            share.empty_until = empty_until
            share.turn_at = now + grant.turn_ms / 1000

    def _on_peer_lost(self, peer: str, outcome: Outcome, now: float) -> None:
        """Ask other holders at once for what was asked of a lost one."""
        if peer not in self._asked_at_by_peer:
            return
        self._asked_at_by_peer[peer] = now - HEDGE_S
        for lease in self._leases_with_requests(peer):
            lost = [s for s, r in lease.open_by_sequence.items() if r.peer == peer]
            for sequence in lost:
                del lease.open_by_sequence[sequence]
            self._advance(lease, outcome, now)

    def _leases_with_requests(self, peer: str) -> Iterable[QuotaLease]:
        leases = self._lease_by_name.values()
        return [x for x in leases if any(r.peer == peer for r in x.open_by_sequence.values())]
