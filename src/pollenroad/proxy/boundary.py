"""Events and actions of the transparent proxy, in addition to those of `pollenroad.boundary`."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from pollenroad import boundary as calls
from pollenroad.messages import LoadReport, Request
from pollenroad.proxy.advertised import UNLIMITED, StatedLimit
from pollenroad.published import (
    Configuration,
    DomainOut,
    RegisteredEndpoint,
    Route,
    Workspace,
)


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """The entry has received a complete request from a caller."""

    call_id: str
    """Unique within this process."""
    request_id: str
    """Set by the caller; the server repeats it in its answer."""
    host: str
    request: Request
    deadline_s: float
    """Time that the caller waits for the answer, in seconds."""
    workspace_key: bytes = b""
    """Digest of the key that the caller sent; empty for none."""


@dataclass(frozen=True, slots=True)
class RequestAdmitted:
    """The gate passes a request on to the entry."""

    arrived: RequestArrived
    route: Route
    workspace: Workspace | None = None
    """Workspace of the request's key; None on a public route, or without workspaces."""
    waited_s: float = 0.0
    """Part of the caller's time that has passed at the gate, in seconds."""


@dataclass(frozen=True, slots=True)
class KeysChanged:
    """Another configuration came into force, which may lack the keys of open requests."""


@dataclass(frozen=True, slots=True)
class LoadHeard:
    """A guard sent a load report that was not part of an answer."""

    host: str
    """IP address of the guard."""
    report: LoadReport


@dataclass(frozen=True, slots=True)
class DrainExpired:
    """The daemon ends now; requests without an answer get their verdict."""


@dataclass(frozen=True, slots=True)
class EntryLost:
    """The link over which an entry had sent attempts was lost."""

    peer: str


@dataclass(frozen=True, slots=True)
class ServerSeen:
    """The server beside the guard reported its status in an answer or a health response."""

    running: int = 0
    waiting: int = 0
    slowdown: float = 1.0
    """Current service time, as a multiple of the usual service time."""
    cold_s: float | None = None
    """Time until the server is warm, in seconds; None if not reported."""
    is_health: bool = False
    """Whether this is a health response, which also states whether the server is cold."""


@dataclass(frozen=True, slots=True)
class ServerAdvertised:
    """What the server beside the guard stated about itself in an answer or a health response."""

    incarnation: str
    """Incarnation that answered; empty if it is not known."""
    limit: StatedLimit = UNLIMITED
    is_leaving: bool = False
    is_health: bool = False


@dataclass(frozen=True, slots=True)
class ServerSilent:
    """A health check of the server beside the guard got no answer."""

    reason: str


@dataclass(frozen=True, slots=True, order=True)
class Position:
    """State of the platform that a copy of it reflects; a later one is greater."""

    epoch: int = 0
    """Rises when the platform comes back from a copy, in which revisions are given out again."""
    revision: int = 0

    def __str__(self) -> str:
        return f"{self.epoch}.{self.revision}"


@dataclass(frozen=True, slots=True)
class DirectoryRead:
    """The complete contents of the platform at one revision."""

    revision: int
    configuration: Configuration | None
    endpoint_by_incarnation: Mapping[str, RegisteredEndpoint] = field(default_factory=dict)
    out_domains: frozenset[str] = frozenset()
    peer: str = ""
    """Peer that sent the contents; empty if read from the platform itself."""
    lost_ago_s: float = float("inf")
    """Time since that peer last failed to read the platform, in seconds."""
    epoch: int = 0

    @property
    def position(self) -> Position:
        """Position of the contents."""
        return Position(self.epoch, self.revision)


@dataclass(frozen=True, slots=True)
class EndpointRemoved:
    """A registration ended: the server left, or its lease expired."""

    incarnation: str


DirectoryItem = Configuration | RegisteredEndpoint | EndpointRemoved | DomainOut


@dataclass(frozen=True, slots=True)
class DirectoryChanged:
    """Changes at the platform, in order."""

    revision: int
    items: tuple[DirectoryItem, ...]
    after: int = 0
    """Revision to which the changes apply."""
    peer: str = ""
    """Peer that sent the changes; empty if read from the platform itself."""
    lost_ago_s: float = float("inf")
    """Time since that peer last failed to read the platform, in seconds."""
    epoch: int = 0

    @property
    def position(self) -> Position:
        """Position after the changes."""
        return Position(self.epoch, self.revision)


@dataclass(frozen=True, slots=True)
class DirectoryLost:
    """The platform cannot be read."""

    reason: str


DirectoryEvent = DirectoryRead | DirectoryChanged | DirectoryLost

Event = (
    calls.Event
    | RequestArrived
    | RequestAdmitted
    | KeysChanged
    | LoadHeard
    | EntryLost
    | DrainExpired
    | ServerSeen
    | ServerAdvertised
    | ServerSilent
    | DirectoryRead
    | DirectoryChanged
    | DirectoryLost
)


@dataclass(frozen=True, slots=True)
class CheckServer:
    """Check the health of the server beside the guard; `ServerSeen` or `ServerSilent` follows."""

    path: str
    timeout_s: float


@dataclass(frozen=True, slots=True)
class TellLoad:
    """Send this guard's load report to entries as a datagram."""

    hosts: tuple[str, ...]
    report: LoadReport


@dataclass(frozen=True, slots=True)
class WatchDirectory:
    """Start or stop watching the platform."""

    is_wanted: bool


Action = calls.Action | CheckServer | TellLoad | WatchDirectory
