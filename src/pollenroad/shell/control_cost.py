"""What a daemon spends on control: processor time, messages and bytes, apart from calls.

Control is all that is not a call: configuration, membership, load reports, limits, timers.
"""

import time
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from pollenroad.boundary import (
    AttemptUnsent,
    CallAbandoned,
    CallArrived,
    Event,
    PeerReceived,
    ServerAnswered,
    ServerFailed,
    ServerShed,
)
from pollenroad.messages import Attempt, AttemptAnswer, CancelAttempt, PeerMessage

CALL = "call"
CONTROL = "control"

_CALL_MESSAGES = (Attempt, AttemptAnswer, CancelAttempt)
_CALL_EVENTS = (
    AttemptUnsent,
    CallAbandoned,
    CallArrived,
    ServerAnswered,
    ServerFailed,
    ServerShed,
)


def kind_of_message(message: PeerMessage) -> str:
    """Return `call` or `control`."""
    return CALL if isinstance(message, _CALL_MESSAGES) else CONTROL


def kind_of_event(event: Event) -> str:
    """Return `call` or `control`; a tick counts as control whatever it is for."""
    match event:
        case PeerReceived(_, message):
            return kind_of_message(message)
    return CALL if isinstance(event, _CALL_EVENTS) else CONTROL


@dataclass(slots=True)
class Cost:
    """What one kind of work has cost since the start."""

    cpu_s: float = 0.0
    """Processor time in the cores and in coding messages, in seconds."""
    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


class CostMeter:
    """Costs of one daemon, by kind."""

    def __init__(self):
        self.cost_by_kind = {CALL: Cost(), CONTROL: Cost()}

    @property
    def sent_bytes(self) -> int:
        """Bytes sent to peers, of both kinds."""
        return sum(cost.sent_bytes for cost in self.cost_by_kind.values())

    @contextmanager
    def handling(self, event: Event) -> Iterator[None]:
        """Count the processor time of a `with` block towards the kind of `event`."""
        start = time.thread_time()
        try:
            yield
        finally:
            self.cost_by_kind[kind_of_event(event)].cpu_s += time.thread_time() - start

    def sent(self, message: PeerMessage, size: int) -> None:
        """Count a frame of `size` bytes that goes to a peer."""
        cost = self.cost_by_kind[kind_of_message(message)]
        cost.sent_messages += 1
        cost.sent_bytes += size

    def received(self, message: PeerMessage, size: int, cpu_s: float) -> None:
        """Count a frame of `size` bytes from a peer that took `cpu_s` seconds to decode."""
        cost = self.cost_by_kind[kind_of_message(message)]
        cost.received_messages += 1
        cost.received_bytes += size
        cost.cpu_s += cpu_s


def make_cost_meter() -> CostMeter:
    """Make a meter that has counted nothing."""
    return CostMeter()
