"""The cores of one daemon, and the dispatch of events to them.

They do no I/O; see `pollenroad.boundary`. The daemon drives one `Cores`; an external harness can
drive many in one process with its own clock and network.
"""

import random
from collections import deque
from collections.abc import Iterator

from pollenroad.boundary import (
    Action,
    AttemptUnsent,
    CallAbandoned,
    CallArrived,
    DocumentInForce,
    DocumentRead,
    DocumentsListed,
    Event,
    MembershipChanged,
    PeerLost,
    PeerReceived,
    PlatformFailed,
    ServerAnswered,
    ServerFailed,
    ServerLost,
    ServerProbed,
    ServerShed,
    StopRequested,
    Tick,
    VmsListed,
    WatchReturned,
)
from pollenroad.declarations.changes import change_sentences
from pollenroad.declarations.headroom import capacity_warnings
from pollenroad.entry.entry import make_entry
from pollenroad.guard.guard import make_guard
from pollenroad.limit_messages import LimitGrant, LimitRequest, LimitReturn
from pollenroad.limits.limit_owner import make_limit_owner
from pollenroad.messages import Attempt, AttemptAnswer, CancelAttempt, Leaving, LoadReport
from pollenroad.models import Document
from pollenroad.relay.relay import RelaySettings, make_relay


class Cores:
    """Entry, guard, limit owner and relay of one daemon."""

    def __init__(
        self,
        incarnation: str,
        service: str,
        relay_settings: RelaySettings,
        rng: random.Random,
        now: float,
    ):
        vm = relay_settings.vm
        self.entry = make_entry(incarnation, relay_settings.failure_domain, rng, vm)
        self.guard = make_guard(service, vm)
        self.limit_owner = make_limit_owner(relay_settings.address, now)
        self.relay = make_relay(relay_settings, _explain, rng)
        self._all = (self.entry, self.guard, self.limit_owner, self.relay)
        self._relay_listeners = (self.entry, self.guard, self.limit_owner)
        self._cores_by_event = self._map_events()
        self._cores_by_message = self._map_messages()

    def _map_events(self) -> dict[type, tuple]:
        return {
            CallArrived: (self.entry,),
            CallAbandoned: (self.entry,),
            AttemptUnsent: (self.entry,),
            PeerLost: (self.entry,),
            ServerAnswered: (self.guard,),
            ServerFailed: (self.guard,),
            ServerShed: (self.guard,),
            ServerProbed: (self.guard,),
            ServerLost: (self.guard,),
            DocumentInForce: self._relay_listeners,
            MembershipChanged: self._relay_listeners,
            DocumentRead: (self.relay,),
            DocumentsListed: (self.relay,),
            WatchReturned: (self.relay,),
            VmsListed: (self.relay,),
            PlatformFailed: (self.relay,),
            StopRequested: (self.guard, self.relay),
        }

    def _map_messages(self) -> dict[type, tuple]:
        return {
            Attempt: (self.guard,),
            CancelAttempt: (self.guard,),
            AttemptAnswer: (self.entry,),
            LoadReport: (self.entry,),
            LimitGrant: (self.entry,),
            LimitRequest: (self.limit_owner,),
            LimitReturn: (self.limit_owner,),
            Leaving: (self.relay,),
        }

    def next_due(self) -> float | None:
        """Return when the next `Tick` is due, in monotonic seconds, or None if none is."""
        due_times = [due for core in self._all if (due := core.next_due()) is not None]
        return min(due_times, default=None)

    def handle(self, event: Event, now: float) -> Iterator[Action]:
        """Handle one event and yield the resulting actions.

        Actions of the relay that concern other cores are both yielded and dispatched to them.
        """
        events = deque([event])
        while events:
            current = events.popleft()
            for core in self._recipients(current, now):
                for action in core.handle(current, now):
                    if isinstance(action, DocumentInForce | MembershipChanged):
                        events.append(action)
                    yield action

    def _recipients(self, event: Event, now: float) -> tuple:
        match event:
            case Tick():
                return tuple(core for core in self._all if _is_due(core, now))
            case PeerReceived(_, Attempt() as attempt) if self.relay.is_behind(attempt):
                return (self.guard, self.relay)
            case PeerReceived(_, AttemptAnswer(reason="leaving")):
                return (self.entry, self.relay)
            case PeerReceived(_, message):
                return self._cores_by_message.get(type(message), (self.relay,))
            case _:
                return self._cores_by_event[type(event)]


def _is_due(core, now: float) -> bool:
    due = core.next_due()
    return due is not None and due <= now


def _explain(previous: Document | None, document: Document) -> list[str]:
    warnings = capacity_warnings(previous, document)
    return [*change_sentences(previous, document), *(str(warning) for warning in warnings)]


def make_cores(
    incarnation: str,
    service: str,
    relay_settings: RelaySettings,
    rng: random.Random,
    now: float,
) -> Cores:
    """Create the cores of one daemon.

    Args:
        incarnation: Prefix of attempt ids, unique over all daemons and restarts.
        service: Key of the service of the server beside the daemon, `WORKSPACE/SERVICE`.
        relay_settings: Addresses and location of the daemon.
        rng: Random number generator.
        now: Monotonic time in seconds.
    """
    return Cores(incarnation, service, relay_settings, rng, now)
