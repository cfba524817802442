"""The owner core: grants the shares of customers' limits that this daemon owns.

An owner keeps an exact token bucket for each share in use and counts the permits that each entry
has leased. It serves waiting requests in order of arrival. Nothing is persisted: a restarted owner
starts without tokens, learns which permits are in use from the entries' next requests, and grants
only a fraction of its permits until every lease of its previous incarnation has expired.
"""

import math
from collections import deque
from dataclasses import dataclass, field

from pollenroad.boundary import Action, DocumentInForce, Event, PeerReceived, SendPeer, Tick
from pollenroad.limit_messages import LimitGrant, LimitRequest, LimitReturn
from pollenroad.limits.limit_documents import LimitDocuments
from pollenroad.limits.limit_shares import (
    LEASE_S,
    LONGEST_LEASE_S,
    PERMIT_LEASE_S,
    STANDBY_RATIO,
    limit_of,
    long_lease_tokens,
    share_burst,
    share_concurrency,
    standby_burst,
)
from pollenroad.limits.token_bucket import TokenBucket
from pollenroad.models import Document

SERVE_GAP_S = 0.05
"""Shortest time between two rounds of serving a share's waiting requests, in seconds."""

PREFETCH_RESERVE_DIVISOR = 4
"""Prefetch leaves the burst divided by this number in the bucket, for waiting calls."""

USAGE_WINDOW_S = 1.0
"""Time constant of the estimate of a share's usage rate, in seconds."""

WARM_UP_RATIO = 0.2
"""Fraction of its permits that an owner grants until `PERMIT_LEASE_S` after its start."""

IDLE_S = 10.0
"""Time without a request after which the state of a share is deleted, in seconds."""

ShareKey = tuple[str, str, int]
"""Workspace, customer and index of a share."""


@dataclass(slots=True)
class _PermitLease:
    permits: int
    expires_at: float


@dataclass(slots=True)
class _PendingRequest:
    peer: str
    request: LimitRequest
    received: float
    due: float


@dataclass(slots=True)
class _Share:
    bucket: TokenBucket
    capacity: int
    long_lease_bound: int
    """Tokens that may be in long leases (longer than `LEASE_S`) at once."""
    last_used: float
    usage_per_s: float = 0.0
    usage_at: float = float("-inf")
    long_leases: deque[tuple[float, int]] = field(default_factory=deque)
    """Expiry time and tokens of the current long leases, in order of expiry."""
    last_served: float = float("-inf")
    permits_by_peer: dict[str, _PermitLease] = field(default_factory=dict)
    pending: deque[_PendingRequest] = field(default_factory=deque)
    contended_until: float = float("-inf")


