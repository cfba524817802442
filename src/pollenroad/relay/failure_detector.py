"""Failure detection: which neighbours are suspected, and which are confirmed dead.

A daemon is monitored only by its neighbours. A monitor that misses its heartbeats queries the other
monitors before it confirms the daemon dead, so that a cut between two daemons does not count as a
death. Silence during a pause of the monitor's own process does not count.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass, field

HEARTBEAT_S = 0.4
"""Interval of heartbeats to a neighbour, in seconds."""

SUSPICION_TIMEOUT_S = 1.8
"""Silence after which a neighbour is suspected, in seconds: more than a pause of one second, the
heartbeat interval and some network delay together."""

INDIRECT_HEARTBEAT_AGE_S = 1.2
"""Age up to which a heartbeat received by another monitor shows that a VM is alive, in seconds."""

OPINION_WAIT_S = 0.5
"""Time for which the answers of other monitors are awaited, in seconds."""

GRACE_S = 1.5
"""Time added to `SUSPICION_TIMEOUT_S` for the first heartbeat of a new neighbour, in seconds."""

PAUSE_S = 0.5
"""Shortest gap between two events that counts as a pause of this process, in seconds."""

MIN_LIVE_SHARE = 0.5
"""Share of neighbours that must not be suspected; below it a monitor counts as isolated itself and
confirms no death."""

MAX_TIMEOUT_FACTOR = 8.0
"""Largest factor on `SUSPICION_TIMEOUT_S` for a VM that was wrongly confirmed dead."""

TIMEOUT_FACTOR_RESET_S = 600.0
"""Time after which that factor is reset, in seconds."""


@dataclass(slots=True)
class _Neighbour:
    last_seen: float
    queried_at: float | None = None
    queried: int = 0
    agreeing: set[str] = field(default_factory=set)
    dissenting: set[str] = field(default_factory=set)


@dataclass(slots=True)
class _TimeoutFactor:
    factor: float
    until: float


class FailureDetector:
    """Suspicion state of the neighbours of one daemon."""

    def __init__(self):
        self._neighbour_by_vm: dict[str, _Neighbour] = {}
        self._timeout_factor_by_vm: dict[str, _TimeoutFactor] = {}
        self._last_event: float | None = None

    def monitored(self) -> Collection[str]:
        """Return the names of the neighbours."""
        return self._neighbour_by_vm.keys()

    def track_neighbours(self, vms: Collection[str], now: float) -> None:
        """Set the neighbours; a new one gets `GRACE_S` for its first heartbeat."""
        for vm in set(self._neighbour_by_vm) - set(vms):
            del self._neighbour_by_vm[vm]
        for vm in vms:
            if vm not in self._neighbour_by_vm:
                self._neighbour_by_vm[vm] = _Neighbour(now + GRACE_S)

    def observe_pause(self, now: float) -> None:
        """Note an event; silence of neighbours while this process was paused does not count."""
        last, self._last_event = self._last_event, now
        if last is None or now - last < PAUSE_S:
            return
        for neighbour in self._neighbour_by_vm.values():
            neighbour.last_seen += now - last
            neighbour.queried_at = None

    def mark_seen(self, vm: str, seen_at: float) -> None:
        """Note that this daemon or another monitor received a heartbeat of `vm` at `seen_at`."""
        neighbour = self._neighbour_by_vm.get(vm)
        if neighbour is None or seen_at <= neighbour.last_seen:
            return
        neighbour.last_seen = seen_at
        neighbour.queried_at = None

    def silence_s(self, vm: str, now: float) -> float | None:
        """Return the seconds since the last heartbeat of `vm`, or None if it is not a neighbour."""
        neighbour = self._neighbour_by_vm.get(vm)
        return max(0.0, now - neighbour.last_seen) if neighbour else None

    def is_suspected(self, vm: str, now: float) -> bool:
        """Return whether the silence of a neighbour has reached its suspicion timeout."""
        neighbour = self._neighbour_by_vm.get(vm)
        return neighbour is not None and now - neighbour.last_seen >= self._timeout_s(vm, now)

    def _timeout_s(self, vm: str, now: float) -> float:
        increased = self._timeout_factor_by_vm.get(vm)
        if increased is None or now >= increased.until:
            return SUSPICION_TIMEOUT_S
        return SUSPICION_TIMEOUT_S * increased.factor

    def increase_timeout(self, vm: str, now: float) -> None:
        """Double the timeout of a VM that was wrongly confirmed dead, so that it does not flap."""
        increased = self._timeout_factor_by_vm.get(vm)
        factor = increased.factor * 2 if increased and now < increased.until else 2.0
        until = now + TIMEOUT_FACTOR_RESET_S
        self._timeout_factor_by_vm[vm] = _TimeoutFactor(min(factor, MAX_TIMEOUT_FACTOR), until)

    def is_isolated(self, now: float) -> bool:
        """Return whether so many neighbours are silent that this daemon itself may be cut off."""
        silent = sum(1 for vm in self._neighbour_by_vm if self.is_suspected(vm, now))
        live = len(self._neighbour_by_vm) - silent
        return live < MIN_LIVE_SHARE * len(self._neighbour_by_vm)

    def new_suspects(self, now: float) -> Iterator[str]:
        """Yield the neighbours that became suspected, whose other monitors are to be queried."""
        for vm, neighbour in self._neighbour_by_vm.items():
            if neighbour.queried_at is None and self.is_suspected(vm, now):
                neighbour.queried_at = now
                neighbour.queried = 0
                neighbour.agreeing = set()
                neighbour.dissenting = set()
                yield vm

    def set_query_count(self, vm: str, count: int) -> None:
        """Set how many other monitors were queried about a neighbour."""
        neighbour = self._neighbour_by_vm.get(vm)
        if neighbour is not None:
            neighbour.queried = count

    def add_opinion(
        self, vm: str, monitor: str, suspects: bool, silence_s: float, now: float
    ) -> None:
        """Add another monitor's opinion on a neighbour; `silence_s` is the silence it observed."""
        neighbour = self._neighbour_by_vm.get(vm)
        if neighbour is None:
            return
        neighbour.agreeing.discard(monitor)
        neighbour.dissenting.discard(monitor)
        opinions = neighbour.agreeing if suspects else neighbour.dissenting
        opinions.add(monitor)
        if not suspects and 0 <= silence_s <= INDIRECT_HEARTBEAT_AGE_S:
            self.mark_seen(vm, now - silence_s)

    def confirmed_dead(self, now: float) -> Iterator[str]:
        """Yield the neighbours that are confirmed dead.

        Either every queried monitor agrees, or the wait is over and some agree or none dissents.
        """
        if self.is_isolated(now):
            return
        for vm, neighbour in self._neighbour_by_vm.items():
            if neighbour.queried_at is None or not self.is_suspected(vm, now):
                continue
            waited = now - neighbour.queried_at >= OPINION_WAIT_S
            agreed = len(neighbour.agreeing)
            if agreed >= neighbour.queried > 0 or waited and (agreed or not neighbour.dissenting):
                yield vm


def make_failure_detector() -> FailureDetector:
    """Make a failure detector without neighbours."""
    return FailureDetector()
