"""Events and actions of transparent HTTP, beside those of `pollenroad.boundary`."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from pollenroad import boundary as calls
from pollenroad.messages import LoadReport, Request
from pollenroad.published import Configuration, DomainOut, RegisteredEndpoint


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """A caller's whole request reached the entry."""

    call_id: str
    """Unique within this process."""
    request_id: str
    """Stated by the caller; the server repeats it in its answer."""
    host: str
    request: Request
    deadline_s: float
    """Time that the caller waits, in seconds."""


@dataclass(frozen=True, slots=True)
class LoadHeard:
    """A guard told its load outside of an answer."""

    host: str
    """IP number of the guard."""
    report: LoadReport


@dataclass(frozen=True, slots=True)
class EntryLost:
    """The link over which an entry had sent attempts broke."""

    peer: str


@dataclass(frozen=True, slots=True)
class ServerSeen:
    """What the server beside the guard said of itself in an answer or a health check."""

    running: int = 0
    waiting: int = 0
    slowdown: float = 1.0
    """Time that work takes there now, as a multiple of the usual one."""
    cold_s: float | None = None
    """How much longer the server is cold, in seconds; None if not stated."""
    is_health: bool = False
    """Whether it is the answer to a health check, which also tells whether the server is cold."""


@dataclass(frozen=True, slots=True)
class ServerSilent:
    """A health check of the server beside the guard had no answer."""

    reason: str


@dataclass(frozen=True, slots=True)
class DirectoryRead:
    """Everything that the platform holds, as of one revision."""

    revision: int
    configuration: Configuration | None
    endpoint_by_incarnation: Mapping[str, RegisteredEndpoint] = field(default_factory=dict)
    out_domains: frozenset[str] = frozenset()
    peer: str = ""
    """Peer that told it; empty for the platform itself."""
    lost_ago_s: float = float("inf")
    """Time since that peer last failed to read the platform, in seconds."""


@dataclass(frozen=True, slots=True)
class EndpointRemoved:
    """A registration ended: the server left, or its lease ran out."""

    incarnation: str


DirectoryItem = Configuration | RegisteredEndpoint | EndpointRemoved | DomainOut


@dataclass(frozen=True, slots=True)
class DirectoryChanged:
    """Changes at the platform, in their order."""

    revision: int
    items: tuple[DirectoryItem, ...]
    after: int = 0
    """Revision on top of which they apply."""
    peer: str = ""
    """Peer that told them; empty for the platform itself."""
    lost_ago_s: float = float("inf")
    """Time since that peer last failed to read the platform, in seconds."""


@dataclass(frozen=True, slots=True)
class DirectoryLost:
    """The platform cannot be read."""

    reason: str


DirectoryEvent = DirectoryRead | DirectoryChanged | DirectoryLost

Event = (
    calls.Event
    | RequestArrived
    | LoadHeard
    | EntryLost
    | ServerSeen
    | ServerSilent
    | DirectoryRead
    | DirectoryChanged
    | DirectoryLost
)


@dataclass(frozen=True, slots=True)
class CheckServer:
    """Ask the server beside the guard for its health; `ServerSeen` or `ServerSilent` follows."""

    path: str
    timeout_s: float


@dataclass(frozen=True, slots=True)
class TellLoad:
    """Tell entries the load of this guard, without a connection."""

    hosts: tuple[str, ...]
    report: LoadReport


@dataclass(frozen=True, slots=True)
class WatchDirectory:
    """Watch the platform from now on, or leave that to others."""

    is_wanted: bool


Action = calls.Action | CheckServer | TellLoad | WatchDirectory
