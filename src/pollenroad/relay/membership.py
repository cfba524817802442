"""Membership: which VMs are leaving or dead, by reports of daemons and by the platform's list.

Only exceptions are stored: every VM that the documents name counts as live unless reported
otherwise. Records merge by highest incarnation, then most severe state, so daemons converge
whatever the order of updates. If a large part of a failure domain or service is reported dead at
once, the reports are not trusted: those VMs count as doubtful and stay in use.
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
"""State in the platform's list of VMs; `ALIVE` is the state that daemons report."""

_SEVERITY = {ALIVE: 0, LEAVING: 1, DEAD: 2, GONE: 3}

MASS_FAILURE_SHARE = 0.5
"""Share of a failure domain or service above which simultaneous deaths make VMs doubtful."""

MASS_FAILURE_MIN_VMS = 3
"""Fewest dead VMs that count as a mass failure of a failure domain, however large their share."""

MASS_FAILURE_LINGER_S = 10.0
"""Time for which VMs stay doubtful after a mass failure was last detected, in seconds, so that the
view does not flap."""

REFUTATION_S = 0.4
"""Time from the report of a death until it takes effect, in seconds: the VM can refute it, and
reports of a mass failure can arrive."""

ALIVE_RECORD_S = 600.0
"""Time for which records of VMs that are alive again or no longer named are kept, in seconds."""

MAX_RECORDS = 8_192
"""Maximum number of VM records, and of listings."""


@dataclass(frozen=True, slots=True)
class _Record:
    status: VmStatus
    noted_at: float


