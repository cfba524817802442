"""What an entry holds of one customer's limit: tokens and permits, share by share."""

import math
from collections import deque
from dataclasses import dataclass

from pollenroad.limit_messages import LimitGrant
from pollenroad.limits.limit_shares import LEASE_S, PERMIT_LEASE_S, ShareOwners
from pollenroad.models import CustomerLimit

RATE_WINDOW_S = 0.3
"""Time constant of the estimate of a customer's calls a second, in seconds."""

HEDGE_S = 0.06
"""Age of an open request after which another owner is asked for the same, in seconds."""

QUICK_HEDGE_S = 0.02
"""The same where the owner was likely to have tokens, in seconds."""

CROWD = 2
"""Waiting calls above which more are waiting than an owner is likely to have tokens for."""

MIN_WAITING = 4
"""Calls that may wait for a grant however small the limit."""

NEVER = float("-inf")


@dataclass(frozen=True, slots=True)
class Demand:
    """What an entry asks an owner for."""

    calls: int = 0
    """Calls that wait, each of which needs a permit."""
    tokens: int = 0
    """Tokens that they need."""
    ahead: int = 0
    """Calls that are expected."""


class ShareLease:
    """Tokens and permits from the owner of one share."""

    def __init__(self, index: int, owners: ShareOwners):
        self.index = index
        self.owners = owners
        self.used = 0
        """Permits that running calls hold."""
        self.permits = 0
        """Permits held in all."""
        self.contended = False
        self.open_sequence = 0
        """Sequence of the request without an answer, 0 for none."""
        self.asked_tokens = 0
        self.asked_at = NEVER
        self.asked_peer = ""
        self.ahead_lease_s = LEASE_S
        """Life that the owner last gave to tokens granted ahead, in seconds."""
        self._permits_expire = NEVER
        self._batches: deque[list] = deque()
        self._retry_at = NEVER
        self._suspect_until_by_peer: dict[str, float] = {}

    # --- Asking ---

    def target(self, now: float) -> str:
        """Return the owner or else its standby, or an empty string if neither is reachable."""
        for peer in (self.owners.primary, self.owners.standby):
            if peer and self._suspect_until_by_peer.get(peer, NEVER) <= now:
                return peer
        return ""

    def is_on_trial(self, now: float) -> bool:
        """Tell whether the peer to ask next has not answered since it was passed over."""
        return self.target(now) in self._suspect_until_by_peer

    def asked(self, sequence: int, peer: str, tokens: int, now: float) -> None:
        """Note an open request."""
        self.open_sequence = sequence
        self.asked_peer = peer
        self.asked_tokens = tokens
        self.asked_at = now

    def suspect(self, until: float) -> None:
        """Pass over the peer that was asked last."""
        self._suspect_until_by_peer[self.asked_peer] = until
        self.open_sequence = 0

    def likely_tokens(self, now: float) -> int:
        """Return the tokens of the open request, if an answer is still likely to come soon."""
        hedge_s = QUICK_HEDGE_S if self._retry_at <= self.asked_at else HEDGE_S
        in_time = self.open_sequence and now < self.asked_at + hedge_s
        return self.asked_tokens if in_time else 0

    def granted(self, grant: LimitGrant, now: float) -> None:
        """Take the answer to the open request."""
        self.open_sequence = 0
        self._suspect_until_by_peer.pop(self.asked_peer, None)
        self.contended = grant.contended
        self.permits = grant.permits
        self._permits_expire = self.asked_at + PERMIT_LEASE_S
        self._retry_at = now + grant.retry_after_ms / 1000
        begin = self.asked_at + grant.waited_ms / 1000
        self.ahead_lease_s = grant.ahead_lease_ms / 1000
        batches = [
            [begin + LEASE_S, grant.tokens],
            [begin + self.ahead_lease_s, grant.tokens_ahead],
        ]
        kept = [batch for batch in [*self._batches, *batches] if batch[1]]
        self._batches = deque(sorted(kept))

    # --- Spending ---

    def _drop_expired(self, now: float) -> None:
        while self._batches and self._batches[0][0] <= now:
            self._batches.popleft()

    def tokens(self, now: float) -> int:
        """Return the tokens in hand."""
        self._drop_expired(now)
        return sum(count for _, count in self._batches)

    def take_token(self) -> None:
        """Spend the token that expires first."""
        self._batches[0][1] -= 1
        if not self._batches[0][1]:
            self._batches.popleft()

    def free_permits(self, now: float) -> int:
        """Return the permits that no call holds."""
        return max(0, self.permits - self.used) if now < self._permits_expire else 0

    def give_up_unused(self, now: float) -> bool:
        """Give up free permits; return whether the owner is to be told."""
        if self.open_sequence or not self.free_permits(now):
            return False
        self.permits = self.used
        return True

    def retry_at(self) -> float:
        """Return when the owner expects to have a token."""
        return self._retry_at


