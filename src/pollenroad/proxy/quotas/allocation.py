"""Division of what the bound on a workspace's requests allows, and the worst case that follows.

In any window, the requests of a workspace that all entries admit must be at most
`(rate x window + burst) x (1 + excess) + slack`. The rate and the burst themselves are handed out
by the owners of the workspace's shares. The excess and the slack pay for four things:

- the lifetime of tokens: one that was taken before the window may be used in it;
- a larger bucket for small bursts, so that irregular arrivals within the rate find a token;
- the reserve, which daemons hand out while an owner is unreachable, starting, or separated from
  most of the fleet. Each failure domain has a daemon with a part of it;
- the fallback, which entries use on their own when none of these daemons answers.
"""

import math
from dataclasses import dataclass

TOKEN_LIFE_S = 0.2
"""Time from the request of a token within which it must be used, in seconds. The wait of a request
ends before that."""

MAX_SHARES = 3
"""Most shares of a quota. With three, the loss of an owner costs at most a third of it."""

SHARE_MIN_RATE = 10.0
"""Smallest rate of a share of a divided quota, in requests per second."""

SHARE_MIN_BURST = 4.0
"""Smallest burst of a share of a divided quota, in requests."""

DEPTH_TARGET = 8.0
"""Size of an owner's bucket, in tokens, up to which a smaller burst is enlarged within the bound.
At 0.6 of the rate with Poisson arrivals, one of 8 tokens is missing for fewer than 1 request in
1,000."""

DEPTH_RATIO = 0.3
"""Most of the excess and the slack that enlarges buckets, as a fraction."""

MAX_HOLDERS = 4
"""Most daemons that hold a part of the reserve of a share: one in each failure domain."""

MIN_DIVISOR = 4
"""Lowest number by which the reserve and the fallback are divided: an entry or a holder may know
only part of the fleet."""

MIN_RESERVE = 2.2
"""Smallest part of the reserve in a window, in tokens: a bucket of one token that is full again
after a restart, and a refill."""

FALLBACK_RATIO = 0.1
"""Fraction of the remaining excess and slack that is the fallback."""

RESERVE_DEPTH_RATIO = 0.25
"""Depth of a bucket of the reserve, as a fraction of its tokens in a window."""


@dataclass(frozen=True, slots=True)
class QuotaRules:
    """The bound on the requests of a workspace, as the platform states it."""

    window_s: float = 5.0
    excess: float = 0.25
    """Requests allowed above rate and burst, as a fraction of them."""
    slack: float = 0.0
    """Requests allowed beyond that in a window."""

    def allowed(self, rate_per_s: float, burst: float) -> float:
        """Return the most requests that may be admitted in a window."""
        return (rate_per_s * self.window_s + burst) * (1 + self.excess) + self.slack


DEFAULT_RULES = QuotaRules()
"""The bound of a deployment that states none."""


@dataclass(frozen=True, slots=True)
class BucketSize:
    """Rate and depth of a token bucket."""

    rate_per_s: float
    depth: float

    def part(self, fraction: float) -> "BucketSize":
        """Return the size of a part of this bucket; one that is not empty holds a token."""
        return BucketSize(self.rate_per_s * fraction, max(1.0, self.depth * fraction))

    def most(self, seconds: float) -> int:
        """Return the most tokens that can be taken within `seconds`."""
        return math.floor(self.depth + self.rate_per_s * seconds + 1e-6)


@dataclass(frozen=True, slots=True)
class Allocation:
    """Buckets of one workspace's quota."""

    shares: int
    owner: BucketSize
    """Bucket of the owner of each share."""
    holders: int
    """Daemons that hold a part of the reserve of each share, at most."""
    reserve: BucketSize | None
    """Bucket of each of them; None if the bound leaves no room."""
    reserve_divisor: int
    """Number of parts of the reserve, including those of holders that change within a window."""
    fallback_entries: int
    """Entries with a part of the fallback."""
    fallback: BucketSize | None
    """Bucket of each of them."""


