"""Accounting of CPU time, messages and bytes that a daemon spends on calls and on control.

Control is everything except calls: configuration, membership, load reports, limits and timers.
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
    """Return `call` or `control`; a tick always counts as control."""
    match event:
        case PeerReceived(_, message):
            return kind_of_message(message)
    return CALL if isinstance(event, _CALL_EVENTS) else CONTROL


@dataclass(slots=True)
class Cost:
    """Cost of one kind of work since the start of the daemon."""

    cpu_s: float = 0.0
    """CPU time of handling events and of decoding messages, in seconds."""
    sent_messages: int = 0
    sent_bytes: int = 0
    received_messages: int = 0
    received_bytes: int = 0


class CostMeter:
    """Cost counters of one daemon, by kind of work."""

    def __init__(self):
        self.cost_by_kind = {CALL: Cost(), CONTROL: Cost()}

    @property
    def sent_bytes(self) -> int:
        """Number of bytes sent to peers, of both kinds."""
        return sum(cost.sent_bytes for cost in self.cost_by_kind.values())

    @contextmanager
    def handling(self, event: Event) -> Iterator[None]:
        """Add the CPU time of a `with` block to the kind of `event`."""
        start = time.thread_time()
        try:
            yield
        finally:
            self.cost_by_kind[kind_of_event(event)].cpu_s += time.thread_time() - start

    def sent(self, message: PeerMessage, size: int) -> None:
        """Count a frame of `size` bytes that is sent to a peer."""
        cost = self.cost_by_kind[kind_of_message(message)]
        cost.sent_messages += 1
        cost.sent_bytes += size

    def received(self, message: PeerMessage, size: int, cpu_s: float) -> None:
        """Count a frame of `size` bytes from a peer, which took `cpu_s` seconds to decode."""
        cost = self.cost_by_kind[kind_of_message(message)]
        cost.received_messages += 1
        cost.received_bytes += size
        cost.cpu_s += cpu_s


def make_cost_meter() -> CostMeter:
    """Return a new meter with all counters at zero."""
    return CostMeter()
