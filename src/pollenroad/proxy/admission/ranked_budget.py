"""An entry's share of the retry budget of one service, spent by rank.

Load: a service fails or rejects more attempts than the fleet's budget has retries for. Without
ranks, the request that fails first takes the token.

The bound: at most `ratio` x requests + `slack` attempts beyond the first in any window. An entry
adds `ratio` to its carried tokens with each request, up to a limit, and may take the rest of its
slack from allowances, each of which is free again one window after its use. In any window it spends
at most what it carried, what its requests in the window added, and its allowances once; limit and
allowances together are its slack. All of the slack can be spent in one burst. After a start nothing
is carried and no allowance is free for one window, because an earlier process may have used them.
"""

from collections import deque
from dataclasses import dataclass
from typing import Literal

from pollenroad.proxy.admission.activation import HIGHEST_RANK

Purpose = Literal["retry", "hedge"]

CARRIED_SHARE = 0.75
"""Share of an entry's slack that is carried from requests. The rest comes back with time, for
services that get few requests."""

RESERVE_SHARE_BY_PURPOSE: dict[Purpose, float] = {"retry": 0.25, "hedge": 0.5}
"""Share of a full budget that is kept for higher ranks, by the purpose of the token. A retry
follows a failure; a hedge may turn out not to have been needed."""

LOWER_RANK_SHARE = 0.15
"""Share of a full budget that each rank below the second leaves in addition."""

LOW_CHANCE_SHARE = 0.25
"""Share of a full budget that is kept in addition where no attempt succeeds, and proportionally
less with the chance of success: the token may soon serve a higher rank."""


TOLERANCE = 1e-9
"""Rounding error of the tokens that is ignored."""


@dataclass(frozen=True, slots=True)
class EntryShare:
    """One entry's share of the bound on attempts beyond the first."""

    ratio: float
    """Tokens for each request."""
    rerun_ratio: float
    """Part of them that may run a request again, which repeats its calls to other services."""
    slack: float
    """Tokens in a window beyond those for its requests."""
    window_s: float
    """Length of the window, in seconds."""

    @property
    def full(self) -> float:
        """Tokens of a full budget."""
        return max(1.0, self.slack)

    @property
    def carried_limit(self) -> float:
        """Limit on the tokens that are carried from requests; at least one, to be of use.

        Two are needed to leave one to the highest rank while another rank spends one.
        """
        return max(1.0, min(self.slack, max(2.0, CARRIED_SHARE * self.slack)))


@dataclass(frozen=True, slots=True)
class Spending:
    """What a token is wanted for."""

    rank: int
    """0 is the highest."""
    purpose: Purpose
    is_rerun: bool
    """Whether the request may run a second time."""
    chance: float = 1.0
    """Probability from 0 to 1 that the attempt succeeds."""

    def reserve(self, full: float) -> float:
        """Return the tokens that must be left, given those of a full budget."""
        if self.rank == HIGHEST_RANK and self.purpose == "retry":
            return 0.0
        share = RESERVE_SHARE_BY_PURPOSE[self.purpose] + LOW_CHANCE_SHARE * (1 - self.chance)
        share += LOWER_RANK_SHARE * max(0, self.rank - 1)
        # A reserve of less than one token would be of no use to the highest rank. A full budget can
        # always be spent, so that no token is left unused while requests fail.
        return min(max(1.0, share * full), full - 1)


class RankedBudget:
    """Tokens of one entry for one service.

    Args:
        share: The entry's share of the bound.
        since: When the entry began to keep these budgets, in monotonic seconds.
    """

    def __init__(self, share: EntryShare, since: float):
        self.share = share
        self._carried = 0.0
        self._rerun = 0.0
        self._used: deque[tuple[float, float]] = deque()
        """When each used allowance becomes free, in seconds, and its tokens."""
        self._allow(since, share.full)

    def deposit(self) -> None:
        """Add the tokens for one request."""
        self._carried = min(self.share.carried_limit, self._carried + self.share.ratio)
        self._rerun = min(self.share.carried_limit, self._rerun + self.share.rerun_ratio)

    def available(self, now: float) -> float:
        """Return the tokens that could be spent now."""
        while self._used and self._used[0][0] <= now:
            self._used.popleft()
        allowance = self.share.slack - self.share.carried_limit
        return self._carried + max(0.0, allowance - sum(tokens for _, tokens in self._used))

    def try_spend(self, spending: Spending, now: float) -> bool:
        """Take one token; return false if that would not leave the reserve of its rank.

        Tokens that the next request would add to the limit in vain are spent for any rank: without
        this, few would be spent while the allowances are used up.
        """
        is_overflowing = self._carried > self.share.carried_limit - self.share.ratio
        reserve = 0.0 if is_overflowing else spending.reserve(self.share.full)
        if self.available(now) - reserve < 1 - TOLERANCE:
            return False
        if spending.is_rerun:
            if self._rerun < 1:
                return False
            self._rerun -= 1
        carried = min(1.0, self._carried)
        self._carried -= carried
        self._allow(now, 1 - carried)
        return True

    def _allow(self, now: float, tokens: float) -> None:
        if tokens > 0:
            self._used.append((now + self.share.window_s, tokens))
