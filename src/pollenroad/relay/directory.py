"""Directory of the VMs that the documents name, and the gossip topology over them.

Each daemon is on three rings: one over its failure domain and two over the whole fleet, each
ordered by a different hash. Its neighbours are the daemons before and after it on each ring, so a
daemon has at most six whatever the size of the fleet, and the relation is symmetric. The union of
such rings is an expander graph: a message that each daemon forwards to all its neighbours reaches
11,000 daemons in about seven hops.
"""

import hashlib
from bisect import bisect_left, insort
from collections import Counter
from collections.abc import Collection, Iterable, Iterator
from dataclasses import dataclass
from itertools import islice

from pollenroad.models import Document, ServiceDocument

FLEET_RINGS = 2
"""Number of rings over the whole fleet, besides the one over the failure domain."""

MAX_SKIPPED = 2_000
"""Maximum number of excluded VMs skipped in the search for one neighbour."""


@dataclass(frozen=True, slots=True)
class Vm:
    """A VM with a daemon."""

    name: str
    address: str
    """Peer address of the daemon."""
    failure_domain: str


def hash64(*parts: object) -> int:
    """Return a 64-bit hash of `parts` that is the same in every process."""
    text = "/".join(str(part) for part in parts).encode()
    return int.from_bytes(hashlib.blake2b(text, digest_size=8).digest(), "big")


class _Ring:
    """VM names ordered by a salted hash."""

    def __init__(self, salt: str):
        self._salt = salt
        self._order: list[tuple[int, str]] = []

    def __len__(self) -> int:
        return len(self._order)

    def _position(self, name: str) -> tuple[int, str]:
        return (hash64(self._salt, name), name)

    def add(self, name: str) -> None:
        insort(self._order, self._position(name))

    def discard(self, name: str) -> None:
        position = self._position(name)
        index = bisect_left(self._order, position)
        if index < len(self._order) and self._order[index] == position:
            del self._order[index]

    def walk(self, name: str, step: int) -> Iterator[str]:
        """Yield the names after (`step` 1) or before (-1) `name`, once around, without `name`."""
        size = len(self._order)
        start = bisect_left(self._order, self._position(name))
        if step > 0 and start < size and self._order[start][1] == name:
            start += 1
        if step < 0:
            start -= 1
        for offset in range(size):
            found = self._order[(start + step * offset) % size][1]
            if found == name:
                return
            yield found


class Directory:
    """VMs by name, by failure domain and by the service whose endpoint they run."""

    def __init__(self):
        self._vm_by_name: dict[str, Vm] = {}
        self._name_by_address: dict[str, str] = {}
        self._names_by_key: dict[str, tuple[str, ...]] = {}
        self._references: Counter[str] = Counter()
        self._fleet_rings = [_Ring(f"fleet-{number}") for number in range(FLEET_RINGS)]
        self._ring_by_domain: dict[str, _Ring] = {}
        self._names_by_domain: dict[str, set[str]] = {}

    def __len__(self) -> int:
        return len(self._vm_by_name)

    def get(self, name: str) -> Vm | None:
        """Return a VM by name, or None."""
        return self._vm_by_name.get(name)

    def name_at(self, address: str) -> str | None:
        """Return the name of the VM whose daemon has this peer address, or None."""
        return self._name_by_address.get(address)

    def domains(self) -> list[str]:
        """Return the names of the failure domains, sorted."""
        return sorted(self._names_by_domain)

    def in_domain(self, failure_domain: str) -> Collection[str]:
        """Return the names of the VMs in a failure domain."""
        return self._names_by_domain.get(failure_domain, ())

    def by_key(self) -> Iterable[tuple[str, tuple[str, ...]]]:
        """Return each document key with the names of the VMs in that document."""
        return self._names_by_key.items()

    def configure(self, document: Document) -> bool:
        """Update the VMs from the endpoints of a document that came into force.

        Returns:
            Whether any VM was added, removed or changed.
        """
        if not isinstance(document, ServiceDocument):
            return False
        vms = [Vm(e.vm, e.address, e.failure_domain) for e in document.endpoints]
        return self.replace(document.key, vms)

    def replace(self, key: str, vms: Iterable[Vm]) -> bool:
        """Set the VMs listed under `key`; return whether that changed anything."""
        vm_by_name = {vm.name: vm for vm in vms}
        previous = self._names_by_key.get(key, ())
        unchanged = [vm for vm in vm_by_name.values() if self._vm_by_name.get(vm.name) == vm]
        if len(unchanged) == len(previous) == len(vm_by_name) and set(previous) == set(vm_by_name):
            return False
        self._references.update(list(vm_by_name))
        for name in previous:
            self._release(name)
        self._names_by_key[key] = tuple(vm_by_name)
        for vm in vm_by_name.values():
            self._add(vm)
        return True

    def _release(self, name: str) -> None:
        self._references[name] -= 1
        if self._references[name] <= 0:
            del self._references[name]
            self._remove(name)

    def _add(self, vm: Vm) -> None:
        known = self._vm_by_name.get(vm.name)
        if known == vm:
            return
        if known is not None:
            self._remove(vm.name)
        self._vm_by_name[vm.name] = vm
        self._name_by_address[vm.address] = vm.name
        for ring in self._rings(vm.failure_domain):
            ring.add(vm.name)
        self._names_by_domain.setdefault(vm.failure_domain, set()).add(vm.name)

    def _remove(self, name: str) -> None:
        vm = self._vm_by_name.pop(name)
        if self._name_by_address.get(vm.address) == name:
            del self._name_by_address[vm.address]
        for ring in self._rings(vm.failure_domain):
            ring.discard(name)
        names = self._names_by_domain[vm.failure_domain]
        names.discard(name)
        if not names:
            del self._names_by_domain[vm.failure_domain]

    def _rings(self, failure_domain: str) -> list[_Ring]:
        ring = self._ring_by_domain.setdefault(failure_domain, _Ring(f"domain-{failure_domain}"))
        return [ring, *self._fleet_rings]

    def neighbours(self, name: str, failure_domain: str, excluded: Collection[str]) -> list[str]:
        """Return the neighbours of a VM, which need not be in the directory itself.

        Args:
            name: Name of the VM.
            failure_domain: Failure domain of the VM.
            excluded: Names that are skipped, such as those of dead VMs.
        """
        found: dict[str, None] = {}
        for ring in self._rings(failure_domain):
            for step in (1, -1):
                usable = (
                    n for n in islice(ring.walk(name, step), MAX_SKIPPED) if n not in excluded
                )
                nearest = next(usable, None)
                if nearest is not None:
                    found[nearest] = None
        return list(found)

    def watchers(self, failure_domain: str, excluded: Collection[str], count: int) -> list[str]:
        """Return the watchers of a failure domain, chosen by rendezvous hashing."""
        usable = (name for name in self.in_domain(failure_domain) if name not in excluded)
        return sorted(usable, key=lambda name: hash64("watcher", failure_domain, name))[:count]


def make_directory() -> Directory:
    """Make an empty directory."""
    return Directory()
