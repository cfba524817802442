"""Which VMs are leaving or dead, from what daemons saw and what the platform's list says.

Only exceptions are held: every VM that the documents name counts as live until something else is
known. Records merge by highest incarnation, then gravest state, so daemons agree whatever the order
of the news. When a large part of a failure domain or a service seems dead at once, the view is
distrusted and those VMs keep their place. No I/O.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from pollenroad.boundary import MembershipChanged
from pollenroad.models import VmState
from pollenroad.relay.directory import Directory, hash64
from pollenroad.relay_messages import VmListing, VmStatus

ALIVE = "alive"
LEAVING = "leaving"
DEAD = "dead"
GONE = "gone"
LIVE = "live"

_GRAVITY = {ALIVE: 0, LEAVING: 1, DEAD: 2, GONE: 3}

DOUBT_SHARE = 0.5
"""Share of a failure domain or service above which deaths at once are distrusted."""

DOUBT_MIN_VMS = 3
"""Deaths in a failure domain below which they are believed, whatever their share."""

DOUBT_S = 10.0
"""Time for which doubt outlasts its cause, in seconds, so that the view does not flap."""

BELIEF_S = 0.4
"""Age from which the news of a death is believed, in seconds: time to refute it, and to see whether
many more follow."""

ALIVE_RECORD_S = 600.0
"""Time for which the record of a VM that came back is kept, in seconds."""

MAX_RECORDS = 8_192
"""Records of VMs that a daemon holds, at the most."""


@dataclass(frozen=True, slots=True)
class _Record:
    status: VmStatus
    noted_at: float


class Membership:
    """Exceptions to the rule that a declared VM is live."""

    def __init__(self, directory: Directory):
        self._directory = directory
        self._record_by_vm: dict[str, _Record] = {}
        self._listing_by_vm: dict[str, VmListing] = {}
        self._list_revision = 0
        self._doubted_until: dict[tuple[str, str], float] = {}
        self._fingerprint = 0

    @property
    def fingerprint(self) -> int:
        """A 64-bit hash of all exceptions, equal on daemons that know the same ones."""
        return self._fingerprint

    @property
    def list_revision(self) -> int:
        """Highest revision of the platform's list that was taken."""
        return self._list_revision

    def status(self, vm: str) -> VmStatus | None:
        """Return what daemons observed of a VM, or None if nothing."""
        record = self._record_by_vm.get(vm)
        return record.status if record else None

    def statuses(self) -> Iterator[VmStatus]:
        """Yield everything that daemons observed."""
        return (record.status for record in self._record_by_vm.values())

    def listings(self) -> Iterator[VmListing]:
        """Yield the exceptions of the platform's list."""
        return iter(self._listing_by_vm.values())

    def apply_status(self, status: VmStatus, now: float) -> bool:
        """Take an observation; tell whether it is news."""
        if status.state not in _GRAVITY:
            return False
        held = self.status(status.vm)
        if held is not None and _rank(status) <= _rank(held):
            return False
        if held is None and status.state == ALIVE:
            return False
        if held is None and len(self._record_by_vm) >= MAX_RECORDS:
            return False
        self._record_by_vm[status.vm] = _Record(status, now)
        self._fingerprint ^= _status_mark(held) ^ _status_mark(status)
        return True

    def apply_listing(self, listing: VmListing) -> bool:
        """Take a line of the platform's list that a watcher read; tell whether it is news."""
        held = self._listing_by_vm.get(listing.vm)
        if held is not None and listing.revision <= held.revision:
            return False
        if held is None and (listing.state != LEAVING or len(self._listing_by_vm) >= MAX_RECORDS):
            return False
        self._listing_by_vm[listing.vm] = listing
        self._fingerprint ^= _listing_mark(held) ^ _listing_mark(listing)
        return held is None or held.state != listing.state

    def apply_list(self, revision: int, vms: Iterable[VmState]) -> list[VmListing]:
        """Take the platform's whole list, unless it is older than one that was taken.

        Returns:
            What differs from what was known, to be spread.
        """
        if revision < self._list_revision:
            return []
        self._list_revision = revision
        leaving = {vm.name for vm in vms if vm.state == LEAVING}
        known = {vm for vm, listing in self._listing_by_vm.items() if listing.state == LEAVING}
        news = [VmListing(vm, LEAVING, revision) for vm in sorted(leaving - known)]
        news += [VmListing(vm, LIVE, revision) for vm in sorted(known - leaving)]
        return [listing for listing in news if self.apply_listing(listing)]

    def prune(self, now: float) -> None:
        """Drop records of VMs that are back for long or that no document names any more."""
        for vm, record in list(self._record_by_vm.items()):
            is_named = self._directory.get(vm) is not None
            is_exception = record.status.state != ALIVE and is_named
            if not is_exception and now - record.noted_at >= ALIVE_RECORD_S:
                del self._record_by_vm[vm]
                self._fingerprint ^= _status_mark(record.status)

    # --- The view ---

    def seeming_dead(self) -> frozenset[str]:
        """Return the VMs that several daemons miss, whether that is believed or not."""
        return frozenset(s.vm for s in self.statuses() if s.state == DEAD)

    def gone(self) -> frozenset[str]:
        """Return the VMs that left and are not heard any more."""
        return frozenset(s.vm for s in self.statuses() if s.state == GONE)

    def view(self, now: float) -> MembershipChanged:
        """Return what an entry is to know of VMs now."""
        leaving = {s.vm for s in self.statuses() if s.state in (LEAVING, GONE)}
        leaving |= {x.vm for x in self.listings() if x.state == LEAVING}
        dead = self.seeming_dead()
        fresh = {vm for vm in dead if now - self._record_by_vm[vm].noted_at < BELIEF_S}
        doubtful = frozenset(self._doubtful(dead, now))
        return MembershipChanged(frozenset(leaving), dead - doubtful - fresh, doubtful - fresh)

    def next_belief(self, now: float) -> float:
        """Return when the next news of a death will be believed, or infinity."""
        ages = (self._record_by_vm[vm].noted_at for vm in self.seeming_dead())
        return min((at + BELIEF_S for at in ages if now - at < BELIEF_S), default=float("inf"))

    def _doubtful(self, dead: frozenset[str], now: float) -> Iterator[str]:
        if not dead:
            self._doubted_until.clear()
            return
        for name in self._directory.domains():
            yield from self._doubted(("domain", name), self._directory.in_domain(name), dead, now)
        for key, vms in self._directory.by_key():
            yield from self._doubted(("service", key), vms, dead, now)

    def _doubted(
        self, group: tuple[str, str], vms: Iterable[str], dead: frozenset[str], now: float
    ) -> Iterable[str]:
        members = set(vms)
        missing = members & dead
        least = DOUBT_MIN_VMS if group[0] == "domain" else 1
        if len(missing) >= least and len(missing) > DOUBT_SHARE * len(members):
            self._doubted_until[group] = now + DOUBT_S
        if self._doubted_until.get(group, 0.0) > now:
            return missing
        self._doubted_until.pop(group, None)
        return ()


def _rank(status: VmStatus) -> tuple[int, int]:
    return (status.incarnation, _GRAVITY[status.state])


def _status_mark(status: VmStatus | None) -> int:
    if status is None or status.state == ALIVE:
        return 0
    return hash64(status.vm, status.incarnation, status.state)


def _listing_mark(listing: VmListing | None) -> int:
    if listing is None or listing.state != LEAVING:
        return 0
    return hash64(listing.vm, listing.state)


def make_membership(directory: Directory) -> Membership:
    """Make a membership without exceptions over the VMs of `directory`."""
    return Membership(directory)
