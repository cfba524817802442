"""An entry's lease of one workspace's quota: tokens, open requests and waiting calls."""

import math
from collections.abc import Iterator
from dataclasses import dataclass, field

from pollenroad.limits.token_bucket import TokenBucket
from pollenroad.proxy.quotas.allocation import TOKEN_LIFE_S, Allocation

RATE_WINDOW_S = 0.5
"""Time constant of the estimate of the call rate, in seconds."""

BUSY_RATE = 8.0
"""Calls per second at this entry from which it asks ahead, so that they cost less than a pair of
messages each."""

AHEAD_S = 0.15
"""Time for whose expected calls tokens are asked ahead, in seconds; below `TOKEN_LIFE_S`."""


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A request without an answer."""

    share: int
    peer: str
    tokens: int
    at: float


@dataclass(slots=True)
class ShareView:
    """What the entry knows of one share."""

    chain: tuple[str, ...]
    """The owner, then the standbys."""
    empty_until: float = -math.inf
    """Until when the owner has no token."""
    turn_at: float = -math.inf
    """When a call that the owner refuses now can expect a token."""
    empty_until_by_holder: dict[str, float] = field(default_factory=dict)
    """Until when a holder that is not the acting owner is not asked again."""
    token_at_by_holder: dict[str, float] = field(default_factory=dict)
    """When such a holder expects a token."""

    def retry_at(self, now: float) -> float:
        """Return when a holder is expected to have a token."""
        if self.empty_until > now:
            return max(self.empty_until, self.turn_at)
        known = [self.token_at_by_holder.get(peer, now) for peer in self.chain]
        return max(now, min(known, default=now))

    def is_empty(self, now: float) -> bool:
        """Return whether no holder has a token."""
        if self.empty_until > now:
            return True
        return all(self.empty_until_by_holder.get(peer, now) > now for peer in self.chain)


class QuotaLease:
    """Tokens, open requests and waiting calls of one workspace at one entry."""

    def __init__(self, name: str, now: float):
        self.name = name
        self.level: tuple[float, float] = (0.0, 0.0)
        """Rate and burst of the quota."""
        self.allocation: Allocation | None = None
        self.shares: list[ShareView] = []
        self.membership_version = -1
        self.waiting: list[tuple[str, float]] = []
        """Ids of the calls that wait for a token, and until when, in order of arrival."""
        self.open_by_sequence: dict[int, OpenRequest] = {}
        self.last_call = now
        self.granted_at = -math.inf
        self.granted_tokens = 0
        self.granted_by = ""
        self.refused = 0
        """Number of calls refused since the last answer of an owner."""
        self.fallback: TokenBucket | None = None
        self._rate = 0.0
        self._next_share = 0
        self._batches: list[list] = []
        """Expiry time and number of tokens of each batch, in order of expiry."""

    # --- Demand ---

    def count_call(self, now: float) -> None:
        """Count a call in the estimate of the call rate."""
        self._rate = self.rate_per_s(now) + 1 / RATE_WINDOW_S
        self.last_call = now

    def rate_per_s(self, now: float) -> float:
        """Return the estimated call rate, in calls per second."""
        return self._rate * math.exp(-(now - self.last_call) / RATE_WINDOW_S)

    def tokens_ahead(self, now: float) -> int:
        """Return for how many expected calls tokens are asked ahead."""
        rate = self.rate_per_s(now)
        return round(rate * AHEAD_S) if rate >= BUSY_RATE else 0

    def expected_tokens(self, sent_after: float) -> int:
        """Return the tokens asked for in open requests that were sent after a time."""
        return sum(r.tokens for r in self.open_by_sequence.values() if r.at > sent_after)

    def has_request(self, sent_after: float) -> bool:
        """Return whether there is an open request that was sent after a time."""
        return any(r.at > sent_after for r in self.open_by_sequence.values())

    def drop_overdue(self, now: float) -> None:
        """Forget open requests whose tokens would have expired."""
        if self.open_by_sequence:
            oldest = now - TOKEN_LIFE_S
            kept = {s: r for s, r in self.open_by_sequence.items() if r.at > oldest}
            self.open_by_sequence = kept

    # --- Tokens ---

    def tokens(self, now: float) -> int:
        """Return the tokens that have not expired."""
        while self._batches and self._batches[0][0] <= now:
            del self._batches[0]
        return sum(count for _, count in self._batches)

    def take_token(self, now: float) -> bool:
        """Take the token that expires first; return whether there was one."""
        if not self.tokens(now):
            return False
        self._batches[0][1] -= 1
        if not self._batches[0][1]:
            del self._batches[0]
        return True

    def add_tokens(self, count: int, expires_at: float, now: float) -> None:
        """Add granted tokens."""
        if count and expires_at > now:
            self._batches = sorted([*self._batches, [expires_at, count]])

    def take_fallback(self, now: float) -> bool:
        """Take a token of this entry's part of the fallback; return whether there was one."""
        if self.fallback is None:
            return False
        self.fallback.refill(now)
        return self.fallback.take(1) == 1

    # --- Shares ---

    def shares_in_turn(self) -> Iterator[ShareView]:
        """Yield the shares, beginning after the one that was used last."""
        count = len(self.shares)
        for step in range(count):
            yield self.shares[(self._next_share + step) % count]

    def used_share(self, share: ShareView) -> int:
        """Return the index of a share that is asked now; the next turn begins after it."""
        index = next(i for i, other in enumerate(self.shares) if other is share)
        self._next_share = index + 1
        return index

    def is_empty(self, now: float) -> bool:
        """Return whether no share has a token."""
        return all(share.is_empty(now) for share in self.shares)

    def has_answer(self, now: float) -> bool:
        """Return whether some share has no token by the word of its holders."""
        return any(share.chain and share.is_empty(now) for share in self.shares)

    def is_over(self, now: float) -> bool:
        """Return whether the owners of all shares have said that the quota is used up."""
        return bool(self.shares) and all(share.empty_until > now for share in self.shares)

    def retry_after_s(self, now: float, longest_s: float) -> float:
        """Return when a call that is refused now can expect a token, in seconds from now.

        Calls that were refused here since the last answer come first, but for `longest_s` at most.
        """
        soonest = min((share.retry_at(now) for share in self.shares), default=now)
        ahead_s = self.refused / self.level[0]
        return max(0.001, soonest - now + min(longest_s, ahead_s))

    def details(self, now: float) -> tuple[tuple[str, object], ...]:
        """Return the fields of a refusal's log line."""
        has_grant = self.granted_at > -math.inf
        return (
            ("workspace", self.name),
            ("rate_per_s", self.level[0]),
            ("burst", self.level[1]),
            ("tokens", self.tokens(now)),
            ("granted", self.granted_tokens),
            ("granted_by", self.granted_by),
            ("grant_age_ms", round((now - self.granted_at) * 1000) if has_grant else None),
            ("waiting", len(self.waiting)),
            ("open_requests", len(self.open_by_sequence)),
            ("empty_shares", sum(share.is_empty(now) for share in self.shares)),
            ("shares", len(self.shares)),
        )