class LimitOwner:
    """The shares of customers' limits that one daemon grants."""

    def __init__(self, address: str, now: float):
        self._address = address
        self._started = now
        self._documents = LimitDocuments()
        self._share_by_key: dict[ShareKey, _Share] = {}
        self._waiting_keys: set[ShareKey] = set()
        self._next_sweep = now + IDLE_S

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        dues = [_serve_due(self._share_by_key[key]) for key in self._waiting_keys]
        if self._share_by_key:
            dues.append(self._next_sweep)
        return min(dues, default=None)

    def handle(self, event: Event, now: float) -> list[Action]:
        """Process one event; return the resulting actions."""
        match event:
            case PeerReceived(peer, LimitRequest() as request):
                return self._on_request(peer, request, now)
            case PeerReceived(peer, LimitReturn() as returned):
                self._on_return(peer, returned, now)
            case DocumentInForce(document):
                self._on_document(document, now)
            case Tick():
                return self._on_tick(now)
        return []

    # --- Configuration ---

    def _on_document(self, document: Document, now: float) -> None:
        if self._documents.configure(document) is None:
            return
        for key in [key for key in self._share_by_key if key[0] == document.workspace]:
            self._resize(key, now)

    def _resize(self, key: ShareKey, now: float) -> None:
        share = self._share_by_key[key]
        resized = self._make_share(key, now)
        if resized is None:
            if not share.pending:
                del self._share_by_key[key]
            return
        share.bucket.refill(now)
        resized.bucket.tokens = min(resized.bucket.burst, share.bucket.tokens)
        share.bucket = resized.bucket
        share.capacity = resized.capacity
        share.long_lease_bound = resized.long_lease_bound

    def _make_share(self, key: ShareKey, now: float) -> _Share | None:
        """Return a new share for `key`, or None if this daemon is neither its owner nor standby."""
        workspace, customer, index = key
        document = self._documents.workspace(workspace)
        if document is None:
            return None
        limit = limit_of(document, customer)
        owners = self._documents.owners(workspace, limit)
        if index >= len(owners) or self._address not in (
            owners[index].primary,
            owners[index].standby,
        ):
            return None
        rate = limit.rate_per_s / len(owners)
        capacity = share_concurrency(limit, len(owners), index)
        burst = share_burst(rate)
        long_lease_bound = long_lease_tokens(rate)
        if owners[index].primary != self._address:
            rate *= STANDBY_RATIO
            burst = standby_burst(rate)
            capacity = int(capacity * STANDBY_RATIO) or 1
            long_lease_bound = 0
        # Tokens accrue only from the start of this daemon, also for a share first used later.
        bucket = TokenBucket(rate, burst, 0.0, self._started)
        bucket.refill(now)
        return _Share(bucket, capacity, long_lease_bound, now)

    # --- Requests ---

    def _on_request(self, peer: str, request: LimitRequest, now: float) -> list[Action]:
        key = (request.workspace, request.customer, request.share)
        share = self._share_by_key.get(key) or self._make_share(key, now)
        if share is None:
            return [SendPeer(peer, _make_grant(request, refusal="not-owner"))]
        self._share_by_key[key] = share
        share.last_used = now
        share.bucket.refill(now)
        pending = _PendingRequest(peer, request, now, now + request.wait_ms / 1000)
        must_wait = bool(share.pending) or not share.bucket.has_token()
        if request.tokens and request.wait_ms and must_wait:
            share.pending.append(pending)
            self._waiting_keys.add(key)
            return []
        return [self._serve(share, pending, now)]

    def _on_return(self, peer: str, returned: LimitReturn, now: float) -> None:
        share = self._share_by_key.get((returned.workspace, returned.customer, returned.share))
        if share is None:
            return
        lease = share.permits_by_peer.get(peer)
        if lease is not None:
            lease.permits = min(lease.permits, returned.permits)

    def _serve(self, share: _Share, pending: _PendingRequest, now: float) -> SendPeer:
        request = pending.request
        tokens = share.bucket.take(request.tokens)
        lease_s = _prefetch_lease_s(share, now)
        prefetch = 0
        if tokens == request.tokens and not share.pending:
            prefetch, lease_s = _take_prefetch(share, request.tokens_ahead, lease_s, now)
        _count_usage(share, tokens + prefetch, now)
        permits = self._grant_permits(share, pending.peer, request, now)
        retry_at = share.bucket.available_at(1 + len(share.pending))
        grant = _make_grant(
            request,
            tokens=tokens,
            tokens_ahead=prefetch,
            ahead_lease_ms=round(lease_s * 1000, 1),
            permits=permits,
            contended=now < share.contended_until,
            retry_after_ms=round(max(0.0, retry_at - now) * 1000, 1),
            waited_ms=round((now - pending.received) * 1000, 1),
        )
        return SendPeer(pending.peer, grant)

    def _grant_permits(self, share: _Share, peer: str, request: LimitRequest, now: float) -> int:
        leases = share.permits_by_peer
        for other in [p for p, lease in leases.items() if lease.expires_at <= now]:
            del leases[other]
        free = self._capacity(share, now) - sum(
            lease.permits for p, lease in leases.items() if p != peer
        )
        granted = min(request.permits, max(0, free))
        if granted < request.permits:
            share.contended_until = now + PERMIT_LEASE_S
        spare = free - granted - share.capacity // 2
        granted += max(0, min(request.permits_ahead, spare))
        # Running calls keep their permits, even if the owner has just started.
        granted = max(granted, request.in_use)
        leases[peer] = _PermitLease(granted, now + PERMIT_LEASE_S)
        if not granted:
            del leases[peer]
        return granted

    def _capacity(self, share: _Share, now: float) -> int:
        if now - self._started < PERMIT_LEASE_S:
            return int(share.capacity * WARM_UP_RATIO) or 1
        return share.capacity

    # --- Time ---

    def _on_tick(self, now: float) -> list[Action]:
        actions = []
        for key in sorted(self._waiting_keys):
            share = self._share_by_key[key]
            if _serve_due(share) <= now:
                actions += self._serve_pending(share, now)
            if not share.pending:
                self._waiting_keys.discard(key)
        if now >= self._next_sweep:
            self._sweep(now)
        return actions

    def _serve_pending(self, share: _Share, now: float) -> list[Action]:
        share.last_served = now
        share.bucket.refill(now)
        actions = []
        while share.pending:
            if not share.bucket.has_token() and share.pending[0].due > now:
                break
            actions.append(self._serve(share, share.pending.popleft(), now))
        return actions

    def _sweep(self, now: float) -> None:
        self._next_sweep = now + IDLE_S
        for key, share in list(self._share_by_key.items()):
            share.bucket.refill(now)
            full = share.bucket.tokens >= share.bucket.burst
            if full and not share.pending and share.last_used + IDLE_S <= now:
                del self._share_by_key[key]


