"""Header names of the caller and server interfaces, and filtering of forwarded headers."""

from collections.abc import Iterable, Iterator

CUSTOMER = "Pollenroad-Customer"
REQUEST_CLASS = "Pollenroad-Class"
DEADLINE_MS = "Pollenroad-Deadline-Ms"
REQUEST_ID = "Pollenroad-Request-Id"
ATTEMPT_ID = "Pollenroad-Attempt-Id"
DEPTH = "Pollenroad-Depth"
RETRY_BUDGET = "Pollenroad-Retry-Budget"
VERDICT = "Pollenroad-Verdict"
REASON = "Pollenroad-Reason"
ATTEMPTS = "Pollenroad-Attempts"
ENDPOINT = "Pollenroad-Endpoint"
RETRY_AFTER_MS = "Pollenroad-Retry-After-Ms"
NOT_RUN = "Pollenroad-Not-Run"
"""Set by a server that refused the request without running it."""

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that apply to one connection only; see RFC 9110, section 7.6.1."""

_OWN_PREFIX = "pollenroad-"


def encode_fields(headers: Iterable[tuple[str, str]]) -> list[tuple[bytes, bytes]]:
    """Return header fields as the octets that they were decoded from.

    Fields may hold octets above 127 (RFC 9110, section 5.5); they are decoded as Latin-1, one
    character each.

    Raises:
        UnicodeEncodeError: If a field has other characters.
    """
    return [(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers]


def end_to_end(headers: Iterable[tuple[str, str]]) -> Iterator[tuple[str, str]]:
    """Yield the headers to forward.

    Omits hop-by-hop headers, headers that `Connection` names, and headers of pollenroad itself.
    """
    pairs = [(name, value) for name, value in headers]
    named = {
        token.strip().lower()
        for name, value in pairs
        if name.lower() == "connection"
        for token in value.split(",")
    }
    for name, value in pairs:
        lower = name.lower()
        if lower in HOP_BY_HOP or lower in named or lower.startswith(_OWN_PREFIX):
            continue
        yield name, value
