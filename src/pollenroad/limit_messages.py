"""Messages between daemons about limits per customer."""

from pollenroad.base_message import Message

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
    "turn_ms": "n",
    "known_daemons": "d",
    "known_age_ms": "e",
    "takes_over": "k",
    "was_active": "b",
}
"""Short field names on the wire: these messages are sent several times per second."""


class LimitRequest(Message, tag="lq", rename=_SHORT_NAMES):
    """Request of an entry to the owner of a share of a customer's limit for tokens and permits."""

    workspace: str
    customer: str
    share: int
    sequence: int
    """Number of the request at the entry; the grant has the same number."""
    tokens: int = 0
    """Tokens for waiting calls."""
    tokens_ahead: int = 0
    """Tokens to prefetch for expected calls; granted only if enough remain for waiting calls."""
    in_use: int = 0
    """Permits of this share used by running calls."""
    permits: int = 0
    """Permits that the entry needs in total, including those in use."""
    permits_ahead: int = 0
    """Permits to prefetch; granted only while half of the share's permits remain free."""
    wait_ms: float = 0.0
    """How long the owner may delay the answer until it has a token, in milliseconds."""
    takes_over: bool = False
    """Whether the sender is the new owner of the share of a workspace's quota. The receiver stops
    handing it out and answers with `LimitReturn`."""


class LimitGrant(Message, tag="lg", rename=_SHORT_NAMES):
    """Grant of an owner; the lease begins when the entry sent the request."""

    workspace: str
    customer: str
    share: int
    sequence: int
    tokens: int = 0
    tokens_ahead: int = 0
    """Prefetched tokens, with a lease of their own."""
    ahead_lease_ms: float = 0.0
    """Lifetime of prefetched tokens in milliseconds, also set if none are granted.

    Entries prefetch for a shorter period than that.
    """
    permits: int = 0
    """Permits that the entry has leased from now on."""
    contended: bool = False
    """Whether other entries lack permits, so that unused ones must be returned at once."""
    retry_after_ms: float = 0.0
    """Time until the share will have a token, in milliseconds."""
    waited_ms: float = 0.0
    """How long the owner delayed the answer, in milliseconds; the token leases are longer by it."""
    refusal: str = ""
    """`not-owner` if the documents of entry and owner differ, so that it does not own the share.
    `reserve` if the tokens came from the reserve of a workspace's quota, of which other daemons may
    have more; see `pollenroad.proxy.quotas`."""
    turn_ms: float = 0.0
    """Time after which a call that is refused now can expect a token, behind those that were
    refused before, in milliseconds."""
    known_daemons: int = 0
    """Number of daemons that the sender knows, if the request named no workspace."""
    known_age_ms: float = 0.0
    """Age of that number in milliseconds; above 0 if the sender has it from another daemon."""


class LimitReturn(Message, tag="lr", rename=_SHORT_NAMES):
    """Return of unused permits by an entry, or of a share by a former owner; there is no answer.

    Tokens are not returned: they expire, and a returned one could be used after its lease ended.
    """

    workspace: str
    customer: str
    share: int
    permits: int = 0
    """Permits that the entry keeps."""
    was_active: bool = False
    """Whether the sender has recently handed out the share of a workspace's quota as its owner."""
