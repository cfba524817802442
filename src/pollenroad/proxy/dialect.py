"""Names of the header fields between callers, daemons and servers.

The defaults are the product's own; an adapter for another environment supplies others.
"""

from dataclasses import dataclass

from pollenroad import headers as own


@dataclass(frozen=True, slots=True)
class Dialect:
    """Header fields that carry what the proxy and its servers tell each other."""

    request_id: str = own.REQUEST_ID
    """States the request; a server repeats it in its answer."""
    deadline_ms: str = own.DEADLINE_MS
    """Time left, in milliseconds."""
    signature: str = "Pollenroad-Signature"
    """In every answer that a server made itself."""
    expected_incarnation: str = "Pollenroad-Expect-Incarnation"
    """The only incarnation that may run the request; another one answers 421."""
    load: str = "Pollenroad-Load"
    """Requests running, requests waiting, slots, and the time that work takes in percent."""
    not_run: str = own.NOT_RUN
    """A server's own refusal: the request did not run there."""
    caller: str = "Pollenroad-Caller"
    """Service on the VM where the request began."""
    cold_ms: str = "Pollenroad-Cold-Ms"
    """How much longer the server is cold, in milliseconds."""

    @property
    def set_here(self) -> frozenset[str]:
        """Names in lower case of fields that a caller cannot set."""
        return frozenset(
            name.lower() for name in (self.deadline_ms, self.expected_incarnation, self.caller)
        )