def allocate(
    rate_per_s: float, burst: float, rules: QuotaRules, domains: int, daemons: int
) -> Allocation:
    """Divide a workspace's quota, excess and slack.

    Args:
        rate_per_s: Rate of the workspace, above 0.
        burst: Burst of the workspace, in requests.
        rules: The bound.
        domains: Number of known failure domains.
        daemons: Number of known daemons.
    """
    shares = _share_count(rate_per_s, burst)
    share_rate, share_burst = rate_per_s / shares, burst / shares
    spare = rules.allowed(rate_per_s, burst) - rules.window_s * rate_per_s - burst
    spare = (spare - rate_per_s * TOKEN_LIFE_S) / shares
    depth = max(1.0, share_burst)
    spare -= depth - share_burst
    if spare < 0:
        depth, spare = max(1.0, depth + spare), 0.0
    enlarged = min(max(0.0, DEPTH_TARGET - depth), spare * DEPTH_RATIO)
    spare -= enlarged
    fallback_entries, fallback = _fallback(spare * shares * FALLBACK_RATIO, rules, daemons)
    if fallback is not None:
        spare *= 1 - FALLBACK_RATIO
    holders, divisor = _holders(spare, domains)
    reserve = None
    if holders:
        most = BucketSize(share_rate, max(DEPTH_TARGET, share_burst))
        reserve = _bucket(spare / divisor, rules.window_s + TOKEN_LIFE_S, most)
    owner = BucketSize(share_rate, depth + enlarged)
    return Allocation(shares, owner, holders, reserve, divisor, fallback_entries, fallback)


def worst_case(allocation: Allocation, rules: QuotaRules) -> int:
    """Return the most requests that all entries admit in any window.

    An owner hands out its burst and its rate. Owners that follow each other do not add to that: a
    new one starts without tokens, when its predecessor has stopped (see `quotas.owner`). A daemon
    with a part of the reserve or the fallback starts with a full bucket after a restart.
    """
    used_s = rules.window_s + TOKEN_LIFE_S
    total = allocation.shares * allocation.owner.most(used_s)
    if reserve := allocation.reserve:
        each = reserve.most(used_s) + math.floor(reserve.depth + 1e-6)
        total += allocation.shares * allocation.reserve_divisor * each
    if fallback := allocation.fallback:
        each = fallback.most(rules.window_s) + math.floor(fallback.depth + 1e-6)
        total += allocation.fallback_entries * each
    return total


def _share_count(rate_per_s: float, burst: float) -> int:
    by_rate, by_burst = int(rate_per_s / SHARE_MIN_RATE), int(burst / SHARE_MIN_BURST)
    return max(1, min(MAX_SHARES, by_rate, by_burst))


def _holders(spare: float, domains: int) -> tuple[int, int]:
    """Return the number of holders of a share's reserve, and by how much it is divided.

    One more part than there are holders is kept for one that changes within the window.
    """
    for holders in range(min(domains, MAX_HOLDERS), 0, -1):
        divisor = max(MIN_DIVISOR, holders + 1)
        if spare / divisor >= MIN_RESERVE:
            return holders, divisor
    divisor = int(spare / MIN_RESERVE)
    return (min(domains, divisor - 1), divisor) if divisor >= 2 and domains else (0, 0)


def _fallback(spare: float, rules: QuotaRules, daemons: int) -> tuple[int, BucketSize | None]:
    entries = min(max(MIN_DIVISOR, daemons), int(spare / MIN_RESERVE))
    if not entries:
        return 0, None
    each = spare / entries
    return entries, _bucket(each, rules.window_s, BucketSize(each, each))


def _bucket(tokens: float, seconds: float, most: BucketSize) -> BucketSize:
    """Return a bucket that hands out at most `tokens` in `seconds`, also if it is refilled once."""
    depth = max(1.0, tokens * RESERVE_DEPTH_RATIO)
    rate = min(most.rate_per_s, (tokens - 2 * depth) / seconds)
    depth = min(most.depth, (tokens - rate * seconds) / 2)
    return BucketSize(rate, depth)
