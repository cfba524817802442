"""Messages under way, the VMs of the fuzzed fleet, and what an event tells a daemon."""

from dataclasses import dataclass, field

from pollenroad.boundary import (
    DocumentInForce,
    Event,
    MembershipChanged,
    PeerReceived,
    ServerAnswered,
    ServerFailed,
    ServerLost,
    ServerProbed,
    StopRequested,
)
from pollenroad.cores import Cores
from pollenroad.guard.coldstart import SERVER_RESET, SERVER_UNREACHABLE
from pollenroad.messages import CancelAttempt
from pollenroad.models import ServiceDocument

from .documents import COLD_START, out_vms_of
from .oracle import Told
from .servers import FakeServer

COLD_REASONS = (SERVER_UNREACHABLE, SERVER_RESET)
"""Failures that are a sign of a server that restarted."""


@dataclass
class Letter:
    """A message under way."""

    source: str
    target: str
    message: object
    due: float
    is_copied: bool = False
    """Whether a copy of it exists, so that it cannot be said that it was never sent."""


@dataclass
class Node:
    """One VM: its daemon's cores, as long as the process lives, and its server."""

    vm: str
    clock_offset: float
    server: FakeServer
    cores: Cores | None = None
    is_paused: bool = False
    is_stopping: bool = False
    starts: int = 0
    inbox: list[Event] = field(default_factory=list)
    wanted_attempts: dict[str, float] = field(default_factory=dict)
    """Deadline of each attempt at the server that no entry has cancelled."""
    seen_incarnation: str = ""
    is_configured: bool = False

    @property
    def is_alive(self) -> bool:
        return self.cores is not None


def tell(told: Told, node: Node, event: Event, now: float) -> None:
    """Note what an event tells the daemon of a node, by the promises' words alone."""
    match event:
        case StopRequested():
            told.is_stopping = True
            told.leaving_vms |= {node.vm}
        case MembershipChanged(leaving, dead):
            own = {node.vm} if told.is_stopping else set()
            told.leaving_vms = leaving | (dead - {node.vm}) | own
        case DocumentInForce(ServiceDocument() as document):
            told.out_vms = out_vms_of(document)
            if not node.is_configured:
                node.is_configured = True
                told.cold_until = now + COLD_START.cold_s
        case PeerReceived(_, CancelAttempt(attempt_id)):
            node.wanted_attempts.pop(attempt_id, None)
        case ServerFailed(attempt_id, _, reason) if attempt_id in node.wanted_attempts:
            del node.wanted_attempts[attempt_id]
            if reason in COLD_REASONS:
                told.cold_until = now + COLD_START.cold_s
        case ServerAnswered(attempt_id, response):
            node.wanted_attempts.pop(attempt_id, None)
            _tell_incarnation(told, node, dict(response.headers)["X-Server-Incarnation"], now)
        case ServerLost():
            told.cold_until = now + COLD_START.cold_s
        case ServerProbed(succeeded, incarnation, draining):
            _tell_incarnation(told, node, incarnation, now)
            if not succeeded and not draining:
                told.cold_until = now + COLD_START.cold_s


def _tell_incarnation(told: Told, node: Node, incarnation: str, now: float) -> None:
    if incarnation and node.seen_incarnation not in ("", incarnation):
        told.cold_until = now + COLD_START.cold_s
    node.seen_incarnation = incarnation or node.seen_incarnation
