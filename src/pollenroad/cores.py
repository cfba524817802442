"""The cores of one daemon together: which event concerns which core, and what feeds back.

The daemon, trace replay and the fuzzing drive the cores through this one place. No I/O: see
`pollenroad.boundary`.
"""

import random
from collections import deque
from collections.abc import Iterator

from pollenroad.boundary import (
    Action,
    DocumentInForce,
    DocumentRead,
    DocumentsListed,
    Event,
    MembershipChanged,
    PeerReceived,
    PlatformFailed,
    StopRequested,
    Tick,
    VmsListed,
    WatchReturned,
)
from pollenroad.entry import make_entry
from pollenroad.guard import make_guard
from pollenroad.limit_owner import make_limit_owner
from pollenroad.messages import AttemptAnswer, Leaving, RelayMessage
from pollenroad.relay import RelaySettings, make_relay
from pollenroad.spreading import Explain


class Cores:
    """Entry, guard, limit owner and relay of one daemon."""

    def __init__(
        self, settings: RelaySettings, service: str, incarnation: str, explain: Explain, now: float
    ):
        rng = random.Random(incarnation)
        self.entry = make_entry(incarnation, settings.failure_domain, rng, settings.vm)
        self.guard = make_guard(service, settings.vm)
        self.limit_owner = make_limit_owner(settings.address, now)
        self.relay = make_relay(settings, explain, rng)
        self._all = (self.entry, self.guard, self.limit_owner, self.relay)

    def next_due(self) -> float | None:
        """Return when `Tick` is next needed, in monotonic seconds."""
        dues = (core.next_due() for core in self._all)
        return min((due for due in dues if due is not None), default=None)

    def handle(self, event: Event, now: float) -> Iterator[Action]:
        """Hand one event to the cores that it concerns, and yield what is to be done.

        A document or a view of VMs that the relay puts into force is handed to the other cores
        as an event, after the cores have handled this one.
        """
        events = deque([event])
        while events:
            current = events.popleft()
            for core in self._concerned(current):
                for action in core.handle(current, now):
                    if isinstance(action, DocumentInForce | MembershipChanged):
                        events.append(action)
                    yield action

    def _concerned(self, event: Event) -> tuple:
        """Return the cores that an event concerns; calls do not pass through the relay."""
        match event:
            case Tick() | StopRequested() | PeerReceived(_, Leaving()):
                return self._all
            case PeerReceived(_, AttemptAnswer(reason="leaving")):
                return (self.entry, self.guard, self.relay)
            case PeerReceived(_, message) if isinstance(message, RelayMessage):
                return (self.relay,)
            case (
                DocumentRead()
                | DocumentsListed()
                | WatchReturned()
                | VmsListed()
                | PlatformFailed()
            ):
                return (self.relay,)
        return (self.entry, self.guard, self.limit_owner)


def make_cores(
    settings: RelaySettings, service: str, incarnation: str, explain: Explain, now: float
) -> Cores:
    """Make the cores of one daemon.

    Args:
        settings: Who the daemon is.
        service: Service of the server beside it, `WORKSPACE/SERVICE`.
        incarnation: Prefix of attempt ids, unique over daemons and restarts; seeds its choices.
        explain: Returns the plain sentences of a change, for the audit trail.
        now: Monotonic time in seconds.
    """
    return Cores(settings, service, incarnation, explain, now)
