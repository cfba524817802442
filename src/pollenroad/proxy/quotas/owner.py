"""The owner side: hands out the tokens of the shares that this daemon owns or holds a reserve of.

Load: at most a request for each request of a caller (334 a second over 64 daemons, so about 5 a
second here), answered at once and without timers. Nothing is persisted.

An owner has a bucket with the rate and burst of its share. Two owners must not hand out the same
share at the same time: `quotas.takeover` decides from when a daemon is the owner, and it starts
without tokens. Otherwise a holder hands out its part of the reserve only.
"""

import math
from collections.abc import Mapping

from pollenroad.boundary import PeerReceived, SendPeer
from pollenroad.limit_messages import LimitGrant, LimitRequest, LimitReturn
from pollenroad.limits.token_bucket import TokenBucket
from pollenroad.proxy.quotas.allocation import Allocation, BucketSize, QuotaRules, allocate
from pollenroad.proxy.quotas.contact import Contact
from pollenroad.proxy.quotas.membership import CHANGE_S, Membership
from pollenroad.proxy.quotas.owned_share import OwnedShare, Quota
from pollenroad.proxy.quotas.takeover import Succession

START_S = 10.0
"""Time after its start in which a daemon's reserve is full when it first holds one, in seconds:
while a fleet starts, its endpoints register one after the other. Later, the predecessor may have
handed out its own, so a new reserve starts empty."""

IDLE_S = 60.0
"""Time without a request after which a share whose buckets are full is forgotten, in seconds."""

MAX_TURN_S = 5.0
"""Longest time for which refused requests are told to wait, in seconds."""

NOT_OWNER = "not-owner"
"""Refusal: this daemon holds no part of the share, or has no tokens for it at all."""

RESERVE = "reserve"
"""The share has no more tokens here, but other holders may have."""


