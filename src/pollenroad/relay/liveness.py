"""Gossip of VM statuses: suspicion, death, leaving, and refutation of a reported death.

Combines the records of `membership` with the `failure_detector`, and forwards each update once to
all links.
"""

from collections.abc import Callable, Iterable, Iterator

from pollenroad.base_message import ITEMS_PER_MESSAGE
from pollenroad.boundary import Action, MembershipChanged, Record, SendPeer, VmsListed
from pollenroad.relay.audit import AuditTrail
from pollenroad.relay.directory import Directory
from pollenroad.relay.dissemination import batched
from pollenroad.relay.failure_detector import make_failure_detector
from pollenroad.relay.links import Links
from pollenroad.relay.membership import ALIVE, DEAD, GONE, LEAVING, make_membership
from pollenroad.relay_messages import Heartbeat, Opinion, Suspect, VmListing, VmNews, VmStatus

SAME_PROCESS_SPAN = 1_000
"""Two incarnations of a VM that differ by less than this belong to one process, which refuted its
death: a refutation adds 1, whereas a restart takes the clock's time in milliseconds."""


class Liveness:
    """Which VMs are live in the view of one daemon, and the updates that it sends about them."""

    def __init__(
        self,
        vm: str,
        incarnation: int,
        directory: Directory,
        links: Links,
        trail: AuditTrail,
        to_wall_s: Callable[[float], float],
    ):
        self._vm = vm
        self._directory = directory
        self._links = links
        self._trail = trail
        self._to_wall_s = to_wall_s
        self._leaving = False
        self.incarnation = incarnation
        self.membership = make_membership(directory)
        self.detector = make_failure_detector()
        self.view = MembershipChanged(frozenset(), frozenset())
        self.view_due = float("inf")
        self.is_refresh_due = False

    def excluded(self) -> frozenset[str]:
        """Return the VMs that cannot be neighbours: gone, or reported dead and not doubtful."""
        return (self.membership.reported_dead() - self.view.doubtful) | self.membership.gone()

    # --- Updates ---

    def _own_status(self) -> VmStatus:
        return VmStatus(self._vm, self.incarnation, LEAVING if self._leaving else ALIVE)

    def leave(self, now: float) -> list[Action]:
        """Announce to all links that this daemon takes no new work."""
        self._leaving = True
        return self.merge((self._own_status(),), (), "", now)

    def merge(
        self, statuses: Iterable[VmStatus], listings: Iterable[VmListing], peer: str, now: float
    ) -> list[Action]:
        """Merge updates and forward those that are new.

        Args:
            statuses: Statuses reported by daemons.
            listings: Entries of the platform's list of VMs.
            peer: Sender of the updates, or empty for this daemon's own ones.
            now: Monotonic time in seconds.
        """
        checked = [self._refute(status) for status in statuses]
        updates = tuple(status for status in checked if self._apply(status, peer, now))
        new_listings = tuple(x for x in listings if self.membership.apply_listing(x))
        if not updates and not new_listings:
            return []
        self.view_due = now
        links = self._links.addresses(now)
        return [SendPeer(link, VmNews(updates, new_listings)) for link in links if link != peer]

    def _refute(self, status: VmStatus) -> VmStatus:
        """Return the status, or this daemon's actual status if it is about this daemon.

        A wrong state is refuted by an incarnation above the reported one.
        """
        if status.vm != self._vm:
            return status
        actual = self._own_status()
        if status.incarnation < self.incarnation:
            return actual
        is_wrong = status.state not in (ALIVE, actual.state)
        self.incarnation = status.incarnation + (1 if is_wrong else 0)
        return self._own_status()

    def _apply(self, status: VmStatus, peer: str, now: float) -> bool:
        before = self.membership.status(status.vm)
        if not self.membership.apply_status(status, now):
            return False
        was_dead = before is not None and before.state in (DEAD, GONE)
        if was_dead and status.incarnation - before.incarnation < SAME_PROCESS_SPAN:
            self.detector.increase_timeout(status.vm, now)
        if was_dead or status.state in (DEAD, GONE):
            self.is_refresh_due = True
        source = peer or "own"
        self._trail.add(
            self._to_wall_s(now), "membership", status.vm, source=source, reason=status.state
        )
        return True

    def full_state(self, peer: str) -> Iterator[Action]:
        """Yield the messages that send all known statuses and listings to `peer`."""
        for batch in batched(self.membership.statuses(), ITEMS_PER_MESSAGE):
            yield SendPeer(peer, VmNews(batch))
        for batch in batched(self.membership.listings(), ITEMS_PER_MESSAGE):
            yield SendPeer(peer, VmNews((), batch))

    def on_heartbeat(self, peer: str, heartbeat: Heartbeat, now: float) -> Iterable[Action]:
        """Note a heartbeat; if its VM is recorded as dead, return that status to be refuted."""
        self.detector.mark_seen(heartbeat.vm, now)
        known = self.membership.status(heartbeat.vm)
        if known is None:
            return ()
        if heartbeat.incarnation > known.incarnation:
            return self.merge(
                (VmStatus(heartbeat.vm, heartbeat.incarnation, ALIVE),), (), peer, now
            )
        if known.state in (DEAD, GONE):
            return (SendPeer(peer, VmNews((known,))),)
        return ()

    def on_leaving(self, vm: str | None, peer: str, now: float) -> list[Action]:
        """Record that a VM takes no new work, if it is the VM of the peer that reports it."""
        if vm is None or self._directory.name_at(peer) != vm:
            return []
        return self.merge((VmStatus(vm, self._last_incarnation(vm), LEAVING),), (), peer, now)

    def on_vm_list(self, event: VmsListed, now: float) -> Iterable[Action]:
        """Apply the platform's list of VMs, unless it is older than the last one applied."""
        if event.revision < self.membership.list_revision:
            reason = "the list of VMs is older than the last one applied"
            return [Record("platform_stale", (("reason", reason), ("revision", event.revision)))]
        updates = self.membership.apply_list(event.revision, event.vms)
        if not updates:
            return ()
        self.view_due = now
        links = self._links.addresses(now)
        return [
            SendPeer(link, VmNews((), batch))
            for batch in batched(updates, ITEMS_PER_MESSAGE)
            for link in links
        ]

    def _last_incarnation(self, vm: str) -> int:
        known = self.membership.status(vm)
        return max(self._links.incarnation(vm), known.incarnation if known else 0)

    # --- Suspicion ---

    def on_suspect(self, peer: str, vm: str, now: float) -> Iterable[Action]:
        """Answer another monitor's query about a VM, if this daemon monitors it too."""
        silence_s = self.detector.silence_s(vm, now)
        if silence_s is None:
            return ()
        self.detector.add_opinion(vm, peer, True, silence_s, now)
        suspects = self.detector.is_suspected(vm, now)
        return (SendPeer(peer, Opinion(vm, round(silence_s, 3), suspects)),)

    def suspicions(self, now: float) -> Iterator[Action]:
        """Yield the queries to other monitors about neighbours that became suspected."""
        excluded = self.excluded()
        for name in self.detector.new_suspects(now):
            vm = self._directory.get(name)
            if vm is None or name in self.view.doubtful:
                continue
            monitors = self._directory.neighbours(name, vm.failure_domain, excluded)
            others = [self._directory.get(n) for n in monitors if n != self._vm]
            self.detector.set_query_count(name, len(others))
            yield from (SendPeer(other.address, Suspect(name)) for other in others)

    def deaths(self, now: float) -> Iterator[Action]:
        """Yield the updates about neighbours that are confirmed dead."""
        for name in list(self.detector.confirmed_dead(now)):
            known = self.membership.status(name)
            state = GONE if known is not None and known.state == LEAVING else DEAD
            status = VmStatus(name, self._last_incarnation(name), state)
            yield from self.merge((status,), (), "", now)

    # --- The view ---

    def update_view(self, now: float) -> list[Action]:
        """Recompute the view; return it for the entry if it changed."""
        self.view_due = self.membership.next_refutation_end(now)
        view = self.membership.view(now)
        if view == self.view:
            return []
        previous, self.view = self.view, view
        self.is_refresh_due = True
        if len(view.doubtful) != len(previous.doubtful):
            reason = f"{len(view.doubtful)} VMs seem dead at once; they keep their place"
            self._trail.add(self._to_wall_s(now), "membership", "view", source="own", reason=reason)
        fields = (
            ("leaving", len(view.leaving)),
            ("dead", len(view.dead)),
            ("doubtful", len(view.doubtful)),
        )
        return [view, Record("membership_changed", fields)]
