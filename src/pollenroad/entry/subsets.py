"""Bounded subsets of a service's endpoints, so that an entry's state does not grow with the fleet.

The endpoints of each failure domain form a ring, ordered by hash. An entry uses consecutive
endpoints from its own ring position on. Evenly spaced positions give all endpoints of a domain the
same number of entries, plus or minus one; hashed positions are accurate enough if the list of VMs
is not known. Adding or removing an endpoint changes few subsets.
"""

from collections.abc import Sequence
from hashlib import blake2b

from pollenroad.models import Endpoint

LOCAL_SHARE = 0.5
"""Share of a subset taken from the entry's own failure domain, if it has enough endpoints."""

_HASH_BYTES = 8

_POSITION_EPSILON = 1e-9
"""Keeps a position exactly at an endpoint from being rounded down to the previous one."""


def unit_hash(text: str) -> float:
    """Hash `text` to a number from 0 (inclusive) to 1 (exclusive), the same in every process."""
    digest = blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / 2 ** (8 * _HASH_BYTES)


def ring_position(name: str, names: Sequence[str] = ()) -> float:
    """Return the ring position of the entry `name`, from 0 (inclusive) to 1 (exclusive).

    Args:
        name: Name of the entry's VM.
        names: All VMs with an entry, in order. If `name` is not among them, it is hashed.
    """
    if name not in names:
        return unit_hash(name)
    return names.index(name) / len(names)


def _shares(count_by_domain: dict[str, int], domain: str, size: int) -> dict[str, int]:
    total = sum(count_by_domain.values())
    share_by_domain = {
        name: min(count, max(1, size * count // total)) for name, count in count_by_domain.items()
    }
    if domain in share_by_domain:
        local = min(count_by_domain[domain], int(size * LOCAL_SHARE))
        share_by_domain[domain] = max(share_by_domain[domain], local)
    return share_by_domain


def _ring_segment(endpoints: list[Endpoint], position: float, size: int) -> list[Endpoint]:
    ring = sorted(endpoints, key=lambda endpoint: unit_hash(endpoint.name))
    start = int(position * len(ring) + _POSITION_EPSILON)
    return [ring[(start + step) % len(ring)] for step in range(size)]


def select_subset(
    endpoints: Sequence[Endpoint], size: int, position: float, failure_domain: str
) -> tuple[Endpoint, ...]:
    """Select the endpoints that one entry uses.

    Args:
        endpoints: All usable endpoints of the service.
        size: Target size; may be exceeded, as each failure domain contributes at least one.
        position: Position of the entry on the ring, from `ring_position`.
        failure_domain: Failure domain of the entry.

    Returns:
        A deterministic subset; all endpoints if there are at most `size`.
    """
    if len(endpoints) <= size:
        return tuple(endpoints)
    endpoints_by_domain: dict[str, list[Endpoint]] = {}
    for endpoint in endpoints:
        endpoints_by_domain.setdefault(endpoint.failure_domain, []).append(endpoint)
    count_by_domain = {name: len(group) for name, group in endpoints_by_domain.items()}
    shares = _shares(count_by_domain, failure_domain, size)
    return tuple(
        endpoint
        for name, group in sorted(endpoints_by_domain.items())
        for endpoint in _ring_segment(group, position, shares[name])
    )