class Membership:
    """Exceptions to the rule that every VM in the documents is live."""

    def __init__(self, directory: Directory):
        self._directory = directory
        self._record_by_vm: dict[str, _Record] = {}
        self._listing_by_vm: dict[str, VmListing] = {}
        self._list_revision = 0
        self._mass_failure_until: dict[tuple[str, str], float] = {}
        self._fingerprint = 0

    @property
    def fingerprint(self) -> int:
        """64-bit hash of all exceptions, equal on daemons that know the same ones."""
        return self._fingerprint

    @property
    def list_revision(self) -> int:
        """Highest revision of the platform's list that was applied."""
        return self._list_revision

    def status(self, vm: str) -> VmStatus | None:
        """Return the status of a VM as reported by daemons, or None."""
        record = self._record_by_vm.get(vm)
        return record.status if record else None

    def statuses(self) -> Iterator[VmStatus]:
        """Yield all statuses reported by daemons."""
        return (record.status for record in self._record_by_vm.values())

    def listings(self) -> Iterator[VmListing]:
        """Yield the exceptions of the platform's list."""
        return iter(self._listing_by_vm.values())

    def apply_status(self, status: VmStatus, now: float) -> bool:
        """Apply a reported status; return whether it is new."""
        if status.state not in _SEVERITY:
            return False
        known = self.status(status.vm)
        if known is not None and _rank(status) <= _rank(known):
            return False
        if known is None and status.state == ALIVE:
            return False
        if known is None and len(self._record_by_vm) >= MAX_RECORDS:
            return False
        self._record_by_vm[status.vm] = _Record(status, now)
        self._fingerprint ^= _status_hash(known) ^ _status_hash(status)
        return True

    def apply_listing(self, listing: VmListing) -> bool:
        """Apply an entry of the platform's list; return whether it changes the state of its VM."""
        known = self._listing_by_vm.get(listing.vm)
        if known is not None and listing.revision <= known.revision:
            return False
        if known is None and (listing.state != LEAVING or len(self._listing_by_vm) >= MAX_RECORDS):
            return False
        self._listing_by_vm[listing.vm] = listing
        self._fingerprint ^= _listing_hash(known) ^ _listing_hash(listing)
        return known is None or known.state != listing.state

    def apply_list(self, revision: int, vms: Iterable[VmState]) -> list[VmListing]:
        """Apply the platform's whole list, unless it is older than the last one applied.

        Returns:
            Differences from what was known, to be disseminated.
        """
        if revision < self._list_revision:
            return []
        self._list_revision = revision
        leaving = {vm.name for vm in vms if vm.state == LEAVING}
        known = {vm for vm, listing in self._listing_by_vm.items() if listing.state == LEAVING}
        changes = [VmListing(vm, LEAVING, revision) for vm in sorted(leaving - known)]
        changes += [VmListing(vm, LIVE, revision) for vm in sorted(known - leaving)]
        return [listing for listing in changes if self.apply_listing(listing)]

    def prune(self, now: float) -> None:
        """Drop old records of VMs that are alive again or that no document names any more."""
        for vm, record in list(self._record_by_vm.items()):
            is_named = self._directory.get(vm) is not None
            is_exception = record.status.state != ALIVE and is_named
            if not is_exception and now - record.noted_at >= ALIVE_RECORD_S:
                del self._record_by_vm[vm]
                self._fingerprint ^= _status_hash(record.status)

    # --- The view ---

    def reported_dead(self) -> frozenset[str]:
        """Return the VMs that their monitors report dead, whether that has taken effect or not."""
        return frozenset(s.vm for s in self.statuses() if s.state == DEAD)

    def gone(self) -> frozenset[str]:
        """Return the VMs that left and send no heartbeats any more."""
        return frozenset(s.vm for s in self.statuses() if s.state == GONE)

    def view(self, now: float) -> MembershipChanged:
        """Return the view of VMs for the entry."""
        leaving = {s.vm for s in self.statuses() if s.state in (LEAVING, GONE)}
        leaving |= {x.vm for x in self.listings() if x.state == LEAVING}
        dead = self.reported_dead()
        fresh = {vm for vm in dead if now - self._record_by_vm[vm].noted_at < REFUTATION_S}
        doubtful = frozenset(self._doubtful(dead, now))
        return MembershipChanged(frozenset(leaving), dead - doubtful - fresh, doubtful - fresh)

    def next_refutation_end(self, now: float) -> float:
        """Return when the next reported death takes effect, in monotonic seconds, or infinity."""
        times = (self._record_by_vm[vm].noted_at for vm in self.reported_dead())
        return min(
            (at + REFUTATION_S for at in times if now - at < REFUTATION_S), default=float("inf")
        )

    def _doubtful(self, dead: frozenset[str], now: float) -> Iterator[str]:
        if not dead:
            self._mass_failure_until.clear()
            return
        for name in self._directory.domains():
            yield from self._doubtful_in(
                ("domain", name), self._directory.in_domain(name), dead, now
            )
        for key, vms in self._directory.by_key():
            yield from self._doubtful_in(("service", key), vms, dead, now)

    def _doubtful_in(
        self, group: tuple[str, str], vms: Iterable[str], dead: frozenset[str], now: float
    ) -> Iterable[str]:
        members = set(vms)
        missing = members & dead
        min_missing = MASS_FAILURE_MIN_VMS if group[0] == "domain" else 1
        if len(missing) >= min_missing and len(missing) > MASS_FAILURE_SHARE * len(members):
            self._mass_failure_until[group] = now + MASS_FAILURE_LINGER_S
        if self._mass_failure_until.get(group, 0.0) > now:
            return missing
        self._mass_failure_until.pop(group, None)
        return ()


def _rank(status: VmStatus) -> tuple[int, int]:
    return (status.incarnation, _SEVERITY[status.state])


def _status_hash(status: VmStatus | None) -> int:
    if status is None or status.state == ALIVE:
        return 0
    return hash64(status.vm, status.incarnation, status.state)


def _listing_hash(listing: VmListing | None) -> int:
    if listing is None or listing.state != LEAVING:
        return 0
    return hash64(listing.vm, listing.state)


def make_membership(directory: Directory) -> Membership:
    """Make a membership without exceptions over the VMs of `directory`."""
    return Membership(directory)
