"""Messages between daemons, as they go over the peer link.

Each is a frozen msgspec Struct with a tag; `PeerMessage` is the union that a link decodes. A field
added later needs a default, so that daemons of neighbouring versions understand each other.
"""

from typing import Annotated, Literal

from msgspec import Meta

from pollenroad.limit_messages import LimitGrant, LimitRequest, LimitReturn
from pollenroad.message import Message
from pollenroad.relay_messages import (
    Announce,
    AskDigests,
    AskDirectory,
    Bulletin,
    DirectoryNews,
    DocumentCopy,
    FetchDocuments,
    Heartbeat,
    Opinion,
    Suspect,
    VmNews,
)

PROTOCOL_VERSION = 2

RemainingMs = Annotated[float, Meta(ge=-600_000, le=600_000)]


class Request(Message):
    """A caller's request, without hop-by-hop headers."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Response(Message):
    """A server's whole answer, without hop-by-hop headers."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class LoadReport(Message, tag="load"):
    """What a guard knows of its endpoint; rides on every answer and is sent alone when idle."""

    service: str
    """Key of the service, `WORKSPACE/SERVICE`."""
    endpoint: str
    in_flight: int
    queued: int
    bound: int
    """Requests in flight that the guard admits now."""
    state: str = "serving"
    """`serving` or `cold`; in the others no new work is taken: `draining`, `drained`, `out` and
    `down`, where the server refuses everything."""
    service_ms: float = 0.0
    """Recent median time of a request at the server, in milliseconds."""
    sequence: int = 0
    """Grows with each report of this guard, so that an older one is recognised."""
    slowdown: float = 1.0
    """Time that work takes at the server now, as a multiple of the usual one."""


class Attempt(Message, tag="attempt"):
    """One try of a call at one endpoint."""

    attempt_id: str
    """Unique over all daemons and restarts."""
    request_id: str
    """Shared by all attempts of one call, and by the calls that it causes."""
    service: str
    customer: str
    request_class: str
    idempotent: bool
    remaining_ms: RemainingMs
    """Time left until the deadline at the moment of sending, in milliseconds."""
    request: Request
    number: int = 1
    """1 for the first attempt of a call."""
    retry_budget: float = 1.0
    """Retries that the calls below this one may still spend."""
    depth: int = 0
    """Calls above this one."""
    config_version: int = 0
    sent_ms: float = 0.0
    """Monotonic clock of the entry at sending, in milliseconds; 0 if not stated. The guard compares
    it with other attempts of the same entry only."""
    incarnation: str = ""
    """Incarnation of the server that the attempt is for; empty for whichever runs there."""
    caller: str = ""
    """Service on the VM where the request began."""
    objective_ms: float = 0.0
    """Time left until the latency objective, in milliseconds; 0 if it has none or is late."""
    priority: int = 0
    """Rank under overload; 0 is the highest."""
    assumed_slowdown: float = 0.0
    """Slowdown of the server that the entry assumed; 0 if the guard is not to hand the attempt back
    where it knows better."""
    assumed_load: int = 0
    """Requests at the server, running and waiting, that the entry assumed."""
    usual_ms: float = 0.0
    """Usual time of such a request at a server, in milliseconds, as far as the entry knows."""


class AttemptAnswer(Message, tag="answer"):
    """How an attempt ended."""

    attempt_id: str
    verdict: Literal["not-run", "ran", "unknown"]
    """Value of a `Verdict`."""
    reason: str = ""
    """Reason code where the verdict is not `ran`."""
    response: Response | None = None
    load: LoadReport | None = None
    retry_after_ms: float = 0.0
    reached_server: bool = False
    """Whether the server has had the request, also where it refused to run it."""
    work_ms: float = 0.0
    """Time that the request took at the server, at the server's usual speed, in milliseconds."""


class CancelAttempt(Message, tag="cancel"):
    """The entry no longer wants the answer of an attempt."""

    attempt_id: str


class Hello(Message, tag="hello"):
    """First message on a link, in both directions."""

    protocol: int
    vm: str
    address: str
    """Peer address of the sender."""
    incarnation: str
    """Differs after each restart of the sender."""
    failure_domain: str = ""
    proof: str = ""
    """Authentication of the sender, empty where daemons share no key."""


class Leaving(Message, tag="leaving"):
    """The sender takes no new work from now on."""

    vm: str


RelayMessage = (
    DirectoryNews
    | Bulletin
    | AskDirectory
    | Heartbeat
    | AskDigests
    | Announce
    | FetchDocuments
    | DocumentCopy
    | VmNews
    | Suspect
    | Opinion
    | Leaving
)
"""What `pollenroad.relay.relay` takes from peers."""

PeerMessage = (
    DirectoryNews
    | Bulletin
    | AskDirectory
    | Attempt
    | AttemptAnswer
    | CancelAttempt
    | LoadReport
    | Hello
    | Leaving
    | LimitRequest
    | LimitGrant
    | LimitReturn
    | Heartbeat
    | AskDigests
    | Announce
    | FetchDocuments
    | DocumentCopy
    | VmNews
    | Suspect
    | Opinion
)
"""Every message that a link accepts; later modules extend this union here."""
