"""Messages between daemons about limits per customer."""

from pollenroad.message import Message

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