class QuotaOwner:
    """The shares of workspaces' quotas that one daemon hands out."""

    def __init__(self, membership: Membership, contact: Contact, rules: QuotaRules, now: float):
        self._membership = membership
        self._contact = contact
        self._rules = rules
        self._started = now
        self._succession = Succession(membership, contact, now)
        self._workspace_by_name: Mapping[str, Quota] = {}
        self._share_by_key: dict[tuple[str, int], OwnedShare] = {}
        self._dropped_at: dict[tuple[str, int], float] = {}
        """When shares were dropped because the configuration no longer had them."""
        self._next_sweep = now + IDLE_S

    @property
    def open_shares(self) -> int:
        """Number of shares with state at this daemon."""
        return len(self._share_by_key)

    def set_rules(self, rules: QuotaRules, now: float) -> None:
        """Apply a changed bound."""
        self._rules = rules
        self._resize_all(now)

    def configure(self, workspace_by_name: Mapping[str, Quota], now: float) -> None:
        """Apply the workspaces of the configuration in force."""
        self._workspace_by_name = workspace_by_name
        self._resize_all(now)

    def membership_changed(self, now: float) -> None:
        """Apply a change of the daemons: some shares may have other holders now."""
        for (name, index), share in self._share_by_key.items():
            is_primary = self._is_primary(name, index)
            if not is_primary:
                share.primary_since = None
                share.stop()
            elif share.primary_since is None:
                share.primary_since = now
        self._resize_all(now)

    def _is_primary(self, name: str, index: int) -> bool:
        return self._membership.chain(name, index)[:1] == (self._membership.address,)

    def _resize_all(self, now: float) -> None:
        """Drop shares that no longer exist; adapt the buckets of the others."""
        for (name, index), share in list(self._share_by_key.items()):
            level = self._level(name)
            allocation = level and self._allocate(level)
            if not allocation or index >= allocation.shares:
                del self._share_by_key[name, index]
                self._dropped_at[name, index] = now
                continue
            share.allocation = allocation
            if allocation.reserve is None or share.reserve is None:
                share.reserve = None
            else:
                share.reserve = _resized(share.reserve, allocation.reserve, now)

    def _level(self, name: str) -> tuple[float, float] | None:
        workspace = self._workspace_by_name.get(name)
        if workspace is None or not workspace.rate_per_s:
            return None
        return workspace.rate_per_s, workspace.burst or 0.0

    def _allocate(self, level: tuple[float, float]) -> Allocation:
        members = self._membership
        return allocate(*level, self._rules, len(members.daemons_by_domain), members.known_daemons)

    # --- Requests ---

    def handle(self, event: PeerReceived, now: float) -> list[SendPeer]:
        """Process a `LimitRequest`, or a `LimitReturn` of a former owner."""
        if now >= self._next_sweep:
            self._sweep(now)
        match event:
            case PeerReceived(peer, LimitReturn() as returned):
                share = self._share_by_key.get((returned.workspace, returned.share))
                if share is not None:
                    self._succession.on_yielded(share, peer, returned, now)
            case PeerReceived(peer, LimitRequest(takes_over=True) as request):
                return self._on_takeover(peer, request, now)
            case PeerReceived(peer, LimitRequest() as request):
                return self._on_request(peer, request, now)
        return []

    def _on_request(self, peer: str, request: LimitRequest, now: float) -> list[SendPeer]:
        if not request.workspace:
            count, age_s = self._membership.size(now)
            known = {"known_daemons": count, "known_age_ms": round(age_s * 1000)}
            return [SendPeer(peer, _make_grant(request, **known))]
        share = self._share(request, now)
        if share is None:
            return [SendPeer(peer, _make_grant(request, refusal=NOT_OWNER))]
        bucket, is_mature = self._bucket(share, peer, request, now)
        asks = self._succession.asks((request.workspace, request.share), share, now)
        if bucket is None:
            return [SendPeer(peer, _make_grant(request, refusal=NOT_OWNER)), *asks]
        return [SendPeer(peer, self._serve(share, bucket, request, is_mature, now)), *asks]

    def _share(self, request: LimitRequest, now: float) -> OwnedShare | None:
        key = (request.workspace, request.share)
        share = self._share_by_key.get(key)
        if share is None:
            level = self._level(request.workspace)
            allocation = level and self._allocate(level)
            if not allocation or request.share >= allocation.shares:
                return None
            if self._membership.address not in self._membership.chain(*key):
                return None
            # Whether an idle share had this owner before the last change is not known.
            since = self._membership.changed_at if self._is_primary(*key) else None
            share = OwnedShare(allocation, since, now)
            share.handed_out_at = self._dropped_at.get(key, -math.inf)
            share.reserve = self._make_reserve(allocation, now)
            self._share_by_key[key] = share
        share.used_at = now
        return share

    def _make_reserve(self, allocation: Allocation, now: float) -> TokenBucket | None:
        size = allocation.reserve
        if size is None:
            return None
        changed_at = self._membership.changed_at
        tokens = size.depth if changed_at < self._started + START_S else 0.0
        bucket = TokenBucket(size.rate_per_s, size.depth, tokens, changed_at)
        bucket.refill(now)
        return bucket

    def _bucket(
        self, share: OwnedShare, peer: str, request: LimitRequest, now: float
    ) -> tuple[TokenBucket | None, bool]:
        """Return the bucket from which a request is served, and whether it decides alone.

        A share that has been handed out for less than a window may be empty because of that.
        """
        key = (request.workspace, request.share)
        main_from = self._succession.main_from(key, share, peer, now)
        if main_from <= now:
            if share.main is None:
                share.main_from = max(main_from, share.handed_out_at)
                share.main = TokenBucket(*_pair(share.allocation.owner), 0.0, share.main_from)
            size = share.allocation.owner.part(self._succession.part(share, now))
            share.main = _resized(share.main, size, now)
            is_mature = now - share.main_from >= self._rules.window_s
            if share.main.has_token() or is_mature or share.reserve is None:
                return share.main, is_mature
        chain = self._membership.chain(*key)
        is_holder = self._membership.address in chain[: share.allocation.holders]
        if share.reserve is None or not is_holder:
            return None, False
        share.reserve.refill(now)
        return share.reserve, False

    def _on_takeover(self, peer: str, request: LimitRequest, now: float) -> list[SendPeer]:
        """Stop handing out a share that another daemon takes over, unless this one precedes it."""
        if self._succession.precedes((request.workspace, request.share), peer):
            return [SendPeer(peer, _make_grant(request, refusal=NOT_OWNER))]
        share = self._share(request, now)
        was_active = False
        if share is not None:
            was_active = share.handed_out_at > now - self._rules.window_s
            share.stop()
            share.barred_until = now + CHANGE_S
        answer = LimitReturn(request.workspace, "", request.share, was_active=was_active)
        return [SendPeer(peer, answer)]

    def _serve(
        self,
        share: OwnedShare,
        bucket: TokenBucket,
        request: LimitRequest,
        is_mature: bool,
        now: float,
    ) -> LimitGrant:
        tokens = bucket.take(request.tokens)
        ahead = 0
        missing = request.tokens - tokens
        if bucket is share.main:
            share.handed_out_at = now
        if not missing and bucket is share.main:
            ahead = bucket.take(min(request.tokens_ahead, int(bucket.tokens - bucket.burst / 2)))
        retry_s = max(0.0, bucket.available_at(1) - now) if bucket.rate_per_s > 0 else MAX_TURN_S
        turn_s = 0.0
        if missing:
            share.turn_at = max(share.turn_at, now + retry_s)
            turn_s = min(MAX_TURN_S, share.turn_at - now)
            total_rate = share.allocation.owner.rate_per_s
            share.turn_at = min(now + MAX_TURN_S, share.turn_at + missing / total_rate)
        return _make_grant(
            request,
            tokens=tokens,
            tokens_ahead=ahead,
            retry_after_ms=math.ceil(retry_s * 1000),
            turn_ms=math.ceil(turn_s * 1000),
            refusal="" if is_mature else RESERVE,
        )

    def _sweep(self, now: float) -> None:
        self._next_sweep = now + IDLE_S
        self._dropped_at = {k: at for k, at in self._dropped_at.items() if at > now - IDLE_S}
        for key, share in list(self._share_by_key.items()):
            buckets = [bucket for bucket in (share.main, share.reserve) if bucket is not None]
            for bucket in buckets:
                bucket.refill(now)
            is_full = all(bucket.tokens >= bucket.burst for bucket in buckets)
            if is_full and share.used_at + IDLE_S <= now:
                del self._share_by_key[key]


def _pair(size: BucketSize) -> tuple[float, float]:
    return size.rate_per_s, size.depth


def _resized(bucket: TokenBucket, size: BucketSize, now: float) -> TokenBucket:
    bucket.refill(now)
    return TokenBucket(*_pair(size), min(bucket.tokens, size.depth), bucket.updated)


def _make_grant(request: LimitRequest, **fields) -> LimitGrant:
    return LimitGrant(request.workspace, "", request.share, request.sequence, **fields)
