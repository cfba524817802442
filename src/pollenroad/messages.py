"""Messages between daemons, as they go over the peer link.

Each is a frozen msgspec Struct with a tag; `PeerMessage` is the union that a link decodes. A field
added later needs a default, so that daemons of neighbouring versions understand each other.
"""

from typing import Annotated, Literal

import msgspec
from msgspec import Meta

from pollenroad.published import Configuration, DomainOut, RegisteredEndpoint

PROTOCOL_VERSION = 2

ITEMS_PER_MESSAGE = 512
"""Entries in one message about documents or VMs, at the most."""

ShortText = Annotated[str, Meta(max_length=256)]
RemainingMs = Annotated[float, Meta(ge=-600_000, le=600_000)]
DocumentBytes = Annotated[bytes, Meta(max_length=1_048_576)]


class Message(msgspec.Struct, frozen=True, omit_defaults=True):
    """Base of every message on the peer link."""


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


_SHORT_NAMES = {
    "workspace": "w",
    "customer": "c",
    "share": "s",
    "sequence": "q",
    "tokens": "t",
    "tokens_ahead": "a",
    "in_use": "u",
    "permits": "p",
    "permits_ahead": "h",
    "wait_ms": "m",
    "contended": "x",
    "retry_after_ms": "r",
    "waited_ms": "v",
    "ahead_lease_ms": "l",
    "refusal": "f",
}
"""Field names on the wire of the limit messages, which are sent several times a second."""


class LimitRequest(Message, tag="lq", rename=_SHORT_NAMES):
    """An entry asks the owner of a share of a customer's limit for tokens and permits."""

    workspace: str
    customer: str
    share: int
    sequence: int
    """Of the entry, to match the grant; the owner returns it."""
    tokens: int = 0
    """Tokens for calls that wait."""
    tokens_ahead: int = 0
    """Tokens for calls that are expected; granted only from plenty."""
    in_use: int = 0
    """Permits of this share held by running calls."""
    permits: int = 0
    """Permits to hold from now on, those in use among them."""
    permits_ahead: int = 0
    """Further permits, granted only from plenty."""
    wait_ms: float = 0.0
    """How long the owner may hold the request until it has a token, in milliseconds."""


class LimitGrant(Message, tag="lg", rename=_SHORT_NAMES):
    """What an owner grants; the lease runs from the moment when the entry asked."""

    workspace: str
    customer: str
    share: int
    sequence: int
    tokens: int = 0
    tokens_ahead: int = 0
    """Further tokens, with a lease of their own."""
    ahead_lease_ms: float = 0.0
    """Life of such tokens; entries ask ahead for less than that, also where none are granted."""
    permits: int = 0
    """Permits that the entry holds from now on."""
    contended: bool = False
    """Whether others lack permits, so that unused ones are to be returned at once."""
    retry_after_ms: float = 0.0
    """When the share will have a token again, in milliseconds."""
    waited_ms: float = 0.0
    """How long the owner held the request, in milliseconds; the lease runs that much longer."""
    refusal: str = ""
    """`not-owner` where the documents of entry and owner differ."""


class LimitReturn(Message, tag="lr", rename=_SHORT_NAMES):
    """An entry returns permits that it does not use; there is no answer.

    Tokens are not returned: they expire, and a returned one could be used later than its lease.
    """

    workspace: str
    customer: str
    share: int
    permits: int = 0
    """Permits that the entry still holds."""


class DocumentDigest(Message):
    """Which version of a document its sender has in force."""

    key: ShortText
    version: int
    digest: Annotated[bytes, Meta(max_length=32)]


class VmStatus(Message):
    """What daemons observed of a VM. The highest incarnation wins, then the gravest state."""

    vm: ShortText
    incarnation: int
    """Grows when the VM's daemon restarts, and when it refutes that it is dead."""
    state: ShortText
    """`alive`, `leaving`, `dead`, or `gone` where it left and is not heard any more."""


class VmListing(Message):
    """What the platform's list says of a VM, where that differs from `live`."""

    vm: ShortText
    state: ShortText
    """`live` or `leaving`."""
    revision: int
    """Revision of the list; the highest wins."""


class Heartbeat(Message, tag="heartbeat"):
    """The sender is alive; with it go marks by which daemons see that they hold the same."""

    vm: ShortText
    incarnation: int
    failure_domain: ShortText = ""
    documents: int = 0
    """Fingerprint of the keys and versions in force."""
    statuses: int = 0
    """Fingerprint of what is known of VMs."""
    platform_age_s: Annotated[float, Meta(ge=0)] = 1e9
    """Seconds since any daemon, as far as the sender knows, read the platform."""
    joining: bool = False
    """Whether the sender still collects documents and takes no work."""
    is_neighbour: bool = True
    """Whether the sender counts the receiver among its neighbours."""


class AskDigests(Message, tag="ask-digests"):
    """Asks for all digests and statuses that the receiver holds."""


class Announce(Message, tag="announce"):
    """Documents that the sender has in force."""

    digests: Annotated[tuple[DocumentDigest, ...], Meta(max_length=ITEMS_PER_MESSAGE)] = ()
    complete: bool = False
    """Whether this ends the answer to an `AskDigests`."""
    joining: bool = False


class FetchDocuments(Message, tag="fetch"):
    """Asks for documents by key."""

    keys: Annotated[tuple[ShortText, ...], Meta(max_length=ITEMS_PER_MESSAGE)]


class DocumentCopy(Message, tag="document"):
    """A document as the platform published it."""

    key: ShortText
    data: DocumentBytes


class VmNews(Message, tag="vm-news"):
    """News of VMs, passed on by each daemon that did not know it."""

    statuses: Annotated[tuple[VmStatus, ...], Meta(max_length=ITEMS_PER_MESSAGE)] = ()
    listings: Annotated[tuple[VmListing, ...], Meta(max_length=ITEMS_PER_MESSAGE)] = ()


class Suspect(Message, tag="suspect"):
    """The sender misses heartbeats of a VM and asks another monitor of it."""

    vm: ShortText


class Opinion(Message, tag="opinion"):
    """Answer of a monitor to `Suspect`."""

    vm: ShortText
    heard_ago_s: Annotated[float, Meta(ge=0)]
    """Time since the sender last heard the VM, in seconds."""
    suspects: bool


class DirectoryNews(Message, tag="directory"):
    """What the platform holds of routes and endpoints, or what changed there."""

    after: int
    """Revision on top of which the changes apply."""
    revision: int
    is_whole: bool = False
    """Whether this is everything, in place of changes."""
    configuration: Configuration | None = None
    endpoints: tuple[RegisteredEndpoint, ...] = ()
    removed: tuple[str, ...] = ()
    """Incarnations whose registration ended."""
    domains: tuple[DomainOut, ...] = ()
    lost_ago_s: float = 1e9
    """Time since the sender last failed to read the platform, in seconds."""


class Bulletin(Message, tag="bulletin"):
    """The sender watches the platform for others, up to a revision."""

    revision: int
    has_platform: bool
    """Whether its last read of the platform succeeded."""


class AskDirectory(Message, tag="ask-directory"):
    """Asks for everything that the platform holds, as far as the receiver knows."""


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
