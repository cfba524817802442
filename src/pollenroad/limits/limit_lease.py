"""An entry's lease of one customer's limit: tokens and permits per share."""

import math
from collections import deque
from dataclasses import dataclass

from pollenroad.limit_messages import LimitGrant
from pollenroad.limits.limit_shares import LEASE_S, PERMIT_LEASE_S, ShareOwners
from pollenroad.models import CustomerLimit

RATE_WINDOW_S = 0.3
"""Time constant of the estimate of a customer's call rate, in seconds."""

HEDGE_DELAY_S = 0.06
"""Age of an open request after which the same is requested from another owner, in seconds."""

SHORT_HEDGE_DELAY_S = 0.02
"""The same delay if the owner was expected to have tokens, in seconds."""

SHORT_QUEUE_CALLS = 2
"""Most waiting calls for which a single owner is likely to have enough tokens."""

MIN_WAITING_BOUND = 4
"""Calls that may wait for a grant at any limit, however small."""

NEVER = float("-inf")
"""Time of an event that has not happened, in monotonic seconds."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Tokens and permits that an entry needs from an owner."""

    waiting_calls: int = 0
    """Waiting calls, each of which needs a permit."""
    tokens: int = 0
    """Tokens that the waiting calls need."""
    expected_calls: int = 0
    """Expected calls, for which a token and a permit each are prefetched."""


class ShareLease:
    """Tokens and permits leased from the owner of one share."""

    def __init__(self, index: int, owners: ShareOwners):
        self.index = index
        self.owners = owners
        self.used_permits = 0
        """Permits used by running calls."""
        self.permits = 0
        """Leased permits, used and free."""
        self.contended = False
        self.open_sequence = 0
        """Sequence number of the unanswered request, 0 for none."""
        self.requested_tokens = 0
        self.requested_at = NEVER
        self.last_peer = ""
        self.prefetch_lease_s = LEASE_S
        """Lifetime of prefetched tokens in the last grant, in seconds."""
        self._permits_expire = NEVER
        self._token_batches: deque[list] = deque()
        """Expiry time and number of tokens of each batch, in order of expiry."""
        self._retry_at = NEVER
        self._suspect_until_by_peer: dict[str, float] = {}

    # --- Requests ---

    def target(self, now: float) -> str:
        """Return the owner, else its standby, or an empty string if both are suspected."""
        for peer in (self.owners.primary, self.owners.standby):
            if peer and self._suspect_until_by_peer.get(peer, NEVER) <= now:
                return peer
        return ""

    def is_probe_due(self, now: float) -> bool:
        """Return whether the next peer to ask has not answered since it was suspected."""
        return self.target(now) in self._suspect_until_by_peer

    def record_request(self, sequence: int, peer: str, tokens: int, now: float) -> None:
        """Record a request as open."""
        self.open_sequence = sequence
        self.last_peer = peer
        self.requested_tokens = tokens
        self.requested_at = now

    def suspect(self, until: float) -> None:
        """Suspect the peer of the last request until `until`, in monotonic seconds."""
        self._suspect_until_by_peer[self.last_peer] = until
        self.open_sequence = 0

    def pending_tokens(self, now: float) -> int:
        """Return the tokens of the open request, or 0 once an answer is overdue."""
        hedge_s = SHORT_HEDGE_DELAY_S if self._retry_at <= self.requested_at else HEDGE_DELAY_S
        is_expected = self.open_sequence and now < self.requested_at + hedge_s
        return self.requested_tokens if is_expected else 0

    def apply_grant(self, grant: LimitGrant, now: float) -> None:
        """Apply the answer to the open request."""
        self.open_sequence = 0
        self._suspect_until_by_peer.pop(self.last_peer, None)
        self.contended = grant.contended
        self.permits = grant.permits
        self._permits_expire = self.requested_at + PERMIT_LEASE_S
        self._retry_at = now + grant.retry_after_ms / 1000
        begin = self.requested_at + grant.waited_ms / 1000
        self.prefetch_lease_s = grant.ahead_lease_ms / 1000
        batches = [
            [begin + LEASE_S, grant.tokens],
            [begin + self.prefetch_lease_s, grant.tokens_ahead],
        ]
        kept = [batch for batch in [*self._token_batches, *batches] if batch[1]]
        self._token_batches = deque(sorted(kept))

    # --- Tokens and permits ---

    def _drop_expired(self, now: float) -> None:
        while self._token_batches and self._token_batches[0][0] <= now:
            self._token_batches.popleft()

    def tokens(self, now: float) -> int:
        """Return the leased tokens that have not expired."""
        self._drop_expired(now)
        return sum(count for _, count in self._token_batches)

    def take_token(self) -> None:
        """Take the token that expires first."""
        self._token_batches[0][1] -= 1
        if not self._token_batches[0][1]:
            self._token_batches.popleft()

    def free_permits(self, now: float) -> int:
        """Return the leased permits that no call uses."""
        return max(0, self.permits - self.used_permits) if now < self._permits_expire else 0

    def release_unused(self, now: float) -> bool:
        """Release the free permits; return whether the owner must be notified."""
        if self.open_sequence or not self.free_permits(now):
            return False
        self.permits = self.used_permits
        return True

    def retry_at(self) -> float:
        """Return when the owner expects to have a token, in monotonic seconds."""
        return self._retry_at


