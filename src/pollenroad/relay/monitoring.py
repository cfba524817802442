"""Which neighbours were heard lately, and which of them are suspected.

A daemon is monitored by its neighbours alone. One that misses its heartbeats asks the other
monitors before it declares the daemon dead, so that a cut between two daemons is no death; a pause
of the monitor itself is forgiven. No I/O.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

HEARTBEAT_S = 0.4
"""Time between two heartbeats to a neighbour, in seconds."""

SUSPECT_S = 1.8
"""Silence after which a neighbour is suspected, in seconds: a pause of one second, the interval of
the heartbeats and some delay together stay below it."""

VOUCH_S = 1.2
"""Age up to which another monitor's last heartbeat counts as a sign of life, in seconds."""

AGREE_S = 0.5
"""Time given to other monitors to answer, in seconds."""

GRACE_S = 1.5
"""Time beyond `SUSPECT_S` given to a new neighbour for its first heartbeat, in seconds."""

PAUSE_S = 0.5
"""A gap between two events that counts as a pause of this process, in seconds."""

MIN_HEARD_SHARE = 0.5
"""A monitor that hears fewer of its neighbours distrusts itself and declares nobody dead."""

MAX_PATIENCE = 8.0
"""Largest factor by which `SUSPECT_S` grows for a VM that was wrongly declared dead."""

PATIENCE_RESET_S = 600.0
"""Time after which that factor is forgotten, in seconds."""


@dataclass(slots=True)
class _Neighbour:
    heard_at: float
    asked_at: float | None = None
    asked: int = 0
    agreeing: set[str] = field(default_factory=set)
    dissenting: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _Patience:
    factor: float
    until: float


class Monitor:
    """Silence of the neighbours of one daemon."""

    def __init__(self):
        self._neighbour_by_vm: dict[str, _Neighbour] = {}
        self._patience_by_vm: dict[str, _Patience] = {}
        self._last_event: float | None = None

    def monitored(self) -> Collection[str]:
        """Return the names of the neighbours."""
        return self._neighbour_by_vm.keys()

    def watch(self, vms: Collection[str], now: float) -> None:
        """Set the neighbours; a new one has some time for its first heartbeat."""
        for vm in set(self._neighbour_by_vm) - set(vms):
            del self._neighbour_by_vm[vm]
        for vm in vms:
            if vm not in self._neighbour_by_vm:
                self._neighbour_by_vm[vm] = _Neighbour(now + GRACE_S)

    def notice_event(self, now: float) -> None:
        """Forgive silence while this process itself was paused."""
        last, self._last_event = self._last_event, now
        if last is None or now - last < PAUSE_S:
            return
        for neighbour in self._neighbour_by_vm.values():
            neighbour.heard_at += now - last
            neighbour.asked_at = None

    def heard(self, vm: str, heard_at: float) -> None:
        """Note that `vm` was heard at `heard_at`, by this daemon or by another monitor."""
        neighbour = self._neighbour_by_vm.get(vm)
        if neighbour is None or heard_at <= neighbour.heard_at:
            return
        neighbour.heard_at = heard_at
        neighbour.asked_at = None

    def heard_ago(self, vm: str, now: float) -> float | None:
        """Return the seconds since `vm` was heard, or None if it is no neighbour."""
        neighbour = self._neighbour_by_vm.get(vm)
        return max(0.0, now - neighbour.heard_at) if neighbour else None

    def is_overdue(self, vm: str, now: float) -> bool:
        """Tell whether a neighbour has been silent for too long."""
        neighbour = self._neighbour_by_vm.get(vm)
        return neighbour is not None and now - neighbour.heard_at >= self._limit(vm, now)

    def _limit(self, vm: str, now: float) -> float:
        patience = self._patience_by_vm.get(vm)
        if patience is None or now >= patience.until:
            return SUSPECT_S
        return SUSPECT_S * patience.factor

    def be_patient(self, vm: str, now: float) -> None:
        """Wait longer for a VM that was wrongly declared dead, so that it does not flap."""
        patience = self._patience_by_vm.get(vm)
        factor = patience.factor * 2 if patience and now < patience.until else 2.0
        until = now + PATIENCE_RESET_S
        self._patience_by_vm[vm] = _Patience(min(factor, MAX_PATIENCE), until)

    def is_isolated(self, now: float) -> bool:
        """Tell whether this daemon hears so few neighbours that it must distrust itself."""
        silent = sum(1 for vm in self._neighbour_by_vm if self.is_overdue(vm, now))
        heard = len(self._neighbour_by_vm) - silent
        return heard < MIN_HEARD_SHARE * len(self._neighbour_by_vm)

    def newly_overdue(self, now: float) -> Iterator[str]:
        """Yield neighbours whose other monitors are to be asked now."""
        for vm, neighbour in self._neighbour_by_vm.items():
            if neighbour.asked_at is None and self.is_overdue(vm, now):
                neighbour.asked_at = now
                neighbour.asked = 0
                neighbour.agreeing = set()
                neighbour.dissenting = set()
                yield vm

    def note_asked(self, vm: str, count: int) -> None:
        """Note how many other monitors were asked about a neighbour."""
        neighbour = self._neighbour_by_vm.get(vm)
        if neighbour is not None:
            neighbour.asked = count

    def take_opinion(
        self, vm: str, monitor: str, suspects: bool, heard_ago_s: float, now: float
    ) -> None:
        """Take the opinion of another monitor of a suspected neighbour."""
        neighbour = self._neighbour_by_vm.get(vm)
        if neighbour is None:
            return
        neighbour.agreeing.discard(monitor)
        neighbour.dissenting.discard(monitor)
        opinions = neighbour.agreeing if suspects else neighbour.dissenting
        opinions.add(monitor)
        if not suspects and 0 <= heard_ago_s <= VOUCH_S:
            self.heard(vm, now - heard_ago_s)

    def declared_dead(self, now: float) -> Iterator[str]:
        """Yield neighbours that are dead by the opinion of those monitors that can be heard."""
        if self.is_isolated(now):
            return
        for vm, neighbour in self._neighbour_by_vm.items():
            if neighbour.asked_at is None or not self.is_overdue(vm, now):
                continue
            waited = now - neighbour.asked_at >= AGREE_S
            agreed = len(neighbour.agreeing)
            if agreed >= neighbour.asked > 0 or waited and (agreed or not neighbour.dissenting):
                yield vm


def make_monitor() -> Monitor:
    """Make a monitor without neighbours."""
    return Monitor()