class CustomerLease:
    """What an entry holds of one customer's limit."""

    def __init__(self, workspace: str, limit: CustomerLimit, now: float):
        self.workspace = workspace
        self.limit = limit
        self.key = (workspace, limit.name)
        self.shares: list[ShareLease] = []
        self.waiting: deque[str] = deque()
        """Calls that wait for a grant, in their order."""
        self.wait_until = NEVER
        """When the last of them gives up."""
        self.last_call = now
        self._next_index = 0
        self._rate = 0.0

    def configure(self, limit: CustomerLimit, owners: tuple[ShareOwners, ...]) -> None:
        """Take the limit and its owners; a share that keeps its owners keeps its lease."""
        self.limit = limit
        kept = {(share.index, share.owners): share for share in self.shares}
        self.shares = [
            kept.get((index, pair)) or ShareLease(index, pair) for index, pair in enumerate(owners)
        ]

    def share_at(self, index: int) -> ShareLease | None:
        """Return the share with `index`, if the limit still has one."""
        return self.shares[index] if index < len(self.shares) else None

    # --- Demand ---

    def count_call(self, now: float) -> None:
        """Count a call in the estimate of demand."""
        self._rate = self.rate_per_s(now) + 1 / RATE_WINDOW_S
        self.last_call = now

    def rate_per_s(self, now: float) -> float:
        """Return the estimated calls a second."""
        return self._rate * math.exp(-(now - self.last_call) / RATE_WINDOW_S)

    def waiting_bound(self, wait_s: float) -> int:
        """Return how many calls may wait: no more than the limit lets through in `wait_s`."""
        return max(MIN_WAITING, int(self.limit.rate_per_s * wait_s))

    def asked(self, now: float) -> int:
        """Return the tokens asked for in requests that are still likely to be answered soon."""
        return sum(share.likely_tokens(now) for share in self.shares)

    def next_share(self, asked_before: float, now: float) -> ShareLease | None:
        """Return the share to ask next.

        Args:
            asked_before: Shares asked after this time are left out.
            now: Monotonic time in seconds.

        Returns:
            One without an open request and with a reachable owner; the next in turn that is
            likely to have tokens, or else the one that will have them first.
        """
        count = len(self.shares)
        in_turn = (self.shares[(self._next_index + step) % count] for step in range(count))
        usable = [
            share
            for share in in_turn
            if not share.open_sequence and share.asked_at <= asked_before and share.target(now)
        ]
        if not usable:
            return None
        chosen = min(usable, key=lambda share: max(now, share.retry_at()))
        self._next_index = chosen.index + 1
        return chosen

    def has_plenty_elsewhere(self, share: ShareLease, now: float) -> bool:
        """Tell whether a share other than `share` can be asked and is likely to have tokens."""
        return any(
            other is not share
            and not other.open_sequence
            and other.retry_at() <= now
            and other.target(now)
            for other in self.shares
        )

    # --- Supply ---

    def tokens(self, now: float) -> int:
        """Return the tokens in hand."""
        return sum(share.tokens(now) for share in self.shares)

    def free_permits(self, now: float) -> int:
        """Return the permits that no call holds."""
        return sum(share.free_permits(now) for share in self.shares)

    def in_use(self) -> int:
        """Return the permits that running calls hold."""
        return sum(share.used for share in self.shares)

    def take(self, now: float) -> ShareLease | None:
        """Spend a token and a permit; return the share of the permit, or None without both."""
        with_token = next((share for share in self.shares if share.tokens(now)), None)
        with_permit = next((share for share in self.shares if share.free_permits(now)), None)
        if with_token is None or with_permit is None:
            return None
        with_token.take_token()
        with_permit.used += 1
        return with_permit

    def ahead_lease_s(self) -> float:
        """Return the shortest life that an owner last gave to tokens granted ahead."""
        return min((share.ahead_lease_s for share in self.shares), default=LEASE_S)

    def lacks_permits(self, now: float) -> bool:
        """Tell whether permits are what is missing, rather than tokens."""
        if self.tokens(now):
            return not self.free_permits(now)
        contended = [share for share in self.shares if share.contended]
        return any(share.retry_at() <= now for share in contended)

    def reachable(self, now: float) -> bool:
        """Tell whether an owner of any share is reachable."""
        return any(share.target(now) for share in self.shares)

    def retry_after_s(self, now: float) -> float:
        """Return when a call may succeed, in seconds from now."""
        soonest = min((share.retry_at() for share in self.shares), default=now)
        return max(1 / self.limit.rate_per_s, soonest - now)
