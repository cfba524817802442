"""Interface of the cores: events as input, actions as output.

The cores do no I/O. Each has `handle(event, now) -> list[Action]` and `next_due() -> float | None`.
The caller passes a monotonic time in seconds, performs the actions, and sends a `Tick` at the time
of `next_due`. The daemon drives the cores with sockets; fuzzer and replay use their own clock.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from pollenroad.messages import Attempt, AttemptAnswer, PeerMessage, Request, Response
from pollenroad.models import Document, VmState
from pollenroad.verdicts import Verdict

# --- Events ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Tick:
    """A due time has been reached."""


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A caller's request reached the entry."""

    call_id: str
    """Unique within this process."""
    request_id: str
    service: str
    customer: str
    request_class: str
    """Empty for the default class of the service."""
    request: Request
    deadline_ms: float = 0.0
    """Time allowed by the caller, in milliseconds; 0 for the deadline of the request class."""
    depth: int = 0
    retry_budget: float = 1.0
    """Retry allowance of the call; see `pollenroad.entry.retries`."""


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    """The caller of an open call disconnected."""

    call_id: str


@dataclass(frozen=True, slots=True)
class PeerReceived:
    """A message from a peer arrived."""

    peer: str
    """Peer address of the sender."""
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class AttemptUnsent:
    """An attempt was never sent from this process, so it did not run."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class PeerLost:
    """The link to a peer broke, by want of a response if `is_silent`. Its attempts may have run."""

    peer: str
    is_silent: bool = False


@dataclass(frozen=True, slots=True)
class ServerAnswered:
    """The server beside the guard returned a complete answer."""

    attempt_id: str
    response: Response


@dataclass(frozen=True, slots=True)
class ServerFailed:
    """The exchange with the server ended without a complete answer."""

    attempt_id: str
    reached: bool
    """Whether any byte of the request may have reached the server."""
    reason: str


@dataclass(frozen=True, slots=True)
class ServerShed:
    """The server refused the request before running it."""

    attempt_id: str
    draining: bool = False


@dataclass(frozen=True, slots=True)
class ServerProbed:
    """A probe of the server finished."""

    succeeded: bool
    incarnation: str = ""
    """Incarnation that the server reported; empty if none."""
    draining: bool = False


@dataclass(frozen=True, slots=True)
class ServerLost:
    """The server stopped, or may have restarted while this process was paused."""


@dataclass(frozen=True, slots=True)
class DocumentInForce:
    """A valid, newer version of a document came into force."""

    document: Document


@dataclass(frozen=True, slots=True)
class StopRequested:
    """This daemon must stop: finish the work in flight and take no new work."""


@dataclass(frozen=True, slots=True)
class DocumentRead:
    """The platform answered a `ReadDocument`."""

    key: str
    data: bytes | None
    """JSON, or None if the platform has no document with this key."""


@dataclass(frozen=True, slots=True)
class DocumentsListed:
    """The platform answered a `ListDocuments`."""

    revision: int
    version_by_key: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class WatchReturned:
    """A `WatchPlatform` completed, with or without a change."""

    revision: int
    changed: tuple[str, ...] = ()
    """Keys of the changed documents."""


@dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform answered a `ListVms`. The list may be outdated."""

    revision: int
    vms: tuple[VmState, ...]
    size_bytes: int = 0


@dataclass(frozen=True, slots=True)
class PlatformFailed:
    """A request to the platform failed."""

    request: "PlatformRequest"
    reason: str


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """The set of VMs that get no new work changed; sent by the relay to the other cores."""

    leaving: frozenset[str]
    """Names of VMs that are leaving, by their own announcement or the platform's list."""
    dead: frozenset[str]
    """Names of VMs whose heartbeats several daemons miss."""
    doubtful: frozenset[str] = frozenset()
    """Names of VMs that seem dead, but so many at once that the observation is not trusted.
    They stay in use; an entry may prefer others."""


@dataclass(frozen=True, slots=True)
class RelayReady:
    """The newest available configuration is in force, so the daemon can take work."""

    documents: int
    alone: bool
    """Whether no peer answered, so that the documents come from the platform only."""


Event = (
    Tick
    | CallArrived
    | CallAbandoned
    | PeerReceived
    | AttemptUnsent
    | PeerLost
    | ServerAnswered
    | ServerFailed
    | ServerShed
    | ServerProbed
    | ServerLost
    | DocumentInForce
    | StopRequested
    | DocumentRead
    | DocumentsListed
    | WatchReturned
    | VmsListed
    | PlatformFailed
    | MembershipChanged
)

# --- Actions --------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class SendPeer:
    """Send a message to a peer."""

    peer: str
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class AnswerCall:
    """Send the final answer to an open call."""

    call_id: str
    verdict: Verdict
    reason: str = ""
    response: Response | None = None
    attempts: int = 0
    endpoint: str = ""
    retry_after_ms: float = 0.0
    detail: str = ""
    """Explanation for the caller in one sentence, such as which limit was reached."""


@dataclass(frozen=True, slots=True)
class RunAtServer:
    """Send an admitted attempt to the server beside the guard.

    Exactly one of `ServerAnswered`, `ServerFailed` and `ServerShed` must follow, even after
    `CancelAtServer`; until then the attempt counts as running at the server.
    """

    attempt: Attempt
    timeout_s: float


@dataclass(frozen=True, slots=True)
class CancelAtServer:
    """Abort an exchange with the server and close its connection."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Probe the server beside the guard; `ServerProbed` must follow."""

    timeout_s: float


@dataclass(frozen=True, slots=True)
class Record:
    """Log a numbered event of the catalogue in `pollenroad.events`."""

    event: str
    """Name of the event in the catalogue."""
    fields: tuple[tuple[str, object], ...] = ()


@dataclass(frozen=True, slots=True)
class ReadDocument:
    """Read one document from the platform."""

    key: str


@dataclass(frozen=True, slots=True)
class ListDocuments:
    """Read keys and versions of all documents from the platform."""


@dataclass(frozen=True, slots=True)
class WatchPlatform:
    """Wait until the revision of the platform is above `after`."""

    after: int
    timeout_s: float


@dataclass(frozen=True, slots=True)
class ListVms:
    """Read the platform's list of VMs."""


PlatformRequest = ReadDocument | ListDocuments | WatchPlatform | ListVms

Action = (
    SendPeer
    | AnswerCall
    | RunAtServer
    | CancelAtServer
    | ProbeServer
    | Record
    | PlatformRequest
    | DocumentInForce
    | MembershipChanged
    | RelayReady
)

__all__ = [
    "Action",
    "AnswerCall",
    "Attempt",
    "AttemptAnswer",
    "AttemptUnsent",
    "CallAbandoned",
    "CallArrived",
    "CancelAtServer",
    "DocumentInForce",
    "DocumentRead",
    "DocumentsListed",
    "Event",
    "ListDocuments",
    "ListVms",
    "MembershipChanged",
    "PeerLost",
    "PeerReceived",
    "ProbeServer",
    "PlatformFailed",
    "PlatformRequest",
    "ReadDocument",
    "Record",
    "RelayReady",
    "RunAtServer",
    "SendPeer",
    "ServerAnswered",
    "ServerFailed",
    "ServerLost",
    "ServerProbed",
    "ServerShed",
    "StopRequested",
    "Tick",
    "VmsListed",
    "WatchPlatform",
    "WatchReturned",
]
