"""How a customer's limit is divided: owners by rendezvous hashing, token buckets, and the bound.

A limit has one to three shares. Each share has an owner, which hands out the whole share, and a
standby, which hands out a small part of it to entries that cannot reach the owner. Both follow
from the documents alone, so the two sides of a partition agree on them.
"""

import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from pollenroad.models import CustomerLimit, ServiceDocument, WorkspaceDocument

MAX_SHARES = 3
"""Owners of one limit, so that the loss of one costs at most a third."""

SHARE_MIN_RATE = 20.0
"""Requests a second below which a share is not divided further."""

SHARE_MIN_CONCURRENCY = 10
"""Requests in flight below which a share is not divided further."""

LEASE_S = 0.1
"""Life of a token that is granted to a waiting call, in seconds, from the moment of asking."""

LONGEST_LEASE_S = 1.0
"""Longest life of a token that is granted ahead, in seconds."""

AHEAD_S = 0.12
"""Rate that may be out in leases longer than `LEASE_S`, in seconds."""

BURST_S = 0.14
"""Unused rate that a share keeps, in seconds."""

BURST_MIN = 2.0
"""Tokens that even a small share keeps, so that irregular arrivals lose none."""

STANDBY_RATIO = 0.1
"""Part of a share that its standby may hand out."""

PERMIT_LEASE_S = 1.0
"""Life of a concurrency permit without renewal, in seconds."""

_ROUNDING = 1e-6
"""Tolerance in tokens, so that a refill at exactly the computed due time does not fall short."""


@dataclass(frozen=True, slots=True)
class ShareOwners:
    """Who hands out one share of a limit."""

    primary: str
    """Peer address."""
    standby: str = ""
    """Peer address, empty where there is only one candidate."""


@dataclass(slots=True)
class TokenBucket:
    """Tokens that grow with time up to a bound."""

    rate_per_s: float
    burst: float
    tokens: float
    updated: float

    def refill(self, now: float) -> None:
        """Add what has accrued until `now`."""
        accrued = max(0.0, now - self.updated) * self.rate_per_s
        self.tokens = min(self.burst, self.tokens + accrued)
        self.updated = max(self.updated, now)

    def has_token(self) -> bool:
        """Tell whether a whole token can be taken."""
        return self.tokens >= 1 - _ROUNDING

    def take(self, wanted: int) -> int:
        """Take up to `wanted` whole tokens and return how many."""
        taken = max(0, min(wanted, math.floor(self.tokens + _ROUNDING)))
        self.tokens -= taken
        return taken

    def time_of(self, tokens: float) -> float:
        """Return when the bucket holds `tokens`, in monotonic seconds."""
        return self.updated + max(0.0, tokens - self.tokens) / self.rate_per_s


def limit_of(document: WorkspaceDocument, customer: str) -> CustomerLimit:
    """Return the limit of `customer`, by default that of the workspace."""
    stated = next((c for c in document.customers if c.name == customer), None)
    if stated is not None:
        return stated
    return CustomerLimit(
        name=customer,
        rate_per_s=document.default_rate_per_s,
        concurrency=document.default_concurrency,
    )


def share_count(limit: CustomerLimit, candidates: int) -> int:
    """Return into how many shares a limit is divided among `candidates` possible owners."""
    by_rate = int(limit.rate_per_s / SHARE_MIN_RATE)
    by_concurrency = limit.concurrency // SHARE_MIN_CONCURRENCY
    return max(1, min(MAX_SHARES, by_rate, by_concurrency, candidates))


def share_concurrency(limit: CustomerLimit, shares: int, index: int) -> int:
    """Return the permits of share `index`; all shares together have the whole limit."""
    return limit.concurrency // shares + (1 if index < limit.concurrency % shares else 0)


def share_burst(share_rate: float) -> float:
    """Return the burst of a share's owner, in tokens."""
    return max(BURST_MIN, share_rate * BURST_S)


def ahead_tokens(share_rate: float) -> int:
    """Return the tokens that a share's owner may have out in long leases; none if it is small."""
    tokens = int(share_rate * AHEAD_S)
    return tokens if tokens > 1 else 0


def standby_burst(standby_rate: float) -> float:
    """Return the burst of a share's standby, in tokens."""
    return max(1.0, standby_rate * BURST_S)


def window_bound(limit: CustomerLimit, shares: int) -> int:
    """Return the most calls that may be admitted in any second, under any partition.

    Tokens out in leases when the window begins may be used in it, and a share's burst may fall
    into it. This is at most 1.5 times the limit from 10 requests a second upwards, and at most
    three calls more than that below.
    """
    rate = limit.rate_per_s / shares
    standby_rate = rate * STANDBY_RATIO
    primary = math.floor(rate * (1 + LEASE_S) + share_burst(rate)) + ahead_tokens(rate)
    standby = math.floor(standby_rate * (1 + LEASE_S) + standby_burst(standby_rate))
    return shares * (primary + standby)


def owner_candidates(
    document: WorkspaceDocument, services: Iterable[ServiceDocument]
) -> dict[str, str]:
    """Return the possible owners of a workspace's limits.

    Args:
        document: The workspace in force.
        services: The services in force; those of other workspaces are skipped.

    Returns:
        The failure domain of each peer address, empty where it is not known.
    """
    own = [s for s in services if s.workspace == document.workspace]
    domain_by_address = {e.address: e.failure_domain for s in own for e in s.endpoints}
    if document.limit_owners:
        return {address: domain_by_address.get(address, "") for address in document.limit_owners}
    in_service = {
        e.address: e.failure_domain
        for s in own
        for e in s.endpoints
        if e.failure_domain not in s.out_of_service.failure_domains
        and e.vm not in s.out_of_service.vms
    }
    return in_service or domain_by_address


def _rank(workspace: str, customer: str, address: str) -> bytes:
    text = f"{workspace}/{customer}/{address}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def _spread_over_domains(ranked: list[str], domain_by_address: Mapping[str, str]) -> list[str]:
    """Reorder so that neighbours lie in different failure domains where that is possible."""
    rest = list(ranked)
    spread = []
    used = set()
    while rest:
        fresh = next((a for a in rest if domain_by_address[a] not in used), None)
        if fresh is None:
            used.clear()
            continue
        rest.remove(fresh)
        spread.append(fresh)
        used.add(domain_by_address[fresh])
    return spread


def choose_owners(
    workspace: str, limit: CustomerLimit, domain_by_address: Mapping[str, str]
) -> tuple[ShareOwners, ...]:
    """Choose the owner and the standby of each share by rendezvous hashing.

    Args:
        workspace: Name of the workspace.
        limit: The customer's limit.
        domain_by_address: The candidates, from `owner_candidates`.

    Returns:
        One item a share, or nothing if there is no candidate.
    """
    ranked = sorted(domain_by_address, key=lambda a: _rank(workspace, limit.name, a))
    # Only the head of the order matters, so only it is spread.
    order = _spread_over_domains(ranked[: 8 * MAX_SHARES], domain_by_address)
    count = len(order)
    if not count:
        return ()
    shares = share_count(limit, count)
    step = shares if count > shares else 1
    return tuple(
        ShareOwners(order[i], order[(i + step) % count] if count > 1 else "") for i in range(shares)
    )
