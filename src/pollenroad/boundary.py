"""The boundary of the cores: events that go in, actions that come out.

`Entry`, `Guard` and `Relay` do no I/O. Each has `handle(event, now) -> list[Action]` and
`next_due() -> float | None`; whoever drives it passes a monotonic time in seconds, carries the
actions out, and sends `Tick` when `next_due` is reached. The daemon drives them over sockets; the
fuzzing, trace replay and any outside harness drive them with their own clock and network.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from pollenroad.messages import Attempt, AttemptAnswer, PeerMessage, Request, Response
from pollenroad.models import Document, VmState
from pollenroad.verdicts import Verdict

# --- Events ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Tick:
    """Time has passed."""


@dataclass(frozen=True, slots=True)
class CallArrived:
    """A caller's request reached the entry."""

    call_id: str
    """Unique within this process."""
    request_id: str
    service: str
    customer: str
    request_class: str
    """Empty for the service's default class."""
    request: Request
    deadline_ms: float = 0.0
    """Time that the caller gives, in milliseconds; 0 for the class's own."""
    depth: int = 0
    retry_budget: float = 1.0


@dataclass(frozen=True, slots=True)
class CallAbandoned:
    """The caller of an open call went away."""

    call_id: str


@dataclass(frozen=True, slots=True)
class PeerReceived:
    """A peer's message arrived."""

    peer: str
    """Peer address of the sender."""
    message: PeerMessage


@dataclass(frozen=True, slots=True)
class AttemptUnsent:
    """An attempt never left this process, so it did not run."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class PeerLost:
    """The link to a peer broke; what was handed over on it has an unknown fate."""

    peer: str


@dataclass(frozen=True, slots=True)
class ServerAnswered:
    """The server beside the guard gave a whole answer."""

    attempt_id: str
    response: Response


@dataclass(frozen=True, slots=True)
class ServerFailed:
    """The exchange with the server ended without a whole answer."""

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
    """A probe of the server ended."""

    succeeded: bool
    incarnation: str = ""
    """Incarnation that the server states, if any."""
    draining: bool = False


@dataclass(frozen=True, slots=True)
class ServerLost:
    """The server ended, as seen without a request: it closed connections and accepts none."""


@dataclass(frozen=True, slots=True)
class DocumentInForce:
    """A newer valid document came into force."""

    document: Document


@dataclass(frozen=True, slots=True)
class StopRequested:
    """This daemon is to stop: finish what is in flight, take no new work."""


@dataclass(frozen=True, slots=True)
class DocumentRead:
    """The platform answered a `ReadDocument`."""

    key: str
    data: bytes | None
    """JSON bytes, or None where the platform does not know the key."""


@dataclass(frozen=True, slots=True)
class DocumentsListed:
    """The platform answered a `ListDocuments`."""

    revision: int
    version_by_key: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class WatchReturned:
    """A `WatchPlatform` ended, with or without a change."""

    revision: int
    changed: tuple[str, ...] = ()
    """Keys of the changed documents."""


@dataclass(frozen=True, slots=True)
class VmsListed:
    """The platform answered a `ListVms`; the list lags."""

    revision: int
    vms: tuple[VmState, ...]
    size_bytes: int = 0


@dataclass(frozen=True, slots=True)
class PlatformFailed:
    """The platform did not answer a request."""

    request: "PlatformRequest"
    reason: str


@dataclass(frozen=True, slots=True)
class MembershipChanged:
    """Which VMs get no new work changed. From the relay to the entry."""

    leaving: frozenset[str]
    """Names of VMs that said, or of which the platform says, that they are leaving."""
    dead: frozenset[str]
    """Names of VMs that several daemons miss."""
    doubtful: frozenset[str] = frozenset()
    """Names of VMs that seem dead, but so many at once that the view is distrusted. They keep
    their place; an entry may prefer others."""


@dataclass(frozen=True, slots=True)
class RelayReady:
    """The newest configuration that can be learned is in force: work may be taken."""

    documents: int
    alone: bool
    """Whether no peer answered, so that the documents rest on the platform alone."""


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
    """Answer an open call, for good."""

    call_id: str
    verdict: Verdict
    reason: str = ""
    response: Response | None = None
    attempts: int = 0
    endpoint: str = ""
    retry_after_ms: float = 0.0
    detail: str = ""
    """One plain sentence for the caller, such as which limit was reached."""


@dataclass(frozen=True, slots=True)
class RunAtServer:
    """Send an admitted attempt to the server beside the guard.

    Exactly one of `ServerAnswered`, `ServerFailed` and `ServerShed` must follow, also after
    `CancelAtServer`: until then the attempt counts as being at the server.
    """

    attempt: Attempt
    timeout_s: float


@dataclass(frozen=True, slots=True)
class CancelAtServer:
    """Stop an exchange with the server and close its connection."""

    attempt_id: str


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Probe the server beside the guard; `ServerProbed` must follow."""

    timeout_s: float


@dataclass(frozen=True, slots=True)
class Record:
    """Write a numbered event of the catalogue in `pollenroad.events`."""

    event: str
    """Name of the catalogue entry."""
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
    """Wait at the platform until its revision passes `after`."""

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