def _serve_due(share: _Share) -> float:
    token_at = max(share.bucket.available_at(1), share.last_served + SERVE_GAP_S)
    return min(token_at, share.pending[0].due)


def _count_usage(share: _Share, tokens: int, now: float) -> None:
    share.usage_per_s = _usage_per_s(share, now) + tokens / USAGE_WINDOW_S
    share.usage_at = now


def _usage_per_s(share: _Share, now: float) -> float:
    return share.usage_per_s * math.exp(-(now - share.usage_at) / USAGE_WINDOW_S)


def _prefetch_lease_s(share: _Share, now: float) -> float:
    """Return the longest lease for which the usage rate stays within the bound on long leases."""
    usage = _usage_per_s(share, now)
    if not usage:
        return LONGEST_LEASE_S if share.long_lease_bound else LEASE_S
    return max(LEASE_S, min(LONGEST_LEASE_S, share.long_lease_bound / usage))


def _take_prefetch(share: _Share, wanted: int, lease_s: float, now: float) -> tuple[int, float]:
    """Take tokens to prefetch; return their number and lease in seconds.

    The lease is a short one if too many tokens are in long leases already.
    """
    leases = share.long_leases
    while leases and leases[0][0] <= now:
        leases.popleft()
    spare = int(share.bucket.tokens - share.bucket.burst / PREFETCH_RESERVE_DIVISOR)
    remaining = share.long_lease_bound - sum(count for _, count in leases)
    if lease_s <= LEASE_S or remaining < min(wanted, spare):
        return share.bucket.take(min(wanted, spare)), LEASE_S
    taken = share.bucket.take(min(wanted, spare))
    if taken:
        leases.append((max(now + lease_s, leases[-1][0] if leases else now), taken))
    return taken, lease_s


def _make_grant(request: LimitRequest, **fields) -> LimitGrant:
    return LimitGrant(
        request.workspace, request.customer, request.share, request.sequence, **fields
    )


def make_limit_owner(address: str, now: float) -> LimitOwner:
    """Return the owner core of the daemon with peer address `address`, started at `now`."""
    return LimitOwner(address, now)
