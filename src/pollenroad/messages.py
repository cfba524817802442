"""Messages between daemons, as they go over the peer link.

Each is a frozen msgspec Struct with a tag; `PeerMessage` is the union that a link decodes. A field
added later needs a default, so that daemons of neighbouring versions understand each other.
"""

import msgspec

PROTOCOL_VERSION = 1


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
    remaining_ms: float
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


class AttemptAnswer(Message, tag="answer"):
    """How an attempt ended."""

    attempt_id: str
    verdict: str
    """Value of a `Verdict`."""
    reason: str = ""
    """Reason code where the verdict is not `ran`."""
    response: Response | None = None
    load: LoadReport | None = None
    retry_after_ms: float = 0.0


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


PeerMessage = (
    Attempt
    | AttemptAnswer
    | CancelAttempt
    | LoadReport
    | Hello
    | Leaving
    | LimitRequest
    | LimitGrant
    | LimitReturn
)
"""Every message that a link accepts; later modules extend this union here."""
