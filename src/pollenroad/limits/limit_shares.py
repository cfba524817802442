"""Division of a customer's limit into quota shares: owners, token buckets, and the total bound.

A limit has one to three shares. Each share has an owner, which grants the whole share, and a
standby, which grants a small fraction of it to entries that cannot reach the owner. Both are
computed from the documents alone by rendezvous hashing, so the two sides of a network partition
agree on them.
"""

import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from pollenroad.models import CustomerLimit, ServiceDocument, WorkspaceDocument

MAX_SHARES = 3
"""Most shares of one limit. With three, the loss of an owner costs at most a third of it."""

SHARE_MIN_RATE = 20.0
"""Smallest rate of a share of a divided limit, in requests per second."""

SHARE_MIN_CONCURRENCY = 10
"""Smallest concurrency of a share of a divided limit, in requests."""

LEASE_S = 0.1
"""Lifetime of a token granted to a waiting call, in seconds from the time of the request."""

LONGEST_LEASE_S = 1.0
"""Longest lifetime of a prefetched token, in seconds."""

LONG_LEASE_TOKENS_S = 0.12
"""Tokens that may be outstanding in leases longer than `LEASE_S`, in seconds of a share's rate."""

BURST_S = 0.14
"""Size of a share's token bucket, in seconds of its rate."""

BURST_MIN = 2.0
"""Smallest size of a share's token bucket, in tokens, so that irregular arrivals lose none."""

STANDBY_RATIO = 0.1
"""Fraction of a share that its standby may grant."""

PERMIT_LEASE_S = 1.0
"""Lifetime of a concurrency permit that is not renewed, in seconds."""


@dataclass(frozen=True, slots=True)
class ShareOwners:
    """The daemons that grant one share of a limit."""

    primary: str
    """Peer address of the owner."""
    standby: str = ""
    """Peer address of the standby, empty if there is only one candidate."""


def limit_of(document: WorkspaceDocument, customer: str) -> CustomerLimit:
    """Return the limit of `customer`; the default is that of the workspace."""
    declared = next((c for c in document.customers if c.name == customer), None)
    if declared is not None:
        return declared
    return CustomerLimit(
        name=customer,
        rate_per_s=document.default_rate_per_s,
        concurrency=document.default_concurrency,
    )


def share_count(limit: CustomerLimit, candidates: int) -> int:
    """Return the number of shares of a limit that has `candidates` candidate owners."""
    by_rate = int(limit.rate_per_s / SHARE_MIN_RATE)
    by_concurrency = limit.concurrency // SHARE_MIN_CONCURRENCY
    return max(1, min(MAX_SHARES, by_rate, by_concurrency, candidates))


def share_concurrency(limit: CustomerLimit, shares: int, index: int) -> int:
    """Return the permits of share `index`; the shares add up to the whole limit."""
    return limit.concurrency // shares + (1 if index < limit.concurrency % shares else 0)


def share_burst(share_rate: float) -> float:
    """Return the size of the token bucket of a share's owner, in tokens."""
    return max(BURST_MIN, share_rate * BURST_S)


def long_lease_tokens(share_rate: float) -> int:
    """Return how many tokens of a share may be in long leases at once; none for a small share."""
    tokens = int(share_rate * LONG_LEASE_TOKENS_S)
    return tokens if tokens > 1 else 0


def standby_burst(standby_rate: float) -> float:
    """Return the size of the token bucket of a share's standby, in tokens."""
    return max(1.0, standby_rate * BURST_S)


def window_bound(limit: CustomerLimit, shares: int) -> int:
    """Return the most calls that can be admitted in any second, under any network partition.

    Tokens leased before the window begins can be used in it, and a share's whole burst can fall
    into it. The result is at most 1.5 times the limit for limits of at least 10 requests per
    second, and at most three calls more than that for lower limits.
    """
    rate = limit.rate_per_s / shares
    standby_rate = rate * STANDBY_RATIO
    primary = math.floor(rate * (1 + LEASE_S) + share_burst(rate)) + long_lease_tokens(rate)
    standby = math.floor(standby_rate * (1 + LEASE_S) + standby_burst(standby_rate))
    return shares * (primary + standby)


def owner_candidates(
    document: WorkspaceDocument, services: Iterable[ServiceDocument]
) -> dict[str, str]:
    """Return the candidate owners of a workspace's limits.

    Args:
        document: The workspace in force.
        services: The services in force; those of other workspaces are skipped.

    Returns:
        Failure domain by peer address of each candidate, an empty string if it is not known.
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
    """Reorder so that adjacent addresses are in different failure domains where possible."""
    remaining = list(ranked)
    ordered = []
    used = set()
    while remaining:
        candidate = next((a for a in remaining if domain_by_address[a] not in used), None)
        if candidate is None:
            used.clear()
            continue
        remaining.remove(candidate)
        ordered.append(candidate)
        used.add(domain_by_address[candidate])
    return ordered


def choose_owners(
    workspace: str, limit: CustomerLimit, domain_by_address: Mapping[str, str]
) -> tuple[ShareOwners, ...]:
    """Choose the owner and the standby of each share by rendezvous hashing.

    Args:
        workspace: Name of the workspace.
        limit: The customer's limit.
        domain_by_address: Failure domain by address of each candidate, from `owner_candidates`.

    Returns:
        One item per share; empty if there is no candidate.
    """
    ranked = sorted(domain_by_address, key=lambda a: _rank(workspace, limit.name, a))
    # Only the first few addresses become owners, so only these are reordered.
    order = _spread_over_domains(ranked[: 8 * MAX_SHARES], domain_by_address)
    count = len(order)
    if not count:
        return ()
    shares = share_count(limit, count)
    step = shares if count > shares else 1
    return tuple(
        ShareOwners(order[i], order[(i + step) % count] if count > 1 else "") for i in range(shares)
    )
