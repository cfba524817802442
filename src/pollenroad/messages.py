"""Messages that daemons exchange over peer links.

Each message is a frozen msgspec Struct with a tag; a link decodes the union `PeerMessage`. A field
that is added needs a default, so that daemons of adjacent versions can decode each other's
messages.
"""

import math
from typing import Annotated, Literal

from msgspec import Meta

from pollenroad.base_message import Message
from pollenroad.limit_messages import LimitGrant, LimitRequest, LimitReturn
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

PROTOCOL_VERSION = 3
"""Version 2 added compressed frames, 3 links for long frames."""

MAX_REMAINING_MS = 600_000
"""Longest time until the deadline of an attempt, in milliseconds."""

RemainingMs = Annotated[float, Meta(ge=-MAX_REMAINING_MS, le=MAX_REMAINING_MS)]


class Request(Message, weakref=True):
    """A caller's request, without hop-by-hop headers."""

    method: str
    path: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class Response(Message, weakref=True):
    """A server's complete answer, without hop-by-hop headers."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""


class LoadReport(Message, tag="load"):
    """Load of a guard's endpoint.

    Included in every answer to an attempt, and sent on its own while no answers are sent.
    """

    service: str
    """Key of the service, `WORKSPACE/SERVICE`."""
    endpoint: str
    in_flight: int
    queued: int
    bound: int
    """Requests in flight that the guard currently admits."""
    state: str = "serving"
    """`serving`, `cold` or `starting`. In any other state the endpoint takes no new work:
    `leaving`, `draining`, `drained`, `out` (out of service), or `down` (the server refuses all)."""
    service_ms: float = 0.0
    """Recent median time of a request at the server, in milliseconds."""
    sequence: int = 0
    """Increases with each report of this guard, so that receivers can ignore outdated reports."""
    slowdown: float = 1.0
    """Current service time of the server as a multiple of the usual one."""
    limit_per_s: float | None = None
    """Requests a second that the server takes from all daemons together; None if it states none."""
    limit_wait_ms: float = 0.0
    """Time until a new attempt may start within that limit, in milliseconds; negative if there is
    room for more than one."""
    rejection_share: float = 0.0
    """Share of the requests that the server rejects although it has capacity, from 0 to 1."""

    @property
    def is_finite(self) -> bool:
        """Whether costs can be computed from its numbers."""
        numbers = (self.slowdown, self.limit_per_s or 0, self.limit_wait_ms, self.rejection_share)
        return all(map(math.isfinite, numbers))


class Attempt(Message, tag="attempt"):
    """One attempt to run a call at one endpoint.

    The fields from `incarnation` on are used only by the transparent proxy.
    """

    attempt_id: str
    """Unique over all daemons and restarts."""
    request_id: str
    """Shared by all attempts of one call, and by the calls that the server makes to answer it."""
    service: str
    customer: str
    request_class: str
    idempotent: bool
    remaining_ms: RemainingMs
    """Time from sending until the deadline, in milliseconds."""
    request: Request
    number: int = 1
    """1 for the first attempt of a call."""
    retry_budget: float = 1.0
    """Retry allowance, from 0 to 1, of the calls that are made to answer this one: their first
    attempts are credited to the rerun and hedge budgets in proportion to it."""
    depth: int = 0
    """Number of calls in the chain that led to this one."""
    config_version: int = 0
    sent_ms: float = 0.0
    """Monotonic clock of the entry at sending, in milliseconds; 0 if not stated. Comparable only
    with other attempts of the same entry."""
    incarnation: str = ""
    """Incarnation of the server that the attempt is for; empty for any."""
    caller: str = ""
    """Service on the VM where the request originated."""
    objective_ms: float = 0.0
    """Time left until the latency objective, in milliseconds; 0 if none or passed."""
    priority: int = 0
    """Priority under overload; 0 is the highest."""
    assumed_slowdown: float = 0.0
    """Slowdown of the server that the entry assumed when it selected the endpoint. With 0 the guard
    sends no pushback, even if its own figure is worse."""
    assumed_load: int = 0
    """Requests running and waiting at the server, as the entry assumed."""
    usual_ms: float = 0.0
    """Usual service time of such a request, in milliseconds, as estimated by the entry."""
    assumed_wait_ms: float = 0.0
    """Wait for room within the server's stated limit that the entry assumed, in milliseconds."""
    known_limit_per_s: float | None = None
    """Limit of the server that the entry heard last, for a guard that has not heard from it yet."""
    workspace: str = ""
    """Name of the workspace that the request belongs to; empty for none."""
    refusals: int = 0
    """Guards that have refused the request before; stated only while load shedding is enabled."""


class AttemptAnswer(Message, tag="answer"):
    """Outcome of an attempt. Only the transparent proxy uses `reached_server` and `work_ms`."""

    attempt_id: str
    verdict: Literal["not-run", "ran", "unknown"]
    """Value of a `Verdict`."""
    reason: str = ""
    """Reason code if the verdict is not `ran`."""
    response: Response | None = None
    load: LoadReport | None = None
    retry_after_ms: float = 0.0
    reached_server: bool = False
    """Whether the server received the request, even if it refused to run it."""
    work_ms: float = 0.0
    """Service time of the request, scaled to the usual speed of the server, in milliseconds."""


class CancelAttempt(Message, tag="cancel"):
    """The entry no longer needs the answer to an attempt."""

    attempt_id: str


class Hello(Message, tag="hello"):
    """First message on a link, in both directions."""

    protocol: int
    vm: str
    address: str
    """Peer address of the sender."""
    incarnation: str
    """From the daemon that dials: changes with each of its restarts. From the one that accepts: a
    random nonce, over which the dialling daemon computes its proof."""
    failure_domain: str = ""
    proof: str = ""
    """Proof that the dialling daemon has the shared key: an HMAC of nonce and address. Empty if
    there is no key, and from the daemon that accepts."""
    long_frames: Literal["", "attempts", "answers"] = ""
    """What the dialling daemon sends on a link for long frames; empty for an ordinary link."""


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
"""Messages from peers that `pollenroad.relay.relay` handles."""

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
"""All messages that a peer link accepts. A new message type must be added here."""