class CustomerLease:
    """An entry's lease of one customer's limit, over all shares."""

    def __init__(self, workspace: str, limit: CustomerLimit, now: float):
        self.workspace = workspace
        self.limit = limit
        self.key = (workspace, limit.name)
        self.shares: list[ShareLease] = []
        self.waiting: deque[str] = deque()
        """Ids of the calls that wait for a grant, in order of arrival."""
        self.wait_until = NEVER
        """When the wait of the last of them times out, in monotonic seconds."""
        self.last_call = now
        self._next_index = 0
        self._rate = 0.0

    def configure(self, limit: CustomerLimit, owners: tuple[ShareOwners, ...]) -> None:
        """Set the limit and its owners; a share whose owners are unchanged keeps its lease."""
        self.limit = limit
        kept = {(share.index, share.owners): share for share in self.shares}
        self.shares = [
            kept.get((index, pair)) or ShareLease(index, pair) for index, pair in enumerate(owners)
        ]

    def share_at(self, index: int) -> ShareLease | None:
        """Return the share with `index`, or None if the limit no longer has it."""
        return self.shares[index] if index < len(self.shares) else None

    # --- Demand ---

    def count_call(self, now: float) -> None:
        """Count a call in the estimate of the call rate."""
        self._rate = self.rate_per_s(now) + 1 / RATE_WINDOW_S
        self.last_call = now

    def rate_per_s(self, now: float) -> float:
        """Return the estimated call rate, in calls per second."""
        return self._rate * math.exp(-(now - self.last_call) / RATE_WINDOW_S)

    def waiting_bound(self, wait_s: float) -> int:
        """Return how many calls may wait: as many as the rate limit admits in `wait_s` seconds."""
        return max(MIN_WAITING_BOUND, int(self.limit.rate_per_s * wait_s))

    def pending_tokens(self, now: float) -> int:
        """Return the tokens of open requests whose answers are not overdue."""
        return sum(share.pending_tokens(now) for share in self.shares)

    def next_share(self, requested_before: float, now: float) -> ShareLease | None:
        """Return the share for the next request.

        Args:
            requested_before: Shares with a later request are skipped, in monotonic seconds.
            now: Monotonic time in seconds.

        Returns:
            A share without an open request and with a reachable owner: the next in turn that is
            expected to have tokens, else the one that will have them first. None if there is none.
        """
        count = len(self.shares)
        in_turn = (self.shares[(self._next_index + step) % count] for step in range(count))
        available = [
            share
            for share in in_turn
            if not share.open_sequence
            and share.requested_at <= requested_before
            and share.target(now)
        ]
        if not available:
            return None
        selected = min(available, key=lambda share: max(now, share.retry_at()))
        self._next_index = selected.index + 1
        return selected

    def has_alternative(self, share: ShareLease, now: float) -> bool:
        """Return whether another share can be asked and is expected to have tokens."""
        return any(
            other is not share
            and not other.open_sequence
            and other.retry_at() <= now
            and other.target(now)
            for other in self.shares
        )

    # --- Supply ---

    def tokens(self, now: float) -> int:
        """Return the leased tokens of all shares that have not expired."""
        return sum(share.tokens(now) for share in self.shares)

    def free_permits(self, now: float) -> int:
        """Return the leased permits of all shares that no call uses."""
        return sum(share.free_permits(now) for share in self.shares)

    def total_used_permits(self) -> int:
        """Return the permits of all shares that running calls use."""
        return sum(share.used_permits for share in self.shares)

    def try_acquire(self, now: float) -> ShareLease | None:
        """Take a token and a permit; return the permit's share, or None if either is missing."""
        with_token = next((share for share in self.shares if share.tokens(now)), None)
        with_permit = next((share for share in self.shares if share.free_permits(now)), None)
        if with_token is None or with_permit is None:
            return None
        with_token.take_token()
        with_permit.used_permits += 1
        return with_permit

    def prefetch_lease_s(self) -> float:
        """Return the shortest current lifetime of prefetched tokens over all shares, in seconds."""
        return min((share.prefetch_lease_s for share in self.shares), default=LEASE_S)

    def lacks_permits(self, now: float) -> bool:
        """Return whether permits are missing, rather than tokens."""
        if self.tokens(now):
            return not self.free_permits(now)
        contended = [share for share in self.shares if share.contended]
        return any(share.retry_at() <= now for share in contended)

    def is_reachable(self, now: float) -> bool:
        """Return whether the owner or standby of any share is reachable."""
        return any(share.target(now) for share in self.shares)

    def retry_after_s(self, now: float) -> float:
        """Return the time after which a call may succeed, in seconds."""
        soonest = min((share.retry_at() for share in self.shares), default=now)
        return max(1 / self.limit.rate_per_s, soonest - now)
