"""The daemons that may hand out a workspace's quota, chosen alike by all daemons.

Each failure domain has one holder for each share of a quota, the one with the lowest rank by
rendezvous hashing among the daemons of its registered endpoints. The lowest of these is the owner,
the others are standbys. A domain that is cut off or restored changes no holder of another domain.
"""

import zlib
from collections import Counter
from collections.abc import Iterable

from pollenroad.published import RegisteredEndpoint

KNOWN_S = 120.0
"""Time for which a daemon is still counted after its endpoint is gone, in seconds. If a domain that
is cut off were forgotten, the rest would become the majority."""

MIN_MAJORITY_SHARE = 0.5
"""Share of the known daemons that a majority exceeds."""

CHANGE_S = 3.0
"""Longest time until a change of the directory has reached every daemon that can be reached, in
seconds."""

_MASK = (1 << 64) - 1


class Membership:
    """Daemons of the registered endpoints, by failure domain."""

    def __init__(self, address: str, failure_domain: str):
        self.address = address
        self.failure_domain = failure_domain
        self.version = 0
        """Number of changes so far."""
        self.changed_at = float("-inf")
        self.domain_by_guard: dict[str, str] = {}
        self._gone: dict[str, tuple[str, float]] = {}
        """Failure domain of each daemon whose endpoint is gone, and the time of that."""
        self._reported = (0, float("-inf"))
        """Most daemons that another daemon knows, and when it said so."""
        self._joined_at: list[float] = []
        """When daemons joined after the first update, recently."""
        self._chain_by_key: dict[tuple[str, int], tuple[str, ...]] = {}
        self.daemons_by_domain: Counter[str] = Counter()
        """Known daemons of each failure domain, including those that are gone."""

    def update(self, endpoints: Iterable[RegisteredEndpoint], now: float) -> bool:
        """Apply the registered endpoints; return whether the daemons changed."""
        listed = {e.guard: e.failure_domain for e in endpoints}
        if listed == self.domain_by_guard:
            return False
        for guard, domain in self.domain_by_guard.items():
            if guard not in listed:
                self._gone[guard] = (domain, now)
        for guard in listed:
            self._gone.pop(guard, None)
        if self.version:
            joined = [now] * len(listed.keys() - self.domain_by_guard.keys())
            recent = [at for at in self._joined_at if at > now - 2 * CHANGE_S]
            self._joined_at = recent + joined
        self.domain_by_guard = listed
        self.version += 1
        self.changed_at = now
        self._chain_by_key.clear()
        self.forget_gone(now)
        return True

    def forget_gone(self, now: float) -> None:
        """Forget the daemons whose endpoints have been gone for long."""
        self._gone = {g: item for g, item in self._gone.items() if item[1] > now - KNOWN_S}
        if self._reported[0] and self._reported[1] < now - KNOWN_S:
            self._reported = (1, now)
        domains = [*self.domain_by_guard.values(), *(domain for domain, _ in self._gone.values())]
        self.daemons_by_domain = Counter(domains)

    @property
    def known_daemons(self) -> int:
        """Number of known daemons, including those that are gone."""
        return self.daemons_by_domain.total()

    def domain_of(self, guard: str) -> str | None:
        """Return the failure domain of a known daemon, or None."""
        domain = self.domain_by_guard.get(guard)
        return self._gone.get(guard, (None, 0.0))[0] if domain is None else domain

    def learn_size(self, daemons: int, at: float, now: float) -> None:
        """Note how many daemons another one knew at a time: one that has just started knows fewer.

        All daemons of a domain that is cut off may restart one after the other.
        """
        count, noted_at = self._reported
        if daemons > count or noted_at < now - KNOWN_S:
            self._reported = (daemons, at)
        elif daemons == count:
            self._reported = (count, max(at, noted_at))

    def size(self, now: float) -> tuple[int, float]:
        """Return how many daemons are known, and the age of that number in seconds."""
        count, at = self._reported
        return (count, now - at) if count > self.known_daemons else (self.known_daemons, 0.0)

    @property
    def has_learned_size(self) -> bool:
        """Whether any other daemon has said how many it knows, or there is none."""
        return self._reported[0] > 0 or not any(g != self.address for g in self.domain_by_guard)

    def share_of(self, domains: Iterable[str]) -> float:
        """Return which share of the known daemons is in these failure domains."""
        count = sum(self.daemons_by_domain[domain] for domain in domains)
        return count / max(1, self.known_daemons, self._reported[0])

    def is_majority(self, domains: Iterable[str]) -> bool:
        """Return whether failure domains have most of the known daemons.

        With exactly half of them, the side with the first domain by name is the majority.
        """
        held = set(domains)
        total = max(self.known_daemons, self._reported[0])
        count = sum(self.daemons_by_domain[domain] for domain in held)
        if count == total * MIN_MAJORITY_SHARE and total == self.known_daemons:
            return bool(total) and min(self.daemons_by_domain) in held
        return count > total * MIN_MAJORITY_SHARE

    # --- Holders ---

    def chain(self, workspace: str, share: int) -> tuple[str, ...]:
        """Return the holders of a share, one of each failure domain: the owner, then standbys."""
        key = (workspace, share)
        chain = self._chain_by_key.get(key)
        if chain is None:
            chain = self._chain_by_key[key] = self._choose(f"{workspace}/{share}")
        return chain

    def _choose(self, name: str) -> tuple[str, ...]:
        best_by_domain: dict[str, tuple[int, str]] = {}
        for guard, domain in self.domain_by_guard.items():
            ranked = (rank(name, guard), guard)
            if domain not in best_by_domain or ranked < best_by_domain[domain]:
                best_by_domain[domain] = ranked
        return tuple(guard for _, guard in sorted(best_by_domain.values()))

    def predecessors(self, workspace: str, share: int, since: float) -> frozenset[str] | None:
        """Return the daemons that may have owned a share before this one did.

        If this daemon joined, that is the owner among the others; if a daemon has gone, that one.

        Args:
            workspace: Name of the workspace.
            share: Index of the share.
            since: Since when this daemon owns the share, in monotonic seconds.

        Returns:
            Their peer addresses, or None if several daemons joined in the time before.
        """
        if sum(since - CHANGE_S < at <= since for at in self._joined_at) > 1:
            return None
        name = f"{workspace}/{share}"
        near = [g for g, domain in self.domain_by_guard.items() if domain == self.failure_domain]
        gone = [g for g, (_, at) in self._gone.items() if at > since - CHANGE_S]
        found = {*self.chain(workspace, share), *gone}
        found.update(sorted(near, key=lambda guard: rank(name, guard))[:2])
        return frozenset(found - {self.address})

    def has_fallback(self, workspace: str, entries: int) -> bool:
        """Return whether this daemon is one of the `entries` that have a part of the fallback."""
        own = rank(workspace, self.address)
        known = (*self.domain_by_guard, *self._gone)
        below = sum(rank(workspace, guard) < own for guard in known if guard != self.address)
        return below < entries


def rank(name: str, guard: str) -> int:
    """Return the rank of a daemon for a name; the lowest is chosen.

    A checksum with a finalizer, since a cryptographic hash library takes 4 MB of memory.
    """
    value = zlib.crc32(guard.encode()) << 32 | zlib.crc32(name.encode())
    for factor in (0xFF51AFD7ED558CCD, 0xC4CEB9FE1A85EC53):
        value = (value ^ value >> 33) * factor & _MASK
    return value ^ value >> 33
