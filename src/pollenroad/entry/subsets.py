"""Bounded subsets of a service's endpoints, so that an entry's state does not grow with the fleet.

Each failure domain's endpoints lie on a ring in the order of their hash. An entry takes the run
of endpoints that starts at its own place. Places that are spread evenly give every endpoint the
same number of entries, give or take one; hashed places are good enough where the list of VMs is
not known. Endpoints that come or go change few subsets.
"""

from collections.abc import Sequence
from hashlib import blake2b

from pollenroad.models import Endpoint

LOCAL_SHARE = 0.5
"""Share of a subset from the entry's own failure domain, where that domain has so many."""

_HASH_BYTES = 8

_ROUNDING = 1e-9
"""Keeps a place that falls on an endpoint from being rounded down to the one before it."""


def unit_hash(text: str) -> float:
    """Map `text` to a number from 0 up to 1, the same in every process."""
    digest = blake2b(text.encode(), digest_size=_HASH_BYTES).digest()
    return int.from_bytes(digest, "big") / 2 ** (8 * _HASH_BYTES)


def place_of(name: str, names: Sequence[str] = ()) -> float:
    """Return the place of the entry `name` on the ring, from 0 up to 1.

    Args:
        name: Name of the entry's VM.
        names: All VMs with an entry in order, or empty if not known.
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


def _run(endpoints: list[Endpoint], place: float, size: int) -> list[Endpoint]:
    ring = sorted(endpoints, key=lambda endpoint: unit_hash(endpoint.name))
    start = int(place * len(ring) + _ROUNDING)
    return [ring[(start + step) % len(ring)] for step in range(size)]


def subset_of(
    endpoints: Sequence[Endpoint], size: int, place: float, failure_domain: str
) -> tuple[Endpoint, ...]:
    """Choose the endpoints that one entry uses.

    Args:
        endpoints: All usable endpoints of the service.
        size: Endpoints wanted; at least one of each failure domain is taken.
        place: Place of the entry on the ring, from `place_of`.
        failure_domain: Failure domain of the entry.

    Returns:
        The same subset for the same arguments; all endpoints if there are at most `size`.
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
        for endpoint in _run(group, place, shares[name])
    )
